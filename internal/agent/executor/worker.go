package executor

import (
	"time"

	"github.com/jaygw/jaygw"
)

// Started takes the result of a start. After an error the attempt may run all
// the same, or start later, so it is stopped before the failure is reported.
func (e *Executor) Started(id jaygw.Attempt, err error, now time.Time) []Step {
	a, ok := e.attempts[id]
	if !ok || a.phase != starting {
		return nil
	}
	if err != nil {
		a.failure = err.Error()
		return []Step{e.stop(id, a, now)}
	}
	a.phase = running
	a.since = now
	e.report(jaygw.Report{Attempt: id, Kind: jaygw.Started})
	return nil
}

// Stopped takes the result of a stop: how the attempt has ended at the worker. One
// that completed before the stop arrived is reported as completed; reported as
// stopped, its work would run a second time. A failed stop is tried again.
func (e *Executor) Stopped(id jaygw.Attempt, task jaygw.WorkerTask, err error, now time.Time) {
	a, ok := e.attempts[id]
	if !ok || a.phase != stopping {
		return
	}
	if err != nil {
		a.stopAt = now.Add(stopRetry)
		return
	}
	task.Attempt = id
	e.over(id, a, lastReport(task, a.kind), now)
}

// over ends an attempt with its last report.
func (e *Executor) over(id jaygw.Attempt, a *attempt, last jaygw.Report, now time.Time) {
	if last.Kind == jaygw.Stopped && a.failure != "" {
		last.Kind = jaygw.AttemptFailed
		last.Reason = a.failure
	}
	a.phase = ended
	a.since = now
	e.fence(id, now)
	e.report(last)
}

// Checkpointed takes a checkpoint that a running attempt has written.
func (e *Executor) Checkpointed(id jaygw.Attempt, checkpoint jaygw.Checkpoint) {
	if a, ok := e.attempts[id]; ok && a.phase == running && checkpoint.Progress > a.progress {
		a.progress = checkpoint.Progress
		e.report(jaygw.Report{Attempt: id, Kind: jaygw.Checkpointed, Checkpoint: checkpoint})
	}
}

// Unchanged notes that the worker's list is the one that was taken last.
func (e *Executor) Unchanged(now time.Time) { e.listed = now }

// Listed takes the worker's list of attempts, which was asked for at begun. An
// attempt that the agent does not know was started by its last process and is
// adopted. An attempt that the worker no longer has is stopped and reported as
// failed.
func (e *Executor) Listed(tasks []jaygw.WorkerTask, begun, now time.Time) []Step {
	e.listed = now
	var steps []Step
	present := map[jaygw.Attempt]bool{}
	for _, task := range tasks {
		present[task.Attempt] = true
		steps = append(steps, e.listedOne(task, begun, now)...)
	}
	for _, id := range e.known() {
		a := e.attempts[id]
		if a.phase == running && a.since.Before(begun) && !present[id] {
			a.failure = "the worker no longer has the attempt"
			steps = append(steps, e.stop(id, a, now))
		}
	}
	return steps
}

func (e *Executor) listedOne(task jaygw.WorkerTask, begun, now time.Time) []Step {
	id := task.Attempt
	a, known := e.attempts[id]
	if !known && e.fenced(id) {
		return e.leftOver(task, begun, now)
	}
	if !known {
		a = &attempt{kind: task.Kind, phase: running, since: now, listedIn: e.sequence + 1, progress: task.Checkpoint.Progress}
		e.attempts[id] = a
		if task.State == jaygw.WorkerRunning {
			// The last process may have ended before it reported the start.
			e.report(jaygw.Report{Attempt: id, Kind: jaygw.Started})
		}
	}
	if a.phase == ended {
		return nil
	}
	if task.State == jaygw.WorkerRunning {
		e.Checkpointed(id, task.Checkpoint)
		return nil
	}
	e.over(id, a, lastReport(task, a.kind), now)
	return nil
}

// lastReport returns the report of an attempt that no longer runs.
func lastReport(task jaygw.WorkerTask, kind jaygw.TaskKind) jaygw.Report {
	last := jaygw.Report{Attempt: task.Attempt, Kind: jaygw.Stopped, Checkpoint: task.Checkpoint, Reason: task.Reason}
	switch task.State {
	case jaygw.WorkerCompleted:
		last.Kind = jaygw.Completed
		if kind == jaygw.ServiceTask {
			last.Kind = jaygw.AttemptFailed
			last.Reason = "the service replica ended"
		}
	case jaygw.WorkerFailed:
		last.Kind = jaygw.AttemptFailed
	default:
		if last.Reason == "" {
			last.Reason = "stopped"
		}
	}
	return last
}

// leftOver handles an attempt on the worker's list that may not run here. A list
// that is older than the fence tells nothing.
func (e *Executor) leftOver(task jaygw.WorkerTask, begun, now time.Time) []Step {
	id := task.Attempt
	if !e.fences[id.Task].since.Before(begun) {
		return nil
	}
	if task.State != jaygw.WorkerRunning {
		return []Step{{Attempt: id, Forget: true}}
	}
	a := &attempt{kind: task.Kind, listedIn: e.sequence + 1}
	e.attempts[id] = a
	return []Step{e.stop(id, a, now)}
}
