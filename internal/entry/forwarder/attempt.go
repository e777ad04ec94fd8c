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
	// attempt is one try of a request at one agent.
	attempt struct {
		forwarder *Forwarder
		req       *request
		upstream  jaygw.Upstream
		id        uint64
		startTime time.Time
		result    router.AttemptResult // reported to the router when the attempt is closed
		latency   time.Duration        // from startTime to the first message of the response
		ctx       context.Context      // context of the stream
		cancel    context.CancelFunc   // cancels ctx
		sendLock  chan struct{}        // holds one element while a message is sent

		// cancelHedge cancels the context of a hedged attempt; nil for other attempts.
		cancelHedge context.CancelFunc

		// stopWatching prevents the call of cancelAttempt at the end of the request's context.
		stopWatching func() bool

		// bodySent is closed when the sending of the part of the body that was not read ahead
		// has ended. It is nil until that sending starts.
		bodySent     chan struct{}
		nextSequence uint32 // sequence number of the next response message
		bodyErr      error  // error from reading the caller's body; valid once bodySent is closed

		mu          sync.Mutex
		stream      messenger.DRPCUpstream_AttemptClient // nil until it is open
		cancelTimer *time.Timer                          // cancels ctx once cancelGrace has passed
	}

	// outcome is the state of an attempt after its first response message or its failure.
	outcome struct {
		attempt     *attempt                   // still open; nil if there is no response
		first       *messenger.AttemptResponse // nil if there is no response
		notExecuted bool                       // the upstream was certainly not given the request
		responded   bool                       // the agent sent a message, maybe a failure
		reason      string                     // reason of the failure, for the caller
		bodyErr     error                      // from reading the caller's body
	}
)

var errSequenceGap = errors.New("a part of the response is missing")

const (
	// cancelGrace is how long an entry that has canceled an attempt waits for the agent
	// to report whether the upstream was given the request.
	cancelGrace = 100 * time.Millisecond

	maxStatus = 999 // net/http writes three digits

	creditInterval = 500 * time.Millisecond // between checks for credits that expire soon
	creditMargin   = time.Second            // credits are requested this long before they expire
	creditTimeout  = 300 * time.Millisecond // of one request for credits
)

// try sends a request to an agent and waits for the first message of the response.
func (f *Forwarder) try(ctx context.Context, req *request, upstream jaygw.Upstream, requestedSlots int,
	retry bool,
) outcome {
	f.counters.attempts.Inc(1)
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a := &attempt{
		forwarder: f, req: req, upstream: upstream, id: f.lastAttemptID.Add(1), startTime: time.Now(),
		result: router.Failed, ctx: streamCtx, cancel: cancel, sendLock: make(chan struct{}, 1),
	}
	a.stopWatching = context.AfterFunc(ctx, a.cancelAttempt)
	o := a.open(streamCtx, requestedSlots, retry)
	a.latency = time.Since(a.startTime)
	if o.first == nil {
		a.classifyFailure(ctx, o)
		a.close()
		o.bodyErr = a.bodyErr
	}
	return o
}

// open sends the head of the request and waits until the agent has responded or failed.
func (a *attempt) open(ctx context.Context, requestedSlots int, retry bool) outcome {
	stream, err := messenger.NewDRPCUpstreamClient(a.forwarder.agents.Conn(ctx, a.upstream.Address)).Attempt(ctx)
	if err != nil {
		// No head was sent, so the agent has nothing to execute.
		return outcome{notExecuted: true, reason: err.Error()}
	}
	a.mu.Lock()
	a.stream = stream
	a.mu.Unlock()
	b := a.req.body
	first := &messenger.AttemptRequest{
		Head: &messenger.AttemptHead{
			Attempt: a.id, Request: a.req.id, Entry: a.forwarder.name, Service: a.req.contract.Service,
			Class: string(a.req.contract.Class), Method: a.req.r.Method, Target: a.req.target,
			Header: a.req.header, Length: b.length, RemainingNanos: int64(time.Until(a.req.deadline)),
			Retry: retry, Incarnation: uint64(a.upstream.Incarnation),
			Wanted: int32(requestedSlots), More: !b.complete,
		},
		Chunk: b.prefix, Last: b.complete,
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
			if a.bodySent == nil && !b.complete {
				a.bodySent = make(chan struct{})
				b.consumed.Store(true)
				go a.sendRemainingBody()
			}
		case message.Failure != "":
			if message.Overloaded {
				a.result = router.Refused
			}
			return outcome{responded: true, notExecuted: message.NotExecuted, reason: message.Failure}
		case message.Status < http.StatusOK || message.Status > maxStatus:
			return outcome{responded: true, reason: "the agent's response has an invalid status"}
		default:
			return outcome{first: message, attempt: a}
		}
	}
}

