package limiter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// request is one request that a limited server handles.
	request struct {
		limiter *Limiter
		class   Class
		conn    *limitedConn
		account *account
	}

	// CostFunc returns the memory that decoding a body takes, at most.
	CostFunc func(body []byte) int64
)

var (
	// ErrBusy means that the budget of the process is used up. The body was not decoded.
	ErrBusy = eris.New("too many requests at a time")
	// ErrSlow means that a body took too long.
	ErrSlow = eris.New("the body took too long")
)

const (
	// firstBuffer is the size of the buffer for a body of unknown length, which doubles as it fills up.
	firstBuffer = 4 << 10

	// A body may take bodyGrace and the time of its bytes at minBodyRate, and bodyTimeout at most. That is longer than
	// the time limit of callers' queues.
	bodyGrace   = 3 * time.Second
	bodyTimeout = 20 * time.Second
	minBodyRate = 16 << 10 // bytes per second

	// budgetWait is how long a request waits for bytes of the budget.
	budgetWait = 250 * time.Millisecond

	// lingerTime is how long the rest of a refused request is read and dropped, so that its client reads the response.
	lingerTime = time.Second
)

// ReadBody reads the body of a request, of which limit bytes are the most that its handler takes. It holds the memory of the
// body, and of decoding it, until the end of the request. A server without a limiter has no bounds but limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, cost CostFunc) ([]byte, error) {
	q, ok := r.Context().Value(requestKey{}).(*request)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	limit = q.bodyLimit(limit)
	if r.ContentLength > limit {
		q.linger(w)
		delayClose(w, r)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, err := q.read(r.Context(), http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err == nil {
		err = q.acquire(r.Context(), cost(body))
	}
	if err != nil {
		q.linger(w)
		switch {
		case errors.Is(err, ErrBusy):
			q.limiter.count("refused-bodies", r.RemoteAddr)
			if r.ContentLength > 0 {
				delayClose(w, r) // a body of a declared length has not been read, or to its end
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			q.limiter.count("slow-bodies", r.RemoteAddr)
			return nil, ErrSlow
		}
		return nil, err
	}
	return body, nil
}

// bodyLimit returns the largest body. The catalog's limit replaces that of callers' handlers.
func (q *request) bodyLimit(limit int64) int64 {
	if q.class == Callers {
		return int64(q.limiter.timingOf(q.class).bodyBytes)
	}
	return limit
}

// read reads a body of a declared length, or of an unknown one if it is negative.
func (q *request) read(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	start, b := time.Now(), q.limiter.budget
	size := max(length, 0)
	if length < 0 {
		size = firstBuffer
	}
	if err := q.acquire(ctx, size); err != nil {
		return nil, err
	}
	b.setReading(q.account, true, start)
	defer func() {
		b.setReading(q.account, false, start)
		q.conn.setBodyDeadline(time.Time{})
	}()
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			if length >= 0 { // the end of the body is read, too
				return buffer, readEnd(body)
			}
			grown := 2 * cap(buffer)
			if err := q.acquire(ctx, int64(grown)); err != nil {
				return nil, err
			}
			old := cap(buffer)
			buffer = append(make([]byte, 0, grown), buffer...)
			b.shrink(q.account, int64(old))
		}
		q.conn.readBody(bodyDeadline(start, len(buffer)))
		if b.isEvicted(q.account) {
			return nil, os.ErrDeadlineExceeded
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			b.setReading(q.account, true, time.Now())
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// readEnd reads the end of a body, which lets the server read the next request.
func readEnd(body io.Reader) error {
	var end [1]byte
	if n, err := body.Read(end[:]); n > 0 || err != nil && !errors.Is(err, io.EOF) {
		return eris.Wrap(err, "the body is longer than declared")
	}
	return nil
}

// bodyDeadline returns the time until which a body must go on, of which some bytes have been read.
func bodyDeadline(start time.Time, read int) time.Time {
	allowed := bodyGrace + time.Duration(read)*time.Second/minBodyRate
	return start.Add(min(allowed, bodyTimeout))
}

// acquire acquires bytes, and cuts off bodies that have stalled if there are not enough.
func (q *request) acquire(ctx context.Context, bytes int64) error {
	b := q.limiter.budget
	if b.acquire(q.account, bytes) {
		q.limiter.bytes.Update(b.inUse())
		return nil
	}
	if !b.enterQueue() {
		return ErrBusy
	}
	defer b.leaveQueue()
	for end := time.Now().Add(budgetWait); ; {
		changed := b.awaitChange()
		if b.acquire(q.account, bytes) {
			q.limiter.bytes.Update(b.inUse())
			return nil
		}
		now := time.Now()
		if now.After(end) || b.isEvicted(q.account) {
			return ErrBusy
		}
		if stalled := b.evict(now); stalled != nil {
			stalled.conn.expire()
		}
		select {
		case <-changed:
		case <-time.After(evictInterval):
		case <-ctx.Done():
			return ErrBusy
		}
	}
}

// Reserve holds memory for the response to a request until its end. Without a limiter it holds none.
func Reserve(r *http.Request, bytes int64) error {
	q, ok := r.Context().Value(requestKey{}).(*request)
	if !ok {
		return nil
	}
	err := q.acquire(r.Context(), bytes)
	if err != nil {
		q.limiter.count("refused-responses", r.RemoteAddr)
	}
	return err
}

// linger makes the connection end after the response, once the rest of the request has been dropped for a limited time.
func (q *request) linger(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	q.conn.setBodyDeadline(time.Now().Add(lingerTime))
}

// delayClose makes net/http wait before it closes the connection of a body that is not read. Without that, a request with
// "Connection: close" is closed at once, with unread bytes: the client then sees a reset and may lose the response.
func delayClose(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Expect") != "" {
		return // the client sends no body
	}
	// net/http notes that the limit is exceeded once a byte has come, or the read deadline of linger has passed.
	_, _ = http.MaxBytesReader(w, r.Body, 0).Read(make([]byte, 1))
}

// refuse answers a request whose body is not read.
func refuse(w http.ResponseWriter, conn *limitedConn, message string, status int) {
	w.Header().Set("Connection", "close")
	conn.setBodyDeadline(time.Now().Add(lingerTime))
	http.Error(w, message, status)
}
