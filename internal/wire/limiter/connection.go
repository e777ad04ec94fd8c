package limiter

import (
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

type (
	// limitedConn is a connection with limits for the time and the memory of headers, and for the time of writes.
	limitedConn struct {
		net.Conn
		listener *listener
		host     string // remote address without the port
		place    place  // guarded by the listener

		mu        sync.Mutex
		phase     phase
		requested time.Time  // deadline that the server has set
		own       time.Time  // deadline of the phase
		header    headerScan // of what was read since the end of the last request
		charged   int64      // bytes of the budget for the headers
		account   *account   // of the headers
		closed    bool
		readsBody bool // a handler is reading the body
	}

	// phase is what a connection is used for at present.
	phase int

	connKey struct{}
)

const (
	inHeader  phase = iota // waits for the end of the headers
	inRequest              // a request is handled
	inIdle                 // waits for the first byte of a request
)

const (
	// timeoutSlack is added to the limits of headers and idle connections: a client that keeps them exactly is not cut
	// off while its request is on its way.
	timeoutSlack = time.Second

	// A write may take writeTimeout and the time of its bytes at minWriteRate.
	writeTimeout = 10 * time.Second
	minWriteRate = 64 << 10 // bytes per second
)

// Read reads from the connection. In headers it fails once the budget is used up.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		c.listener.limiter.count("refused-headers", c.host)
		return 0, os.ErrDeadlineExceeded // the server closes the connection without a response
	}
	return n, err
}

// received accounts for bytes that were read, and reports whether they are within the limits.
func (c *limitedConn) received(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inIdle {
		c.enter(inHeader, c.listener.timing().header)
	}
	if c.phase != inHeader {
		return true
	}
	c.header.add(p)
	if c.listener.bounded() && c.header.exceeds(c.listener.timing().headerBytes) {
		return false
	}
	bytes := c.header.cost() - c.charged
	if bytes <= 0 {
		return true
	}
	if c.closed || !c.listener.limiter.budget.acquire(c.account, bytes) {
		return false
	}
	c.charged += bytes
	return true
}

// Write writes to the connection, for a limited time.
func (c *limitedConn) Write(p []byte) (int, error) {
	if c.listener.bounded() {
		limit := writeTimeout + time.Duration(len(p))*time.Second/minWriteRate
		if err := c.SetWriteDeadline(time.Now().Add(limit)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// CloseWrite lets net/http end a connection without a reset.
func (c *limitedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *limitedConn) Close() error {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.releaseHeaders()
	c.mu.Unlock()
	if !wasClosed {
		c.listener.remove(c)
	}
	return c.Conn.Close()
}

// SetReadDeadline sets the server's deadline. The one of the phase applies if it is earlier.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested = t
	return c.applyDeadline()
}

// setState follows the states that the server reports: a connection is active once headers have been read.
func (c *limitedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.enter(inHeader, c.listener.timing().header)
	case http.StateActive:
		// Some requests never reach the limiter's handler, which replaces this limit: net/http refuses them, and
		// then reads their bodies.
		limit := time.Duration(0)
		if c.listener.bounded() {
			limit = bodyGrace
		}
		c.enter(inRequest, limit)
		c.listener.setBusy(c)
	case http.StateIdle:
		c.releaseHeaders()
		c.listener.setIdle(c, time.Now())
		c.enter(inIdle, c.listener.timing().idle)
	}
}

// enter begins a phase with a time limit; zero for none.
func (c *limitedConn) enter(next phase, limit time.Duration) {
	c.phase, c.own, c.readsBody = next, time.Time{}, false
	if limit > 0 {
		c.own = time.Now().Add(limit + timeoutSlack)
	}
	// An error means that the connection is closed; the next read returns it.
	_ = c.applyDeadline()
}

func (c *limitedConn) releaseHeaders() {
	c.header, c.charged = headerScan{}, 0
	c.listener.limiter.budget.release(c.account)
}

// setBodyDeadline sets the deadline for the rest of the body. Zero stands for none, which is required once the body
// has been read: the server then reads from the connection to notice its end. A connection may be nil.
func (c *limitedConn) setBodyDeadline(t time.Time) { c.limitBody(t, false) }

// readBody sets the deadline for the next part of a body that a handler is reading.
func (c *limitedConn) readBody(t time.Time) { c.limitBody(t, true) }

func (c *limitedConn) limitBody(t time.Time, reads bool) {
	if c == nil || !c.listener.bounded() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inRequest {
		c.readsBody, c.own = reads, t
		// An error means that the connection is closed; the next read returns it.
		_ = c.applyDeadline()
	}
}

// expire ends the read of a handler that waits for a body. Without one it does nothing.
func (c *limitedConn) expire() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == inRequest && c.readsBody {
		c.own = time.Unix(1, 0)
		// An error means that the connection is closed; the next read returns it.
		_ = c.applyDeadline()
	}
}

func (c *limitedConn) applyDeadline() error {
	deadline := c.requested
	if deadline.IsZero() || !c.own.IsZero() && c.own.Before(deadline) {
		deadline = c.own
	}
	return c.Conn.SetReadDeadline(deadline)
}
