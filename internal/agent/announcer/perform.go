package announcer

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
)

// perform calls the worker for each step in a goroutine of its own, so that a slow call does not
// delay the renewals.
func (a *Announcer) perform(steps []executor.Step) {
	for _, step := range steps {
		go a.performOne(step)
	}
}

func (a *Announcer) performOne(step executor.Step) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout+drainTimeout)
	defer cancel()
	id := step.Attempt
	switch {
	case step.Start != nil:
		a.start(ctx, *step.Start)
	case step.Forget:
		if err := a.worker.Forget(ctx, id); err != nil {
			a.log.Debugf("agent: the worker did not discard its record of task %s: %v", id.Task, err)
		}
		return
	case step.Action == jaygw.ActionStop || step.Action == jaygw.ActionKill:
		a.drainService(id)
		ended, err := a.worker.Stop(ctx, id)
		if err != nil {
			a.log.Warnf("agent: task %s was not stopped: %v", id.Task, err)
		}
		a.mu.Lock()
		a.executor.Stopped(id, ended, err, time.Now())
		a.mu.Unlock()
	case step.Action == jaygw.ActionCheckpoint:
		checkpoint, err := a.worker.Checkpoint(ctx, id)
		if err != nil {
			a.log.Debugf("agent: task %s wrote no checkpoint: %v", id.Task, err)
			return
		}
		a.mu.Lock()
		a.executor.Checkpointed(id, checkpoint)
		a.mu.Unlock()
	case step.Action == jaygw.ActionThrottle:
		if err := a.worker.Throttle(ctx, id, step.Percent); err != nil {
			a.log.Debugf("agent: task %s was not throttled: %v", id.Task, err)
		}
		return
	}
	a.requestReport()
}

// drainService waits for the requests in flight of a replica that is about to stop. It returns
// early enough for the replica to stop before its lease expires.
func (a *Announcer) drainService(id jaygw.Attempt) {
	a.mu.Lock()
	kind, known := a.executor.Kind(id)
	_, end := a.executor.LeaseEnds()
	a.mu.Unlock()
	if a.drainRequests == nil || !known || kind != jaygw.ServiceTask {
		return
	}
	limit := min(drainTimeout, time.Until(end)-executor.StopAhead)
	if limit <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a.drainRequests(ctx, id.Task.Owner())
}

func (a *Announcer) start(ctx context.Context, permit jaygw.Permit) {
	a.mu.Lock()
	window, admitted := a.executor.Admit(permit.Attempt, time.Now())
	a.mu.Unlock()
	if !admitted {
		a.log.Infof("agent: task %s was not started, its permit has expired", permit.Attempt.Task)
		return
	}
	err := a.worker.Start(ctx, permit, window)
	if err != nil {
		a.log.Warnf("agent: the start of task %s failed: %v", permit.Attempt.Task, err)
	}
	a.mu.Lock()
	steps := a.executor.Started(permit.Attempt, err, time.Now())
	a.mu.Unlock()
	a.perform(steps)
}
