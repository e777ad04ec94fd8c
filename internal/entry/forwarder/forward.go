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
	// maxAttempts allows one retry: a retry is never retried.
	maxAttempts = 2

	// retryPause bounds the random pause before a retry, so that the retries of
	// many requests that failed together do not arrive together.
	retryPause = 10 * time.Millisecond
)

// forward sends a request to upstreams until one has answered, or the request may
// have been executed and must not run twice. It answers the caller and returns
// what is known of the execution.
func (f *Forwarder) forward(ctx context.Context, q *request, record *recording) jaygw.Executed {
	service := q.contract.Service
	f.router.Arrived(service)
	if !q.body.whole {
		_ = q.control.EnableFullDuplex()
	}
	executed := jaygw.NotExecuted
	problem := problem{Status: http.StatusServiceUnavailable, Title: "The request was not answered", Detail: "no upstream is available"}
	var tried []string
	for n := 1; ; n++ {
		upstream, wanted, verdict := f.router.Pick(service, tried, time.Now())
		if verdict != router.Picked {
			if verdict == router.NoCredit && n == 1 {
				problem.Detail = "all upstreams are at the limit granted to this entry"
			}
			break
		}
		tried = append(tried, upstream.VM)
		var o outcome
		if delay, hedged := f.hedgeAfter(q, n); hedged {
			o, tried = f.tryHedged(ctx, q, upstream, wanted, delay, tried)
			n = max(n, len(tried))
		} else {
			o = f.try(ctx, q, upstream, wanted, n > 1)
		}
		if o.first != nil {
			f.deliver(q, o, record)
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
		if ctx.Err() != nil || !f.mayRetry(q, o, n) || !f.router.MayRetry(service) {
			break
		}
		f.counts.retries.Inc(1)
		if !pause(ctx, f.router.Jitter(retryPause)) {
			break
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		problem.Status = http.StatusGatewayTimeout
	}
	problem.Executed = executed
	if !q.body.whole {
		q.w.Header().Set("Connection", "close")
	}
	f.refuse(q.w, q.r, problem)
	return executed
}

// mayRetry decides whether a failed attempt may be followed by another one.
func (f *Forwarder) mayRetry(q *request, o outcome, attempts int) bool {
	if attempts >= maxAttempts || !q.body.replayable() || q.r.Header.Get(jaygw.HeaderRetry) != "" {
		return false
	}
	return o.notExecuted || q.contract.Idempotent(q.r.Method) || f.faults.retryUnknown
}

// hedgeAfter returns when a second attempt should start beside the first.
func (f *Forwarder) hedgeAfter(q *request, n int) (time.Duration, bool) {
	if !q.contract.Hedge || n > 1 || !q.body.whole || !q.contract.Idempotent(q.r.Method) ||
		q.r.Header.Get(jaygw.HeaderRetry) != "" {
		return 0, false
	}
	return f.router.HedgeAfter(q.contract.Service)
}

// tryHedged starts a second attempt when the first one takes longer than most. The
// first response wins; the other attempt is canceled.
func (f *Forwarder) tryHedged(ctx context.Context, q *request, upstream jaygw.Upstream, wanted int,
	delay time.Duration, tried []string,
) (outcome, []string) {
	type numbered struct {
		outcome
		n int
	}
	results := make(chan numbered, maxAttempts)
	var cancels []context.CancelFunc
	start := func(upstream jaygw.Upstream, wanted int) {
		ctx, cancel := context.WithCancel(ctx)
		n := len(cancels)
		cancels = append(cancels, cancel)
		go func() { results <- numbered{f.try(ctx, q, upstream, wanted, n > 0), n} }()
	}
	start(upstream, wanted)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	running := 1
	var last outcome
	executed := false
	for running > 0 {
		select {
		case <-timer.C:
			second, wanted, verdict := f.router.Pick(q.contract.Service, tried, time.Now())
			if verdict != router.Picked {
				continue
			}
			if !f.router.MayRetry(q.contract.Service) {
				f.router.Done(q.contract.Service, second, router.Abandoned, 0, time.Now())
				continue
			}
			f.counts.hedges.Inc(1)
			tried = append(tried, second.VM)
			start(second, wanted)
			running++
		case r := <-results:
			running--
			if r.first == nil {
				executed = executed || !r.notExecuted
				last = r.outcome
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
			r.attempt.release = cancels[r.n]
			return r.outcome, tried
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	last.notExecuted = !executed
	return last, tried
}

func pause(ctx context.Context, d time.Duration) bool {
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
// caller's connection, so that it cannot be taken for a whole one.
func (f *Forwarder) deliver(q *request, o outcome, record *recording) {
	a, message := o.attempt, o.first
	defer a.close()
	a.result = router.Answered
	if message.Status >= http.StatusInternalServerError {
		a.result = router.Failed
	}
	status, length := int(message.Status), message.Length
	hasBody := jaygw.HasBody(q.r.Method, status)
	header := q.w.Header()
	copyHeader(header, message.Header)
	if length >= 0 && (hasBody || q.r.Method == http.MethodHead) {
		header["Content-Length"] = []string{formatLength(length)}
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil // net/http would guess one
	}
	if a.sending() {
		header.Set("Connection", "close")
	}
	record.start(status, message.Header, length)
	q.w.WriteHeader(status)
	if !hasBody {
		f.finish(q, record)
		return
	}
	var written int64
	callerGone := false
	for {
		written += int64(len(message.Chunk))
		if message.Failure != "" || length >= 0 && (written > length || message.Last && written < length) {
			f.abort(a)
		}
		record.add(message.Chunk)
		if !callerGone && len(message.Chunk) > 0 {
			_, err := q.w.Write(message.Chunk)
			callerGone = err != nil
		}
		if callerGone && record == nil {
			a.result = router.Abandoned
			return
		}
		if message.Last {
			f.finish(q, record)
			return
		}
		if !callerGone {
			_ = q.control.Flush()
		}
		next, err := a.receive()
		if err != nil {
			f.abort(a)
		}
		message = next
	}
}

// finish sends what is left of the response before the attempt is closed, so that
// the caller does not wait for that.
func (f *Forwarder) finish(q *request, record *recording) {
	record.finish()
	f.counts.answered.Inc(1)
	if q.w.Header()["Content-Length"] != nil {
		_ = q.control.Flush()
	}
}

func (f *Forwarder) abort(a *attempt) {
	a.result = router.Failed
	f.counts.cutOff.Inc(1)
	panic(http.ErrAbortHandler)
}
