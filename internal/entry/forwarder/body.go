package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

// body is a request's body. The part that was read ahead can be sent more than once,
// the rest only once.
type body struct {
	prefix   []byte      // the part that was read ahead
	rest     io.Reader   // what follows prefix
	length   int64       // in bytes; -1 if unknown
	complete bool        // prefix is the whole body
	consumed atomic.Bool // reading of rest for an upstream has started
}

const (
	// readAheadBytes is how much of a body is read before the first attempt, so that
	// it can be resent. Most requests are smaller.
	readAheadBytes     = 64 << 10
	chunkBytes         = 32 << 10 // largest part of a body in one message to an agent
	initialBufferBytes = 4 << 10  // for a body that is not known to fit the limit
)

func newBody(rest io.Reader, length int64) *body {
	return &body{rest: rest, length: length, complete: length == 0}
}

// readAhead reads up to a limit of bytes into prefix.
func (b *body) readAhead(limit int) error {
	if b.complete {
		return nil
	}
	if b.length >= 0 && b.length <= int64(limit) {
		b.prefix = make([]byte, b.length)
		n, err := io.ReadFull(b.rest, b.prefix)
		b.prefix = b.prefix[:n]
		if err != nil {
			return err
		}
		b.complete = true
		return nil
	}
	buffer := make([]byte, 0, min(initialBufferBytes, limit))
	for len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), min(limit, 2*cap(buffer)))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := b.rest.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			b.complete = true
			b.length = int64(len(buffer))
			break
		}
		if err != nil {
			return err
		}
	}
	b.prefix = buffer
	return nil
}

// replayable reports whether the body can still be sent from its start.
func (b *body) replayable() bool { return b.complete || !b.consumed.Load() }
