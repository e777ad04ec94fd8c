// Package executor decides what an agent does with the tasks on its VM. It is a pure state
// machine: each method takes an event and the current time and returns the actions to perform.
package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Executor tracks the attempts on one VM and the leases that they run under. It is not
	// safe for concurrent use. All times come from one monotonic clock.
	Executor struct {
		vm          jaygw.VM
		group       string
		incarnation jaygw.Incarnation

		sequence       uint64
		sent           map[uint64]time.Time // send times of renewals without a response, by sequence
		latestResponse uint64               // highest sequence number of a renewal that got a response
		announced      bool                 // whether the control group has accepted an announcement of the VM
		lastRevision   uint64               // revision in the latest response
		domainOut      bool                 // whether the failure domain is out, as of the latest response

		attempts map[jaygw.Attempt]*attempt
		fences   map[jaygw.TaskID]fence

		reports    []jaygw.SequencedReport // reports that are not yet acknowledged
		lastReport uint64                  // sequence number of the last report

		batchEnd   time.Time // when the batch lease expires
		serviceEnd time.Time // when the service lease expires
		lastList   time.Time // time of the worker's last list
	}

	// phase is the state of an attempt on the VM.
	phase int

	attempt struct {
		kind         jaygw.TaskKind
		phase        phase
		since        time.Time      // when the phase began
		reportedFrom uint64         // sequence number of the first renewal that lists the attempt
		startBy      time.Time      // when the permit expires
		progress     jaygw.Duration // progress at the last checkpoint
		failure      string         // reported once the attempt is known to have ended
		retryStopAt  time.Time      // when to retry a failed stop; zero while a stop is in flight
	}

	// fence is the highest epoch of a task that may no longer start here.
	fence struct {
		epoch jaygw.Epoch
		since time.Time
	}

	// Step is one order to the worker.
	Step struct {
		Attempt jaygw.Attempt
		Start   *jaygw.Permit // permit of a start, which must pass Admit first; nil for other orders
		Forget  bool          // whether the worker is to discard its record of the attempt
		Action  jaygw.Action  // order if the step is neither a start nor a Forget
		Percent int           // limit set by ActionThrottle, in percent of the attempt's size
	}
)

const (
	starting phase = iota
	running
	stopping
	ended // completed, failed or stopped; the report is not yet acknowledged

	// StopAhead is how long before the end of a lease its attempts are stopped.
	StopAhead = time.Second

	// stopRetry is the pause before a failed stop is retried.
	stopRetry = 500 * time.Millisecond

	// fenceRetention is how long a fence is retained. It exceeds the validity of a permit, so
	// that no permit is valid after its fence is removed.
	fenceRetention = 10 * jaygw.PermitValidity

	// sentRetention is how long a renewal without a response is remembered.
	sentRetention = 2 * jaygw.ServiceLease

	// workerTimeout is the time without a list after which the lease is no longer renewed. The
	// worker ends its attempts when their leases expire; if the agent still renewed, the
	// control state would count them as running forever.
	workerTimeout = 5 * time.Second
)

// New returns the executor of a new incarnation of an agent, for a VM of a control group.
func New(group string, vm jaygw.VM, incarnation jaygw.Incarnation) *Executor {
	vm.Incarnation = incarnation
	return &Executor{
		vm:          vm,
		group:       group,
		incarnation: incarnation,
		sent:        map[uint64]time.Time{},
		attempts:    map[jaygw.Attempt]*attempt{},
		fences:      map[jaygw.TaskID]fence{},
	}
}

// Kind returns the kind of an attempt, or false if the attempt is not on the VM.
func (e *Executor) Kind(id jaygw.Attempt) (jaygw.TaskKind, bool) {
	a, ok := e.attempts[id]
	if !ok {
		return "", false
	}
	return a.kind, true
}

// Leave makes all later renewals announce that the VM is leaving.
func (e *Executor) Leave() { e.vm.Leaving = true }

// Idle reports whether no attempt is on the VM and every report is acknowledged.
func (e *Executor) Idle() bool { return len(e.attempts) == 0 && len(e.reports) == 0 }

// MayRenew reports whether the worker has listed its attempts within workerTimeout.
func (e *Executor) MayRenew(now time.Time) bool { return now.Sub(e.lastList) <= workerTimeout }

