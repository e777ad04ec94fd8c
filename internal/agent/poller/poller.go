// Package poller polls the leader and the worker on behalf of an agent, and executes what
// the runner decides.
package poller

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/jaygw/jaygw/internal/observe/timekeeper"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Leader responds to the polls of agents.
	Leader interface {
		Poll(ctx context.Context, request jaygw.PollRequest) (jaygw.PollResponse, error)
	}

	// Poller maintains one agent's sessions with the leader and with the worker.
	Poller struct {
		leader   Leader
		worker   jaygw.RunWorker
		log      logrus.FieldLogger
		registry metrics.Registry
		now      func() time.Time

		mu         sync.Mutex // guards runner and lastReport
		runner     *runner.Runner
		lastReport time.Time // time of the worker's last report

		reportReady chan struct{} // signals that there is something to report to the leader
		listDue     chan struct{} // signals that a new list of the worker's runs may be needed
		goroutines  sync.WaitGroup

		leaderLost bool // whether the last long poll failed; accessed only by poll
		oddRows    int  // rows of the worker's last list that could not be read
		workerLost bool // whether the last request for a list failed; accessed only by watchRuns
	}

	// Option configures a new Poller.
	Option func(*Poller)
)

const (
	// pollWait is how long the leader may delay its response to a long poll.
	pollWait = time.Second

	// pollTimeout limits a long poll. The time beyond pollWait covers a change of leader
	// during the call.
	pollTimeout = pollWait + 900*time.Millisecond

	// reportTimeout limits a poll to which the leader responds immediately.
	reportTimeout = 900 * time.Millisecond

	// retryPause is the mean pause after a failed poll.
	retryPause = 100 * time.Millisecond

	// orderTimeout limits an order to the worker, which runs on the same VM.
	orderTimeout = 500 * time.Millisecond

	// listWait is how long the worker may delay a list until its runs change.
	listWait = 500 * time.Millisecond

	// listTimeout is how much longer than its wait a request for a list may take.
	listTimeout = 500 * time.Millisecond

	// listPause is the pause after a failed request for a list, and between requests that
	// do not wait.
	listPause = 50 * time.Millisecond

	// recordWait is the longest delay of the next request for a list while the leader has not
	// recorded all ends of runs in the last list. During that time the worker would respond
	// immediately and only repeat these ends.
	recordWait = 100 * time.Millisecond

	// maxUnexpectedLines limits the log lines about unexpected runs in one list.
	maxUnexpectedLines = 10

	tickInterval = 100 * time.Millisecond
)

// WithLogger sets the logger, which defaults to the standard one.
func WithLogger(log logrus.FieldLogger) Option { return func(a *Poller) { a.log = log } }

// WithRegistry sets the registry of the metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(a *Poller) { a.registry = registry }
}

// WithClock sets the clock, which must be monotonic.
func WithClock(now func() time.Time) Option { return func(a *Poller) { a.now = now } }

