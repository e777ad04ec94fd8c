// Package placer finds VMs for tasks. It maintains an index of the VMs by failure domain and free
// resources, and queues of the waiting tasks by class, team and age. Both are updated with each
// applied change, so a decision does not have to scan all VMs or tasks.
package placer

import (
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// Index holds the VMs of a control group. It is not safe for concurrent use.
	Index struct {
		nodes       map[string]*Node
		domains     map[string]*Domain
		domainNames []string         // sorted
		leaving     map[string]*Node // VMs from which all tasks have to move
		planned     []*Node          // VMs with resources planned in the present decision
		freed       map[string]*Node // VMs with more free resources since the last TakeFreed
		running     map[string]int   // number of attempts that hold resources, by owner
		total       jaygw.Resources  // total size of all VMs that are not leaving
		largest     jaygw.Resources  // largest amount of each resource on any VM ever announced
		version     int              // incremented when a VM is added, removed or resized
	}

	// Domain is a failure domain with its VMs.
	Domain struct {
		Name     string
		Out      bool
		Since    jaygw.Time // time of the last change of Out
		Returned jaygw.Time // time of the last return; zero if the index has not seen the domain out
		tree     tree
		owners   map[string]int    // number of attempts by owner
		racks    map[rackOwner]int // number of attempts by rack and owner
	}

	// rackOwner is a rack and the key of an owner.
	rackOwner struct{ rack, owner string }

	// Node is a VM in the index.
	Node struct {
		VM        *jaygw.VM
		Domain    *Domain
		Returned  jaygw.Time      // when the VM stopped leaving; zero if the index has not seen that
		Evictable jaygw.Resources // resources of tasks that may be evicted for more important ones
		Active    int             // number of attempts without a stop order
		Risk      float64         // added to the VM's score in Find because of recent failures

		leaf         int            // position in the tree of the domain
		owners       map[string]int // number of attempts by owner
		unresponsive bool           // without recent contact
		quarantined  bool
		rampPercent  int             // share of the size available to new tasks, in percent
		planned      jaygw.Resources // deducted by Plan for the present decision
		reserved     jaygw.Resources // reserved for single tasks by Reserve
	}
)

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		nodes: map[string]*Node{}, domains: map[string]*Domain{},
		leaving: map[string]*Node{}, freed: map[string]*Node{}, running: map[string]int{},
	}
}

// OwnerKey returns the key of a task's service or job, which is unique over all environments.
func OwnerKey(task *jaygw.Task) string { return task.Environment + "/" + task.Owner }

// TeamKey returns the key of a task's team in the control state.
func TeamKey(task *jaygw.Task) string { return task.Environment + "/" + task.Team }

// Node returns a VM of the index, or nil if it is unknown.
func (x *Index) Node(name string) *Node { return x.nodes[name] }

// Nodes returns the number of VMs.
func (x *Index) Nodes() int { return len(x.nodes) }

// Total returns the total size of all VMs that are not leaving.
func (x *Index) Total() jaygw.Resources { return x.total }

// Running returns the number of attempts of an owner that hold resources.
func (x *Index) Running(owner string) int { return x.running[owner] }

// Largest returns the largest amount of each resource that any VM has ever announced.
func (x *Index) Largest() jaygw.Resources { return x.largest }

// Version returns a number that grows when a VM is added or removed or changes its size.
func (x *Index) Version() int { return x.version }

// Leaving returns the VMs that are leaving or in a domain that is out and still have attempts
// without a stop order, sorted by name.
func (x *Index) Leaving() []*Node {
	var nodes []*Node
	for _, n := range x.leaving {
		if n.Active > 0 {
			nodes = append(nodes, n)
		}
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return compareNames(a.VM.Name, b.VM.Name) })
	return nodes
}

// Domains calls the function with each domain, sorted by name.
func (x *Index) Domains(visit func(*Domain)) {
	for _, name := range x.domainNames {
		visit(x.domains[name])
	}
}

