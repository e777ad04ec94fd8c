package coordinator

import (
	"sync"
	"time"
)

// room tells whether the disk takes writes.
type room struct {
	mu   sync.Mutex
	full chan struct{} // closed while the disk is full
}

func newRoom() *room { return &room{full: make(chan struct{})} }

// lost returns a channel that is closed once the disk is full.
func (r *room) lost() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full
}

func (r *room) isLost() bool {
	select {
	case <-r.lost():
		return true
	default:
		return false
	}
}

// lose notes that the disk is full and reports whether that is new.
func (r *room) lose() bool {
	if r.isLost() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.full)
	return true
}

// regain notes that the disk takes writes and reports whether that is new.
func (r *room) regain() bool {
	if !r.isLost() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = make(chan struct{})
	return true
}

// awaitRoom waits before a write that a full disk has refused is tried again. The replica
// takes no part in the group meanwhile, as if its disk stood still: nothing is confirmed
// that is not stored, and the others choose another leader. It returns false when the
// replica is to end.
func (r *Replica) awaitRoom(cause error) bool {
	if r.room.lose() {
		r.log.WithError(cause).Error("control: the disk is full, nothing is stored until there is room")
	}
	select {
	case <-r.ending:
		return false
	case <-time.After(roomPause):
		return true
	}
}

// stored notes that everything of a step could be written.
func (r *Replica) stored() {
	if r.room.regain() {
		r.log.Info("control: the disk has room again")
	}
}
