// Package placer finds VMs for tasks. It keeps an index of the VMs by failure
// domain and free size, and the waiting tasks in queues by class, team and age.
// Both follow the applied changes, so a decision costs no scan of all VMs or
// tasks.
package placer

import (
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// Index holds the VMs of a control group. It is not safe for concurrent use.
	Index struct {
		nodes   map[string]*Node
		domains map[string]*Domain
		names   []string // of domains, sorted
		leaving map[string]*Node
		planned []*Node
		freed   map[string]*Node
		running map[string]int  // attempts by owner
		total   jaygw.Resources // of all VMs that are not leaving
		largest jaygw.Resources // over all VMs ever announced
		version int             // grows when VMs come, go or change their size
	}

	// Domain is a failure domain with its VMs.
	Domain struct {
		Name     string
		Out      bool
		Since    jaygw.Time // the last change of Out
		Returned jaygw.Time // zero unless the domain was seen to be out
		tree     tree
		owners   map[string]int
		racks    map[rackOwner]int
	}

	rackOwner struct{ rack, owner string }

	// Node is a VM in the index.
	Node struct {
		VM       *jaygw.VM
		Domain   *Domain
		Returned jaygw.Time      // zero unless the VM was seen to be leaving
		Bulk     jaygw.Resources // committed by bulk batch tasks
		Active   int             // attempts that have not been told to stop
		Risk     float64         // added to the score, for recent failures

		leaf    int
		owners  map[string]int
		silent  bool
		barred  bool // in quarantine
		ramp    int  // share of the size open to new tasks, in percent
		planned jaygw.Resources
		held    jaygw.Resources
	}
)

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{
		nodes: map[string]*Node{}, domains: map[string]*Domain{},
		leaving: map[string]*Node{}, freed: map[string]*Node{}, running: map[string]int{},
	}
}

// OwnerKey returns the key of a service or job in all environments.
func OwnerKey(task *jaygw.Task) string { return task.Environment + "/" + task.Owner }

// TeamKey returns the key of a task's team in the control state.
func TeamKey(task *jaygw.Task) string { return task.Environment + "/" + task.Team }

// Node returns a VM of the index, or nil.
func (x *Index) Node(name string) *Node { return x.nodes[name] }

// Nodes returns the number of VMs.
func (x *Index) Nodes() int { return len(x.nodes) }

// Total returns the size of all VMs that are not leaving.
func (x *Index) Total() jaygw.Resources { return x.total }

// Running returns the number of attempts of an owner that hold resources.
func (x *Index) Running(owner string) int { return x.running[owner] }

// Largest returns the largest announced amount of each resource on one VM.
func (x *Index) Largest() jaygw.Resources { return x.largest }

// Version grows when VMs come, go or change their size.
func (x *Index) Version() int { return x.version }

// Leaving returns the VMs that are leaving, or in a domain that is out, and have
// attempts that were not told to stop, in the order of their names.
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

// Domains calls the function with each domain, in the order of their names.
func (x *Index) Domains(visit func(*Domain)) {
	for _, name := range x.names {
		visit(x.domains[name])
	}
}

// Members calls the function with each VM of the domain.
func (d *Domain) Members(visit func(*Node)) {
	for _, n := range d.tree.nodes[:d.tree.used] {
		visit(n)
	}
}

// Leaves reports whether the VM's tasks have to go elsewhere.
func (n *Node) Leaves() bool { return n.VM.Leaving || n.Domain.Out }

// Free returns what new tasks may take: nothing while the VM is closed.
func (n *Node) Free() jaygw.Resources {
	if n.Leaves() || n.silent || n.barred {
		return closed
	}
	return n.Spare()
}

// Spare returns what is neither committed, planned nor held on the VM, also while
// it is closed.
func (n *Node) Spare() jaygw.Resources {
	return scale(n.VM.Size, n.ramp).Sub(n.VM.Committed).Sub(n.planned).Sub(n.held)
}

// Uncommitted returns what is neither committed nor planned on the VM, held or
// not.
func (n *Node) Uncommitted() jaygw.Resources {
	return n.VM.Size.Sub(n.VM.Committed).Sub(n.planned)
}

// Open reports whether the VM takes new tasks.
func (n *Node) Open() bool { return n.Free() != closed }

// Owners returns the number of attempts on the VM by owner.
func (n *Node) Owners() map[string]int { return n.owners }

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

// SetVM takes an added or changed VM.
func (x *Index) SetVM(vm *jaygw.VM) {
	n, known := x.nodes[vm.Name]
	if known && n.VM.Domain != vm.Domain {
		x.RemoveVM(vm.Name)
		known = false
	}
	if !known {
		n = &Node{VM: vm, Domain: x.domain(vm.Domain), owners: map[string]int{}, ramp: 100}
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
		x.count(n, -1)
		n.VM = vm
	}
	x.largest = x.largest.Max(vm.Size)
	x.count(n, 1)
	x.update(n)
}

