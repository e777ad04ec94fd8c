// Package attender keeps an agent in session with the leader and with its worker: it
// carries out what the runner decides.
package attender

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/jaygw/jaygw/internal/observe/chronometer"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Leader takes attendances.
	Leader interface {
		Attend(ctx context.Context, attendance jaygw.Attendance) (jaygw.AttendanceResult, error)
	}

	// Attender is one agent's session.
	Attender struct {
		leader Leader
		worker jaygw.RunWorker
		log    logrus.FieldLogger
		meters metrics.Registry
		now    func() time.Time

		mu     sync.Mutex // guards runner and beaten
		runner *runner.Runner
		beaten time.Time // last report of the worker

		report chan struct{} // something is to be reported
		listen chan struct{} // the worker is to be asked
		work   sync.WaitGroup

		leaderLost bool // of the attending loop
		workerLost bool // of the holding loop
	}

	// Option changes a new Attender.
	Option func(*Attender)
)

const (
	// attendHold is how long the leader may hold an attendance.
	attendHold = time.Second

	// attendLimit bounds a held attendance; one more second covers a change of the
	// leader that the call waits for.
	attendLimit = attendHold + 900*time.Millisecond

	// reportLimit bounds an attendance that is not held.
	reportLimit = 900 * time.Millisecond

	// retryPause is the mean pause after a failed attendance.
	retryPause = 100 * time.Millisecond

	// orderLimit bounds an order to the worker, which runs on the same VM.
	orderLimit = 500 * time.Millisecond

	// holdWait is how long the worker may hold a list.
	holdWait = 500 * time.Millisecond

	// holdLimit bounds a call for a list beyond its wait.
	holdLimit = 500 * time.Millisecond

	// holdPause is the pause after a failed call for a list, and between two that do
	// not wait.
	holdPause = 50 * time.Millisecond

	// recordWait is how long a call for a list waits for listed ends to be recorded. The
	// worker answers at once until then, with what is known already.
	recordWait = 100 * time.Millisecond

	tickInterval = 100 * time.Millisecond
)

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option { return func(a *Attender) { a.log = log } }

// WithRegistry sets where the counters are kept.
func WithRegistry(registry metrics.Registry) Option { return func(a *Attender) { a.meters = registry } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(a *Attender) { a.now = now } }

// New returns an agent's session.
func New(leader Leader, worker jaygw.RunWorker, r *runner.Runner, options ...Option) *Attender {
	a := &Attender{
		leader: leader, worker: worker, runner: r, log: logrus.StandardLogger(), meters: metrics.NewRegistry(), now: chronometer.Now,
		report: make(chan struct{}, 1), listen: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Beat takes a worker's report of itself. A report of another life than the present
// one is taken only if the worker confirms that life: it may be late.
func (a *Attender) Beat(ctx context.Context, w jaygw.PoolWorker, clock time.Duration) error {
	a.mu.Lock()
	present := a.runner.Worker()
	known := present != nil && present.Life == w.Life
	a.mu.Unlock()
	if !known {
		ctx, cancel := context.WithTimeout(ctx, orderLimit)
		defer cancel()
		list, err := a.worker.Hold(ctx, w.Life, jaygw.WorkerHold{})
		if err != nil {
			return eris.Wrap(err, "confirm the life of the worker")
		}
		if list.Denied == jaygw.DeniedLife || list.Life != (jaygw.WorkerLife{}) && list.Life != w.Life {
			return eris.Errorf("the worker has another life than %s", w.Life.Name)
		}
	}
	a.mu.Lock()
	changed := a.runner.Report(w, clock, a.now())
	a.beaten = a.now()
	a.mu.Unlock()
	if changed {
		a.log.WithFields(logrus.Fields{
			"worker": w.Life.Name, "born": int64(w.Life.Born), "draining": w.Draining, "service": w.Service,
		}).Info("agent: worker reported")
		signal(a.report)
		signal(a.listen)
	}
	return nil
}

// Run keeps the session until the context ends.
func (a *Attender) Run(ctx context.Context) error {
	a.work.Go(func() { a.attend(ctx) })
	a.work.Go(func() { a.deliver(ctx) })
	a.work.Go(func() { a.hold(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.work.Wait()
			return nil
		case <-ticker.C:
		}
		a.mu.Lock()
		actions := a.runner.Due(a.now())
		unreported := a.runner.Unreported()
		a.mu.Unlock()
		a.perform(ctx, actions)
		if unreported {
			signal(a.report)
		}
	}
}

// attend keeps one attendance waiting at the leader.
func (a *Attender) attend(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.attendOnce(ctx, attendHold, attendLimit)
		if lost := err != nil; lost != a.leaderLost {
			a.leaderLost = lost
			if lost {
				a.log.WithError(err).Warn("agent: leader lost")
			} else {
				a.log.Info("agent: leader reached")
			}
		}
		if err != nil {
			wait(ctx, retryPause/2+rand.N(retryPause))
		}
	}
}

// deliver sends reports as soon as there are any.
func (a *Attender) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.report:
		}
		if err := a.attendOnce(ctx, 0, reportLimit); err != nil && ctx.Err() == nil {
			wait(ctx, retryPause/2+rand.N(retryPause))
			signal(a.report)
		}
	}
}

