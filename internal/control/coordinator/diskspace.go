package coordinator

import (
	"sync"
	"time"
)

// diskSpace records whether the disk is full.
type diskSpace struct {
	mu   sync.Mutex
	full chan struct{} // closed while the disk is full
}

func newDiskSpace() *diskSpace { return &diskSpace{full: make(chan struct{})} }

// fullSignal returns a channel that is closed once the disk is full.
func (r *diskSpace) fullSignal() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.full
}

func (r *diskSpace) isFull() bool {
	select {
	case <-r.fullSignal():
		return true
	default:
		return false
	}
}

// markFull records that the disk is full and reports whether it was not full before.
func (r *diskSpace) markFull() bool {
	if r.isFull() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.full)
	return true
}

// markWritable records that the disk accepts writes and reports whether it was full before.
func (r *diskSpace) markWritable() bool {
	if !r.isFull() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.full = make(chan struct{})
	return true
}

// awaitDiskSpace waits before the next attempt of a write that failed on a full disk, and returns
// false when the replica is stopping. Meanwhile the replica takes no part in the group, so it
// confirms nothing that is not stored and the others elect another leader.
func (r *Replica) awaitDiskSpace(cause error) bool {
	if r.diskSpace.markFull() {
		r.log.WithError(cause).Error("control: the disk is full, nothing is stored until there is room")
	}
	select {
	case <-r.stopping:
		return false
	case <-time.After(diskRetryInterval):
		return true
	}
}

// reportWritable records that all writes of a step have succeeded.
func (r *Replica) reportWritable() {
	if r.diskSpace.markWritable() {
		r.log.Info("control: the disk has room again")
	}
}
