// Package executor decides what an agent does with the tasks on its VM. It is a
// step function: events come in with the present time, actions go out.
package executor

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Executor keeps the attempts on one VM and the leases that they run under.
	// It is not safe for concurrent use. All times come from one monotonic clock.
	Executor struct {
		vm          jaygw.VM
		group       string
		incarnation jaygw.Incarnation

		sequence  uint64
		sent      map[uint64]time.Time // renewals without a response, by sequence
		latest    uint64               // highest renewal that was answered
		announced bool
		served    uint64
		domainOut bool

		attempts map[jaygw.Attempt]*attempt
		fences   map[jaygw.TaskID]fence

		reports    []jaygw.SequencedReport // not yet acknowledged
		lastReport uint64

		batchEnd   time.Time
		serviceEnd time.Time
		listed     time.Time // last list of the worker
	}

	// phase is what an attempt on the VM is doing.
	phase int

	attempt struct {
		kind     jaygw.TaskKind
		phase    phase
		since    time.Time // start of the phase
		listedIn uint64    // first renewal that has the attempt in its list
		by       time.Time // end of the permit
		progress jaygw.Duration
		failure  string    // reported once the attempt is known to be over
		stopAt   time.Time // next try of a failed stop; zero while one is under way
	}

	// fence is the highest epoch of a task that may no longer start here.
	fence struct {
		epoch jaygw.Epoch
		since time.Time
	}

	// Step is one action for the worker.
	Step struct {
		Attempt jaygw.Attempt
		Start   *jaygw.Permit // set to start the attempt, after Admit
		Forget  bool          // drop the worker's record
		Action  jaygw.Action  // otherwise what to do with it
		Percent int
	}
)

const (
	starting phase = iota
	running
	stopping
	ended // completed, failed or stopped; the report is not yet acknowledged

	// StopAhead is how long before the end of a lease its attempts are stopped.
	StopAhead = time.Second

	// stopRetry is the pause before a failed stop is tried again.
	stopRetry = 500 * time.Millisecond

	// fenceRetention is how long a fence is kept. It is longer than a permit is
	// valid, so that no permit can pass after its fence is dropped.
	fenceRetention = 10 * jaygw.PermitValidity

	// sentRetention is how long a renewal without a response is remembered.
	sentRetention = 2 * jaygw.ServiceLease

	// workerSilence is the time without a list after which the lease is no longer
	// renewed. The worker ends its attempts with their leases; if the agent went
	// on renewing, the control state would count them as running for good.
	workerSilence = 5 * time.Second
)

// New returns the executor of a new incarnation of an agent.
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

// Kind returns the kind of an attempt on the VM.
func (e *Executor) Kind(id jaygw.Attempt) (jaygw.TaskKind, bool) {
	a, ok := e.attempts[id]
	if !ok {
		return "", false
	}
	return a.kind, true
}

// Leave makes the next renewals announce that the VM is leaving.
func (e *Executor) Leave() { e.vm.Leaving = true }

// Idle reports whether nothing is left on the VM and every report is
// acknowledged.
func (e *Executor) Idle() bool { return len(e.attempts) == 0 && len(e.reports) == 0 }

// MayRenew reports whether the worker has answered lately.
func (e *Executor) MayRenew(now time.Time) bool { return now.Sub(e.listed) <= workerSilence }

// Renew returns the next renewal, which is sent at now.
func (e *Executor) Renew(now time.Time, usage []jaygw.Usage, hold time.Duration) jaygw.Renewal {
	e.sequence++
	e.sent[e.sequence] = now
	e.forget(now)
	r := jaygw.Renewal{
		Group: e.group, VM: e.vm.Name, Incarnation: e.incarnation, Sequence: e.sequence,
		Reports: slices.Clone(e.reports), Usage: usage, Known: e.known(), Served: e.served, Hold: hold,
	}
	// While the VM leaves, every renewal says so: an older announcement that
	// arrives late must not undo it.
	if !e.announced || e.vm.Leaving {
		vm := e.vm
		r.Announce = &vm
	}
	return r
}

// Refused notes that the control group did not accept a renewal as that of a
// known VM, so that the next one announces the VM again.
func (e *Executor) Refused() { e.announced = false }

// Renewed takes the response to a renewal and returns what to do. Permits and
// leases count from when the renewal was sent. A response that was handled
// before, or is for another incarnation, is dropped.
func (e *Executor) Renewed(result jaygw.RenewalResult, now time.Time) []Step {
	sent, ok := e.sent[result.Sequence]
	if !ok || result.Incarnation != e.incarnation {
		return nil
	}
	delete(e.sent, result.Sequence)
	e.announced = true
	if result.Sequence > e.latest {
		e.latest = result.Sequence
		e.served = result.Revision
		e.domainOut = result.DomainOut
	}
	e.batchEnd = later(e.batchEnd, sent.Add(result.BatchLease))
	e.serviceEnd = later(e.serviceEnd, sent.Add(result.ServiceLease))

	steps := e.acknowledge(result.Acknowledged, now)
	for _, order := range result.Orders {
		steps = append(steps, e.obey(order, result.Sequence, now)...)
	}
	for _, permit := range result.Permits {
		steps = append(steps, e.start(permit, sent, now)...)
	}
	return steps
}

// LeaseEnds returns the ends of the batch and the service lease.
func (e *Executor) LeaseEnds() (batch, service time.Time) { return e.batchEnd, e.serviceEnd }

// DomainOut reports whether the last response said that the failure domain is
// out.
func (e *Executor) DomainOut() bool { return e.domainOut }

