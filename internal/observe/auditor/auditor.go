// Package auditor checks invariants on each applied change of the control state, and counts how
// often each one was checked and violated. The metrics and the log call such an invariant a
// promise.
package auditor

import (
	"fmt"

	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// Auditor observes one replica's state machine. It computes the reservations on each VM and
	// the document numbers from the observed changes alone, so that it also finds faults in the
	// state machine's own accounting.
	Auditor struct {
		log      logrus.FieldLogger
		promises map[string]*promise
		registry metrics.Registry

		domainsOut     map[string]bool     // by name; true if the failure domain is out
		vms            map[string]*vmUsage // by name of the VM
		numbersInForce map[string]uint64   // number of the document in force, by environment
	}

	// vmUsage is what the auditor has observed of one VM. held is the sum of the reservations of
	// the tasks that hold resources there.
	vmUsage struct {
		domain string
		size   jaygw.Resources
		held   jaygw.Resources
	}

	// promise holds the counters of one invariant.
	promise struct {
		checked metrics.Counter
		broken  metrics.Counter
	}
)

const (
	withinSize     = "vm-within-size"
	onePlace       = "task-in-one-place"
	completedOnce  = "task-completed-once"
	noStartOut     = "no-start-in-domain-out"
	neverReverts   = "document-never-reverts"
	metricsPrefix  = "promise."
	checkedMetrics = ".checked"
	brokenMetrics  = ".broken"
)

var _ jaygw.Observer = (*Auditor)(nil)

// New returns an auditor that registers its counters in registry and logs each broken promise.
func New(registry metrics.Registry, log logrus.FieldLogger) *Auditor {
	a := &Auditor{log: log, registry: registry, promises: map[string]*promise{}}
	for _, name := range []string{withinSize, onePlace, completedOnce, noStartOut, neverReverts} {
		a.promises[name] = &promise{
			checked: metrics.GetOrRegisterCounter(metricsPrefix+name+checkedMetrics, registry),
			broken:  metrics.GetOrRegisterCounter(metricsPrefix+name+brokenMetrics, registry),
		}
	}
	a.Reset()
	return a
}

// Broken returns how many checks have failed, over all promises.
func (a *Auditor) Broken() int64 {
	var broken int64
	for _, p := range a.promises {
		broken += p.broken.Count()
	}
	return broken
}

// Reset discards everything observed so far. It is called when a snapshot replaces the state.
func (a *Auditor) Reset() {
	a.domainsOut = map[string]bool{}
	a.vms = map[string]*vmUsage{}
	a.numbersInForce = map[string]uint64{}
}

// TaskChanged checks that an attempt begins only after the previous one has ended, that a task
// completes once, and that the reservations on its VM stay within the size of the VM.
func (a *Auditor) TaskChanged(before, after *jaygw.Task) {
	if before != nil && before.State.Holds() {
		a.addHeld(before.VM, jaygw.Resources{}.Sub(before.Reserved))
	}
	if after == nil || !after.State.Holds() {
		a.checkEnd(before, after)
		return
	}
	a.addHeld(after.VM, after.Reserved)
	if before == nil {
		return
	}
	if newAttempt := after.Epoch != before.Epoch; newAttempt {
		a.checkBegin(before, after)
	} else if before.State.Holds() {
		a.check(onePlace, before.VM == after.VM, "task %s moved from %s to %s within epoch %d",
			after.ID, before.VM, after.VM, after.Epoch)
	}
}

// checkBegin checks a new attempt: the previous one has ended, the epoch is higher by one, and the
// VM is not in a failure domain that is out.
func (a *Auditor) checkBegin(before, after *jaygw.Task) {
	a.check(onePlace, !before.State.Holds() && after.Epoch == before.Epoch+1,
		"task %s has epoch %d while epoch %d is %s", after.ID, after.Epoch, before.Epoch, before.State)
	if vm, ok := a.vms[after.VM]; ok {
		a.check(noStartOut, !a.domainsOut[vm.domain], "task %s was granted in failure domain %s, which is out", after.ID, vm.domain)
	}
}

// checkEnd checks a task that holds no resources after the change: it completes at most once, and
// only a service task may leave the state done.
func (a *Auditor) checkEnd(before, after *jaygw.Task) {
	if before == nil || after == nil {
		return
	}
	if after.State == jaygw.Done {
		a.check(completedOnce, !before.State.Ended(), "task %s completed while it was %s", after.ID, before.State)
	} else if before.State == jaygw.Done {
		a.check(completedOnce, after.Kind == jaygw.ServiceTask, "task %s is %s after it was done", after.ID, after.State)
	}
}

// addHeld adds delta, which may be negative, to the resources that tasks hold on a VM.
func (a *Auditor) addHeld(name string, delta jaygw.Resources) {
	vm, ok := a.vms[name]
	if !ok {
		return // announced before the last snapshot, so its size is unknown
	}
	vm.held = vm.held.Add(delta)
	a.check(withinSize, vm.held.Fits(vm.size), "VM %s of size %v holds %v", name, vm.size, vm.held)
}

// VMChanged checks that the resources committed on a VM stay within its size.
func (a *Auditor) VMChanged(before, after *jaygw.VM) {
	if after == nil {
		delete(a.vms, before.Name)
		return
	}
	a.check(withinSize, after.Committed.Fits(after.Size), "VM %s of size %v has %v committed", after.Name, after.Size, after.Committed)
	vm, ok := a.vms[after.Name]
	if !ok {
		vm = &vmUsage{}
		if before != nil {
			vm.held = before.Committed
		}
		a.vms[after.Name] = vm
	}
	vm.domain = after.Domain
	vm.size = after.Size
}

// DomainChanged records whether a failure domain is out.
func (a *Auditor) DomainChanged(after *jaygw.FailureDomain) { a.domainsOut[after.Name] = after.Out }

// DocumentChanged checks that each document put in force has a higher number than the previous one
// of its environment.
func (a *Auditor) DocumentChanged(after *jaygw.Submitted) {
	if after.State != jaygw.Production {
		return
	}
	name, number := after.Document.Environment, after.Document.Number
	a.check(neverReverts, number > a.numbersInForce[name], "environment %s changed from document %d to document %d",
		name, a.numbersInForce[name], number)
	a.numbersInForce[name] = number
}

// check counts one check of a promise and, if it does not hold, counts and logs the violation.
func (a *Auditor) check(name string, holds bool, format string, args ...any) {
	p := a.promises[name]
	p.checked.Inc(1)
	if holds {
		return
	}
	p.broken.Inc(1)
	a.log.Errorf("auditor: promise %s is broken: %s", name, fmt.Sprintf(format, args...))
}
