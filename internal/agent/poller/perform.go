package poller

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/sirupsen/logrus"
)

// perform executes each action in its own goroutine, so that an order without a response does
// not delay the others.
func (a *Poller) perform(ctx context.Context, actions []runner.Action) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			a.goroutines.Go(func() { a.start(ctx, *action.Start, action.StartBy) })
		case action.Pace != nil:
			a.goroutines.Go(func() { a.pace(ctx, *action.Pace) })
		default:
			a.goroutines.Go(func() { a.stop(ctx, *action.Stop) })
		}
	}
}

func (a *Poller) start(ctx context.Context, order jaygw.StartOrder, startBy time.Time) {
	a.mu.Lock()
	deadline, ok := a.runner.Admit(order.Run, startBy, a.now())
	incarnation, fence := a.incarnation()
	a.mu.Unlock()
	if !ok {
		notify(a.reportReady)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := a.worker.Start(callCtx, incarnation, jaygw.WorkerStart{
		Run: order.Run, Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Deadline: deadline, Fence: fence,
	})
	a.count("starts." + outcome(reply, err))
	if err != nil || reply.Denied != "" {
		a.log.WithFields(logrus.Fields{
			"task": order.Run.Task.String(), "run": order.Run.Number, "denied": string(reply.Denied), "error": errorText(err),
		}).Warn("agent: start not confirmed")
	}
	a.mu.Lock()
	var actions []runner.Action
	if a.isCurrent(incarnation) {
		actions = a.runner.Started(order.Run, reply, err, a.now())
	}
	a.mu.Unlock()
	a.perform(ctx, actions)
	notify(a.listDue)
	if reply.Denied != "" {
		notify(a.reportReady)
	}
}

func (a *Poller) stop(ctx context.Context, run jaygw.Run) {
	a.mu.Lock()
	incarnation, fence := a.incarnation()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := a.worker.Stop(ctx, incarnation, run, fence)
	a.mu.Lock()
	if a.isCurrent(incarnation) {
		a.runner.Stopped(run, reply, err, a.now())
	}
	a.mu.Unlock()
	a.count("stops." + outcome(reply, err))
	a.log.WithFields(logrus.Fields{
		"task": run.Task.String(), "run": run.Number, "denied": string(reply.Denied), "error": errorText(err),
	}).Info("agent: run stopped")
	notify(a.listDue)
}

func (a *Poller) pace(ctx context.Context, pace pacer.Pace) {
	a.mu.Lock()
	incarnation, fence := a.incarnation()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := a.worker.SetPace(ctx, incarnation, pace.Run, pace.Percent, fence)
	a.mu.Lock()
	if a.isCurrent(incarnation) {
		a.runner.Paced(pace, reply, err, a.now())
	}
	a.mu.Unlock()
	a.log.WithFields(logrus.Fields{
		"task": pace.Run.Task.String(), "run": pace.Run.Number, "percent": pace.Percent,
		"denied": string(reply.Denied), "error": errorText(err),
	}).Info("agent: run paced")
}

func (a *Poller) incarnation() (jaygw.WorkerIncarnation, uint64) {
	if w := a.runner.Worker(); w != nil {
		return w.Incarnation, a.runner.Session()
	}
	return jaygw.WorkerIncarnation{}, 0
}

// isCurrent reports whether a reply of an incarnation counts. The clock of a later incarnation
// starts anew, and its runs are others.
func (a *Poller) isCurrent(incarnation jaygw.WorkerIncarnation) bool {
	current, _ := a.incarnation()
	return current == incarnation
}

// outcome returns the part of a counter's name that stands for the result of an order.
func outcome(reply jaygw.WorkerResponse, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case reply.Denied != "":
		return "denied-" + string(reply.Denied)
	}
	return "done"
}
