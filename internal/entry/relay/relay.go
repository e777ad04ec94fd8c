// Package relay passes callers' and operators' requests about workflows to the control group.
package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/watchdog"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Group is the interface of a control group that an entry uses for workflow requests.
	Group interface {
		// ProposeIdempotent proposes a command and returns its result. waitLimit bounds how long it waits
		// for a leader.
		ProposeIdempotent(ctx context.Context, command jaygw.Command, waitLimit time.Duration) (jaygw.Result, error)

		// Query reads from a state that a quorum has confirmed after the call began.
		Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error)
	}

	// Relay is a workflow service that relays each request to a control group.
	Relay struct {
		group        Group
		log          logrus.FieldLogger
		registry     metrics.Registry
		watchdog     *watchdog.Watchdog
		lastResponse atomic.Int64 // Unix time of the group's last response, in nanoseconds
		reached      atomic.Bool  // the last request got a response from the group
		order        *answerOrder
		inFlight     *inFlight
	}

	// Option configures a Relay that New creates.
	Option func(*Relay)

	// arrivalKey is the key of a call's orderedCall in its context.
	arrivalKey struct{}
)

const (
	// pingInterval is the time without a response of the control group after which Watch
	// sends a ping.
	pingInterval = time.Second
	pingTimeout  = 900 * time.Millisecond

	// slowQuery is the time from which on an answered query is logged.
	slowQuery = 250 * time.Millisecond

	// repeatDelay is the delay before a query is repeated that was answered from an older catalog than the
	// process knows.
	repeatDelay = 20 * time.Millisecond

	// waitLimit is how long a request waits for a leader: an election takes 0.5 to 1.4 s.
	// shortWaitLimit applies if the last request did not reach the group: another entry may
	// reach it, so the caller should get an error soon and retry there.
	waitLimit      = 1200 * time.Millisecond
	shortWaitLimit = 200 * time.Millisecond
)

var _ jaygw.WorkflowService = (*Relay)(nil)

// WithWatchdog sets the watchdog that tells which orders are current; it must be observed regularly. The
// default is a new one, which only knows the pauses between orders.
func WithWatchdog(w *watchdog.Watchdog) Option { return func(r *Relay) { r.watchdog = w } }

// New returns a relay to a control group. Its metrics are held in a registry.
func New(group Group, log logrus.FieldLogger, registry metrics.Registry, options ...Option) *Relay {
	r := &Relay{group: group, log: log, registry: registry, watchdog: watchdog.New(watchdog.WithLogger(log)), order: newAnswerOrder(), inFlight: newInFlight()}
	for _, option := range options {
		option(r)
	}
	return r
}

// count counts a request by kind and outcome, and records its time in the timer of the kind.
func (r *Relay) count(request, outcome string, startTime time.Time) {
	metrics.GetOrRegisterCounter("clerk."+request+"."+outcome, r.registry).Inc(1)
	metrics.GetOrRegisterTimer("clerk."+request+".time", r.registry).UpdateSince(startTime)
}

// Arrive registers a call that has not been read completely, so that it keeps its place. A call that has arrived
// already, at this relay, keeps its place as well.
func (r *Relay) Arrive(ctx context.Context) (context.Context, func()) {
	if _, ok := ctx.Value(arrivalKey{}).(*orderedCall); ok {
		return ctx, func() {}
	}
	call := r.order.arrive()
	return context.WithValue(ctx, arrivalKey{}, call), func() { r.order.leave(call) }
}

// Submit submits a workflow. A workflow that can never be accepted, or that would wait too long behind others, is refused
// without a call to the control group. It returns ErrOvertaken, and the workflow is not accepted, if a catalog has changed the
// queue at its path and a call that arrived later was answered from an older catalog.
func (r *Relay) Submit(ctx context.Context, submit jaygw.SubmitWorkflow) (jaygw.Result, error) {
	ctx, leave := r.Arrive(ctx)
	defer leave()
	if refusal := checkSubmission(submit); refusal != nil {
		r.count("submit", "refused", time.Now())
		return jaygw.Result{Refusal: refusal}, nil
	}
	end, ok := r.inFlight.submit(ctx, submit.Spec.SpecBytes())
	if !ok {
		return r.refuseBusy("submit"), nil
	}
	defer end()
	call, _ := ctx.Value(arrivalKey{}).(*orderedCall)
	if !r.order.knowsCatalog() {
		if result, err := r.learnCatalog(ctx); err != nil || result.NoCatalog {
			return jaygw.Refuse(jaygw.RefusedState, "no catalog is in force yet"), err
		}
	}
	if limit := r.order.propose(call); limit != 0 { // replicas of an earlier build name no catalog
		submit.CatalogLimit = &limit
	}
	for {
		result, err := r.decide(ctx, "submit", submit.Spec.ID, jaygw.Command{SubmitWorkflow: &submit})
		if err != nil || result.Catalog == 0 {
			return result, err
		}
		if result.Refusal != nil && result.Refusal.Code == jaygw.RefusedStale {
			if !r.order.proposeAgain(call, result.Catalog, result.ChangedAt) {
				return jaygw.Result{}, r.refuseOvertaken("submit", submit.Path, result.Catalog, result.ChangedAt, call)
			}
			submit.CatalogLimit = &result.Catalog
			continue
		}
		if !r.order.settle(call, result.Catalog, result.ChangedAt) {
			// A resend of an accepted workflow, which must not be answered as if it were not accepted.
			err := r.refuseOvertaken("submit", submit.Path, result.Catalog, result.ChangedAt, call)
			return jaygw.Result{}, eris.Wrap(jaygw.ErrOutcomeUnknown, err.Error())
		}
		return result, nil
	}
}

