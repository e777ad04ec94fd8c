// Package announcer is the agent's session with its control group: it sends
// renewals, passes permits and orders on to the worker, and reports what became
// of them.
package announcer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

type (
	// Session sends a renewal to the control group.
	Session interface {
		Renew(ctx context.Context, renewal jaygw.Renewal) (jaygw.RenewalResult, error)
	}

	// Announcer runs an agent's session.
	Announcer struct {
		session  Session
		worker   jaygw.Worker
		instance string
		revision uint64    // of the last list
		read     time.Time // the last full list
		log      logrus.FieldLogger
		drain    func(ctx context.Context, service string) // nil: replicas stop at once
		urgent   chan struct{}                             // a report is waiting

		mu       sync.Mutex
		executor *executor.Executor
		usage    []jaygw.Usage
		heard    time.Time // last response
	}

	// Option changes a new Announcer.
	Option func(*Announcer)
)

const (
	hold         = 800 * time.Millisecond
	renewTimeout = 2 * time.Second
	callTimeout  = 5 * time.Second

	// drainLimit is the longest time that a replica goes on for the requests in
	// flight after it was told to stop. Entries learn of the stop within a second.
	drainLimit = 3 * time.Second

	// tickInterval is how often lease ends are looked at.
	tickInterval = 100 * time.Millisecond

	// The worker is asked for its list when it has changed, and once in listWait.
	// Ten unconditional lists a second with 23 tasks took 42% of the agent's
	// processor time and 33 KB/s.
	listWait  = time.Second
	listPause = 50 * time.Millisecond // between two lists

	// listRefresh is how often the list is read although it has not changed. It
	// bounds the life of a wrong view, such as after a lost call of Forget.
	listRefresh = 10 * time.Second

	usageInterval = time.Second
	usageTimeout  = 500 * time.Millisecond

	// firstSpread spreads the first renewals of agents that start together.
	firstSpread = 500 * time.Millisecond

	// minCycle is the shortest time between two held renewals.
	minCycle = 50 * time.Millisecond

	// Failed renewals are tried again after a random part of a pause that doubles
	// from minRetry to maxRetry.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second

	// leaveSilence is how long a leaving agent waits for a control group that
	// does not answer. Its tasks then end with their leases.
	leaveSilence = 3 * time.Second

	leavePoll = 50 * time.Millisecond
)

// ErrInstance is returned when the worker belongs to another life of the VM
// than the agent: the agent has to start again with a new incarnation.
var ErrInstance = errors.New("the VM's instance has changed")

// WithDrain sets a function that waits until no request of a service is in
// flight at the upstream, or the context ends. It is called before a replica of
// the service stops.
func WithDrain(drain func(ctx context.Context, service string)) Option {
	return func(a *Announcer) { a.drain = drain }
}

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option {
	return func(a *Announcer) { a.log = log }
}

// Instance asks the worker for the life of the VM until it answers or the
// context ends.
func Instance(ctx context.Context, worker jaygw.Worker, log logrus.FieldLogger) (string, error) {
	for failures := 0; ; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		list, err := worker.List(call, 0, 0)
		cancel()
		if err == nil {
			return list.Instance, nil
		}
		log.Warnf("agent: the worker does not answer: %v", err)
		if !backOff(ctx, failures) {
			return "", eris.Wrap(ctx.Err(), "wait for the worker")
		}
	}
}