// RemoveVM drops a VM.
func (x *Index) RemoveVM(name string) {
	n, ok := x.nodes[name]
	if !ok {
		return
	}
	x.count(n, -1)
	n.Domain.tree.remove(n)
	delete(x.nodes, name)
	delete(x.leaving, name)
	delete(x.freed, name)
	x.version++
}

// SetDomain takes an added or changed domain.
func (x *Index) SetDomain(domain *jaygw.FailureDomain) {
	d := x.domain(domain.Name)
	if d.Out == domain.Out {
		return
	}
	if d.Out {
		d.Returned = domain.Since
	}
	d.Members(func(n *Node) { x.count(n, -1) })
	d.Out, d.Since = domain.Out, domain.Since
	d.Members(func(n *Node) {
		x.count(n, 1)
		x.update(n)
	})
}

// SetSilent closes a VM that has not been heard of, or opens it again.
func (x *Index) SetSilent(name string, silent bool) {
	if n, ok := x.nodes[name]; ok && n.silent != silent {
		n.silent = silent
		x.update(n)
	}
}

// SetBarred closes a VM that is in quarantine, or opens it again.
func (x *Index) SetBarred(name string, barred bool) {
	if n, ok := x.nodes[name]; ok && n.barred != barred {
		n.barred = barred
		x.update(n)
	}
}

// SetRamp opens a share of a VM's size, in percent.
func (x *Index) SetRamp(n *Node, percent int) {
	if n.ramp != percent {
		n.ramp = percent
		x.update(n)
	}
}

// AddTask counts a task that holds resources on its VM; RemoveTask ends that.
func (x *Index) AddTask(task *jaygw.Task) { x.countTask(task, 1) }

// RemoveTask ends what AddTask began.
func (x *Index) RemoveTask(task *jaygw.Task) { x.countTask(task, -1) }

func (x *Index) countTask(task *jaygw.Task, change int) {
	n, ok := x.nodes[task.VM]
	if !ok {
		return
	}
	owner := OwnerKey(task)
	add(n.owners, owner, change)
	add(x.running, owner, change)
	if task.State != jaygw.Stopping {
		n.Active += change
	}
	if Evictable(task) {
		if change > 0 {
			n.Bulk = n.Bulk.Add(task.Reserved)
		} else {
			n.Bulk = n.Bulk.Sub(task.Reserved)
		}
	}
	add(n.Domain.owners, owner, change)
	add(n.Domain.racks, rackOwner{n.VM.Rack, owner}, change)
}

// Evictable reports whether more important work may take the task's place.
func Evictable(task *jaygw.Task) bool {
	return task.Kind == jaygw.BatchTask && task.Class == jaygw.Bulk &&
		(task.State == jaygw.Granted || task.State == jaygw.Running)
}

// Plan takes resources for the present decision.
func (x *Index) Plan(n *Node, size jaygw.Resources) {
	n.planned = n.planned.Add(size)
	x.planned = append(x.planned, n)
	x.update(n)
}

// ResetPlan drops what the last decision planned.
func (x *Index) ResetPlan() {
	for _, n := range x.planned {
		if !n.planned.IsZero() {
			n.planned = jaygw.Resources{}
			x.update(n)
		}
	}
	x.planned = x.planned[:0]
}

// Hold keeps resources of a VM for one task; a negative size ends that.
func (x *Index) Hold(n *Node, size jaygw.Resources) {
	n.held = n.held.Add(size)
	x.update(n)
}

// TakeFreed returns the VMs that have more free resources than before, since the
// last call.
func (x *Index) TakeFreed() map[string]*Node {
	freed := x.freed
	x.freed = map[string]*Node{}
	return freed
}

func (x *Index) update(n *Node) {
	free := n.Free()
	if !free.Fits(n.Domain.tree.free[n.Domain.tree.leaves+n.leaf]) {
		x.freed[n.VM.Name] = n
	}
	n.Domain.tree.set(n.leaf, free)
}

// count adds a VM's size to the total and notes whether it is leaving.
func (x *Index) count(n *Node, sign int) {
	if n.Leaves() {
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

func (x *Index) domain(name string) *Domain {
	d, ok := x.domains[name]
	if !ok {
		d = &Domain{Name: name, owners: map[string]int{}, racks: map[rackOwner]int{}}
		x.domains[name] = d
		x.names = append(x.names, name)
		slices.Sort(x.names)
	}
	return d
}

func add[K comparable](counts map[K]int, key K, change int) {
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