// learnCatalog queries the number of the catalog in force. It waits for a leader like a command.
func (r *Relay) learnCatalog(ctx context.Context) (jaygw.WorkflowQueryResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.leaderWait())
	defer cancel()
	result, err := r.queryOnce(ctx, jaygw.WorkflowQuery{})
	if err != nil {
		return result, errors.Join(jaygw.ErrNotLeader, err)
	}
	return result, nil
}

// refuseOvertaken counts and logs a call that was overtaken, and returns its error.
func (r *Relay) refuseOvertaken(request, path string, number, changedAt uint64, call *orderedCall) error {
	metrics.GetOrRegisterCounter("clerk."+request+".overtaken", r.registry).Inc(1)
	limit := r.order.limitOf(call)
	r.log.WithFields(logrus.Fields{
		"request": request, "path": path, "number": number, "changed-at": changedAt, "limit": limit, "age": time.Since(call.arrived).String(),
	}).Warn("clerk: call overtaken by a later one")
	return eris.Wrapf(jaygw.ErrOvertaken, "catalog %d has changed the queue, the later call was answered from catalog %d", changedAt, limit)
}

// Cancel cancels a workflow. Its result does not depend on the catalog.
func (r *Relay) Cancel(ctx context.Context, cancel jaygw.CancelWorkflow) (jaygw.Result, error) {
	end, ok := r.inFlight.call(ctx)
	if !ok {
		return r.refuseBusy("cancel"), nil
	}
	defer end()
	return r.decide(ctx, "cancel", cancel.Path, jaygw.Command{CancelWorkflow: &cancel})
}

// PutCatalog puts a catalog in force. A catalog with findings is refused without a call to the
// control group.
func (r *Relay) PutCatalog(ctx context.Context, catalog jaygw.Catalog) (jaygw.Result, error) {
	if findings := catalog.Check(); len(findings) > 0 {
		r.log.WithFields(logrus.Fields{"number": catalog.Number, "findings": len(findings)}).Info("clerk: catalog refused")
		return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings.Error()), nil
	}
	result, err := r.decide(ctx, "catalog", catalog.Number, jaygw.Command{Catalog: &jaygw.PutCatalog{Catalog: catalog}})
	r.order.learn(result.Catalog)
	return result, err
}

// SetDomain takes a failure domain out or returns it. The order takes effect only if its sender still waited
// for it when the latest order on the domain was read, and no other one has been accepted since: a process
// or a replica that stood still must not carry out what has been superseded meanwhile.
func (r *Relay) SetDomain(ctx context.Context, set jaygw.SetDomain) (jaygw.Result, error) {
	read := r.watchdog.Now()
	set.Order = max(rand.Uint64(), 1)
	for {
		var err error
		if set.Previous, err = r.latestOrder(ctx, set.Name, read); err != nil {
			r.count("domain", "outdated", time.Now())
			r.log.WithFields(logrus.Fields{
				"request": "domain", "id": set.Name, "out": set.Out, "age": r.watchdog.Now().Sub(read).String(),
			}).WithError(err).Warn("clerk: order not carried out")
			return jaygw.Result{}, err
		}
		result, err := r.decide(ctx, "domain", set.Name, jaygw.Command{SetDomain: &set})
		if err != nil || result.Refusal == nil || result.Refusal.Code != jaygw.RefusedState {
			return result, err
		}
	}
}

// latestOrder returns the latest order on a failure domain. It returns ErrOutdated if the sender of the
// order that was read at a time may not have waited for it any more.
func (r *Relay) latestOrder(ctx context.Context, domain string, read time.Time) (uint64, error) {
	if !r.watchdog.IsCurrent(read, r.watchdog.Now()) {
		return 0, jaygw.ErrOutdated
	}
	ctx, cancel := context.WithTimeout(ctx, watchdog.MaxAge)
	defer cancel()
	result, err := r.Query(ctx, jaygw.WorkflowQuery{Domain: domain})
	if err != nil || !r.watchdog.IsCurrent(read, r.watchdog.Now()) {
		return 0, errors.Join(jaygw.ErrOutdated, err)
	}
	return result.Order, nil
}

// leaderWait returns how long a request waits for a leader.
func (r *Relay) leaderWait() time.Duration {
	if r.reached.Load() {
		return waitLimit
	}
	return shortWaitLimit
}

