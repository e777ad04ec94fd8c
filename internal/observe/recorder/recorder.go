// Package recorder keeps a process's part of the time line: a bounded ring of
// events with a hybrid logical clock.
package recorder

import (
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Recorder keeps the latest events of one process.
	Recorder struct {
		process string
		domain  string
		now     func() time.Time

		mu       sync.Mutex
		clock    jaygw.Clock
		sequence uint64
		ring     []jaygw.Event
		next     int
	}

	// Option changes a new Recorder.
	Option func(*Recorder)
)

const defaultCapacity = 8192

var _ jaygw.Recorder = (*Recorder)(nil)

// WithCapacity sets how many events are kept.
func WithCapacity(events int) Option {
	return func(r *Recorder) { r.ring = make([]jaygw.Event, 0, events) }
}

// WithClock replaces the wall clock.
func WithClock(now func() time.Time) Option {
	return func(r *Recorder) { r.now = now }
}

// New returns the recorder of a process in a failure domain.
func New(process, domain string, options ...Option) *Recorder {
	r := &Recorder{process: process, domain: domain, now: time.Now, ring: make([]jaygw.Event, 0, defaultCapacity)}
	for _, option := range options {
		option(r)
	}
	return r
}

// Record adds an event.
func (r *Recorder) Record(kind jaygw.EventKind, cause string, subjects ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	event := jaygw.Event{
		Clock: r.tick(), Process: r.process, Domain: r.domain, Sequence: r.sequence,
		Kind: kind, Subjects: subjects, Cause: cause,
	}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, event)
		return
	}
	r.ring[r.next] = event
	r.next = (r.next + 1) % len(r.ring)
}

// Observe advances the clock past a reading that came with a message.
func (r *Recorder) Observe(remote jaygw.Clock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock.Before(remote) {
		r.clock = remote
	}
}

// Now returns a reading for an outgoing message.
func (r *Recorder) Now() jaygw.Clock {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Events returns the kept events after a sequence number, oldest first.
func (r *Recorder) Events(since uint64) []jaygw.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []jaygw.Event
	for i := range r.ring {
		event := r.ring[(r.next+i)%len(r.ring)]
		if event.Sequence > since {
			events = append(events, event)
		}
	}
	return events
}

func (r *Recorder) tick() jaygw.Clock {
	wall := jaygw.TimeOf(r.now())
	if wall > r.clock.Wall {
		r.clock = jaygw.Clock{Wall: wall}
	} else {
		r.clock.Logical++
	}
	return r.clock
}
