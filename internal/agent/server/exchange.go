package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"storj.io/drpc"
)

// exchange is the agent's side of one attempt: it passes the request of an entry on to the
// upstream and returns the response.
type exchange struct {
	server  *Server
	stream  messenger.DRPCUpstream_AttemptStream
	head    *messenger.AttemptHead
	start   time.Time
	sent    uint32          // number of messages sent
	flusher flushableStream // nil if each send is flushed immediately
}

// flushableStream is a drpc stream whose sends can be buffered until a flush.
type flushableStream interface {
	SetManualFlush(manual bool)
	RawFlush() error
}

func (e *exchange) send(m *messenger.AttemptResponse) error {
	m.Attempt = e.head.Attempt
	m.Incarnation = uint64(e.server.incarnation)
	m.Credits = int32(e.server.granter.Grant(e.head.Entry, int(e.head.Wanted), e.start))
	m.CreditNanos = int64(limiter.CreditValidity)
	m.Leaving = e.server.leaving.Load()
	m.Sequence = e.sent
	e.sent++
	if err := e.stream.Send(m); err != nil || m.Last || e.flusher == nil {
		return err
	}
	return e.flusher.RawFlush()
}

// enableManualFlush buffers sends until a flush, so that the last message and the end of the
// stream are sent in one write. It must be called before another goroutine receives from the
// stream, because receiving reads the same setting.
func (e *exchange) enableManualFlush() {
	wrapped, ok := e.stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return
	}
	if flusher, ok := wrapped.GetStream().(flushableStream); ok {
		flusher.SetManualFlush(true)
		e.flusher = flusher
	}
}

// refuse responds that no byte of the request was sent to the upstream.
func (e *exchange) refuse(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, NotExecuted: true, Last: true})
}

// refuseOverloaded responds that the request was refused because of load.
func (e *exchange) refuseOverloaded(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, NotExecuted: true, Overloaded: true, Last: true})
}

// fail responds that the upstream may have executed the request.
func (e *exchange) fail(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, Last: true})
}

func (e *exchange) forward(ctx context.Context, body *requestBody, deadline time.Time) error {
	// The upstream may have executed the request once there is a connection for it: whether
	// bytes were written after that cannot be observed without a race.
	mayHaveExecuted := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayHaveExecuted = true },
	})
	request, err := http.NewRequestWithContext(traced, e.head.Method, e.server.baseURL+e.head.Target, body)
	if err != nil {
		return e.refuse(err.Error())
	}
	request.ContentLength = e.head.Length
	if e.head.Length == 0 {
		request.Body = http.NoBody
	}
	e.setHeader(request, deadline)
	response, err := e.server.client.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		if !mayHaveExecuted {
			return e.refuse(err.Error())
		}
		return e.fail(err.Error())
	}
	defer response.Body.Close()
	return e.respond(response)
}

func (e *exchange) setHeader(request *http.Request, deadline time.Time) {
	request.Header["User-Agent"] = nil // net/http adds its own value if the key is absent
	for _, field := range e.head.Header {
		switch field.Name {
		case "Host":
			request.Host = field.Value
		case "Idempotency-Key", "X-Idempotency-Key":
			// net/http resends a request that has this header in canonical form after a
			// lost connection. The upstream could then execute the request twice.
			name := field.Name[:1] + lowerCase(field.Name[1:])
			request.Header[name] = append(request.Header[name], field.Value)
		default:
			request.Header[field.Name] = append(request.Header[field.Name], field.Value)
		}
	}
	request.Header["Jaygw-Timeout"] = []string{time.Until(deadline).Round(time.Microsecond).String()}
	if e.head.Retry {
		request.Header["Jaygw-Retry"] = []string{"1"}
	}
}

func lowerCase(s string) string {
	b := []byte(s)
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// respond streams the response. A short response of known length is sent in one message, so that
// a truncated response fails before anything is sent to the caller.
func (e *exchange) respond(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return e.fail(fmt.Sprintf("the upstream answered with status %d", response.StatusCode))
	}
	if !hasDefinedEnd(e.head.Method, response) {
		return e.fail("the upstream's response has neither a length nor a terminator")
	}
	message := &messenger.AttemptResponse{Status: int32(response.StatusCode), Length: response.ContentLength}
	message.Header = make([]*messenger.Header, 0, len(response.Header))
	for name, values := range response.Header {
		for _, value := range values {
			message.Header = append(message.Header, &messenger.Header{Name: name, Value: value})
		}
	}
	if !jaygw.HasBody(e.head.Method, response.StatusCode) {
		message.Last = true
		return e.send(message)
	}
	if response.ContentLength >= 0 && response.ContentLength <= chunkBytes {
		message.Chunk = make([]byte, response.ContentLength)
		message.Last = true
		if _, err := io.ReadFull(response.Body, message.Chunk); err != nil {
			return e.fail("the upstream's response was cut off: " + err.Error())
		}
		return e.send(message)
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := response.Body.Read(buffer)
		if err != nil && !errors.Is(err, io.EOF) {
			return e.fail("the upstream's response was cut off: " + err.Error())
		}
		message.Chunk = buffer[:n]
		message.Last = err != nil
		if err := e.send(message); err != nil || message.Last {
			return err
		}
		message = &messenger.AttemptResponse{}
	}
}

// hasDefinedEnd reports whether the end of the response can be distinguished from a lost
// connection.
func hasDefinedEnd(method string, response *http.Response) bool {
	return response.ContentLength >= 0 || !jaygw.HasBody(method, response.StatusCode) ||
		len(response.TransferEncoding) > 0
}
