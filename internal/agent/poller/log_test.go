package poller

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// TestDecisionsInLog guards against orders that leave no line, or one without its reason or with a wrong outcome,
// so that a log does not show why a run was started twice or never.
func TestDecisionsInLog(t *testing.T) {
	log, logged := logtest.NewNullLogger()
	worker := &workerStub{stop: jaygw.WorkerResponse{Denied: jaygw.DeniedUnhealthy}}
	run := func(number uint64) jaygw.Run { return jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: number} }
	now := time.Unix(1000, 0)
	leader := leaderFunc(func(request jaygw.PollRequest) jaygw.PollResponse {
		if request.Sequence == 1 {
			return jaygw.PollResponse{Session: 7, Lease: time.Second}
		}
		return jaygw.PollResponse{Session: 7, Lease: time.Second, Stops: []jaygw.Run{run(1)}, Starts: []jaygw.StartOrder{
			{Run: run(1), ValidFor: time.Second}, {Run: run(2)}, {Run: run(3), ValidFor: time.Second},
		}}
	})
	a := New(leader, worker, runner.New("vm", 1, time.Second), WithLogger(log), WithClock(func() time.Time { return now }))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	a.runner.Listed(jaygw.RunList{Incarnation: worker.incarnation, Truncated: true}, now, now)
	a.runner.Listed(jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Denied: jaygw.DeniedIncarnation}}, now, now)
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	a.goroutines.Wait()
	reasons := map[any]any{}
	for _, entry := range logged.AllEntries() {
		switch entry.Message {
		case "agent: start decided":
			require.Equal(t, false, entry.Data["admitted"])
			reasons[entry.Data["run"]] = entry.Data["reason"]
			if entry.Data["run"] == uint64(3) {
				require.Equal(t, true, entry.Data["inherited"])
			}
		case "agent: run stopped":
			require.Fail(t, "the stop was denied")
		case "agent: stop not confirmed":
			reasons["stop"] = entry.Data["cause"]
			require.Equal(t, []any{uint64(7), "w", int64(10)}, []any{entry.Data["session"], entry.Data["worker"], entry.Data["born"]})
		}
	}
	require.Equal(t, map[any]any{
		uint64(1): "it is known", uint64(2): "the permit was over on arrival", uint64(3): "the worker has started again", "stop": "the leader",
	}, reasons)
}

// TestUnexpectedRunsInLog guards against runs that the worker lists and that nobody ordered without a line, and
// against a line for each of many.
func TestUnexpectedRunsInLog(t *testing.T) {
	log, logged := logtest.NewNullLogger()
	worker := &workerStub{}
	for number := range uint64(maxUnexpectedLines + 3) {
		worker.running = append(worker.running, jaygw.RunningRun{Run: jaygw.Run{Task: jaygw.StepTask{Workflow: "w", Index: int(number)}, Number: 1}})
	}
	a := New(nil, worker, runner.New("vm", 1, time.Second), WithLogger(log))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	require.NoError(t, a.listRuns(t.Context(), 0))
	var lines []*logrus.Entry
	for _, entry := range logged.AllEntries() {
		if entry.Message == "agent: run unexpected on worker" {
			lines = append(lines, entry)
		}
	}
	require.Len(t, lines, maxUnexpectedLines)
	require.Equal(t, int64(10), lines[0].Data["born"])
	require.Equal(t, 3, lines[maxUnexpectedLines-1].Data["omitted"])
}