// Members calls the function with each VM of the domain.
func (d *Domain) Members(visit func(*Node)) {
	for _, n := range d.tree.nodes[:d.tree.used] {
		visit(n)
	}
}

// MustMove reports whether the VM's tasks have to move to other VMs.
func (n *Node) MustMove() bool { return n.VM.Leaving || n.Domain.Out }

// Free returns the resources for new tasks. While the VM takes no new tasks, all of them are
// negative.
func (n *Node) Free() jaygw.Resources {
	if n.MustMove() || n.unresponsive || n.quarantined {
		return closed
	}
	return n.Spare()
}

// Spare returns the resources that are neither committed, planned nor reserved on the VM, within
// the share of its size set by SetRampPercent, even while it takes no new tasks.
func (n *Node) Spare() jaygw.Resources {
	return scale(n.VM.Size, n.rampPercent).Sub(n.VM.Committed).Sub(n.planned).Sub(n.reserved)
}

// Uncommitted returns the resources that are neither committed nor planned on the VM, including
// the reserved ones.
func (n *Node) Uncommitted() jaygw.Resources {
	return n.VM.Size.Sub(n.VM.Committed).Sub(n.planned)
}

// AcceptsTasks reports whether the VM takes new tasks.
func (n *Node) AcceptsTasks() bool { return n.Free() != closed }

// Owners returns the number of attempts on the VM by owner.
func (n *Node) Owners() map[string]int { return n.owners }

// scale returns a percentage of the resources.
func scale(r jaygw.Resources, percent int) jaygw.Resources {
	if percent == 100 {
		return r
	}
	return jaygw.Resources{
		CPU:          r.CPU * jaygw.MilliCores(percent) / 100,
		Memory:       r.Memory * jaygw.Bytes(percent) / 100,
		Accelerators: r.Accelerators * int64(percent) / 100,
	}
}

// SetVM adds or updates a VM.
func (x *Index) SetVM(vm *jaygw.VM) {
	n, known := x.nodes[vm.Name]
	if known && n.VM.Domain != vm.Domain {
		x.RemoveVM(vm.Name)
		known = false
	}
	if !known {
		n = &Node{VM: vm, Domain: x.domain(vm.Domain), owners: map[string]int{}, rampPercent: 100}
		x.nodes[vm.Name] = n
		n.Domain.tree.add(n)
		x.version++
	} else {
		if n.VM.Leaving && !vm.Leaving {
			n.Returned = vm.Since
		}
		if n.VM.Size != vm.Size {
			x.version++
		}
		x.countVM(n, -1)
		n.VM = vm
	}
	x.largest = x.largest.Max(vm.Size)
	x.countVM(n, 1)
	x.update(n)
}

// RemoveVM removes a VM.
func (x *Index) RemoveVM(name string) {
	n, ok := x.nodes[name]
	if !ok {
		return
	}
	x.countVM(n, -1)
	n.Domain.tree.remove(n)
	delete(x.nodes, name)
	delete(x.leaving, name)
	delete(x.freed, name)
	x.version++
}

// SetDomain adds or updates a failure domain.
func (x *Index) SetDomain(domain *jaygw.FailureDomain) {
	d := x.domain(domain.Name)
	if d.Out == domain.Out {
		return
	}
	if d.Out {
		d.Returned = domain.Since
	}
	d.Members(func(n *Node) { x.countVM(n, -1) })
	d.Out, d.Since = domain.Out, domain.Since
	d.Members(func(n *Node) {
		x.countVM(n, 1)
		x.update(n)
	})
}

// SetUnresponsive sets whether a VM is without recent contact. Such a VM takes no new tasks.
func (x *Index) SetUnresponsive(name string, unresponsive bool) {
	if n, ok := x.nodes[name]; ok && n.unresponsive != unresponsive {
		n.unresponsive = unresponsive
		x.update(n)
	}
}

// SetQuarantined sets whether a VM is in quarantine. Such a VM takes no new tasks.
func (x *Index) SetQuarantined(name string, quarantined bool) {
	if n, ok := x.nodes[name]; ok && n.quarantined != quarantined {
		n.quarantined = quarantined
		x.update(n)
	}
}

