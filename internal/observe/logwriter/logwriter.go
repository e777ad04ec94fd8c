// Package logwriter writes log lines asynchronously, so that logging never blocks the process.
package logwriter

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Writer is a log writer with a bounded queue. It drops and counts lines when the queue is full
	// or the rate is exceeded, and reports the count before the next line that it accepts.
	Writer struct {
		out     io.Writer
		queue   chan []byte
		done    chan struct{}
		dropped atomic.Int64
		rate    *rateLimit
		now     func() time.Time

		mu     sync.RWMutex // guards closed, and the queue against a line after its end
		closed bool
	}

	// Option configures a new Writer.
	Option func(*Writer)

	// rateLimit bounds the number of lines in each wall-clock second.
	rateLimit struct {
		mu     sync.Mutex
		perSec int
		second int64
		count  int
	}
)

const (
	// queueLines is the number of lines that are buffered while writes to the output are slow.
	queueLines = 1024

	// maxBatchLines bounds the lines of one write, so that a sender that is faster than the writer
	// fills the queue and not the memory.
	maxBatchLines = 256

	// linesPerSecond is the default rate. It bounds the processor time of logging under load.
	linesPerSecond = 400

	// flushTimeout is how long Close waits for the queue to be written.
	flushTimeout = 200 * time.Millisecond
)

// WithRate sets the maximum number of lines per second.
func WithRate(lines int) Option { return func(o *Writer) { o.rate.perSec = lines } }

// WithClock replaces the clock that the rate limit reads.
func WithClock(now func() time.Time) Option { return func(o *Writer) { o.now = now } }

// New returns a log writer that passes lines on to out.
func New(out io.Writer, options ...Option) *Writer {
	o := &Writer{
		out: out, queue: make(chan []byte, queueLines), done: make(chan struct{}),
		rate: &rateLimit{perSec: linesPerSecond}, now: time.Now,
	}
	for _, option := range options {
		option(o)
	}
	go o.run()
	return o
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.rate.allow(w.now()) {
		w.dropped.Add(1)
		return len(line), nil
	}
	if dropped := w.dropped.Swap(0); dropped > 0 && !w.enqueue(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"log: lines dropped\",\"lines\":%d}\n", dropped)) {
		w.dropped.Add(dropped)
	}
	if !w.enqueue(bytes.Clone(line)) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) enqueue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// run writes the queued lines, and joins up to maxBatchLines that are waiting into one write.
func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		for lines, more := 1, true; more && lines < maxBatchLines; lines++ {
			select {
			case next, open := <-w.queue:
				line, more = append(line, next...), open
			default:
				more = false
			}
		}
		// A failed write cannot be logged: this is the log.
		_, _ = w.out.Write(line)
	}
}

// Close stops the log writer and waits up to flushTimeout until the queue is written. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func (l *rateLimit) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= l.perSec
}
