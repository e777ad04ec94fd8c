package executor

import (
	"time"

	"github.com/jaygw/jaygw"
)

// Started handles the result of a start. After an error the attempt may run all the same, or
// start later, so it is stopped before the failure is reported.
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
	e.addReport(jaygw.Report{Attempt: id, Kind: jaygw.Started})
	return nil
}

// Stopped handles the result of a stop. An attempt that completed before the stop arrived is
// reported as completed; if it were reported as stopped, its work would run a second time. A
// failed stop is retried.
func (e *Executor) Stopped(id jaygw.Attempt, task jaygw.WorkerTask, err error, now time.Time) {
	a, ok := e.attempts[id]
	if !ok || a.phase != stopping {
		return
	}
	if err != nil {
		a.retryStopAt = now.Add(stopRetry)
		return
	}
	task.Attempt = id
	e.markEnded(id, a, lastReport(task, a.kind), now)
}

// markEnded ends an attempt with its last report.
func (e *Executor) markEnded(id jaygw.Attempt, a *attempt, last jaygw.Report, now time.Time) {
	if last.Kind == jaygw.Stopped && a.failure != "" {
		last.Kind = jaygw.AttemptFailed
		last.Reason = a.failure
	}
	a.phase = ended
	a.since = now
	e.fence(id, now)
	e.addReport(last)
}

// Checkpointed handles a checkpoint that a running attempt has written.
func (e *Executor) Checkpointed(id jaygw.Attempt, checkpoint jaygw.Checkpoint) {
	if a, ok := e.attempts[id]; ok && a.phase == running && checkpoint.Progress > a.progress {
		a.progress = checkpoint.Progress
		e.addReport(jaygw.Report{Attempt: id, Kind: jaygw.Checkpointed, Checkpoint: checkpoint})
	}
}

// Unchanged records that the worker's list has not changed since the last one.
func (e *Executor) Unchanged(now time.Time) { e.lastList = now }

// Listed handles the worker's list of attempts, which was requested at requestedAt. An unknown
// attempt was started by an earlier agent process and is adopted. An attempt that the worker
// no longer has is stopped and reported as failed.
func (e *Executor) Listed(tasks []jaygw.WorkerTask, requestedAt, now time.Time) []Step {
	e.lastList = now
	var steps []Step
	present := map[jaygw.Attempt]bool{}
	for _, task := range tasks {
		present[task.Attempt] = true
		steps = append(steps, e.handleListed(task, requestedAt, now)...)
	}
	for _, id := range e.sortedAttempts() {
		a := e.attempts[id]
		if a.phase == running && a.since.Before(requestedAt) && !present[id] {
			a.failure = "the worker no longer has the attempt"
			steps = append(steps, e.stop(id, a, now))
		}
	}
	return steps
}

func (e *Executor) handleListed(task jaygw.WorkerTask, requestedAt, now time.Time) []Step {
	id := task.Attempt
	a, known := e.attempts[id]
	if !known && e.fenced(id) {
		return e.handleFenced(task, requestedAt, now)
	}
	if !known {
		a = &attempt{kind: task.Kind, phase: running, since: now, reportedFrom: e.sequence + 1, progress: task.Checkpoint.Progress}
		e.attempts[id] = a
		if task.State == jaygw.WorkerRunning {
			// The earlier process may have ended before it reported the start.
			e.addReport(jaygw.Report{Attempt: id, Kind: jaygw.Started})
		}
	}
	if a.phase == ended {
		return nil
	}
	if task.State == jaygw.WorkerRunning {
		e.Checkpointed(id, task.Checkpoint)
		return nil
	}
	e.markEnded(id, a, lastReport(task, a.kind), now)
	return nil
}

// lastReport returns the last report of an attempt that no longer runs.
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

// handleFenced handles a listed attempt that is fenced and may not run here. A list that was
// requested before the fence was set is ignored.
func (e *Executor) handleFenced(task jaygw.WorkerTask, requestedAt, now time.Time) []Step {
	id := task.Attempt
	if !e.fences[id.Task].since.Before(requestedAt) {
		return nil
	}
	if task.State != jaygw.WorkerRunning {
		return []Step{{Attempt: id, Forget: true}}
	}
	a := &attempt{kind: task.Kind, reportedFrom: e.sequence + 1}
	e.attempts[id] = a
	return []Step{e.stop(id, a, now)}
}
