// Package watchdog detects that the process stood still, and which requests may have waited
// meanwhile.
package watchdog

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw/internal/observe/timekeeper"
	"github.com/sirupsen/logrus"
)

type (
	// Watchdog detects pauses: times in which the process was frozen or suspended, or got no processor
	// time. A request that the process reads after a pause may have arrived before it, and its sender
	// may have given up and sent other orders elsewhere. Its methods are safe for concurrent use.
	Watchdog struct {
		clock func() time.Time
		log   logrus.FieldLogger

		mu      sync.Mutex
		last    time.Time // latest observation
		resumed time.Time // end of the latest pause
	}

	// Option configures a Watchdog that New creates.
	Option func(*Watchdog)
)

const (
	// MaxAge is how old a request may become before it counts as given up. Together with the longest
	// pause that goes unnoticed it is below the second after which senders move on.
	MaxAge = 550 * time.Millisecond

	// maxPause is the longest time between two observations that doesn't count as a pause.
	maxPause = 400 * time.Millisecond
	interval = maxPause / 4

	// settleTime is the time after a pause within which the requests are read that arrived during it.
	settleTime = 500 * time.Millisecond
)

// WithClock sets the clock, which must run on while the machine is suspended. The default is
// timekeeper.Now.
func WithClock(clock func() time.Time) Option { return func(w *Watchdog) { w.clock = clock } }

// WithLogger sets the logger. The default is the standard logger of logrus.
func WithLogger(log logrus.FieldLogger) Option { return func(w *Watchdog) { w.log = log } }

// New returns a watchdog. It notices pauses from the first observation on.
func New(options ...Option) *Watchdog {
	w := &Watchdog{clock: timekeeper.Now, log: logrus.StandardLogger()}
	for _, option := range options {
		option(w)
	}
	return w
}

// Run observes the clock until the context ends.
func (w *Watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		w.Observe(w.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Now reads the watchdog's clock. Only differences between two readings are meaningful.
func (w *Watchdog) Now() time.Time { return w.clock() }

// Observe records that the process runs.
func (w *Watchdog) Observe(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pause := now.Sub(w.last)
	if !w.last.IsZero() && pause > maxPause {
		w.resumed = now
		w.log.WithField("pause", pause.String()).Warn("watchdog: the process stood still")
	}
	if pause > 0 {
		w.last = now
	}
}

// IsCurrent reports whether the sender of a request that was read at a time still waits for it: the
// request did not wait during a pause, and isn't older than MaxAge.
func (w *Watchdog) IsCurrent(read, now time.Time) bool {
	w.Observe(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(read) <= MaxAge && (w.resumed.IsZero() || read.Sub(w.resumed) >= settleTime)
}
