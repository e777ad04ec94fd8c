// Package recorder stores a process's part of the time line: a ring buffer of events, stamped with
// a hybrid logical clock.
package recorder

import (
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Recorder stores the latest events of one process. It is safe for concurrent use.
	Recorder struct {
		process string
		domain  string
		now     func() time.Time

		mu       sync.Mutex
		clock    jaygw.Clock
		sequence uint64
		ring     []jaygw.Event
		oldest   int // index of the oldest event once the ring is full
	}

	// Option configures a new Recorder.
	Option func(*Recorder)
)

const defaultCapacity = 8192

var _ jaygw.Recorder = (*Recorder)(nil)

// WithCapacity sets how many events are stored before the oldest are overwritten.
func WithCapacity(events int) Option {
	return func(r *Recorder) { r.ring = make([]jaygw.Event, 0, events) }
}

// WithClock replaces the wall clock.
func WithClock(now func() time.Time) Option {
	return func(r *Recorder) { r.now = now }
}

// New returns a recorder for the named process in the named failure domain.
func New(process, domain string, options ...Option) *Recorder {
	r := &Recorder{process: process, domain: domain, now: time.Now, ring: make([]jaygw.Event, 0, defaultCapacity)}
	for _, option := range options {
		option(r)
	}
	return r
}

// Record adds an event and overwrites the oldest one if the buffer is full.
func (r *Recorder) Record(kind jaygw.EventKind, cause string, subjects ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event := jaygw.Event{
		Clock: r.advance(), Process: r.process, Domain: r.domain, Sequence: r.sequence,
		Kind: kind, Subjects: subjects, Cause: cause,
	}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.oldest] = event
	r.oldest = (r.oldest + 1) % len(r.ring)
}

// Observe advances the clock to a reading received from another process, if that is later.
func (r *Recorder) Observe(remote jaygw.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Before(remote) {
		r.clock = remote
	}
}

// Now advances the clock and returns the reading, to be sent with a message.
func (r *Recorder) Now() jaygw.Clock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance()
}

// Events returns the stored events with a sequence number above since, oldest first.
func (r *Recorder) Events(since uint64) []jaygw.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []jaygw.Event
	for i := range r.ring {
		event := r.ring[(r.oldest+i)%len(r.ring)]
		if event.Sequence > since {
			events = append(events, event)
		}
	}
	return events
}

// advance moves the hybrid logical clock to the wall clock or, if that has not moved on, increments
// its logical part.
func (r *Recorder) advance() jaygw.Clock {
	wall := jaygw.TimeOf(r.now())
	if wall > r.clock.Wall {
		r.clock = jaygw.Clock{Wall: wall}
	} else {
		r.clock.Logical++
	}
	return r.clock
}