// Tick returns the stops of attempts whose lease is about to end, and the stops
// that have failed before.
func (e *Executor) Tick(now time.Time) []Step {
	var steps []Step
	for _, id := range e.known() {
		a := e.attempts[id]
		switch {
		case (a.phase == running || a.phase == starting) && now.Add(StopAhead).After(e.leaseEnd(a.kind)):
			steps = append(steps, e.stop(id, a, now))
		case a.phase == stopping && !a.stopAt.IsZero() && !now.Before(a.stopAt):
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
	a.stopAt = time.Time{}
	return Step{Attempt: id, Action: jaygw.ActionStop}
}

func (e *Executor) leaseEnd(kind jaygw.TaskKind) time.Time {
	if kind == jaygw.ServiceTask {
		return e.serviceEnd
	}
	return e.batchEnd
}

// start prepares a start. A permit that is late, or not covered by the lease, is
// dropped: the attempt stays unknown, and the next response has a new permit for
// it or an order to kill it.
func (e *Executor) start(permit jaygw.Permit, sent, now time.Time) []Step {
	id := permit.Attempt
	if _, known := e.attempts[id]; known || e.fenced(id) {
		return nil
	}
	a := &attempt{
		kind: permit.Kind, phase: starting, since: now, by: sent.Add(permit.Valid),
		listedIn: e.sequence + 1, progress: permit.Checkpoint.Progress,
	}
	if _, ok := e.window(a, now); !ok {
		return nil
	}
	e.attempts[id] = a
	return []Step{{Attempt: id, Start: &permit}}
}

// Admit checks a start again, right before the worker is called: the agent may
// have been paused since the permit arrived. The worker checks the window once
// more.
func (e *Executor) Admit(id jaygw.Attempt, now time.Time) (jaygw.StartWindow, bool) {
	a, ok := e.attempts[id]
	if !ok || a.phase != starting {
		return jaygw.StartWindow{}, false
	}
	window, ok := e.window(a, now)
	if !ok {
		delete(e.attempts, id) // the worker was not called
	}
	return window, ok
}

func (e *Executor) window(a *attempt, now time.Time) (jaygw.StartWindow, bool) {
	end := e.leaseEnd(a.kind)
	by := a.by
	if last := end.Add(-StopAhead); last.Before(by) {
		by = last
	}
	return jaygw.StartWindow{By: by, LeaseEnd: end}, now.Before(by) && !e.domainOut
}

func (e *Executor) obey(order jaygw.Order, sequence uint64, now time.Time) []Step {
	id := order.Attempt
	a, known := e.attempts[id]
	if order.Action != jaygw.ActionStop && order.Action != jaygw.ActionKill {
		if !known || a.phase != running {
			return nil
		}
		return []Step{{Attempt: id, Action: order.Action, Percent: order.Percent}}
	}
	if order.Action == jaygw.ActionKill && known && sequence < a.listedIn {
		// The leader misses the attempt because the renewal was sent before it
		// was started.
		return nil
	}
	if known && (a.phase == stopping || a.phase == ended) {
		return nil
	}
	if !known && e.fenced(id) {
		// It has ended, and its report is committed: the order crossed the report.
		return nil
	}
	if !known {
		a = &attempt{listedIn: e.sequence + 1}
		e.attempts[id] = a
	}
	return []Step{e.stop(id, a, now)}
}

// Pending reports whether there are reports that were not yet acknowledged.
func (e *Executor) Pending() bool { return len(e.reports) > 0 }

func (e *Executor) report(r jaygw.Report) {
	e.lastReport++
	e.reports = append(e.reports, jaygw.SequencedReport{Sequence: e.lastReport, Report: r})
}

// acknowledge drops committed reports and the attempts that ended with them. The
// worker may drop its record only now: until then a new agent process needs it.
func (e *Executor) acknowledge(sequence uint64, now time.Time) []Step {
	var steps []Step
	var kept []jaygw.SequencedReport
	for _, r := range e.reports {
		if r.Sequence > sequence {
			kept = append(kept, r)
		}
	}
	acknowledged := e.reports[:len(e.reports)-len(kept)]
	e.reports = kept
	for _, r := range acknowledged {
		id := r.Report.Attempt
		if a, ok := e.attempts[id]; ok && a.phase == ended && !e.reported(id) {
			e.fence(id, now) // a permit in a response that was overtaken must not start it again
			delete(e.attempts, id)
			steps = append(steps, Step{Attempt: id, Forget: true})
		}
	}
	return steps
}

// reported tells whether a report of the attempt waits for its acknowledgment.
func (e *Executor) reported(id jaygw.Attempt) bool {
	return slices.ContainsFunc(e.reports, func(r jaygw.SequencedReport) bool { return r.Report.Attempt == id })
}

func (e *Executor) fence(id jaygw.Attempt, now time.Time) {
	e.fences[id.Task] = fence{epoch: max(e.fences[id.Task].epoch, id.Epoch), since: now}
}

func (e *Executor) fenced(id jaygw.Attempt) bool { return id.Epoch <= e.fences[id.Task].epoch }

func (e *Executor) forget(now time.Time) {
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

// known returns the attempts on the VM in the order of their tasks. Attempts
// that have ended are among them until their report is acknowledged.
func (e *Executor) known() []jaygw.Attempt {
	ids := make([]jaygw.Attempt, 0, len(e.attempts))
	for id := range e.attempts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b jaygw.Attempt) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Epoch, b.Epoch))
	})
	return ids
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
