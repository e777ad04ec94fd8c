// Package announcer is the agent's session with its control group: it sends
// renewals, passes permits and orders on to the worker, and reports what became
// of them.
package announcer

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/sirupsen/logrus"
)

type (
	// Session sends a renewal to the control group.
	Session interface {
		Renew(ctx context.Context, renewal jaygw.Renewal) (jaygw.RenewalResult, error)
	}

	// Announcer runs an agent's session.
	Announcer struct {
		session Session
		worker  jaygw.Worker
		log     logrus.FieldLogger
		urgent  chan struct{} // a report is waiting

		mu       sync.Mutex
		executor *executor.Executor
		usage    []jaygw.Usage
		heard    time.Time // last response
		out      bool      // the failure domain is out
	}

	// Option changes a new Announcer.
	Option func(*Announcer)
)

const (
	hold         = 800 * time.Millisecond
	renewTimeout = 2 * time.Second
	retryPause   = 200 * time.Millisecond
	pollInterval = 100 * time.Millisecond
	usagePolls   = 10 // polls of the list for each poll of the usage
	callTimeout  = 5 * time.Second
)

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option {
	return func(a *Announcer) { a.log = log }
}

// New returns an announcer for an executor and its worker.
func New(session Session, worker jaygw.Worker, e *executor.Executor, options ...Option) *Announcer {
	a := &Announcer{
		session:  session,
		worker:   worker,
		log:      logrus.StandardLogger(),
		urgent:   make(chan struct{}, 1),
		executor: e,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Run keeps the session until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	if err := a.adopt(ctx); err != nil {
		return err
	}
	var group sync.WaitGroup
	for _, loop := range []func(context.Context){a.renewals, a.urgentRenewals, a.polls} {
		group.Go(func() { loop(ctx) })
	}
	group.Wait()
	return nil
}

// Leave announces that the VM is leaving.
func (a *Announcer) Leave() {
	a.mu.Lock()
	a.executor.Leave()
	a.mu.Unlock()
	a.report()
}

// DomainOut reports whether the control group has taken the failure domain out.
func (a *Announcer) DomainOut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.out
}

func (a *Announcer) adopt(ctx context.Context) error {
	for {
		tasks, err := a.worker.List(ctx)
		if err == nil {
			a.mu.Lock()
			a.executor.Adopt(tasks)
			a.mu.Unlock()
			return nil
		}
		a.log.Warnf("agent: the worker does not answer: %v", err)
		if !pause(ctx, retryPause) {
			return nil
		}
	}
}

// renewals keeps one renewal waiting at the leader.
func (a *Announcer) renewals(ctx context.Context) {
	for ctx.Err() == nil {
		if !a.renew(ctx, hold) {
			pause(ctx, retryPause)
		}
	}
}

// urgentRenewals sends reports at once.
func (a *Announcer) urgentRenewals(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgent:
		}
		if !a.renew(ctx, 0) && pause(ctx, retryPause) {
			a.report()
		}
	}
}

func (a *Announcer) renew(ctx context.Context, hold time.Duration) bool {
	a.mu.Lock()
	renewal := a.executor.Renew(time.Now(), a.usage, hold)
	a.usage = nil
	a.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	result, err := a.session.Renew(ctx, renewal)
	if err != nil {
		a.mu.Lock()
		a.executor.Refused()
		a.mu.Unlock()
		a.log.Debugf("agent: the lease was not renewed: %v", err)
		return false
	}
	now := time.Now()
	a.mu.Lock()
	steps := a.executor.Renewed(result, now)
	batch, service := a.executor.Leases(now)
	a.heard = now
	a.out = result.DomainOut
	a.mu.Unlock()
	a.extend(ctx, batch, service)
	a.perform(steps)
	return true
}

func (a *Announcer) extend(ctx context.Context, batch, service time.Duration) {
	for kind, lease := range map[jaygw.TaskKind]time.Duration{jaygw.BatchTask: batch, jaygw.ServiceTask: service} {
		if err := a.worker.Extend(ctx, kind, lease); err != nil {
			a.log.Warnf("agent: the worker did not extend the %s lease: %v", kind, err)
		}
	}
}

// polls reads the worker's list and usage, and stops attempts whose lease ends.
func (a *Announcer) polls(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		steps := a.executor.Tick(time.Now())
		a.mu.Unlock()
		a.perform(steps)
		a.poll(ctx, n%usagePolls == 0)
	}
}

func (a *Announcer) poll(ctx context.Context, usage bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks, err := a.worker.List(ctx)
	if err != nil {
		a.log.Debugf("agent: the worker did not list its tasks: %v", err)
		return
	}
	a.mu.Lock()
	a.executor.Listed(tasks)
	pending := a.executor.Pending()
	a.mu.Unlock()
	if pending {
		a.report()
	}
	if !usage {
		return
	}
	observed, err := a.worker.Usage(ctx)
	if err != nil {
		return
	}
	a.mu.Lock()
	a.usage = observed
	a.mu.Unlock()
}

// perform calls the worker. Each call runs by itself: a slow one must not delay
// the renewals.
func (a *Announcer) perform(steps []executor.Step) {
	for _, step := range steps {
		go a.performOne(step)
	}
}

func (a *Announcer) performOne(step executor.Step) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch {
	case step.Start != nil:
		err := a.worker.Start(ctx, *step.Start, step.Lease)
		a.mu.Lock()
		a.executor.Started(step.Attempt, err, time.Now())
		a.mu.Unlock()
	case step.Action == jaygw.ActionStop || step.Action == jaygw.ActionKill:
		checkpoint, err := a.worker.Stop(ctx, step.Attempt)
		a.mu.Lock()
		a.executor.Stopped(step.Attempt, checkpoint, err)
		a.mu.Unlock()
	case step.Action == jaygw.ActionCheckpoint:
		if checkpoint, err := a.worker.Checkpoint(ctx, step.Attempt); err == nil {
			a.mu.Lock()
			a.executor.Checkpointed(step.Attempt, checkpoint)
			a.mu.Unlock()
		}
	case step.Action == jaygw.ActionThrottle:
		if err := a.worker.Throttle(ctx, step.Attempt, step.Percent); err != nil {
			a.log.Debugf("agent: task %s was not throttled: %v", step.Attempt.Task, err)
		}
	}
	a.report()
}

// report has the reports sent now.
func (a *Announcer) report() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