// New returns an announcer for an executor and the worker on an instance of the
// VM.
func New(session Session, worker jaygw.Worker, instance string, e *executor.Executor, options ...Option) *Announcer {
	a := &Announcer{
		session:  session,
		worker:   worker,
		instance: instance,
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
	// The attempts on the worker are adopted before the first renewal lists what
	// the agent knows.
	for failures := 0; ; failures++ {
		err := a.list(ctx, 0)
		if err == nil {
			break
		}
		if errors.Is(err, ErrInstance) {
			return err
		}
		if !backOff(ctx, failures) {
			return nil
		}
	}
	if !pause(ctx, rand.N(firstSpread)) {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{a.renewals, a.urgentRenewals, a.lists, a.ticks, a.usages} {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}

// Leave announces that the VM is leaving and returns once nothing runs on it and
// every report is acknowledged, the context has ended, or the control group has
// been silent for too long.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	a.executor.Leave()
	a.heard = time.Now()
	a.mu.Unlock()
	a.report()
	for pause(ctx, leavePoll) {
		a.mu.Lock()
		idle := a.executor.Idle()
		silent := time.Since(a.heard) > leaveSilence
		a.mu.Unlock()
		if idle || silent {
			return
		}
	}
}

// DomainOut reports whether the control group has taken the failure domain out.
func (a *Announcer) DomainOut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.executor.DomainOut()
}

// renewals keeps one renewal waiting at the leader.
func (a *Announcer) renewals(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		begun := time.Now()
		if !a.renew(ctx, hold) {
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
		pause(ctx, minCycle-time.Since(begun))
	}
	return nil
}

// urgentRenewals sends reports at once.
func (a *Announcer) urgentRenewals(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.urgent:
		}
		if a.renew(ctx, 0) {
			failures = 0
			continue
		}
		backOff(ctx, failures)
		failures++
		a.report()
	}
}

func (a *Announcer) renew(ctx context.Context, hold time.Duration) bool {
	a.mu.Lock()
	now := time.Now()
	if !a.executor.MayRenew(now) {
		a.mu.Unlock()
		a.log.Warnf("agent: the lease is not renewed, because the worker does not answer")
		return false
	}
	renewal := a.executor.Renew(now, a.usage, hold)
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
	a.mu.Lock()
	a.heard = time.Now()
	steps := a.executor.Renewed(result, a.heard)
	batch, service := a.executor.LeaseEnds()
	a.mu.Unlock()
	a.perform(steps)
	a.extend(ctx, jaygw.BatchTask, batch)
	a.extend(ctx, jaygw.ServiceTask, service)
	return true
}

func (a *Announcer) extend(ctx context.Context, kind jaygw.TaskKind, end time.Time) {
	if err := a.worker.Extend(ctx, kind, end); err != nil {
		a.log.Warnf("agent: the worker did not extend the %s lease: %v", kind, err)
	}
}

// ticks stops attempts whose lease ends.
func (a *Announcer) ticks(ctx context.Context) error {
	for pause(ctx, tickInterval) {
		a.mu.Lock()
		steps := a.executor.Tick(time.Now())
		a.mu.Unlock()
		a.perform(steps)
	}
	return nil
}

// usages reads the usage.
func (a *Announcer) usages(ctx context.Context) error {
	for pause(ctx, usageInterval) {
		call, cancel := context.WithTimeout(ctx, usageTimeout)
		usage, err := a.worker.Usage(call)
		cancel()
		if err != nil {
			a.log.Debugf("agent: the worker did not report its usage: %v", err)
			continue
		}
		a.mu.Lock()
		a.usage = usage
		a.mu.Unlock()
	}
	return nil
}

// lists keeps one request for the worker's next list waiting.
func (a *Announcer) lists(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := a.list(ctx, listWait)
		if errors.Is(err, ErrInstance) {
			return err
		}
		if err != nil {
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
		pause(ctx, listPause)
	}
	return nil
}

// list takes the worker's list. It is called by one goroutine at a time.
func (a *Announcer) list(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	if begun.Sub(a.read) > listRefresh {
		a.revision = 0
	}
	list, err := a.worker.List(ctx, a.revision, wait)
	if err != nil {
		a.log.Debugf("agent: the worker did not list its tasks: %v", err)
		return err
	}
	if list.Instance != a.instance {
		return eris.Wrapf(ErrInstance, "the worker is of instance %s, the agent of %s", list.Instance, a.instance)
	}
	var steps []executor.Step
	a.mu.Lock()
	if list.Revision == a.revision {
		a.executor.Unchanged(time.Now())
	} else {
		a.revision, a.read = list.Revision, begun
		steps = a.executor.Listed(list.Tasks, begun, time.Now())
	}
	pending := a.executor.Pending()
	a.mu.Unlock()
	a.perform(steps)
	if pending {
		a.report()
	}
	return nil
}

// report has the reports sent now.
func (a *Announcer) report() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// backOff pauses after a number of failures in a row.
func backOff(ctx context.Context, failures int) bool {
	longest := min(minRetry<<min(failures, 10), maxRetry)
	return pause(ctx, longest/2+rand.N(longest/2))
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
