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

// exchange is one attempt at the agent.
type exchange struct {
	server *Server
	stream messenger.DRPCUpstream_AttemptStream
	head   *messenger.AttemptHead
	began  time.Time
	sent   uint32     // messages
	held   heldStream // nil if sends are flushed at once
}

// heldStream is a drpc stream whose sends wait for a flush.
type heldStream interface {
	SetManualFlush(manual bool)
	RawFlush() error
}

func (e *exchange) send(m *messenger.AttemptResponse) error {
	m.Attempt = e.head.Attempt
	m.Incarnation = uint64(e.server.incarnation)
	m.Credits = int32(e.server.granter.Grant(e.head.Entry, int(e.head.Wanted), e.began))
	m.CreditNanos = int64(limiter.CreditValidity)
	m.Leaving = e.server.leaving.Load()
	m.Sequence = e.sent
	e.sent++
	if err := e.stream.Send(m); err != nil || m.Last || e.held == nil {
		return err
	}
	return e.held.RawFlush()
}

// holdFlush makes sends wait for a flush, so that the last message goes out with
// the end of the stream in one write. It is called before another goroutine
// receives from the stream, which reads the same setting.
func (e *exchange) holdFlush() {
	wrapped, ok := e.stream.(interface{ GetStream() drpc.Stream })
	if !ok {
		return
	}
	if held, ok := wrapped.GetStream().(heldStream); ok {
		held.SetManualFlush(true)
		e.held = held
	}
}

// refuse answers that the upstream was given no byte.
func (e *exchange) refuse(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, NotExecuted: true, Last: true})
}

// shed answers that the request was refused because of load.
func (e *exchange) shed(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, NotExecuted: true, Overloaded: true, Last: true})
}

// fail answers that the upstream may have run the request.
func (e *exchange) fail(reason string) error {
	return e.send(&messenger.AttemptResponse{Failure: reason, Last: true})
}

func (e *exchange) forward(ctx context.Context, body *inbox, deadline time.Time) error {
	// The upstream counts as touched from the moment that there is a connection
	// for the request: whether bytes were written after that is not observable
	// without a race.
	touched := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { touched = true },
	})
	request, err := http.NewRequestWithContext(traced, e.head.Method, e.server.base+e.head.Target, body)
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
		if !touched {
			return e.refuse(err.Error())
		}
		return e.fail(err.Error())
	}
	defer response.Body.Close()
	return e.respond(response)
}

func (e *exchange) setHeader(request *http.Request, deadline time.Time) {
	request.Header["User-Agent"] = nil // net/http adds its own if there is none
	for _, field := range e.head.Header {
		switch field.Name {
		case "Host":
			request.Host = field.Value
		case "Idempotency-Key", "X-Idempotency-Key":
			// net/http resends a request with such a header, in canonical form,
			// after a lost connection. The request could then run twice.
			name := field.Name[:1] + lower(field.Name[1:])
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

func lower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
	return string(b)
}

// respond streams the response. A short one of known length goes in one message,
// so that one that is cut off fails before the caller is sent anything.
func (e *exchange) respond(response *http.Response) error {
	if response.StatusCode < http.StatusOK {
		return e.fail(fmt.Sprintf("the upstream answered with status %d", response.StatusCode))
	}
	if !delimited(e.head.Method, response) {
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

// delimited reports whether the end of the response can be told from a lost
// connection.
func delimited(method string, response *http.Response) bool {
	return response.ContentLength >= 0 || !jaygw.HasBody(method, response.StatusCode) ||
		len(response.TransferEncoding) > 0
}
