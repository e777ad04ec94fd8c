package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/router"
)

const (
	// maxAttempts allows one retry or one hedged attempt; a retry is never retried.
	maxAttempts = 2

	// maxRetryPause bounds the random pause before a retry, which spreads out the retries
	// of many requests that failed at the same time.
	maxRetryPause = 10 * time.Millisecond
)

// forward sends a request to upstreams until one has responded, or until the request may
// have been executed and must not run twice. It responds to the caller and returns
// whether the request may have been executed.
func (f *Forwarder) forward(ctx context.Context, req *request, record *responseRecord) jaygw.Executed {
	service := req.contract.Service
	f.router.RecordRequest(service)
	if !req.body.complete {
		_ = req.controller.EnableFullDuplex()
	}
	executed := jaygw.NotExecuted
	problem := problem{Status: http.StatusServiceUnavailable, Title: "The request was not answered", Detail: "no upstream is available"}
	var tried []string
	for n := 1; ; n++ {
		upstream, requestedSlots, pickOutcome := f.router.Pick(service, tried, time.Now())
		if pickOutcome != router.Picked {
			if pickOutcome == router.NoCredit && n == 1 {
				problem.Detail = "all upstreams are at the limit granted to this entry"
			}
			break
		}
		tried = append(tried, upstream.VM)
		var o outcome
		if delay, hedged := f.hedgeDelay(req, n); hedged {
			o, tried = f.tryHedged(ctx, req, upstream, requestedSlots, delay, tried)
			n = max(n, len(tried))
		} else {
			o = f.try(ctx, req, upstream, requestedSlots, n > 1)
		}
		if o.first != nil {
			f.deliver(req, o, record)
			return jaygw.ExecutionUnknown
		}
		if !o.notExecuted {
			executed = jaygw.ExecutionUnknown
			problem.Status = http.StatusBadGateway
		}
		problem.Detail = o.reason
		if o.bodyErr != nil {
			problem = bodyProblem(o.bodyErr, executed)
			break
		}
		if ctx.Err() != nil || !f.mayRetry(req, o, n) || !f.router.TakeRetry(service) {
			break
		}
		f.counters.retries.Inc(1)
		if !sleep(ctx, f.router.Jitter(maxRetryPause)) {
			break
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		problem.Status = http.StatusGatewayTimeout
	}
	problem.Executed = executed
	if !req.body.complete {
		req.w.Header().Set("Connection", "close")
	}
	f.sendProblem(req.w, req.r, problem)
	return executed
}

// mayRetry reports whether a failed attempt may be followed by another one.
func (f *Forwarder) mayRetry(req *request, o outcome, attempts int) bool {
	if attempts >= maxAttempts || !req.body.replayable() || req.r.Header.Get(jaygw.HeaderRetry) != "" {
		return false
	}
	return o.notExecuted || req.contract.Idempotent(req.r.Method) || f.faults.retryUnknown
}

// hedgeDelay returns how long after the first attempt a second one starts in parallel, and
// whether the request may be hedged.
func (f *Forwarder) hedgeDelay(req *request, n int) (time.Duration, bool) {
	if !req.contract.Hedge || n > 1 || !req.body.complete || !req.contract.Idempotent(req.r.Method) ||
		req.r.Header.Get(jaygw.HeaderRetry) != "" {
		return 0, false
	}
	return f.router.HedgeDelay(req.contract.Service)
}

// tryHedged starts a second attempt when the first one has had no response after a delay.
// The first response is used; the other attempt is canceled.
func (f *Forwarder) tryHedged(ctx context.Context, req *request, upstream jaygw.Upstream, requestedSlots int,
	delay time.Duration, tried []string,
) (outcome, []string) {
	type numberedOutcome struct {
		outcome
		n int
	}
	results := make(chan numberedOutcome, maxAttempts)
	var cancels []context.CancelFunc
	start := func(upstream jaygw.Upstream, requestedSlots int) {
		ctx, cancel := context.WithCancel(ctx)
		n := len(cancels)
		cancels = append(cancels, cancel)
		go func() { results <- numberedOutcome{f.try(ctx, req, upstream, requestedSlots, n > 0), n} }()
	}
	start(upstream, requestedSlots)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	var lastOutcome outcome
	mayHaveRun := false
	for running > 0 {
		select {
		case <-timer.C:
			second, requestedSlots, pickOutcome := f.router.Pick(req.contract.Service, tried, time.Now())
			if pickOutcome != router.Picked {
				continue
			}
			if !f.router.TakeRetry(req.contract.Service) {
				f.router.RecordResult(req.contract.Service, second, router.Abandoned, 0, time.Now())
				continue
			}
			f.counters.hedges.Inc(1)
			tried = append(tried, second.VM)
			start(second, requestedSlots)
			running++
		case r := <-results:
			running--
			if r.first == nil {
				mayHaveRun = mayHaveRun || !r.notExecuted
				lastOutcome = r.outcome
				continue
			}
			for i, cancel := range cancels {
				if i != r.n {
					cancel()
				}
			}
			if running > 0 {
				go func() {
					if other := <-results; other.first != nil {
						other.attempt.result = router.Abandoned
						other.attempt.close()
					}
				}()
			}
			r.attempt.cancelHedge = cancels[r.n]
			return r.outcome, tried
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	lastOutcome.notExecuted = !mayHaveRun
	return lastOutcome, tried
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// deliver sends the response to the caller. A response that ends early closes the
// caller's connection, so that the caller cannot take it for a complete one.
func (f *Forwarder) deliver(req *request, o outcome, record *responseRecord) {
	a, message := o.attempt, o.first
	defer a.close()
	a.result = router.Responded
	if message.Status >= http.StatusInternalServerError {
		a.result = router.Failed
	}
	status, length := int(message.Status), message.Length
	hasBody := jaygw.HasBody(req.r.Method, status)
	header := req.w.Header()
	copyHeader(header, message.Header)
	if length >= 0 && (hasBody || req.r.Method == http.MethodHead) {
		header["Content-Length"] = []string{formatLength(length)}
	}
	if _, hasContentType := header["Content-Type"]; !hasContentType {
		header["Content-Type"] = nil // otherwise net/http detects one from the body
	}
	if a.sendingBody() {
		header.Set("Connection", "close")
	}
	record.start(status, message.Header, length)
	req.w.WriteHeader(status)
	if !hasBody {
		f.finish(req, record)
		return
	}
	var written int64
	callerLost := false
	for {
		written += int64(len(message.Chunk))
		if message.Failure != "" || length >= 0 && (written > length || message.Last && written < length) {
			f.abort(a)
		}
		record.add(message.Chunk)
		if !callerLost && len(message.Chunk) > 0 {
			_, err := req.w.Write(message.Chunk)
			callerLost = err != nil
		}
		if callerLost && record == nil {
			a.result = router.Abandoned
			return
		}
		if message.Last {
			f.finish(req, record)
			return
		}
		if !callerLost {
			_ = req.controller.Flush()
		}
		next, err := a.receive()
		if err != nil {
			f.abort(a)
		}
		message = next
	}
}

// finish flushes the rest of the response before the attempt is closed, so that the
// caller does not wait for the closing.
func (f *Forwarder) finish(req *request, record *responseRecord) {
	record.finish()
	f.counters.answered.Inc(1)
	if req.w.Header()["Content-Length"] != nil {
		_ = req.controller.Flush()
	}
}

// abort closes the caller's connection because the response has ended early.
func (f *Forwarder) abort(a *attempt) {
	a.result = router.Failed
	f.counters.cutOff.Inc(1)
	panic(http.ErrAbortHandler)
}
