// Package announcer maintains an agent's session with its control group: it sends renewals,
// passes permits and orders on to the worker, and reports their results.
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

	// Announcer maintains an agent's session with its control group.
	Announcer struct {
		session       Session
		worker        jaygw.Worker
		instance      string
		revision      uint64    // revision of the last list
		lastFullList  time.Time // when the last full list was requested
		log           logrus.FieldLogger
		drainRequests func(ctx context.Context, service string) // set by WithDrain; nil: replicas stop immediately
		reportReady   chan struct{}                             // signals that there is a report to send

		mu           sync.Mutex
		executor     *executor.Executor
		usage        []jaygw.Usage
		lastResponse time.Time // time of the control group's last response
	}

	// Option configures a new Announcer.
	Option func(*Announcer)
)

const (
	// renewalWait is how long the leader may delay its response to a renewal.
	renewalWait  = 800 * time.Millisecond
	renewTimeout = 2 * time.Second
	callTimeout  = 5 * time.Second

	// drainTimeout limits how long a replica continues to serve requests in flight after it
	// was ordered to stop. Entries are notified of the stop within a second.
	drainTimeout = 3 * time.Second

	// tickInterval is how often the ends of leases are checked.
	tickInterval = 100 * time.Millisecond

	// listWait is how long the worker may delay its list of tasks until the list changes.
	// Requesting the list ten times per second without such a delay took 42% of the agent's
	// processor time and 33 KB/s with 23 tasks.
	listWait  = time.Second
	listPause = 50 * time.Millisecond // pause between two lists

	// listRefresh is how often the complete list is requested although it has not changed. It
	// limits how long the executor's state can differ from the worker's, for example after a
	// failed call of Forget.
	listRefresh = 10 * time.Second

	usageInterval = time.Second
	usageTimeout  = 500 * time.Millisecond

	// startJitter spreads the first renewals of agents that start at the same time.
	startJitter = 500 * time.Millisecond

	// minRenewalInterval is the shortest time between two long-poll renewals.
	minRenewalInterval = 50 * time.Millisecond

	// Failed renewals are retried after a random part of a pause that doubles from minRetry
	// to maxRetry.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second

	// leaveTimeout is how long a leaving agent waits for a control group that does not
	// respond. Its tasks then end when their leases expire.
	leaveTimeout = 3 * time.Second

	leaveCheckInterval = 50 * time.Millisecond
)

// ErrInstance is returned when the worker belongs to another instance of the VM than the agent.
// The agent must then restart with a new incarnation.
var ErrInstance = errors.New("the VM's instance has changed")

// WithDrain sets a function that waits until no request of a service is in flight at the
// upstream, or the context ends. It is called before a replica of the service stops.
func WithDrain(drainRequests func(ctx context.Context, service string)) Option {
	return func(a *Announcer) { a.drainRequests = drainRequests }
}

// WithLogger sets the logger, which defaults to the standard one.
func WithLogger(log logrus.FieldLogger) Option {
	return func(a *Announcer) { a.log = log }
}

// Instance requests the VM's instance from the worker until the worker responds or the context
// ends.
func Instance(ctx context.Context, worker jaygw.Worker, log logrus.FieldLogger) (string, error) {
	for failures := 0; ; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		list, err := worker.List(call, 0, 0)
		cancel()
		if err == nil {
			return list.Instance, nil
		}
		log.Warnf("agent: the worker does not respond: %v", err)
		if !backOff(ctx, failures) {
			return "", eris.Wrap(ctx.Err(), "wait for the worker")
		}
	}
}

