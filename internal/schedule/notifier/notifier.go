// Package notifier counts changes and wakes the goroutines that wait for them.
package notifier

import "sync"

type (
	// Notifier counts the changes of each VM and of the view in revisions, and wakes the
	// goroutines that wait for a change. They compare the revision that they last saw with the present one.
	Notifier struct {
		mu              sync.Mutex
		initialRevision uint64            // revision at which a new topic starts
		vms             map[string]*topic // by name
		view            topic
	}

	// topic holds the revision of a VM or of the view.
	topic struct {
		revision uint64
		changed  chan struct{} // closed and replaced at each change
	}
)

// changeBits is the number of low bits of a VM's revision that count the changes within a term.
// The bits above them hold the term.
const changeBits = 32

// New returns a notifier without changes.
func New() *Notifier {
	return &Notifier{initialRevision: 1, vms: map[string]*topic{}, view: topic{revision: 1, changed: make(chan struct{})}}
}

// NotifyVM counts a change of a VM and wakes its waiters.
func (n *Notifier) NotifyVM(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.topic(name).advance()
}

// NotifyView counts a change of the view and wakes its waiters.
func (n *Notifier) NotifyView() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.advance()
}

// NotifyAll counts a change of the view and of each VM, and wakes all waiters.
func (n *Notifier) NotifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.advance()
	for _, vm := range n.vms {
		vm.advance()
	}
}

// Restart wakes all waiters and starts the VMs' revisions of a term. They must differ from those of
// other leaders: an agent whose last revision, from another leader, equals the present one would
// have its renewal held although something has changed.
func (n *Notifier) Restart(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initialRevision = max(n.initialRevision, term<<changeBits+1)
	n.view.advance()
	for _, vm := range n.vms {
		vm.revision = max(vm.revision, n.initialRevision)
		vm.advance()
	}
}

// RemoveVM wakes the waiters of a VM that was removed and deletes its revision.
func (n *Notifier) RemoveVM(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if vm, ok := n.vms[name]; ok {
		vm.advance()
		delete(n.vms, name)
	}
}

// VMRevision returns the revision of a VM's assignments and a channel that is closed at the next change.
func (n *Notifier) VMRevision(name string) (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	vm := n.topic(name)
	return vm.revision, vm.changed
}

// ViewRevision returns the revision of the view and a channel that is closed at the next change.
func (n *Notifier) ViewRevision() (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.revision, n.view.changed
}

func (n *Notifier) topic(name string) *topic {
	vm, ok := n.vms[name]
	if !ok {
		vm = &topic{revision: n.initialRevision, changed: make(chan struct{})}
		n.vms[name] = vm
	}
	return vm
}

func (t *topic) advance() {
	t.revision++
	close(t.changed)
	t.changed = make(chan struct{})
}
