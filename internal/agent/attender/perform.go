package attender

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/sirupsen/logrus"
)

// perform carries out actions, each on its own: a worker that does not answer one
// order must not delay the others.
func (a *Attender) perform(ctx context.Context, actions []runner.Action) {
	for _, action := range actions {
		switch {
		case action.Start != nil:
			a.work.Go(func() { a.start(ctx, *action.Start, action.By) })
		case action.Pace != nil:
			a.work.Go(func() { a.pace(ctx, *action.Pace) })
		default:
			a.work.Go(func() { a.stop(ctx, *action.Stop) })
		}
	}
}

func (a *Attender) start(ctx context.Context, order jaygw.StartOrder, by time.Time) {
	a.mu.Lock()
	deadline, ok := a.runner.Admit(order.Run, by, a.now())
	life, fence := a.life()
	a.mu.Unlock()
	if !ok {
		signal(a.report)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	reply, err := a.worker.Start(ctx, life, jaygw.WorkerStart{
		Run: order.Run, Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Deadline: deadline, Fence: fence,
	})
	a.count("starts." + outcome(reply, err))
	if err != nil || reply.Denied != "" {
		a.log.WithFields(logrus.Fields{
			"task": order.Run.Task.String(), "run": order.Run.Number, "denied": string(reply.Denied), "error": text(err),
		}).Warn("agent: start not confirmed")
	}
	a.mu.Lock()
	a.runner.Started(order.Run, reply, err, a.now())
	a.mu.Unlock()
	signal(a.listen)
	if reply.Denied != "" {
		signal(a.report)
	}
}

func (a *Attender) stop(ctx context.Context, run jaygw.Run) {
	a.mu.Lock()
	life, fence := a.life()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	reply, err := a.worker.Stop(ctx, life, run, fence)
	a.mu.Lock()
	a.runner.Stopped(run, reply, err, a.now())
	a.mu.Unlock()
	a.count("stops." + outcome(reply, err))
	a.log.WithFields(logrus.Fields{
		"task": run.Task.String(), "run": run.Number, "denied": string(reply.Denied), "error": text(err),
	}).Info("agent: run stopped")
	signal(a.listen)
}

func (a *Attender) pace(ctx context.Context, pace pacer.Pace) {
	a.mu.Lock()
	life, fence := a.life()
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	reply, err := a.worker.Pace(ctx, life, pace.Run, pace.Percent, fence)
	a.mu.Lock()
	a.runner.Paced(pace, reply, err, a.now())
	a.mu.Unlock()
	a.log.WithFields(logrus.Fields{
		"task": pace.Run.Task.String(), "run": pace.Run.Number, "percent": pace.Percent,
		"denied": string(reply.Denied), "error": text(err),
	}).Info("agent: run paced")
}

func (a *Attender) life() (jaygw.WorkerLife, uint64) {
	if w := a.runner.Worker(); w != nil {
		return w.Life, a.runner.Session()
	}
	return jaygw.WorkerLife{}, 0
}

// outcome names the result of an order.
func outcome(reply jaygw.WorkerReply, err error) string {
	switch {
	case err != nil:
		return "unanswered"
	case reply.Denied != "":
		return "denied-" + string(reply.Denied)
	}
	return "done"
}
