// Package limiter admits requests to an upstream: a fixed number of slots, a
// short queue ordered by class and deadline, and slot credits for the entries.
package limiter

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Limiter guards one upstream.
	Limiter struct {
		mu      sync.Mutex
		slots   int
		busy    int
		queue   queue
		limit   int // of the queue
		order   uint64
		leaving bool
		service time.Duration // moving average of the time that a slot is held
	}

	waiter struct {
		class    jaygw.Class
		deadline time.Time
		order    uint64
		index    int // in the queue; -1 once it has left
		admitted chan error
	}

	queue []*waiter
)

// serviceWeight is the divisor of the moving average of service times: about
// the last 16 requests count.
const serviceWeight = 16

var (
	// ErrBusy is returned when the queue is full.
	ErrBusy = errors.New("the upstream is busy")
	// ErrDeadline is returned when the deadline cannot be met.
	ErrDeadline = errors.New("the upstream cannot answer before the deadline")
	// ErrLeaving is returned when the upstream is leaving.
	ErrLeaving = errors.New("the upstream is leaving")
)

// New returns a limiter with a number of slots and a limit of its queue.
func New(slots, queueLimit int) *Limiter {
	return &Limiter{slots: slots, limit: queueLimit}
}

// Acquire takes a slot, waiting for one until the deadline or the end of the
// context. Each Acquire without an error needs one Release.
func (l *Limiter) Acquire(ctx context.Context, class jaygw.Class, deadline, now time.Time) error {
	l.mu.Lock()
	if l.leaving {
		l.mu.Unlock()
		return ErrLeaving
	}
	if !deadline.After(now) {
		l.mu.Unlock()
		return ErrDeadline
	}
	if l.busy < l.slots && len(l.queue) == 0 {
		l.busy++
		l.mu.Unlock()
		return nil
	}
	l.order++
	w := &waiter{class: class, deadline: deadline, order: l.order, admitted: make(chan error, 1)}
	if !meetsDeadline(l.ahead(w), l.slots, l.service, deadline, now) {
		l.mu.Unlock()
		return ErrDeadline
	}
	if len(l.queue) >= l.limit && !l.displace(class) {
		l.mu.Unlock()
		return ErrBusy
	}
	heap.Push(&l.queue, w)
	l.mu.Unlock()
	return l.wait(ctx, w, deadline.Sub(now))
}

// meetsDeadline reports whether a request with others ahead of it in the queue
// can be expected to finish in time when all slots are taken.
func meetsDeadline(ahead, slots int, service time.Duration, deadline, now time.Time) bool {
	start := service * time.Duration(ahead+1) / time.Duration(slots)
	return !now.Add(start + service).After(deadline)
}

// ahead returns how many waiters would be served before w.
func (l *Limiter) ahead(w *waiter) int {
	n := 0
	for _, other := range l.queue {
		if less(other, w) {
			n++
		}
	}
	return n
}

// displace refuses the last waiter of the queue in favor of a more important
// request.
func (l *Limiter) displace(class jaygw.Class) bool {
	var last *waiter
	for _, w := range l.queue {
		if last == nil || less(last, w) {
			last = w
		}
	}
	if last == nil || class.Priority() >= last.class.Priority() {
		return false
	}
	heap.Remove(&l.queue, last.index)
	last.admitted <- ErrBusy
	return true
}

func (l *Limiter) wait(ctx context.Context, w *waiter, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-w.admitted:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&l.queue, w.index)
		l.mu.Unlock()
		return ErrDeadline
	}
	l.mu.Unlock()
	// The slot was given at the same moment; hand it on.
	if err := <-w.admitted; err != nil {
		return err
	}
	l.Release(0, time.Now())
	return ErrDeadline
}

// Release returns a slot that was held for a time; zero is not counted in the
// average.
func (l *Limiter) Release(held time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held <= 0:
	case l.service == 0:
		l.service = held
	default:
		l.service += (held - l.service) / serviceWeight
	}
	for len(l.queue) > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		// A request that has less than half of the usual time left would only
		// take the slot from one that can still finish.
		if len(l.queue) > 0 && w.deadline.Sub(now) < l.service/2 {
			w.admitted <- ErrDeadline
			continue
		}
		w.admitted <- nil
		return
	}
	l.busy--
}

// Leave refuses all new requests and those in the queue.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for len(l.queue) > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		w.admitted <- ErrLeaving
	}
}

// Load returns the number of requests that run and that wait.
func (l *Limiter) Load() (busy, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busy, len(l.queue)
}

// Capacity returns how many requests may run and wait together.
func (l *Limiter) Capacity() int { return l.slots + l.limit }

func less(a, b *waiter) bool {
	return cmp.Or(cmp.Compare(a.class.Priority(), b.class.Priority()),
		a.deadline.Compare(b.deadline), cmp.Compare(a.order, b.order)) < 0
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return less(q[i], q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push is for container/heap.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	w.index = -1
	*q = (*q)[:last]
	return w
}
