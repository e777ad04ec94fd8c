package applier

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
)

func (m *Machine) setDomain(set jaygw.SetDomain) jaygw.Result {
	old, ok := m.state.Domains[set.Name]
	if !ok && set.Declare && len(m.state.Domains) < m.limits.Domains {
		old, ok = &jaygw.FailureDomain{Name: set.Name, Since: m.state.Time}, true
		m.putDomain(old)
	}
	if !ok {
		return jaygw.Refuse(jaygw.RefusedUnknown, "failure domain %s is neither declared nor announced by a VM", set.Name)
	}
	switch {
	case set.Order != 0 && set.Order == old.Order:
		return jaygw.Result{AlreadyApplied: true}
	case set.Order != 0 && set.Previous != old.Order:
		return jaygw.Refuse(jaygw.RefusedState, "a later order on failure domain %s has been accepted", set.Name)
	}
	next := *old
	next.Order = set.Order
	if set.Order == 0 {
		next.Order = uint64(m.state.Index)
	}
	if old.Out != set.Out {
		next.Out = set.Out
		next.Since = m.state.Time
	}
	m.putDomain(&next)
	return jaygw.Result{AlreadyApplied: old.Out == set.Out}
}

func (m *Machine) announceVM(vm jaygw.VM) jaygw.Result {
	if refusal := m.checkVM(vm); refusal != nil {
		return jaygw.Result{Refusal: refusal}
	}
	old, known := m.state.VMs[vm.Name]
	vm.Replaced = 0
	if !known {
		if len(m.state.VMs) >= m.limits.VMs {
			return jaygw.Refuse(jaygw.RefusedTableFull, "the table of VMs holds its limit of %d", m.limits.VMs)
		}
		vm.Committed = jaygw.Resources{}
		vm.Since = m.state.Time
	} else {
		if !old.Incarnation.SameInstance(vm.Incarnation) && len(m.index.tasksByVM[vm.Name]) > 0 {
			return jaygw.Refuse(jaygw.RefusedState,
				"VM %s was replaced; the tasks of its last instance count until their lease is over", vm.Name)
		}
		vm.Committed = old.Committed
		vm.Since = old.Since
		vm.Replaced = old.Replaced
		if old.Incarnation != vm.Incarnation {
			vm.Replaced = old.Incarnation
		}
		if old.Incarnation != vm.Incarnation || old.Leaving && !vm.Leaving || old.Domain != vm.Domain {
			vm.Since = m.state.Time
		}
		if old.Replaced != 0 && old.Replaced == vm.Incarnation {
			return jaygw.Refuse(jaygw.RefusedIncarnation, "VM %s has announced a newer incarnation", vm.Name)
		}
		if old.Domain != vm.Domain && len(m.index.tasksByVM[vm.Name]) > 0 {
			return jaygw.Refuse(jaygw.RefusedState,
				"VM %s moved from failure domain %s to %s; its tasks have to end first", vm.Name, old.Domain, vm.Domain)
		}
		if !vm.Committed.Fits(vm.Size) {
			return jaygw.Refuse(jaygw.RefusedCapacity,
				"VM %s announced a size below what is committed on it; its tasks have to leave first", vm.Name)
		}
	}
	if _, ok := m.state.Domains[vm.Domain]; !ok {
		if len(m.state.Domains) >= m.limits.Domains {
			return jaygw.Refuse(jaygw.RefusedTableFull, "the table of failure domains holds its limit of %d", m.limits.Domains)
		}
		m.putDomain(&jaygw.FailureDomain{Name: vm.Domain, Region: vm.Region, Since: m.state.Time})
	}
	m.putVM(&vm)
	return jaygw.Result{}
}

func (m *Machine) checkVM(vm jaygw.VM) *jaygw.Refusal {
	switch {
	case !validName(vm.Name) || !validName(vm.Domain):
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: "a VM needs valid names of itself and its failure domain"}
	case vm.Group != "" && vm.Group != m.group:
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf("VM %s belongs to control group %q, this is %q",
			vm.Name, vm.Group, m.group)}
	case !validSize(vm.Size):
		return &jaygw.Refusal{Code: jaygw.RefusedInvalid, Detail: fmt.Sprintf("VM %s announced an invalid size", vm.Name)}
	}
	return nil
}

// expireVM ends the attempts of a VM whose lease has expired.
func (m *Machine) expireVM(expire jaygw.ExpireVM) jaygw.Result {
	vm, ok := m.state.VMs[expire.Name]
	if !ok {
		return jaygw.Refuse(jaygw.RefusedUnknown, "VM %s is not known", expire.Name)
	}
	if vm.Incarnation != expire.Incarnation {
		return jaygw.Refuse(jaygw.RefusedIncarnation, "VM %s has a newer incarnation", expire.Name)
	}
	for _, id := range m.index.tasksOn(expire.Name) {
		task, ok := m.state.Tasks[id]
		if !ok {
			continue
		}
		if len(expire.Kinds) == 0 || slices.Contains(expire.Kinds, task.Kind) {
			m.releaseAttempt(task, nil, "the lease of VM "+expire.Name+" is over")
		}
	}
	return jaygw.Result{}
}

func (m *Machine) removeVM(remove jaygw.RemoveVM) jaygw.Result {
	vm, ok := m.state.VMs[remove.Name]
	if !ok {
		return jaygw.Result{AlreadyApplied: true}
	}
	if len(m.index.tasksByVM[remove.Name]) > 0 {
		return jaygw.Refuse(jaygw.RefusedState, "VM %s still holds attempts", remove.Name)
	}
	delete(m.state.VMs, remove.Name)
	for _, observer := range m.observers {
		observer.VMChanged(vm, nil)
	}
	return jaygw.Result{}
}

func (m *Machine) putDomain(domain *jaygw.FailureDomain) {
	m.state.Domains[domain.Name] = domain
	for _, observer := range m.observers {
		observer.DomainChanged(domain)
	}
}

func (m *Machine) putVM(vm *jaygw.VM) {
	old := m.state.VMs[vm.Name]
	m.state.VMs[vm.Name] = vm
	for _, observer := range m.observers {
		observer.VMChanged(old, vm)
	}
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}
