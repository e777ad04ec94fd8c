package runner_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/stretchr/testify/require"
)

var (
	pacedWorker = jaygw.WorkerIncarnation{Name: "w"}
	serving     = jaygw.Run{Task: jaygw.StepTask{Workflow: "serving"}, Number: 1}
	spare       = jaygw.Run{Task: jaygw.StepTask{Workflow: "spare"}, Number: 1}
)

// startSpareRun starts a spare run beside a serving run near its latency target, and returns the actions that follow
// the response of the worker.
func startSpareRun(t *testing.T, start time.Time) (*runner.Runner, []runner.Action) {
	r := runner.New("vm", 1, 6*time.Second)
	r.Report(jaygw.PoolWorker{Incarnation: pacedWorker, Size: jaygw.Resources{CPU: 10 * jaygw.Core}}, time.Second, start)
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
		Incarnation: pacedWorker,
		Running:     []jaygw.RunningRun{{Run: serving, TailLatency: 80 * time.Millisecond}},
	}, start, start.Add(100*time.Millisecond))

	return r, begin(spare, jaygw.RunTraits{Image: "batch", Spare: true, CPU: 2 * jaygw.Core}, start.Add(200*time.Millisecond))
}

// TestSpareRunGetsPaceAtItsStart guards against a spare run that works at full pace beside a
// serving run near its latency target until the worker lists it, up to half a second later.
func TestSpareRunGetsPaceAtItsStart(t *testing.T) {
	_, actions := startSpareRun(t, time.Unix(100, 0))
	require.Len(t, actions, 1)
	require.Equal(t, spare, actions[0].Pace.Run)
	require.Zero(t, actions[0].Pace.Percent)
}

// TestPacesInFlightSwap guards against a spare run that keeps an earlier pace because the worker has carried out two
// orders, both in flight, in the other order, and has confirmed both.
func TestPacesInFlightSwap(t *testing.T) {
	for name, firstAnswer := range map[string]int{"earlier order answered first": 0, "later order answered first": 1} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100, 0)
			r, actions := startSpareRun(t, now)
			list := func() []runner.Action {
				now = now.Add(500 * time.Millisecond)
				actions, _ := r.Listed(jaygw.RunList{Incarnation: pacedWorker, Running: []jaygw.RunningRun{
					{Run: serving, TailLatency: 50 * time.Millisecond}, {Run: spare},
				}}, now, now)
				return actions
			}
			orders := slices.Concat(actions, list())
			require.Len(t, orders, 2)
			require.NotEqual(t, orders[0].Pace.Percent, orders[1].Pace.Percent)
			r.Paced(*orders[firstAnswer].Pace, jaygw.WorkerResponse{}, nil, now)
			r.Paced(*orders[1-firstAnswer].Pace, jaygw.WorkerResponse{}, nil, now)
			worker := orders[firstAnswer].Pace.Percent // carried out last
			repeats := 0
			for range 60 {
				for _, order := range list() {
					repeats++
					worker = order.Pace.Percent
					r.Paced(*order.Pace, jaygw.WorkerResponse{}, nil, now)
				}
			}
			request, ok := r.PollRequest(now, 0)
			require.True(t, ok)
			paces := map[jaygw.Run]int{}
			for _, run := range request.Runs {
				paces[run.Run] = 100 - run.SlowdownPercent
			}
			require.Equal(t, paces[spare], worker, "the pace that the agent takes for confirmed is that of the worker")
			require.Less(t, repeats, 20, "a pace is not repeated for good")
			require.Empty(t, list())
		})
	}
}
