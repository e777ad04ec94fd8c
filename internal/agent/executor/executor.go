// Package executor decides what an agent does with the tasks on its VM. It is a
// step function: events come in with the present time, actions go out.
package executor

import (
	"slices"
	"strings"
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
		announced bool
		served    uint64

		attempts map[jaygw.Attempt]*attempt
		fences   map[jaygw.TaskID]fence

		reports    []jaygw.SequencedReport // not yet acknowledged
		lastReport uint64

		batchEnd   time.Time
		serviceEnd time.Time
	}

	// phase is what an attempt on the VM is doing.
	phase int

	attempt struct {
		kind  jaygw.TaskKind
		phase phase
	}

	// fence is the highest epoch of a task that may no longer start here.
	fence struct {
		epoch jaygw.Epoch
		since time.Time
	}

	// Step is one action for the worker.
	Step struct {
		Attempt jaygw.Attempt
		Start   *jaygw.Permit // set to start the attempt
		Action  jaygw.Action  // otherwise what to do with it
		Percent int
		Lease   time.Duration // time left, for a start
	}
)

const (
	starting phase = iota
	running
	stopping
	ended // completed, failed or stopped; the report is not yet acknowledged

	// stopAhead is how long before the end of a lease its attempts are stopped.
	stopAhead = time.Second

	// fenceRetention is how long a fence is kept. It is longer than a permit is
	// valid, so that no permit can pass after its fence is dropped.
	fenceRetention = 10 * jaygw.PermitValidity

	// sentRetention is how long a renewal without a response is remembered.
	sentRetention = 2 * jaygw.ServiceLease
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

// Adopt takes over the attempts that the worker lists when the agent starts.
func (e *Executor) Adopt(tasks []jaygw.WorkerTask) {
	for _, task := range tasks {
		e.attempts[task.Attempt] = &attempt{kind: task.Kind, phase: running}
	}
	e.Listed(tasks)
}

// Leave makes the next renewals announce that the VM is leaving.
func (e *Executor) Leave() {
	e.vm.Leaving = true
	e.announced = false
}

// Renew returns the next renewal, which is sent at now.
func (e *Executor) Renew(now time.Time, usage []jaygw.Usage, hold time.Duration) jaygw.Renewal {
	e.sequence++
	e.sent[e.sequence] = now
	e.forget(now)
	r := jaygw.Renewal{
		Group: e.group, VM: e.vm.Name, Incarnation: e.incarnation, Sequence: e.sequence,
		Reports: slices.Clone(e.reports), Usage: usage, Known: e.known(), Served: e.served, Hold: hold,
	}
	if !e.announced {
		vm := e.vm
		r.Announce = &vm
	}
	return r
}

// Refused notes that the control group did not accept a renewal as that of a
// known VM, so that the next one announces the VM again.
func (e *Executor) Refused() { e.announced = false }

// Renewed takes the response to a renewal and returns what to do. Permits and
// leases count from when the renewal was sent.
func (e *Executor) Renewed(result jaygw.RenewalResult, now time.Time) []Step {
	sent, ok := e.sent[result.Sequence]
	if !ok || result.Incarnation != e.incarnation {
		return nil
	}
	delete(e.sent, result.Sequence)
	e.announced = true
	e.served = max(e.served, result.Revision)
	e.acknowledge(result.Acknowledged)
	e.batchEnd = later(e.batchEnd, sent.Add(result.BatchLease))
	e.serviceEnd = later(e.serviceEnd, sent.Add(result.ServiceLease))

	var steps []Step
	for _, order := range result.Orders {
		steps = append(steps, e.obey(order, now)...)
	}
	for _, permit := range result.Permits {
		steps = append(steps, e.start(permit, sent, now)...)
	}
	return steps
}

// Leases returns the time left of the batch and the service lease.
func (e *Executor) Leases(now time.Time) (batch, service time.Duration) {
	return e.batchEnd.Sub(now), e.serviceEnd.Sub(now)
}

// Tick returns the stops of attempts whose lease is about to end.
func (e *Executor) Tick(now time.Time) []Step {
	var steps []Step
	for _, id := range e.known() {
		a := e.attempts[id]
		if (a.phase == running || a.phase == starting) && now.Add(stopAhead).After(e.leaseEnd(a.kind)) {
			a.phase = stopping
			steps = append(steps, Step{Attempt: id, Action: jaygw.ActionStop})
		}
	}
	return steps
}

func (e *Executor) leaseEnd(kind jaygw.TaskKind) time.Time {
	if kind == jaygw.ServiceTask {
		return e.serviceEnd
	}
	return e.batchEnd
}

func (e *Executor) start(permit jaygw.Permit, sent, now time.Time) []Step {
	id := permit.Attempt
	if f, fenced := e.fences[id.Task]; fenced && id.Epoch <= f.epoch {
		return nil
	}
	if _, known := e.attempts[id]; known {
		return nil
	}
	if !now.Before(sent.Add(permit.Valid)) {
		e.fence(id, now)
		e.report(jaygw.Report{Attempt: id, Kind: jaygw.NotStarted, Reason: "the start permit arrived late"})
		return nil
	}
	lease := e.leaseEnd(permit.Kind).Sub(now)
	if lease <= stopAhead {
		return nil
	}
	e.attempts[id] = &attempt{kind: permit.Kind, phase: starting}
	return []Step{{Attempt: id, Start: &permit, Lease: lease}}
}

func (e *Executor) obey(order jaygw.Order, now time.Time) []Step {
	id := order.Attempt
	a, known := e.attempts[id]
	switch order.Action {
	case jaygw.ActionStop, jaygw.ActionKill:
		e.fence(id, now)
		if known && (a.phase == stopping || a.phase == ended) {
			return nil
		}
		if !known {
			a = &attempt{}
			e.attempts[id] = a
		}
		a.phase = stopping
	default:
		if !known || a.phase != running {
			return nil
		}
	}
	return []Step{{Attempt: id, Action: order.Action, Percent: order.Percent}}
}

// Started takes the result of a start.
func (e *Executor) Started(id jaygw.Attempt, err error, now time.Time) {
	a, ok := e.attempts[id]
	if !ok || a.phase != starting {
		return
	}
	if err != nil {
		a.phase = ended
		e.fence(id, now)
		e.report(jaygw.Report{Attempt: id, Kind: jaygw.AttemptFailed, Reason: err.Error()})
		return
	}
	a.phase = running
	e.report(jaygw.Report{Attempt: id, Kind: jaygw.Started})
}

// Stopped takes the result of a stop. A failed stop is tried again.
func (e *Executor) Stopped(id jaygw.Attempt, checkpoint jaygw.Checkpoint, err error) {
	a, ok := e.attempts[id]
	if !ok || a.phase != stopping {
		return
	}
	if err != nil {
		a.phase = running
		return
	}
	a.phase = ended
	e.report(jaygw.Report{Attempt: id, Kind: jaygw.Stopped, Checkpoint: checkpoint, Reason: "stopped"})
}

// Checkpointed takes a checkpoint that a running attempt has written.
func (e *Executor) Checkpointed(id jaygw.Attempt, checkpoint jaygw.Checkpoint) {
	if a, ok := e.attempts[id]; ok && a.phase == running {
		e.report(jaygw.Report{Attempt: id, Kind: jaygw.Checkpointed, Checkpoint: checkpoint})
	}
}

// Listed takes the worker's list of attempts.
func (e *Executor) Listed(tasks []jaygw.WorkerTask) {
	for _, task := range tasks {
		a, ok := e.attempts[task.Attempt]
		if !ok || a.phase == ended || task.State == jaygw.WorkerRunning {
			continue
		}
		a.phase = ended
		report := jaygw.Report{Attempt: task.Attempt, Checkpoint: task.Checkpoint, Reason: task.Reason}
		switch task.State {
		case jaygw.WorkerCompleted:
			report.Kind = jaygw.Completed
		case jaygw.WorkerFailed:
			report.Kind = jaygw.AttemptFailed
		default:
			report.Kind = jaygw.Stopped
		}
		e.report(report)
	}
}

// Pending reports whether there are reports that were not yet acknowledged.
func (e *Executor) Pending() bool { return len(e.reports) > 0 }

func (e *Executor) report(r jaygw.Report) {
	e.lastReport++
	e.reports = append(e.reports, jaygw.SequencedReport{Sequence: e.lastReport, Report: r})
}

// acknowledge drops committed reports and the attempts that ended with them.
func (e *Executor) acknowledge(sequence uint64) {
	kept := e.reports[:0]
	for _, r := range e.reports {
		if r.Sequence > sequence {
			kept = append(kept, r)
			continue
		}
		if a, ok := e.attempts[r.Report.Attempt]; ok && a.phase == ended {
			delete(e.attempts, r.Report.Attempt)
		}
	}
	e.reports = kept
}

func (e *Executor) fence(id jaygw.Attempt, now time.Time) {
	e.fences[id.Task] = fence{epoch: max(e.fences[id.Task].epoch, id.Epoch), since: now}
}

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
		if c := strings.Compare(string(a.Task), string(b.Task)); c != 0 {
			return c
		}
		return int(a.Epoch) - int(b.Epoch)
	})
	return ids
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
