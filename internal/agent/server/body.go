package server

import (
	"errors"
	"io"

	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// body reads a request's body from the stream of an attempt.
type body struct {
	stream messenger.DRPCUpstream_AttemptStream
	chunk  []byte
	last   bool
}

var errCanceled = errors.New("the entry has canceled the attempt")

func newBody(stream messenger.DRPCUpstream_AttemptStream, first *messenger.AttemptRequest) *body {
	return &body{stream: stream, chunk: first.Chunk, last: first.Last}
}

// Read returns the next part of the body. A stream that ends before the last
// chunk is an error.
func (b *body) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.last {
			return 0, io.EOF
		}
		message, err := b.stream.Recv()
		if err != nil {
			return 0, io.ErrUnexpectedEOF
		}
		if message.Cancel {
			return 0, errCanceled
		}
		b.chunk = message.Chunk
		b.last = message.Last
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}
