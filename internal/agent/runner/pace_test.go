package runner_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/stretchr/testify/require"
)

// TestSpareRunGetsPaceAtItsStart guards against a spare run that works at full pace beside a
// serving run near its latency target until the worker lists it, up to half a second later.
func TestSpareRunGetsPaceAtItsStart(t *testing.T) {
	start := time.Unix(100, 0)
	r := runner.New("vm", 1, 6*time.Second)
	incarnation := jaygw.WorkerIncarnation{Name: "w"}
	r.Report(jaygw.PoolWorker{Incarnation: incarnation, Size: jaygw.Resources{CPU: 10 * jaygw.Core}}, time.Second, start)

	serving := jaygw.Run{Task: jaygw.StepTask{Workflow: "serving"}, Number: 1}
	spare := jaygw.Run{Task: jaygw.StepTask{Workflow: "spare"}, Number: 1}
	begin := func(run jaygw.Run, traits jaygw.RunTraits, now time.Time) []runner.Action {
		request, ok := r.PollRequest(now, 0)
		require.True(t, ok)
		actions := r.HandleResponse(jaygw.PollResponse{
			Session: 7, Sequence: request.Sequence, Lease: 4 * time.Second,
			Starts:  []jaygw.StartOrder{{Run: run, ValidFor: 2 * time.Second, Traits: traits}},
			Effects: []jaygw.ImageEffect{{Pair: jaygw.ImagePair{Spare: "batch", Serving: "search"}, Effect: 20}},
		}, now)
		require.Len(t, actions, 1)
		_, ok = r.Admit(run, actions[0].StartBy, now)
		require.True(t, ok)
		return r.Started(run, jaygw.WorkerResponse{}, nil, now)
	}
	require.Empty(t, begin(serving, jaygw.RunTraits{Image: "search", LatencyTarget: 100 * time.Millisecond, Lasting: true}, start))
	r.Listed(jaygw.RunList{
		Incarnation: incarnation,
		Running:     []jaygw.RunningRun{{Run: serving, TailLatency: 80 * time.Millisecond}},
	}, start, start.Add(100*time.Millisecond))

	actions := begin(spare, jaygw.RunTraits{Image: "batch", Spare: true, CPU: 2 * jaygw.Core}, start.Add(200*time.Millisecond))
	require.Len(t, actions, 1)
	require.Equal(t, spare, actions[0].Pace.Run)
	require.Zero(t, actions[0].Pace.Percent)
}
