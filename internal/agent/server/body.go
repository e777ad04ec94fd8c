package server

import (
	"context"
	"errors"
	"io"

	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// requestBody receives the entry's messages of one attempt: the rest of the request's body, and a
// cancellation at any time. It is the body of the request to the upstream.
type requestBody struct {
	stream   messenger.DRPCUpstream_AttemptStream
	ctx      context.Context
	cancel   context.CancelCauseFunc
	chunks   chan *messenger.AttemptRequest
	chunk    []byte
	complete bool
}

var (
	errCanceled       = errors.New("the entry has canceled the attempt")
	errMissingChunk   = errors.New("a part of the request's body is missing")
	errConnectionLost = errors.New("the connection to the entry was lost")
)

func newRequestBody(ctx context.Context, cancel context.CancelCauseFunc, stream messenger.DRPCUpstream_AttemptStream,
	first *messenger.AttemptRequest,
) *requestBody {
	return &requestBody{
		stream: stream, ctx: ctx, cancel: cancel, chunks: make(chan *messenger.AttemptRequest),
		chunk: first.Chunk, complete: first.Last,
	}
}

// receive reads messages until the stream ends.
func (b *requestBody) receive() {
	for expected := uint32(1); ; {
		message, err := b.stream.Recv()
		if err != nil {
			b.cancel(errConnectionLost)
			return
		}
		if message.Cancel {
			b.cancel(errCanceled)
			continue
		}
		if message.Sequence < expected {
			continue // a duplicate
		}
		if message.Sequence > expected {
			b.cancel(errMissingChunk)
			continue
		}
		expected++
		select {
		case b.chunks <- message:
		case <-b.ctx.Done():
		}
	}
}

// Read returns the next part of the body. It fails if the stream ends before the last chunk.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.chunk) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		select {
		case message := <-b.chunks:
			b.chunk = message.Chunk
			b.complete = message.Last
		case <-b.ctx.Done():
			return 0, context.Cause(b.ctx)
		}
	}
	n := copy(p, b.chunk)
	b.chunk = b.chunk[n:]
	return n, nil
}

// Close implements io.Closer; there is nothing to close.
func (b *requestBody) Close() error { return nil }
