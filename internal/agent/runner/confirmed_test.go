package runner_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/stretchr/testify/require"
)

// TestUnconfirmedStartReportedAsConfirmed guards against a run that is reported as begun although its worker has neither
// confirmed nor listed it, and against one that is not.
func TestUnconfirmedStartReportedAsConfirmed(t *testing.T) {
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	listed := jaygw.RunList{Running: []jaygw.RunningRun{{Run: run}}}
	for name, c := range map[string]struct {
		event     func(r *runner.Runner, now time.Time)
		confirmed bool
	}{
		"no answer yet": {func(*runner.Runner, time.Time) {}, false},
		"no answer": {func(r *runner.Runner, now time.Time) {
			r.Started(run, jaygw.WorkerResponse{}, errors.New("timeout"), now)
		}, false},
		"denied": {func(r *runner.Runner, now time.Time) {
			r.Started(run, jaygw.WorkerResponse{Denied: jaygw.DeniedCapacity}, nil, now)
		}, false},
		"not listed": {func(r *runner.Runner, now time.Time) {
			r.Started(run, jaygw.WorkerResponse{}, errors.New("timeout"), now)
			r.Listed(jaygw.RunList{}, now, now)
		}, false},
		"confirmed": {func(r *runner.Runner, now time.Time) { r.Started(run, jaygw.WorkerResponse{}, nil, now) }, true},
		"confirmed, then stopped": {func(r *runner.Runner, now time.Time) {
			r.Started(run, jaygw.WorkerResponse{}, nil, now)
			r.DueStops(now.Add(2 * lease))
		}, true},
		"listed": {func(r *runner.Runner, now time.Time) { r.Listed(listed, now, now) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			now, r := time.Unix(1000, 0), runner.New("vm", 1, 6*time.Second)
			r.Report(jaygw.PoolWorker{}, 0, now)
			request, _ := r.PollRequest(now, 0)
			r.HandleResponse(jaygw.PollResponse{
				Session: 1, Sequence: request.Sequence, Lease: lease, Starts: []jaygw.StartOrder{{Run: run, ValidFor: time.Second}},
			}, now)
			c.event(r, now)
			request, _ = r.PollRequest(now, 0)
			require.Equal(t, []jaygw.ReportedRun{{Run: run, Confirmed: c.confirmed, TraitsUnknown: request.Runs[0].TraitsUnknown}}, request.Runs)
		})
	}
}