// New returns a Poller for a leader, a worker and the runner that decides.
func New(leader Leader, worker jaygw.RunWorker, r *runner.Runner, options ...Option) *Poller {
	a := &Poller{
		leader: leader, worker: worker, runner: r, log: logrus.StandardLogger(), registry: metrics.NewRegistry(), now: timekeeper.Now,
		reportReady: make(chan struct{}, 1), listDue: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Heartbeat handles a worker's report of its state; clock is the reading of the worker's clock in the
// report. A report of an incarnation other than the current one may be an old one that arrives
// late, so it is accepted only if the worker confirms that incarnation. One of the current incarnation that was
// sent before the accepted one returns jaygw.ErrLateReport.
func (a *Poller) Heartbeat(ctx context.Context, w jaygw.PoolWorker, clock time.Duration) error {
	a.mu.Lock()
	current, fence := a.incarnation()
	confirmed := current == w.Incarnation
	requestedAt := a.now()
	a.mu.Unlock()
	var list jaygw.RunList
	if !confirmed {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		var err error
		list, err = a.worker.ExtendLease(ctx, w.Incarnation, jaygw.LeaseExtension{Fence: fence})
		if err != nil {
			return eris.Wrap(err, "confirm the life of the worker")
		}
		if current != (jaygw.WorkerIncarnation{}) && list.Denied != "" {
			// A denial need not name the incarnation that denies.
			return eris.Errorf("the worker does not confirm the life of %s: %s", w.Incarnation.Name, list.Denied)
		}
		if list.Denied == jaygw.DeniedIncarnation || list.Incarnation != (jaygw.WorkerIncarnation{}) && list.Incarnation != w.Incarnation {
			return eris.Errorf("the worker has another life than %s", w.Incarnation.Name)
		}
		if list, err = a.stopRunsOfEarlier(ctx, current, w.Incarnation, list); err != nil {
			return err
		}
	}
	a.mu.Lock()
	confirmed = a.isCurrent(w.Incarnation)
	if !confirmed && !a.isCurrent(current) {
		a.mu.Unlock()
		return errOtherReport
	}
	if a.runner.IsLate(w) {
		changed := a.runner.ReportLate(w, clock, a.now())
		latest := a.runner.ReportSequence()
		a.mu.Unlock()
		a.count("heartbeats-late")
		a.log.WithFields(logrus.Fields{
			"worker": w.Incarnation.Name, "born": int64(w.Incarnation.StartTime), "sequence": w.Sequence, "latest": latest, "draining": w.Draining,
		}).Info("agent: late heartbeat")
		if changed {
			notify(a.reportReady)
		}
		return jaygw.ErrLateReport
	}
	if a.runner.Contradicts(w) {
		a.mu.Unlock()
		a.count("heartbeats-refused")
		a.log.WithFields(logrus.Fields{
			"worker": w.Incarnation.Name, "service": w.Service, "domain": w.Domain, "address": w.Address, "size": w.Size,
		}).Warn("agent: heartbeat contradicts the earlier ones of its worker")
		return errContradiction
	}
	changed := a.runner.Report(w, clock, a.now())
	var unexpected []runner.Unexpected
	if !confirmed {
		a.runner.Confirmed(list, requestedAt, a.now())
		unexpected = a.runner.Unexpected()
	}
	a.lastReport = a.now()
	a.mu.Unlock()
	a.logUnexpected(unexpected, w.Incarnation, 0)
	if changed {
		a.log.WithFields(logrus.Fields{
			"worker": w.Incarnation.Name, "born": int64(w.Incarnation.StartTime), "draining": w.Draining, "service": w.Service,
		}).Info("agent: worker reported")
		notify(a.reportReady)
		notify(a.listDue)
	}
	return nil
}

// Unreadable counts and logs a heartbeat that describes no worker.
func (a *Poller) Unreadable(err error) {
	a.count("heartbeats-unreadable")
	a.log.WithError(err).Warn("agent: heartbeat not readable")
}

// Run maintains the sessions until the context ends.
func (a *Poller) Run(ctx context.Context) error {
	a.goroutines.Go(func() { a.poll(ctx) })
	a.goroutines.Go(func() { a.sendReports(ctx) })
	a.goroutines.Go(func() { a.watchRuns(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.goroutines.Wait()
			return nil
		case <-ticker.C:
		}
		a.mu.Lock()
		actions := a.runner.DueStops(a.now())
		unreported := a.runner.HasUnrecordedEnds()
		a.mu.Unlock()
		a.perform(ctx, actions)
		if unreported {
			notify(a.reportReady)
		}
	}
}

// poll keeps one long poll open at the leader.
func (a *Poller) poll(ctx context.Context) {
	for ctx.Err() == nil {
		err := a.pollOnce(ctx, pollWait, pollTimeout)
		if lost := err != nil; lost != a.leaderLost {
			a.leaderLost = lost
			if lost {
				a.log.WithError(err).Warn("agent: leader lost")
			} else {
				a.log.Info("agent: leader reached")
			}
		}
		if err != nil {
			sleep(ctx, retryPause/2+rand.N(retryPause))
		}
	}
}

// sendReports polls the leader immediately when there is something to report.
func (a *Poller) sendReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reportReady:
		}
		if err := a.pollOnce(ctx, 0, reportTimeout); err != nil && ctx.Err() == nil {
			sleep(ctx, retryPause/2+rand.N(retryPause))
			notify(a.reportReady)
		}
	}
}

var (
	errNoWorker = errors.New("the worker has not reported yet")

	// errContradiction refuses a report that differs from the earlier ones of the same incarnation.
	errContradiction = eris.New("the report contradicts the earlier ones of the worker")
	// errOtherReport refuses a report that may be older than one accepted since; a worker reports again.
	errOtherReport = errors.New("the report of another life was accepted meanwhile")
)

func (a *Poller) pollOnce(ctx context.Context, wait, timeout time.Duration) error {
	a.mu.Lock()
	request, ok := a.runner.PollRequest(a.now(), wait)
	a.mu.Unlock()
	if !ok {
		sleep(ctx, retryPause)
		return errNoWorker
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	result, err := a.leader.Poll(callCtx, request)
	if err != nil {
		a.count("attendances.failed")
		return err
	}
	a.count("attendances.answered")
	if wait == 0 {
		metrics.GetOrRegisterTimer("agent.report.time", a.registry).UpdateSince(start)
	}
	a.mu.Lock()
	now := a.now()
	actions := a.runner.HandleResponse(result, now)
	drops := a.runner.Drops()
	fields := make([]logrus.Fields, len(drops))
	for i, drop := range drops {
		fields[i] = a.startFields(drop.Order, drop.StartBy, now)
	}
	a.mu.Unlock()
	a.logDrops(drops, fields)
	a.perform(ctx, actions)
	notify(a.listDue)
	return nil
}

func (a *Poller) count(name string) {
	metrics.GetOrRegisterCounter("agent."+name, a.registry).Inc(1)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
