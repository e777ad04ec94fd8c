// Package limiter controls the admission of requests to an upstream with a fixed number of slots,
// a short queue ordered by class and deadline, and slot credits for the entries.
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
	// Limiter limits the requests to one upstream. It is safe for concurrent use.
	Limiter struct {
		mu          sync.Mutex
		slots       int
		running     int // slots in use
		queue       queue
		queueLimit  int    // maximum length of the queue
		arrivals    uint64 // number of requests that got no slot immediately
		leaving     bool
		serviceTime time.Duration // moving average of the time for which a slot is held
	}

	waiter struct {
		class    jaygw.Class
		deadline time.Time
		arrival  uint64     // position in the order of arrival
		index    int        // index in the queue; -1 after removal
		result   chan error // receives nil when a slot is assigned, or the reason of a refusal
	}

	queue []*waiter
)

// serviceTimeWeight is the divisor of the moving average of service times, which covers about the
// last 16 requests.
const serviceTimeWeight = 16

var (
	// ErrBusy is returned when the queue is full.
	ErrBusy = errors.New("the upstream is busy")
	// ErrDeadline is returned when the deadline cannot be met.
	ErrDeadline = errors.New("the upstream cannot answer before the deadline")
	// ErrLeaving is returned when the upstream is leaving.
	ErrLeaving = errors.New("the upstream is leaving")
)

// New returns a limiter with a number of slots and a maximum queue length.
func New(slots, queueLimit int) *Limiter {
	return &Limiter{slots: slots, queueLimit: queueLimit}
}

// Acquire takes a slot, and waits for one until the deadline or the end of the context. Each
// Acquire without an error requires one Release.
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
	if l.running < l.slots && len(l.queue) == 0 {
		l.running++
		l.mu.Unlock()
		return nil
	}
	l.arrivals++
	w := &waiter{class: class, deadline: deadline, arrival: l.arrivals, result: make(chan error, 1)}
	if !meetsDeadline(l.ahead(w), l.slots, l.serviceTime, deadline, now) {
		l.mu.Unlock()
		return ErrDeadline
	}
	if len(l.queue) >= l.queueLimit && !l.displace(class) {
		l.mu.Unlock()
		return ErrBusy
	}
	heap.Push(&l.queue, w)
	l.mu.Unlock()
	return l.wait(ctx, w, deadline.Sub(now))
}

// meetsDeadline reports whether a request with a number of others ahead of it in the queue is
// expected to finish before its deadline when all slots are taken.
func meetsDeadline(ahead, slots int, serviceTime time.Duration, deadline, now time.Time) bool {
	start := serviceTime * time.Duration(ahead+1) / time.Duration(slots)
	return !now.Add(start + serviceTime).After(deadline)
}

// ahead returns how many waiters in the queue precede w.
func (l *Limiter) ahead(w *waiter) int {
	n := 0
	for _, other := range l.queue {
		if precedes(other, w) {
			n++
		}
	}
	return n
}

// displace refuses the last waiter of the queue in favor of a request whose class has a higher
// priority. It returns false if there is none to displace.
func (l *Limiter) displace(class jaygw.Class) bool {
	var last *waiter
	for _, w := range l.queue {
		if last == nil || precedes(last, w) {
			last = w
		}
	}
	if last == nil || class.Priority() >= last.class.Priority() {
		return false
	}
	heap.Remove(&l.queue, last.index)
	last.result <- ErrBusy
	return true
}

func (l *Limiter) wait(ctx context.Context, w *waiter, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-w.result:
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
	// The slot was assigned at the same moment, so it is released again.
	if err := <-w.result; err != nil {
		return err
	}
	l.Release(0, time.Now())
	return ErrDeadline
}

// Release returns a slot and assigns it to the next request in the queue, if any. held is how long
// the slot was held; zero leaves the average service time unchanged.
func (l *Limiter) Release(held time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case held <= 0:
	case l.serviceTime == 0:
		l.serviceTime = held
	default:
		l.serviceTime += (held - l.serviceTime) / serviceTimeWeight
	}
	for len(l.queue) > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		// A request with less than half of the average service time left would take the slot
		// from one that can still finish.
		if len(l.queue) > 0 && w.deadline.Sub(now) < l.serviceTime/2 {
			w.result <- ErrDeadline
			continue
		}
		w.result <- nil
		return
	}
	l.running--
}

// Leave refuses all new requests and all requests in the queue.
func (l *Limiter) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = true
	for len(l.queue) > 0 {
		w := heap.Pop(&l.queue).(*waiter)
		w.result <- ErrLeaving
	}
}

// Load returns the numbers of running and of waiting requests.
func (l *Limiter) Load() (running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.queue)
}

// Capacity returns how many requests may run or wait at the same time.
func (l *Limiter) Capacity() int { return l.slots + l.queueLimit }

func precedes(a, b *waiter) bool {
	return cmp.Or(cmp.Compare(a.class.Priority(), b.class.Priority()),
		a.deadline.Compare(b.deadline), cmp.Compare(a.arrival, b.arrival)) < 0
}

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return precedes(q[i], q[j]) }

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	w.index = -1
	*q = (*q)[:last]
	return w
}
