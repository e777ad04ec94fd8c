package limiter

import (
	"sync"
	"time"
)

type (
	// budget accounts for the bytes that requests hold. An account grows in steps, so that a body without a
	// declared length takes what it has used.
	budget struct {
		mu       sync.Mutex
		capacity int64 // 0 for no bound
		used     int64
		accounts map[*account]struct{} // those that hold bytes
		changed  chan struct{}         // closed when bytes are returned
		waiting  int                   // requests that wait for bytes
		evicted  time.Time             // when an account was last sought that has stalled
	}

	// account holds the bytes of one request, or of the headers on one connection. Its fields are guarded by the budget.
	account struct {
		conn     *limitedConn
		held     int64
		reading  bool      // whether its body is being read
		progress time.Time // of the last byte of the body
		evicted  bool
	}
)

const (
	// smallAccount may use the whole budget. Larger accounts leave a quarter of it, so that they do not keep
	// ordinary requests out.
	smallAccount = 64 << 10

	// stallTime is the time without a byte after which a body is cut off while the budget is used up.
	stallTime = 500 * time.Millisecond

	// evictInterval is the least time between two searches for a stalled body.
	evictInterval = 10 * time.Millisecond

	// maxWaiting bounds the requests that wait for bytes; others are refused at once.
	maxWaiting = 64
)

func newBudget(capacity int64) *budget {
	return &budget{capacity: capacity, accounts: map[*account]struct{}{}, changed: make(chan struct{})}
}

func newAccount(conn *limitedConn) *account { return &account{conn: conn} }

// acquire adds bytes to an account if the budget allows it. An account that needs more than there is takes all of what
// large accounts may use, so that it is served once it is alone.
func (b *budget) acquire(a *account, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.capacity
	if a.held+bytes > smallAccount {
		limit = b.capacity - b.capacity/4
	}
	if b.capacity > 0 {
		own := a.held // with the headers of the request
		if a.conn != nil && a.conn.account != a {
			own += a.conn.account.held
		}
		bytes = min(bytes, max(0, limit-own))
		if b.used > own && b.used+bytes > limit {
			return false
		}
	}
	b.used += bytes
	a.held += bytes
	b.accounts[a] = struct{}{}
	return true
}

// shrink returns a part of an account.
func (b *budget) shrink(a *account, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.give(a, min(bytes, a.held))
}

// release returns all bytes of an account.
func (b *budget) release(a *account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading = false
	b.give(a, a.held)
	delete(b.accounts, a)
}

func (b *budget) give(a *account, bytes int64) {
	a.held -= bytes
	b.used -= bytes
	if bytes > 0 {
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

// setReading records that the body of an account is being read, with progress at a time, or no longer.
func (b *budget) setReading(a *account, reading bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.reading, a.progress = reading, now
}

// evict marks the account whose body has stalled for longest and returns it, or nil.
func (b *budget) evict(now time.Time) *account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.evicted) < evictInterval {
		return nil
	}
	b.evicted = now
	var longest *account
	for a := range b.accounts {
		if a.reading && !a.evicted && now.Sub(a.progress) >= stallTime && (longest == nil || a.progress.Before(longest.progress)) {
			longest = a
		}
	}
	if longest != nil {
		longest.evicted = true
	}
	return longest
}

// enterQueue counts a request that waits for bytes, and reports whether it may.
func (b *budget) enterQueue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting >= maxWaiting {
		return false
	}
	b.waiting++
	return true
}

func (b *budget) leaveQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
}

func (b *budget) isEvicted(a *account) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.evicted
}

// awaitChange returns a channel that is closed when bytes are returned.
func (b *budget) awaitChange() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *budget) inUse() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
