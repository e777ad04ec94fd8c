// Package server handles the entries' attempts at an agent: it admits them, passes them to the
// upstream over HTTP, and streams the response back.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// Server serves the attempts and credits of entries at one agent.
	Server struct {
		messenger.DRPCUpstreamUnimplementedServer

		baseURL     string
		incarnation jaygw.Incarnation
		limiter     *limiter.Limiter
		granter     *limiter.Granter
		client      *http.Client
		connections int64

		inFlight  atomic.Int64
		leaving   atomic.Bool // responses ask entries to send no more requests
		unhealthy atomic.Bool

		mu       sync.Mutex
		services map[string]int // requests in flight, by service
	}

	// Option configures a new Server.
	Option func(*Server)

	// dialFunc opens a connection to the upstream.
	dialFunc func(ctx context.Context, network, address string) (net.Conn, error)
)

const (
	chunkBytes         = 32 << 10
	defaultConnections = 64
	drainCheckInterval = 5 * time.Millisecond

	// viewDelay is the time within which entries with a confirmed view are notified that a
	// replica stops.
	viewDelay = time.Second
)

// WithConnections sets how many attempts of all entries the agent handles at the same time, and
// how many connections it opens to the upstream. The default is 64.
func WithConnections(connections int) Option {
	return func(s *Server) { s.connections = int64(connections) }
}

// WithDial sets the function that opens connections to the upstream.
func WithDial(open func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(s *Server) { s.client.Transport.(*http.Transport).DialContext = dialFunc(open) }
}

// New returns the server for the upstream at a host and port, with the limiter of that upstream.
func New(upstream string, incarnation jaygw.Incarnation, l *limiter.Limiter, options ...Option) *Server {
	s := &Server{
		baseURL:     "http://" + upstream,
		incarnation: incarnation,
		limiter:     l,
		granter:     limiter.NewGranter(l.Capacity()),
		connections: defaultConnections,
		services:    map[string]int{},
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	for _, option := range options {
		option(s)
	}
	transport := s.client.Transport.(*http.Transport)
	transport.MaxIdleConnsPerHost = int(s.connections)
	transport.MaxConnsPerHost = int(s.connections)
	return s
}

// Attempt passes one request of an entry to the upstream and streams the response back.
func (s *Server) Attempt(stream messenger.DRPCUpstream_AttemptStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return errors.New("the first message of an attempt has no head")
	}
	now := time.Now()
	e := &exchange{server: s, stream: stream, head: first.Head, start: now}
	e.enableManualFlush()
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.addInFlight(first.Head.Service, 1)
	defer s.addInFlight(first.Head.Service, -1)
	switch {
	case jaygw.Incarnation(first.Head.Incarnation) != s.incarnation:
		return e.refuse("the agent has been restarted")
	case inFlight > s.connections:
		return e.refuseOverloaded("the agent has its limit of attempts")
	case s.unhealthy.Load():
		return e.refuse("the upstream does not pass its health check")
	}
	remaining := time.Duration(first.Head.RemainingNanos)
	timeout, stop := context.WithTimeout(stream.Context(), remaining)
	defer stop()
	ctx, cancel := context.WithCancelCause(timeout)
	defer cancel(nil)
	body := newRequestBody(ctx, cancel, stream, first)
	go body.receive()

	if err := s.limiter.Acquire(ctx, jaygw.Class(first.Head.Class), now.Add(remaining), now); err != nil {
		return e.refuseOverloaded(err.Error())
	}
	acquired := time.Now()
	defer func() {
		done := time.Now()
		s.limiter.Release(done.Sub(acquired), done)
	}()
	if first.Head.More {
		if err := e.send(&messenger.AttemptResponse{Proceed: true}); err != nil {
			return err
		}
	}
	return e.forward(ctx, body, now.Add(remaining))
}

// Credits returns the share of the slots to an entry, which calls it when it has no requests in
// flight.
func (s *Server) Credits(_ context.Context, request *messenger.CreditsRequest) (*messenger.CreditsResponse, error) {
	return &messenger.CreditsResponse{
		Credits:     int32(s.granter.Grant(request.Entry, int(request.Wanted), time.Now())),
		Incarnation: uint64(s.incarnation),
		Leaving:     s.leaving.Load(),
		ValidNanos:  int64(limiter.CreditValidity),
	}, nil
}

// Leave marks each later response, so that entries know that the upstream is leaving. Requests
// are still accepted until Drain is called.
func (s *Server) Leave() { s.leaving.Store(true) }

// Drain refuses new requests and returns once the requests in flight have finished or the context
// has ended.
func (s *Server) Drain(ctx context.Context) error {
	s.limiter.Leave()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (s *Server) addInFlight(service string, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[service] += change; s.services[service] == 0 {
		delete(s.services, service)
	}
}

// DrainService returns once viewDelay has passed and no request of the service is in flight, or the
// context has ended. Within viewDelay, entries are notified that a replica of the service stops.
func (s *Server) DrainService(ctx context.Context, service string) {
	timer := time.NewTimer(viewDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s.mu.Lock()
		idle := s.services[service] == 0
		s.mu.Unlock()
		if idle {
			return
		}
		timer.Reset(drainCheckInterval)
	}
}

// Close closes the idle connections to the upstream.
func (s *Server) Close() { s.client.CloseIdleConnections() }
