package dispatcher

import "sync"

type (
	// notes counts changes. Waiters compare the count that they have seen with
	// the present one.
	notes struct {
		mu       sync.Mutex
		vms      map[string]*note
		viewNote note
	}

	note struct {
		revision uint64
		changed  chan struct{}
	}
)

func newNotes() *notes {
	return &notes{vms: map[string]*note{}, viewNote: newNote()}
}

func newNote() note { return note{revision: 1, changed: make(chan struct{})} }

func (n *notes) vm(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entry(name).mark()
}

func (n *notes) view() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.viewNote.mark()
}

func (n *notes) all() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.viewNote.mark()
	for _, entry := range n.vms {
		entry.mark()
	}
}

// ofVM returns the revision of a VM's assignments and a channel that is closed
// at the next change.
func (n *notes) ofVM(name string) (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	entry := n.entry(name)
	return entry.revision, entry.changed
}

// ofView returns the revision of the view and a channel that is closed at the
// next change.
func (n *notes) ofView() (uint64, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.viewNote.revision, n.viewNote.changed
}

func (n *notes) entry(name string) *note {
	entry, ok := n.vms[name]
	if !ok {
		created := newNote()
		entry = &created
		n.vms[name] = entry
	}
	return entry
}

func (e *note) mark() {
	e.revision++
	close(e.changed)
	e.changed = make(chan struct{})
}
