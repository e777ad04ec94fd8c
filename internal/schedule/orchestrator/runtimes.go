package orchestrator

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
)

// observeRunTimes learns the durations of the runs that a poll reports as done. Resumed runs are left out, since they
// have done only part of the work of their task.
func (t *vmTable) observeRunTimes(request jaygw.PollRequest, state *registrar.Registrar, wall jaygw.Time) {
	for _, e := range request.Ended {
		p, step := state.FindPlacement(request.VM, e.Run), stepSpec(state, e.Run)
		if p == nil || step == nil || step.Lasting || p.Checkpoint != "" {
			continue
		}
		queue := state.Workflow(e.Run.Task.Workflow).Queue.Name
		if lost := e.Outcome == jaygw.RunStopped && state.IsDone(e.Run.Task); lost || e.Outcome == jaygw.RunDone {
			t.copies.observe(e.Run.Task, step, queue, wall.Sub(p.Since), lost)
		}
		if e.Outcome != jaygw.RunDone {
			continue
		}
		t.runTimes.Observe(forecaster.Key{Queue: queue, Step: e.Run.Task.Step}, step.RunTime, wall.Sub(p.Since))
	}
}

// estimate returns the expected duration of a run of a queue's step.
func (t *vmTable) estimate(queue string, step int, declared time.Duration) forecaster.Estimate {
	return t.runTimes.Estimate(forecaster.Key{Queue: queue, Step: step}, declared)
}
