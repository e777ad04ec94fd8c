package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

// body is a request's body. The part that has been read ahead can be sent more
// than once; the rest only once.
type body struct {
	head     []byte
	rest     io.Reader
	length   int64 // -1 if unknown
	whole    bool  // head is all of it
	consumed atomic.Bool
}

const (
	// bufferedBody is how much of a body is read before the first attempt, so
	// that it can be resent. Most requests are smaller.
	bufferedBody = 64 << 10
	chunkBytes   = 32 << 10
	firstRead    = 4 << 10
)

func newBody(rest io.Reader, length int64) *body {
	return &body{rest: rest, length: length, whole: length == 0}
}

// fill reads ahead up to a limit of bytes.
func (b *body) fill(limit int) error {
	if b.whole {
		return nil
	}
	if b.length >= 0 && b.length <= int64(limit) {
		b.head = make([]byte, b.length)
		n, err := io.ReadFull(b.rest, b.head)
		b.head = b.head[:n]
		if err != nil {
			return err
		}
		b.whole = true
		return nil
	}
	buffer := make([]byte, 0, min(firstRead, limit))
	for len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			grown := make([]byte, len(buffer), min(limit, 2*cap(buffer)))
			copy(grown, buffer)
			buffer = grown
		}
		n, err := b.rest.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			b.whole = true
			b.length = int64(len(buffer))
			break
		}
		if err != nil {
			return err
		}
	}
	b.head = buffer
	return nil
}

// replayable reports whether the body can still be sent from its beginning.
func (b *body) replayable() bool { return b.whole || !b.consumed.Load() }
