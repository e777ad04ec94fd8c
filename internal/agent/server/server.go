// Package server answers the entries' attempts at an agent: it admits them,
// passes them to the upstream over HTTP, and streams the response back.
package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// Server is one agent as seen by entries.
	Server struct {
		messenger.DRPCUpstreamUnimplementedServer

		base        string
		incarnation jaygw.Incarnation
		limiter     *limiter.Limiter
		client      *http.Client
	}
)

const chunkBytes = 32 << 10

// New returns the server for the upstream at an HTTP address.
func New(upstream string, incarnation jaygw.Incarnation, l *limiter.Limiter) *Server {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		MaxConnsPerHost:     64,
		DisableCompression:  true,
	}
	return &Server{
		base:        "http://" + upstream,
		incarnation: incarnation,
		limiter:     l,
		client: &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Attempt passes one request to the upstream.
func (s *Server) Attempt(stream messenger.DRPCUpstream_AttemptStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.Head
	if head == nil {
		return errors.New("the first message of an attempt has no head")
	}
	if jaygw.Incarnation(head.Incarnation) != s.incarnation {
		return s.refuse(stream, head, "the agent has been restarted")
	}
	now := time.Now()
	remaining := time.Duration(head.RemainingNanos)
	ctx, cancel := context.WithTimeout(stream.Context(), remaining)
	defer cancel()
	if err := s.limiter.Acquire(ctx, jaygw.Class(head.Class), now.Add(remaining), now); err != nil {
		return s.refuse(stream, head, err.Error())
	}
	defer s.limiter.Release()
	return s.forward(ctx, stream, first)
}

func (s *Server) refuse(stream messenger.DRPCUpstream_AttemptStream, head *messenger.AttemptHead, reason string) error {
	return stream.Send(&messenger.AttemptResponse{
		Attempt: head.Attempt, Incarnation: uint64(s.incarnation), Failure: reason, NotExecuted: true, Last: true,
	})
}

func (s *Server) forward(ctx context.Context, stream messenger.DRPCUpstream_AttemptStream, first *messenger.AttemptRequest) error {
	head := first.Head
	request, err := http.NewRequestWithContext(ctx, head.Method, s.base+head.Target, newBody(stream, first))
	if err != nil {
		return s.refuse(stream, head, err.Error())
	}
	request.ContentLength = head.Length
	if head.Length == 0 {
		request.Body = http.NoBody
	}
	for _, field := range head.Header {
		request.Header.Add(field.Name, field.Value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return s.fail(stream, head, err)
	}
	defer response.Body.Close()
	return s.respond(stream, head, response)
}

func (s *Server) fail(stream messenger.DRPCUpstream_AttemptStream, head *messenger.AttemptHead, err error) error {
	return stream.Send(&messenger.AttemptResponse{
		Attempt: head.Attempt, Incarnation: uint64(s.incarnation), Failure: err.Error(), Last: true,
	})
}

func (s *Server) respond(stream messenger.DRPCUpstream_AttemptStream, head *messenger.AttemptHead, response *http.Response) error {
	message := &messenger.AttemptResponse{
		Attempt: head.Attempt, Incarnation: uint64(s.incarnation),
		Status: int32(response.StatusCode), Length: response.ContentLength,
	}
	for name, values := range response.Header {
		for _, value := range values {
			message.Header = append(message.Header, &messenger.Header{Name: name, Value: value})
		}
	}
	buffer := make([]byte, chunkBytes)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		message.Chunk = buffer[:n]
		ended := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && n < len(buffer) && bodyComplete(response, err)
		if err != nil && !ended {
			return s.fail(stream, head, err)
		}
		message.Last = ended
		if err := stream.Send(message); err != nil || ended {
			return err
		}
		message = &messenger.AttemptResponse{Attempt: head.Attempt, Incarnation: uint64(s.incarnation)}
	}
}

// bodyComplete tells the end of a body, which io.ReadFull reports as
// io.ErrUnexpectedEOF, from a connection that was cut.
func bodyComplete(response *http.Response, _ error) bool {
	_, err := response.Body.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}