// Renew returns the next renewal, which is sent at now. hold is how long the leader may delay
// its response.
func (e *Executor) Renew(now time.Time, usage []jaygw.Usage, hold time.Duration) jaygw.Renewal {
	e.sequence++
	e.sent[e.sequence] = now
	e.removeExpired(now)
	r := jaygw.Renewal{
		Group: e.group, VM: e.vm.Name, Incarnation: e.incarnation, Sequence: e.sequence,
		Reports: e.nextReports(), Usage: usage, Attempts: e.sortedAttempts(), LastRevision: e.lastRevision, Hold: hold,
	}
	// Every renewal of a leaving VM announces it, so that an older announcement that arrives
	// late does not cancel the leaving.
	if !e.announced || e.vm.Leaving {
		vm := e.vm
		r.Announce = &vm
	}
	return r
}

// RenewalFailed handles a renewal that failed. The control group may not know the VM, so the next
// renewal announces it again.
func (e *Executor) RenewalFailed() { e.announced = false }

// Renewed handles the response to a renewal and returns the steps to perform. Permits and
// leases are valid from the time at which the renewal was sent. A duplicate response, or one
// to another incarnation, is ignored.
func (e *Executor) Renewed(result jaygw.RenewalResult, now time.Time) []Step {
	sent, ok := e.sent[result.Sequence]
	if !ok || result.Incarnation != e.incarnation {
		return nil
	}
	delete(e.sent, result.Sequence)
	e.announced = true
	if result.Sequence > e.latestResponse {
		e.latestResponse = result.Sequence
		e.lastRevision = result.Revision
		e.domainOut = result.DomainOut
	}
	e.batchEnd = latest(e.batchEnd, sent.Add(result.BatchLease))
	e.serviceEnd = latest(e.serviceEnd, sent.Add(result.ServiceLease))

	steps := e.acknowledge(result.Acknowledged, now)
	for _, order := range result.Orders {
		steps = append(steps, e.execute(order, result.Sequence, now)...)
	}
	for _, permit := range result.Permits {
		steps = append(steps, e.start(permit, sent, now)...)
	}
	return steps
}

// LeaseEnds returns when the batch lease and the service lease expire.
func (e *Executor) LeaseEnds() (batch, service time.Time) { return e.batchEnd, e.serviceEnd }

// DomainOut reports whether the failure domain was out as of the latest response.
func (e *Executor) DomainOut() bool { return e.domainOut }

// Tick returns the stops of attempts whose lease is about to expire, and retries of failed
// stops.
func (e *Executor) Tick(now time.Time) []Step {
	var steps []Step
	for _, id := range e.sortedAttempts() {
		a := e.attempts[id]
		switch {
		case (a.phase == running || a.phase == starting) && now.Add(StopAhead).After(e.leaseEnd(a.kind)):
			steps = append(steps, e.stop(id, a, now))
		case a.phase == stopping && !a.retryStopAt.IsZero() && !now.Before(a.retryStopAt):
			steps = append(steps, e.stop(id, a, now))
		}
	}
	return steps
}

func (e *Executor) stop(id jaygw.Attempt, a *attempt, now time.Time) Step {
	e.fence(id, now)
	if a.phase != stopping {
		a.phase = stopping
		a.since = now
	}
	a.retryStopAt = time.Time{}
	return Step{Attempt: id, Action: jaygw.ActionStop}
}

func (e *Executor) leaseEnd(kind jaygw.TaskKind) time.Time {
	if kind == jaygw.ServiceTask {
		return e.serviceEnd
	}
	return e.batchEnd
}

// start adds an attempt and returns the step that starts it. A permit that has expired, or is not
// covered by the lease, is ignored: the next renewal then does not list the attempt, and the
// response carries a new permit for it or an order to kill it.
func (e *Executor) start(permit jaygw.Permit, sent, now time.Time) []Step {
	id := permit.Attempt
	if _, known := e.attempts[id]; known || e.fenced(id) {
		return nil
	}
	a := &attempt{
		kind: permit.Kind, phase: starting, since: now, startBy: sent.Add(permit.ValidFor),
		reportedFrom: e.sequence + 1, progress: permit.Checkpoint.Progress,
	}
	if _, ok := e.startWindow(a, now); !ok {
		return nil
	}
	e.attempts[id] = a
	return []Step{{Attempt: id, Start: &permit}}
}