// decide relays a command and counts and logs its outcome. id identifies the command's object in
// the log.
func (r *Relay) decide(ctx context.Context, request string, id any, command jaygw.Command) (jaygw.Result, error) {
	startTime := time.Now()
	result, err := r.group.ProposeIdempotent(ctx, command, r.leaderWait())
	fields := logrus.Fields{"request": request, "id": id, "took": time.Since(startTime).String(), "index": result.Index}
	switch {
	case err != nil:
		r.count(request, "undecided", startTime)
		r.log.WithFields(fields).WithField("known", errors.Is(err, jaygw.ErrNotLeader)).WithError(err).Warn("clerk: no decision")
	case result.Refusal != nil:
		r.count(request, "refused", startTime)
		r.log.WithFields(fields).WithField("code", result.Refusal.Code).Info("clerk: refused")
	default:
		r.count(request, "accepted", startTime)
		r.log.WithFields(fields).WithField("already", result.AlreadyApplied).Info("clerk: accepted")
	}
	r.recordContact(ctx, err, startTime)
	return result, err
}

// Query reads from a confirmed state. It returns ErrOvertaken if a catalog has changed what it asks for and a call that
// arrived later was answered from an older catalog.
func (r *Relay) Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	ctx, leave := r.Arrive(ctx)
	defer leave()
	end, ok := r.inFlight.call(ctx)
	if !ok {
		return jaygw.WorkflowQueryResult{}, eris.Wrap(jaygw.ErrNotConfirmed, r.refuseBusy("query").Refusal.Detail)
	}
	defer end()
	call, _ := ctx.Value(arrivalKey{}).(*orderedCall)
	for {
		result, err := r.queryOnce(ctx, query)
		if err != nil || result.Number == 0 { // no catalog, a failure domain, or a replica of an earlier build
			return result, err
		}
		switch r.order.admit(call, result.Number, result.ChangedAt) {
		case admitted:
			return result, nil
		case overtaken:
			return jaygw.WorkflowQueryResult{}, r.refuseOvertaken("query", query.Path, result.Number, result.ChangedAt, call)
		}
		r.log.WithFields(logrus.Fields{
			"request": "query", "path": query.Path, "number": result.Number, "index": result.Index, "replica": result.Replica,
			"age": time.Since(call.arrived).String(),
		}).Info("clerk: query repeated, a newer catalog is known")
		select {
		case <-ctx.Done():
			return jaygw.WorkflowQueryResult{}, eris.Wrap(ctx.Err(), "wait for a current catalog")
		case <-time.After(repeatDelay):
		}
	}
}

func (r *Relay) queryOnce(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	startTime := time.Now()
	response, err := r.group.Query(ctx, query)
	took := time.Since(startTime)
	fields := logrus.Fields{
		"request": "query", "path": query.Path, "took": took.String(), "number": response.Number, "index": response.Index,
		"replica": response.Replica, "attempts": response.Attempts,
	}
	if err != nil {
		r.count("query", "undecided", startTime)
		r.log.WithFields(fields).WithError(err).Warn("clerk: no confirmed response to a query")
	} else {
		r.count("query", "answered", startTime)
		if r.order.learn(response.Number) || took >= slowQuery || response.Attempts > 1 {
			r.log.WithFields(fields).WithField("status", queryStatus(response)).Info("clerk: query answered")
		}
	}
	r.recordContact(ctx, err, startTime)
	return response, err
}

// queryStatus describes the response to a query in the log.
func queryStatus(response jaygw.WorkflowQueryResult) string {
	switch {
	case response.NoCatalog:
		return "no catalog"
	case response.NoQueue:
		return "no queue"
	case response.Queue:
		return "queue"
	case response.Source != nil:
		return "catalog"
	case response.Order != 0:
		return "domain"
	default:
		return string(response.State)
	}
}

// recordContact records whether the control group has responded, and logs when it is lost or
// reached again. It ignores the outcome of a request that the caller has canceled, because
// that does not depend on the group, and a failure of one that began before the last response.
func (r *Relay) recordContact(ctx context.Context, err error, startTime time.Time) {
	reached := err == nil
	if errors.Is(ctx.Err(), context.Canceled) || !reached && startTime.UnixNano() <= r.lastResponse.Load() {
		return
	}
	if reached {
		r.lastResponse.Store(time.Now().UnixNano())
	}
	if r.reached.Swap(reached) != reached {
		entry := r.log.WithField("took", time.Since(startTime).String())
		if reached {
			entry.Info("clerk: control group reached")
		} else {
			entry.WithError(err).Warn("clerk: control group lost")
		}
	}
}

// ControlReached reports whether the last request got a response from the control group.
func (r *Relay) ControlReached() bool { return r.reached.Load() }

// PingControl pings the group, until the context ends, when it has not responded for pingInterval.
// This keeps ControlReached up to date when there are no requests.
func (r *Relay) PingControl(ctx context.Context) error {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		if time.Since(time.Unix(0, r.lastResponse.Load())) >= pingInterval {
			bounded, cancel := context.WithTimeout(ctx, pingTimeout)
			// The response may be that there is no such queue; any response suffices.
			if _, err := r.queryOnce(bounded, jaygw.WorkflowQuery{}); err != nil {
				r.log.WithError(err).Debug("clerk: no response to a ping")
			}
			cancel()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