var errNoWorker = errors.New("the worker has not reported yet")

func (a *Attender) attendOnce(ctx context.Context, hold, limit time.Duration) error {
	a.mu.Lock()
	attendance, ok := a.runner.Attendance(a.now(), hold)
	a.mu.Unlock()
	if !ok {
		wait(ctx, retryPause)
		return errNoWorker
	}
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	begun := time.Now()
	result, err := a.leader.Attend(bounded, attendance)
	if err != nil {
		a.count("attendances.failed")
		return err
	}
	a.count("attendances.answered")
	if hold == 0 {
		metrics.GetOrRegisterTimer("agent.report.time", a.meters).UpdateSince(begun)
	}
	a.mu.Lock()
	actions := a.runner.Attended(result, a.now())
	a.mu.Unlock()
	a.perform(ctx, actions)
	signal(a.listen)
	return nil
}

// hold keeps a call for a list waiting at the worker while it has runs.
func (a *Attender) hold(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		idle, urgent := a.runner.Idle(), a.runner.Urgent()
		a.mu.Unlock()
		if idle {
			select {
			case <-ctx.Done():
			case <-a.listen:
			}
			continue
		}
		wanted := holdWait
		if urgent {
			wanted = 0
		}
		err := a.holdOnce(ctx, wanted)
		if lost := err != nil; lost != a.workerLost {
			a.workerLost = lost
			if lost {
				a.log.WithError(err).Warn("agent: worker lost")
			} else {
				a.log.Info("agent: worker reached")
			}
		}
		a.mu.Lock()
		unrecorded := a.runner.Unrecorded()
		a.mu.Unlock()
		switch {
		case err != nil || urgent:
			wait(ctx, holdPause)
		case unrecorded:
			a.await(ctx, recordWait)
		}
	}
}

// await waits for a response of the leader or the result of an order, for a limited time.
func (a *Attender) await(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-a.listen:
	case <-timer.C:
	}
}

func (a *Attender) holdOnce(ctx context.Context, wanted time.Duration) error {
	begun := a.now()
	a.mu.Lock()
	hold := a.runner.Hold(begun, wanted)
	life, _ := a.life()
	a.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, wanted+holdLimit)
	defer cancel()
	list, err := a.worker.Hold(bounded, life, hold)
	a.mu.Lock()
	if err != nil {
		a.runner.Unlisted(a.now())
		a.mu.Unlock()
		return err
	}
	actions, report := a.runner.Listed(list, begun, a.now())
	a.mu.Unlock()
	a.perform(ctx, actions)
	if report {
		signal(a.report)
	}
	if list.Denied != "" {
		return eris.Errorf("the worker refuses to list its runs: %s", list.Denied)
	}
	return nil
}

func (a *Attender) count(name string) {
	metrics.GetOrRegisterCounter("agent."+name, a.meters).Inc(1)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