// SetRampPercent sets the share of a VM's size that is available to new tasks, in percent.
func (x *Index) SetRampPercent(n *Node, percent int) {
	if n.rampPercent != percent {
		n.rampPercent = percent
		x.update(n)
	}
}

// AddTask counts a task that holds resources on its VM.
func (x *Index) AddTask(task *jaygw.Task) { x.countTask(task, 1) }

// RemoveTask reverts AddTask for a task in the same state.
func (x *Index) RemoveTask(task *jaygw.Task) { x.countTask(task, -1) }

// countTask adds a change of 1 or -1 to the counts that a task is part of.
func (x *Index) countTask(task *jaygw.Task, change int) {
	n, ok := x.nodes[task.VM]
	if !ok {
		return
	}
	owner := OwnerKey(task)
	addCount(n.owners, owner, change)
	addCount(x.running, owner, change)
	if task.State != jaygw.Stopping {
		n.Active += change
	}
	if Evictable(task) {
		if change > 0 {
			n.Evictable = n.Evictable.Add(task.Reserved)
		} else {
			n.Evictable = n.Evictable.Sub(task.Reserved)
		}
	}
	addCount(n.Domain.owners, owner, change)
	addCount(n.Domain.racks, rackOwner{n.VM.Rack, owner}, change)
}

// Evictable reports whether the task may be evicted for more important work.
func Evictable(task *jaygw.Task) bool {
	return task.Kind == jaygw.BatchTask && task.Class == jaygw.Bulk &&
		(task.State == jaygw.Granted || task.State == jaygw.Running)
}

// Plan deducts resources of a VM that the present decision uses, until ResetPlan.
func (x *Index) Plan(n *Node, size jaygw.Resources) {
	n.planned = n.planned.Add(size)
	x.planned = append(x.planned, n)
	x.update(n)
}

// ResetPlan releases the resources that the last decision planned.
func (x *Index) ResetPlan() {
	for _, n := range x.planned {
		if !n.planned.IsZero() {
			n.planned = jaygw.Resources{}
			x.update(n)
		}
	}
	x.planned = x.planned[:0]
}

// Reserve reserves resources of a VM for one task that starts later; a negative size releases them.
func (x *Index) Reserve(n *Node, size jaygw.Resources) {
	n.reserved = n.reserved.Add(size)
	x.update(n)
}

// TakeFreed returns the VMs, by name, whose free resources have grown since the last call.
func (x *Index) TakeFreed() map[string]*Node {
	freed := x.freed
	x.freed = map[string]*Node{}
	return freed
}

// update stores the free resources of a VM in the tree of its domain.
func (x *Index) update(n *Node) {
	free := n.Free()
	if !free.Fits(n.Domain.tree.free[n.Domain.tree.leaves+n.leaf]) {
		x.freed[n.VM.Name] = n
	}
	n.Domain.tree.set(n.leaf, free)
}

// countVM adds a VM to the leaving ones, or its size to the total; a negative sign reverts that.
func (x *Index) countVM(n *Node, sign int) {
	if n.MustMove() {
		if sign > 0 {
			x.leaving[n.VM.Name] = n
		} else {
			delete(x.leaving, n.VM.Name)
		}
		return
	}
	if sign > 0 {
		x.total = x.total.Add(n.VM.Size)
	} else {
		x.total = x.total.Sub(n.VM.Size)
	}
}

// domain returns a domain, and adds it if it is new.
func (x *Index) domain(name string) *Domain {
	d, ok := x.domains[name]
	if !ok {
		d = &Domain{Name: name, owners: map[string]int{}, racks: map[rackOwner]int{}}
		x.domains[name] = d
		x.domainNames = append(x.domainNames, name)
		slices.Sort(x.domainNames)
	}
	return d
}

// addCount changes a count and deletes it when it is zero.
func addCount[K comparable](counts map[K]int, key K, change int) {
	counts[key] += change
	if counts[key] == 0 {
		delete(counts, key)
	}
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
