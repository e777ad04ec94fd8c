package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// attempt is one request at one agent.
	attempt struct {
		f        *Forwarder
		q        *request
		upstream jaygw.Upstream
		id       uint64
		began    time.Time
		result   router.Result
		took     time.Duration   // until the first message of the response
		ctx      context.Context // of the stream
		cancel   context.CancelFunc
		turn     chan struct{}      // held while a message is sent
		release  context.CancelFunc // of the context of a hedged attempt; nil otherwise
		unwatch  func() bool
		sent     chan struct{} // closed when the rest of the body was sent; nil if none is
		received uint32        // messages of this attempt
		bodyErr  error         // valid once sent is closed

		mu     sync.Mutex
		stream messenger.DRPCUpstream_AttemptClient
		timer  *time.Timer
	}

	// outcome is what became of an attempt up to its first message.
	outcome struct {
		attempt     *attempt                   // open if there is a response
		first       *messenger.AttemptResponse // nil if there is none
		notExecuted bool
		heard       bool // the agent has answered
		reason      string
		bodyErr     error // the caller's body could not be read
	}
)

var errGap = errors.New("a part of the response is missing")

const (
	// cancelGrace is how long an entry that has canceled waits for the agent's
	// word on whether the upstream was given the request.
	cancelGrace = 100 * time.Millisecond

	maxStatus = 999 // net/http writes three digits

	creditInterval = 500 * time.Millisecond
	creditMargin   = time.Second // asks this long before the credits run out
	creditTimeout  = 300 * time.Millisecond
)

// try sends a request to an agent and waits for the beginning of the response.
func (f *Forwarder) try(ctx context.Context, q *request, upstream jaygw.Upstream, wanted int, retry bool) outcome {
	f.counts.attempts.Inc(1)
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a := &attempt{
		f: f, q: q, upstream: upstream, id: f.attempts.Add(1), began: time.Now(),
		result: router.Failed, ctx: streamCtx, cancel: cancel, turn: make(chan struct{}, 1),
	}
	a.unwatch = context.AfterFunc(ctx, a.giveUp)
	o := a.open(streamCtx, wanted, retry)
	a.took = time.Since(a.began)
	if o.first == nil {
		a.judge(ctx, o)
		a.close()
		o.bodyErr = a.bodyErr
	}
	return o
}

func (a *attempt) open(ctx context.Context, wanted int, retry bool) outcome {
	stream, err := messenger.NewDRPCUpstreamClient(a.f.agents.Conn(ctx, a.upstream.Address)).Attempt(ctx)
	if err != nil {
		// No head was sent, so the agent has nothing to execute.
		return outcome{notExecuted: true, reason: err.Error()}
	}
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	b := a.q.body
	first := &messenger.AttemptRequest{
		Head: &messenger.AttemptHead{
			Attempt: a.id, Request: a.q.id, Entry: a.f.name, Service: a.q.contract.Service, Class: string(a.q.contract.Class),
			Method: a.q.r.Method, Target: a.q.target, Header: a.q.header, Length: b.length,
			RemainingNanos: int64(time.Until(a.q.deadline)), Retry: retry, Incarnation: uint64(a.upstream.Incarnation),
			Wanted: int32(wanted), More: !b.whole,
		},
		Chunk: b.head, Last: b.whole,
	}
	if err := a.send(first); err != nil {
		return outcome{reason: err.Error()}
	}
	for {
		message, err := a.receive()
		if err != nil {
			return outcome{reason: err.Error()}
		}
		switch {
		case message.Proceed:
			if a.sent == nil && !b.whole {
				a.sent = make(chan struct{})
				b.consumed.Store(true)
				go a.sendRest()
			}
		case message.Failure != "":
			if message.Overloaded {
				a.result = router.Refused
			}
			return outcome{heard: true, notExecuted: message.NotExecuted, reason: message.Failure}
		case message.Status < http.StatusOK || message.Status > maxStatus:
			return outcome{heard: true, reason: "the agent's response has an invalid status"}
		default:
			return outcome{first: message, attempt: a}
		}
	}
}