// Admit checks a start again immediately before the worker is called, because the agent may
// have been paused since the permit arrived. The worker also checks the returned window.
func (e *Executor) Admit(id jaygw.Attempt, now time.Time) (jaygw.StartWindow, bool) {
	a, ok := e.attempts[id]
	if !ok || a.phase != starting {
		return jaygw.StartWindow{}, false
	}
	window, ok := e.startWindow(a, now)
	if !ok {
		delete(e.attempts, id) // no stop is needed, because the worker was not called
	}
	return window, ok
}

func (e *Executor) startWindow(a *attempt, now time.Time) (jaygw.StartWindow, bool) {
	end := e.leaseEnd(a.kind)
	startBy := a.startBy
	if last := end.Add(-StopAhead); last.Before(startBy) {
		startBy = last
	}
	return jaygw.StartWindow{StartBy: startBy, LeaseEnd: end}, now.Before(startBy) && !e.domainOut
}

func (e *Executor) execute(order jaygw.Order, sequence uint64, now time.Time) []Step {
	id := order.Attempt
	a, known := e.attempts[id]
	if order.Action != jaygw.ActionStop && order.Action != jaygw.ActionKill {
		if !known || a.phase != running {
			return nil
		}
		return []Step{{Attempt: id, Action: order.Action, Percent: order.Percent}}
	}
	if order.Action == jaygw.ActionKill && known && sequence < a.reportedFrom {
		// The leader does not know the attempt, because the renewal was sent before the
		// attempt was started.
		return nil
	}
	if known && (a.phase == stopping || a.phase == ended) {
		return nil
	}
	if !known && e.fenced(id) {
		// The attempt has ended and its report is committed; the order was sent before that.
		return nil
	}
	if !known {
		a = &attempt{reportedFrom: e.sequence + 1}
		e.attempts[id] = a
	}
	return []Step{e.stop(id, a, now)}
}

// Pending reports whether there are reports that are not yet acknowledged.
func (e *Executor) Pending() bool { return len(e.reports) > 0 }

func (e *Executor) addReport(r jaygw.Report) {
	e.lastReport++
	e.reports = append(e.reports, jaygw.SequencedReport{Sequence: e.lastReport, Report: r})
}

// acknowledge removes committed reports and the attempts that ended with them. The worker
// may discard its records only now: until then a new agent process would need them.
func (e *Executor) acknowledge(sequence uint64, now time.Time) []Step {
	var steps []Step
	var remaining []jaygw.SequencedReport
	for _, r := range e.reports {
		if r.Sequence > sequence {
			remaining = append(remaining, r)
		}
	}
	acknowledged := e.reports[:len(e.reports)-len(remaining)]
	e.reports = remaining
	for _, r := range acknowledged {
		id := r.Report.Attempt
		if a, ok := e.attempts[id]; ok && a.phase == ended && !e.hasReport(id) {
			e.fence(id, now) // a permit in a response that arrives out of order must not start it again
			delete(e.attempts, id)
			steps = append(steps, Step{Attempt: id, Forget: true})
		}
	}
	return steps
}

// hasReport reports whether a report of the attempt is not yet acknowledged.
func (e *Executor) hasReport(id jaygw.Attempt) bool {
	return slices.ContainsFunc(e.reports, func(r jaygw.SequencedReport) bool { return r.Report.Attempt == id })
}

func (e *Executor) fence(id jaygw.Attempt, now time.Time) {
	e.fences[id.Task] = fence{epoch: max(e.fences[id.Task].epoch, id.Epoch), since: now}
}

func (e *Executor) fenced(id jaygw.Attempt) bool { return id.Epoch <= e.fences[id.Task].epoch }

func (e *Executor) removeExpired(now time.Time) {
	for sequence, sent := range e.sent {
		if now.Sub(sent) > sentRetention {
			delete(e.sent, sequence)
		}
	}
	for task, f := range e.fences {
		if now.Sub(f.since) > fenceRetention {
			delete(e.fences, task)
		}
	}
}

// sortedAttempts returns the attempts on the VM, ordered by task and epoch. Ended attempts are
// included until their report is acknowledged.
func (e *Executor) sortedAttempts() []jaygw.Attempt {
	ids := make([]jaygw.Attempt, 0, len(e.attempts))
	for id := range e.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b jaygw.Attempt) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Epoch, b.Epoch))
	})
	return ids
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