// New returns an announcer for an executor and the worker on an instance of the VM.
func New(session Session, worker jaygw.Worker, instance string, e *executor.Executor, options ...Option) *Announcer {
	a := &Announcer{
		session:     session,
		worker:      worker,
		instance:    instance,
		log:         logrus.StandardLogger(),
		reportReady: make(chan struct{}, 1),
		executor:    e,
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Run maintains the session until the context ends. It returns ErrInstance if the VM's instance has
// changed.
func (a *Announcer) Run(ctx context.Context) error {
	// The executor must know the attempts that already run on the worker before the first
	// renewal, because each renewal lists the VM's attempts.
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
	if !sleep(ctx, rand.N(startJitter)) {
		return nil
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{a.keepRenewing, a.sendReports, a.keepListing, a.checkLeases, a.readUsage} {
		group.Go(func() error { return loop(ctx) })
	}
	return group.Wait()
}

// Leave announces that the VM is leaving. It returns once nothing runs on the VM and every
// report is acknowledged, the context has ended, or the control group has not responded for
// leaveTimeout.
func (a *Announcer) Leave(ctx context.Context) {
	a.mu.Lock()
	a.executor.Leave()
	a.lastResponse = time.Now()
	a.mu.Unlock()
	a.requestReport()
	for sleep(ctx, leaveCheckInterval) {
		a.mu.Lock()
		idle := a.executor.Idle()
		unresponsive := time.Since(a.lastResponse) > leaveTimeout
		a.mu.Unlock()
		if idle || unresponsive {
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

// keepRenewing keeps one long-poll renewal open at the leader.
func (a *Announcer) keepRenewing(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		start := time.Now()
		if !a.renew(ctx, renewalWait) {
			backOff(ctx, failures)
			failures++
			continue
		}
		failures = 0
		sleep(ctx, minRenewalInterval-time.Since(start))
	}
	return nil
}

// sendReports renews immediately when there is a report to send.
func (a *Announcer) sendReports(ctx context.Context) error {
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.reportReady:
		}
		if a.renew(ctx, 0) {
			failures = 0
			continue
		}
		backOff(ctx, failures)
		failures++
		a.requestReport()
	}
}

func (a *Announcer) renew(ctx context.Context, maxWait time.Duration) bool {
	a.mu.Lock()
	now := time.Now()
	if !a.executor.MayRenew(now) {
		a.mu.Unlock()
		a.log.Warnf("agent: the lease is not renewed, because the worker does not respond")
		return false
	}
	renewal := a.executor.Renew(now, a.usage, maxWait)
	a.usage = nil
	a.mu.Unlock()

	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	result, err := a.session.Renew(ctx, renewal)
	if err != nil {
		a.mu.Lock()
		a.executor.RenewalFailed()
		a.mu.Unlock()
		a.log.Debugf("agent: the lease was not renewed: %v", err)
		return false
	}
	a.mu.Lock()
	a.lastResponse = time.Now()
	steps := a.executor.Renewed(result, a.lastResponse)
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

// checkLeases stops attempts whose lease is about to expire.
func (a *Announcer) checkLeases(ctx context.Context) error {
	for sleep(ctx, tickInterval) {
		a.mu.Lock()
		steps := a.executor.Tick(time.Now())
		a.mu.Unlock()
		a.perform(steps)
	}
	return nil
}

// readUsage reads the resource usage of the tasks from the worker.
func (a *Announcer) readUsage(ctx context.Context) error {
	for sleep(ctx, usageInterval) {
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

// keepListing keeps one request for the worker's next list open.
func (a *Announcer) keepListing(ctx context.Context) error {
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
		sleep(ctx, listPause)
	}
	return nil
}

// list requests the worker's list of tasks and passes it to the executor. Only one goroutine may
// call it at a time.
func (a *Announcer) list(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	if start.Sub(a.lastFullList) > listRefresh {
		a.revision = 0
	}
	list, err := a.worker.List(ctx, a.revision, wait)
	if err != nil {
		a.log.Debugf("agent: the worker did not list its tasks: %v", err)
		return err
	}
	if list.Instance != a.instance {
		return eris.Wrapf(ErrInstance, "the worker belongs to instance %s, the agent to %s", list.Instance, a.instance)
	}
	var steps []executor.Step
	a.mu.Lock()
	if list.Revision == a.revision {
		a.executor.Unchanged(time.Now())
	} else {
		a.revision, a.lastFullList = list.Revision, start
		steps = a.executor.Listed(list.Tasks, start, time.Now())
	}
	pending := a.executor.Pending()
	a.mu.Unlock()
	a.perform(steps)
	if pending {
		a.requestReport()
	}
	return nil
}

// requestReport makes sendReports send the reports immediately.
func (a *Announcer) requestReport() {
	select {
	case a.reportReady <- struct{}{}:
	default:
	}
}

// backOff sleeps after a number of consecutive failures. It returns false if the context has
// ended.
func backOff(ctx context.Context, failures int) bool {
	longest := min(minRetry<<min(failures, 10), maxRetry)
	return sleep(ctx, longest/2+rand.N(longest/2))
}

func sleep(ctx context.Context, d time.Duration) bool {
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