// receive returns the next message of this attempt at this incarnation. Others,
// and copies, are dropped.
func (a *attempt) receive() (*messenger.AttemptResponse, error) {
	for {
		message, err := a.stream.Recv()
		if err != nil {
			return nil, err
		}
		matches := message.Attempt == a.id && message.Incarnation == uint64(a.upstream.Incarnation)
		if !matches && message.NotExecuted && message.Attempt == a.id {
			// A later incarnation speaks for itself: it has not run what was
			// meant for the earlier one. Whether that one has is unknown, but it
			// never had this stream.
			matches = true
		}
		matches = matches && message.Sequence >= a.received
		if matches || a.f.faults.matchByOrder {
			if message.Sequence > a.received && !a.f.faults.matchByOrder {
				return nil, errGap
			}
			a.received++
			if message.CreditNanos > 0 {
				a.f.router.Credit(a.upstream, int(message.Credits), time.Duration(message.CreditNanos), message.Leaving, time.Now())
			}
			return message, nil
		}
		a.f.counts.dropped.Inc(1)
	}
}

// sendRest sends the part of the body that was not read ahead.
func (a *attempt) sendRest() {
	defer close(a.sent)
	buffer := make([]byte, chunkBytes)
	for sequence := uint32(1); ; sequence++ {
		n, err := a.q.body.rest.Read(buffer)
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			a.bodyErr = err
			_ = a.send(&messenger.AttemptRequest{Cancel: true})
			return
		}
		if err := a.send(&messenger.AttemptRequest{Chunk: buffer[:n], Last: last, Sequence: sequence}); err != nil || last {
			return
		}
	}
}

// send sends a message once the earlier ones have been sent. It waits no longer than
// the stream lives: a connection that is stuck holds drpc's own lock for ever.
func (a *attempt) send(m *messenger.AttemptRequest) error {
	select {
	case a.turn <- struct{}{}:
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
	defer func() { <-a.turn }()
	return a.stream.Send(m)
}

// giveUp cancels the attempt when the request's time is over or its caller is
// gone, and gives the agent a bounded time for its word.
func (a *attempt) giveUp() {
	a.mu.Lock()
	stream := a.stream
	if stream != nil {
		a.timer = time.AfterFunc(cancelGrace, a.cancel)
	}
	a.mu.Unlock()
	if stream == nil {
		a.cancel()
		return
	}
	_ = a.send(&messenger.AttemptRequest{Cancel: true})
}

// judge decides what a failed attempt says of the upstream. An agent that answers
// a cancel is there; the caller had no more time.
func (a *attempt) judge(ctx context.Context, o outcome) {
	if ctx.Err() != nil && (o.heard || errors.Is(ctx.Err(), context.Canceled)) && a.result == router.Failed {
		a.result = router.Abandoned
	}
}

// close ends the attempt and hands its connection back.
func (a *attempt) close() {
	a.unwatch()
	if a.sent != nil {
		a.stopSending()
	}
	if a.stream != nil {
		select {
		case a.turn <- struct{}{}:
		case <-a.ctx.Done():
		}
		_ = a.stream.Close()
	}
	// The timer of a cancel has to run until here: it frees a Close that waits
	// for a send on a connection that is stuck.
	a.cancel()
	if a.release != nil {
		a.release()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer != nil {
		a.timer.Stop()
	}
	a.f.router.Done(a.q.contract.Service, a.upstream, a.result, a.took, time.Now())
}

// stopSending ends a sender that still waits for the caller: after the handler
// has returned, the body must not be read.
func (a *attempt) stopSending() {
	select {
	case <-a.sent:
		return
	default:
	}
	_ = a.q.control.SetReadDeadline(time.Unix(1, 0))
	a.cancel()
	<-a.sent
}

// sending reports whether the caller's body is still being sent.
func (a *attempt) sending() bool {
	if a.sent == nil {
		return !a.q.body.whole
	}
	select {
	case <-a.sent:
		return false
	default:
		return true
	}
}

func (f *Forwarder) askCredits(ctx context.Context, upstream jaygw.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	response, err := messenger.NewDRPCUpstreamClient(f.agents.Conn(ctx, upstream.Address)).Credits(ctx,
		&messenger.CreditsRequest{Entry: f.name, Wanted: 1, Incarnation: uint64(upstream.Incarnation)})
	if err != nil || response.Incarnation != uint64(upstream.Incarnation) {
		return
	}
	f.router.Credit(upstream, int(response.Credits), time.Duration(response.ValidNanos), response.Leaving, time.Now())
}
