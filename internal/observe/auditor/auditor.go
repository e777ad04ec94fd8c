// Package auditor checks the promises on each applied change of the control
// state, and counts how often they were checked and broken.
package auditor

import (
	"fmt"

	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// Auditor observes one replica's state machine. It keeps what it needs from
	// the changes themselves, so that a fault in the state machine's own
	// accounting is found.
	Auditor struct {
		log      logrus.FieldLogger
		promises map[string]*promise
		registry metrics.Registry

		domains   map[string]bool // out
		vms       map[string]*account
		documents map[string]uint64 // number in force by environment
	}

	account struct {
		domain string
		size   jaygw.Resources
		held   jaygw.Resources
	}

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

// New returns an auditor that counts in a registry.
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

// Broken returns how often a promise was broken.
func (a *Auditor) Broken() int64 {
	var broken int64
	for _, p := range a.promises {
		broken += p.broken.Count()
	}
	return broken
}

// Reset forgets what was observed: the state is replaced by a snapshot.
func (a *Auditor) Reset() {
	a.domains = map[string]bool{}
	a.vms = map[string]*account{}
	a.documents = map[string]uint64{}
}

// TaskChanged checks that an attempt begins only after the last one has ended,
// that a task completes once, and that its VM has room for it.
func (a *Auditor) TaskChanged(before, after *jaygw.Task) {
	if before != nil && before.State.Holds() {
		a.hold(before.VM, jaygw.Resources{}.Sub(before.Reserved))
	}
	if after == nil || !after.State.Holds() {
		a.checkEnd(before, after)
		return
	}
	a.hold(after.VM, after.Reserved)
	if before == nil {
		return
	}
	if began := after.Epoch != before.Epoch; began {
		a.checkBegin(before, after)
	} else if before.State.Holds() {
		a.check(onePlace, before.VM == after.VM, "task %s moved from %s to %s within epoch %d",
			after.ID, before.VM, after.VM, after.Epoch)
	}
}

func (a *Auditor) checkBegin(before, after *jaygw.Task) {
	a.check(onePlace, !before.State.Holds() && after.Epoch == before.Epoch+1,
		"task %s has epoch %d while epoch %d is %s", after.ID, after.Epoch, before.Epoch, before.State)
	if vm, ok := a.vms[after.VM]; ok {
		a.check(noStartOut, !a.domains[vm.domain], "task %s was granted in failure domain %s, which is out", after.ID, vm.domain)
	}
}

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

// hold adds to what the observed tasks hold on a VM.
func (a *Auditor) hold(name string, amount jaygw.Resources) {
	vm, ok := a.vms[name]
	if !ok {
		return // announced before the last snapshot
	}
	vm.held = vm.held.Add(amount)
	a.check(withinSize, vm.held.Fits(vm.size), "VM %s of size %v holds %v", name, vm.size, vm.held)
}

// VMChanged checks that a VM is not committed beyond its size.
func (a *Auditor) VMChanged(before, after *jaygw.VM) {
	if after == nil {
		delete(a.vms, before.Name)
		return
	}
	a.check(withinSize, after.Committed.Fits(after.Size), "VM %s of size %v has %v committed", after.Name, after.Size, after.Committed)
	vm, ok := a.vms[after.Name]
	if !ok {
		vm = &account{}
		if before != nil {
			vm.held = before.Committed
		}
		a.vms[after.Name] = vm
	}
	vm.domain = after.Domain
	vm.size = after.Size
}

// DomainChanged notes whether a domain is out.
func (a *Auditor) DomainChanged(after *jaygw.FailureDomain) { a.domains[after.Name] = after.Out }

// DocumentChanged checks that numbers in force only grow.
func (a *Auditor) DocumentChanged(after *jaygw.Submitted) {
	if after.State != jaygw.Production {
		return
	}
	name, number := after.Document.Environment, after.Document.Number
	a.check(neverReverts, number > a.documents[name], "environment %s went from document %d to %d", name, a.documents[name], number)
	a.documents[name] = number
}

func (a *Auditor) check(name string, kept bool, format string, args ...any) {
	p := a.promises[name]
	p.checked.Inc(1)
	if kept {
		return
	}
	p.broken.Inc(1)
	a.log.Errorf("auditor: promise %s is broken: %s", name, fmt.Sprintf(format, args...))
}