// receive returns the next message of this attempt from this incarnation of the agent.
// Messages of other attempts and duplicates are dropped.
func (a *attempt) receive() (*messenger.AttemptResponse, error) {
	for {
		message, err := a.stream.Recv()
		if err != nil {
			return nil, err
		}
		matches := message.Attempt == a.id && message.Incarnation == uint64(a.upstream.Incarnation)
		if !matches && message.NotExecuted && message.Attempt == a.id {
			// A later incarnation of the agent reports only that it has not run a
			// request meant for the earlier one. That suffices, because the earlier
			// one never had this stream.
			matches = true
		}
		matches = matches && message.Sequence >= a.nextSequence
		if matches || a.forwarder.faults.matchByOrder {
			if message.Sequence > a.nextSequence && !a.forwarder.faults.matchByOrder {
				return nil, errSequenceGap
			}
			a.nextSequence++
			if message.CreditNanos > 0 {
				a.forwarder.router.RecordCredits(a.upstream, int(message.Credits), time.Duration(message.CreditNanos),
					message.Leaving, time.Now())
			}
			return message, nil
		}
		a.forwarder.counters.dropped.Inc(1)
	}
}

// sendRemainingBody sends the part of the body that was not read ahead.
func (a *attempt) sendRemainingBody() {
	defer close(a.bodySent)
	buffer := make([]byte, chunkBytes)
	for sequence := uint32(1); ; sequence++ {
		n, err := a.req.body.rest.Read(buffer)
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

// send sends a message after the earlier ones. It stops waiting for its turn when the
// stream's context ends, because a stuck connection holds drpc's own lock forever.
func (a *attempt) send(m *messenger.AttemptRequest) error {
	select {
	case a.sendLock <- struct{}{}:
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
	defer func() { <-a.sendLock }()
	return a.stream.Send(m)
}

// cancelAttempt cancels the attempt when the request's deadline has passed or the connection of
// its caller is lost. The agent has cancelGrace to report whether the request was executed.
func (a *attempt) cancelAttempt() {
	a.mu.Lock()
	stream := a.stream
	if stream != nil {
		a.cancelTimer = time.AfterFunc(cancelGrace, a.cancel)
	}
	a.mu.Unlock()
	if stream == nil {
		a.cancel()
		return
	}
	_ = a.send(&messenger.AttemptRequest{Cancel: true})
}

// classifyFailure decides whether a failed attempt counts against the upstream. It does
// not if the caller canceled, or if the agent still responded after the deadline.
func (a *attempt) classifyFailure(ctx context.Context, o outcome) {
	if ctx.Err() != nil && (o.responded || errors.Is(ctx.Err(), context.Canceled)) && a.result == router.Failed {
		a.result = router.Abandoned
	}
}

// close ends the attempt, returns its connection to the pool and reports its result to the
// router.
func (a *attempt) close() {
	a.stopWatching()
	if a.bodySent != nil {
		a.stopSendingBody()
	}
	if a.stream != nil {
		select {
		case a.sendLock <- struct{}{}:
		case <-a.ctx.Done():
		}
		_ = a.stream.Close()
	}
	// The cancel timer must not be stopped earlier: it unblocks a Close that waits
	// for a send on a stuck connection.
	a.cancel()
	if a.cancelHedge != nil {
		a.cancelHedge()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancelTimer != nil {
		a.cancelTimer.Stop()
	}
	a.forwarder.router.RecordResult(a.req.contract.Service, a.upstream, a.result, a.latency, time.Now())
}

// stopSendingBody ends a sender that still waits for the caller's body, because the body
// must not be read after the handler has returned.
func (a *attempt) stopSendingBody() {
	select {
	case <-a.bodySent:
		return
	default:
	}
	_ = a.req.controller.SetReadDeadline(time.Unix(1, 0))
	a.cancel()
	<-a.bodySent
}

// sendingBody reports whether a part of the caller's body has yet to be sent.
func (a *attempt) sendingBody() bool {
	if a.bodySent == nil {
		return !a.req.body.complete
	}
	select {
	case <-a.bodySent:
		return false
	default:
		return true
	}
}

// requestCredits asks an upstream's agent for credits and reports them to the router.
func (f *Forwarder) requestCredits(ctx context.Context, upstream jaygw.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	response, err := messenger.NewDRPCUpstreamClient(f.agents.Conn(ctx, upstream.Address)).Credits(ctx,
		&messenger.CreditsRequest{Entry: f.name, Wanted: 1, Incarnation: uint64(upstream.Incarnation)})
	if err != nil || response.Incarnation != uint64(upstream.Incarnation) {
		return
	}
	f.router.RecordCredits(upstream, int(response.Credits), time.Duration(response.ValidNanos), response.Leaving, time.Now())
}
