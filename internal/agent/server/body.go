package server

import (
	"context"
	"errors"
	"io"

	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// inbox reads the entry's messages of one attempt: the rest of the request's
// body, and a cancel at any time. It is the body of the request to the upstream.
type inbox struct {
	stream messenger.DRPCUpstream_AttemptStream
	ctx    context.Context
	cancel context.CancelCauseFunc
	chunks chan *messenger.AttemptRequest
	chunk  []byte
	last   bool
}

var (
	errCanceled = errors.New("the entry has canceled the attempt")
	errGap      = errors.New("a part of the request's body is missing")
	errLost     = errors.New("the connection to the entry was lost")
)

func newInbox(ctx context.Context, cancel context.CancelCauseFunc, stream messenger.DRPCUpstream_AttemptStream,
	first *messenger.AttemptRequest,
) *inbox {
	return &inbox{
		stream: stream, ctx: ctx, cancel: cancel, chunks: make(chan *messenger.AttemptRequest),
		chunk: first.Chunk, last: first.Last,
	}
}

// run reads messages until the stream ends.
func (b *inbox) run() {
	for expected := uint32(1); ; {
		message, err := b.stream.Recv()
		if err != nil {
			b.cancel(errLost)
			return
		}
		if message.Cancel {
			b.cancel(errCanceled)
			continue
		}
		if message.Sequence < expected {
			continue // a copy
		}
		if message.Sequence > expected {
			b.cancel(errGap)
			continue
		}
		expected++
		select {
		case b.chunks <- message:
		case <-b.ctx.Done():
		}
	}
}

// Read returns the next part of the body. A stream that ends before the last
// chunk is an error.
func (b *inbox) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.last {
			return 0, io.EOF
		}
		select {
		case message := <-b.chunks:
			b.chunk = message.Chunk
			b.last = message.Last
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

// Close is for http.Request.
func (b *inbox) Close() error { return nil }
