package poller

import (
	"context"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/rotisserie/eris"
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
			a.goroutines.Go(func() { a.stop(ctx, *action.Stop, action.Cause) })
		}
	}
}

func (a *Poller) start(ctx context.Context, order jaygw.StartOrder, startBy time.Time) {
	a.mu.Lock()
	now := a.now()
	decision, ok := a.runner.Admit(order.Run, startBy, now)
	incarnation, fence := a.incarnation()
	fields := a.startFields(order, startBy, now)
	a.mu.Unlock()
	a.log.WithFields(fields).WithFields(logrus.Fields{
		"admitted": ok, "reason": decision.Refusal, "held": decision.Held, "inherited": decision.Inherited, "deadline": decision.Deadline.String(),
	}).Info("agent: start decided")
	if !ok {
		notify(a.reportReady)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := a.worker.Start(callCtx, incarnation, jaygw.WorkerStart{
		Run: order.Run, Payload: order.Payload, Checkpoint: order.Checkpoint, Ticket: order.Ticket, Deadline: decision.Deadline, Fence: fence,
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

// startFields returns the fields of a log line about a start: what is known, and how old it is.
func (a *Poller) startFields(order jaygw.StartOrder, startBy, now time.Time) logrus.Fields {
	incarnation, session := a.incarnation()
	return logrus.Fields{
		"task": order.Run.Task.String(), "run": order.Run.Number, "session": session,
		"worker": incarnation.Name, "born": int64(incarnation.StartTime), "permit-left": startBy.Sub(now).String(),
		"lease-left": a.runner.LeaseLeft(now).String(), "clock-age": a.runner.ClockAge(now).String(), "checkpoint": order.Checkpoint,
	}
}

// logDrops logs the starts that a response has ordered and that lead to no action.
func (a *Poller) logDrops(drops []runner.Drop, fields []logrus.Fields) {
	for i, drop := range drops {
		a.log.WithFields(fields[i]).WithFields(logrus.Fields{"admitted": false, "reason": drop.Reason}).Info("agent: start decided")
	}
}

// logUnexpected logs the runs that a worker lists unexpectedly; the last line has the number of those left out.
func (a *Poller) logUnexpected(runs []runner.Unexpected, incarnation jaygw.WorkerIncarnation, session uint64) {
	logged := runs[:min(len(runs), maxUnexpectedLines)]
	for i, u := range logged {
		log := a.log.WithFields(logrus.Fields{
			"task": u.Run.Task.String(), "run": u.Run.Number, "worker": incarnation.Name, "born": int64(incarnation.StartTime),
			"session": session, "reason": u.Reason, "outcome": string(u.Outcome), "end-age": u.Age.String(),
		})
		if i == len(logged)-1 {
			log = log.WithField("omitted", len(runs)-len(logged))
		}
		log.Warn("agent: run unexpected on worker")
	}
}

func (a *Poller) stop(ctx context.Context, run jaygw.Run, cause string) {
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
	a.logStop(run, incarnation, fence, cause, reply, err)
	notify(a.listDue)
}

// logStop counts and logs the result of a stop.
func (a *Poller) logStop(run jaygw.Run, incarnation jaygw.WorkerIncarnation, fence uint64, cause string, reply jaygw.WorkerResponse, err error) {
	a.count("stops." + outcome(reply, err))
	log := a.log.WithFields(logrus.Fields{
		"task": run.Task.String(), "run": run.Number, "session": fence, "worker": incarnation.Name, "born": int64(incarnation.StartTime),
		"cause": cause, "denied": string(reply.Denied), "error": errorText(err),
	})
	if isStopped(reply, err) {
		log.Info("agent: run stopped")
	} else {
		log.Warn("agent: stop not confirmed")
	}
}

// isStopped reports whether the worker does not start the run any more. It denies the stop of a run that
// it has stopped or ended before.
func isStopped(reply jaygw.WorkerResponse, err error) bool {
	return err == nil && (reply.Denied == "" || reply.Denied == jaygw.DeniedStale)
}

// stopRunsOfEarlier stops the runs whose orders were for the earlier incarnation and may have reached
// the later one, of which list is the first list. The leader frees them once the later incarnation is
// reported, so they must not run then. It returns the last list.
func (a *Poller) stopRunsOfEarlier(ctx context.Context, earlier, later jaygw.WorkerIncarnation, list jaygw.RunList) (jaygw.RunList, error) {
	a.mu.Lock()
	if !a.isCurrent(earlier) {
		a.mu.Unlock()
		return list, errOtherReport
	}
	runs := a.runner.Restarted(later)
	runs = append(runs, a.runner.Unordered(later, list.Running, runs)...)
	fence := a.runner.Session()
	a.mu.Unlock()
	if len(runs) == 0 {
		return list, nil
	}
	a.log.WithFields(logrus.Fields{
		"worker": later.Name, "born": int64(later.StartTime), "session": fence, "runs": len(runs),
	}).Info("agent: worker restarted with starts unlisted")
	for _, run := range runs {
		reply, err := a.worker.Stop(ctx, later, run, fence)
		a.logStop(run, later, fence, "the worker has started again", reply, err)
		if err != nil {
			return list, eris.Wrap(err, "stop a run of the earlier incarnation")
		}
		if !isStopped(reply, err) {
			return list, eris.Errorf("the worker refuses to stop a run of its earlier incarnation: %s", reply.Denied)
		}
	}
	for {
		list, err := a.worker.ExtendLease(ctx, later, jaygw.LeaseExtension{Fence: fence})
		if err != nil {
			return list, eris.Wrap(err, "list the runs of the earlier incarnation")
		}
		if list.Denied != "" {
			return list, eris.Errorf("the worker refuses to list its runs: %s", list.Denied)
		}
		a.mu.Lock()
		a.runner.EndUnlisted(list.Ended, a.now())
		a.mu.Unlock()
		if !slices.ContainsFunc(list.Running, func(r jaygw.RunningRun) bool { return slices.Contains(runs, r.Run) }) {
			return list, nil
		}
		sleep(ctx, listPause)
		if ctx.Err() != nil {
			return list, eris.Errorf("the worker still runs what its earlier incarnation was ordered to start")
		}
	}
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
