package poller

import (
	"context"
	"errors"
	"time"

	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// watchRuns keeps a request for a list open at the worker while the worker has runs.
func (a *Poller) watchRuns(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		idle, urgent := a.runner.Idle(), a.runner.Urgent()
		a.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-a.listDue:
			}
			continue
		}
		wait := listWait
		if urgent {
			wait = 0
		}
		err := a.listRuns(ctx, wait)
		if lost := err != nil; lost != a.workerLost {
			a.workerLost = lost
			if lost {
				a.log.WithError(err).Warn("agent: worker lost")
			} else {
				a.log.Info("agent: worker reached")
			}
		}
		a.mu.Lock()
		unrecorded := a.runner.HasListedEnds()
		a.mu.Unlock()
		switch {
		case err != nil || urgent:
			sleep(ctx, listPause)
		case unrecorded:
			a.awaitList(ctx, recordWait)
		}
	}
}

// awaitList waits at most for limit until a response of the leader or the result of an order
// makes a new list useful.
func (a *Poller) awaitList(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.listDue:
	case <-timer.C:
	}
}

func (a *Poller) listRuns(ctx context.Context, wait time.Duration) error {
	start := a.now()
	a.mu.Lock()
	extension := a.runner.ListRequest(start, wait)
	incarnation, _ := a.incarnation()
	a.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, wait+listTimeout)
	defer cancel()
	list, err := a.worker.ExtendLease(callCtx, incarnation, extension)
	a.mu.Lock()
	if err != nil {
		if a.isCurrent(incarnation) {
			a.runner.ListFailed(a.now())
		}
		a.mu.Unlock()
		return err
	}
	var actions []runner.Action
	var unexpected []runner.Unexpected
	changed := false
	if a.isCurrent(incarnation) {
		actions, changed = a.runner.Listed(list, start, a.now())
		unexpected = a.runner.Unexpected()
	}
	oddRows := a.oddRows
	a.oddRows = len(list.Unreadable)
	a.mu.Unlock()
	a.logUnexpected(unexpected, incarnation, extension.Fence)
	if len(list.Unreadable) != oddRows {
		a.log.WithFields(logrus.Fields{"rows": len(list.Unreadable), "error": errors.Join(list.Unreadable[:min(1, len(list.Unreadable))]...)}).
			Warn("agent: rows of the worker's list not readable")
	}
	a.perform(ctx, actions)
	if changed {
		notify(a.reportReady)
	}
	if list.Denied != "" {
		return eris.Errorf("the worker refuses to list its runs: %s", list.Denied)
	}
	return nil
}
