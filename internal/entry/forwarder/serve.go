package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/jaygw/jaygw"
)

// request is a caller's request that the entry is handling.
type request struct {
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController // of w
	contract   jaygw.Contract
	id         string        // request id sent to the upstream; the caller's if it sent one
	target     string        // path and query as received
	header     []headerField // fields sent to the upstream
	claimID    string        // id that claims the idempotency key; always assigned by the entry
	body       *body
	deadline   time.Time
}

// writeGrace is how long after the deadline the rest of a response may still be written
// to a slow caller.
const writeGrace = time.Second

// serve checks a request and forwards it.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	f.counters.requests.Inc(1)
	now := time.Now()
	req, refusal := f.accept(w, r, now)
	if refusal != nil {
		f.sendProblem(w, r, *refusal)
		return
	}
	defer f.inFlight.Add(-1)
	_ = req.controller.SetWriteDeadline(req.deadline.Add(writeGrace))
	defer func() { _ = req.controller.SetWriteDeadline(time.Time{}) }()

	if key := r.Header.Values(jaygw.HeaderKey); len(key) > 0 {
		f.serveKeyed(req, key)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	if err := req.readAhead(readAheadBytes); err != nil {
		f.sendProblem(w, r, bodyProblem(err, jaygw.NotExecuted))
		return
	}
	f.forward(ctx, req, nil)
}

// readAhead reads up to a limit of bytes of the body ahead. It removes the read deadline
// afterwards, because net/http takes a deadline that passes later for a lost caller.
func (req *request) readAhead(limit int) error {
	if req.body.complete {
		return nil
	}
	_ = req.controller.SetReadDeadline(req.deadline)
	defer func() { _ = req.controller.SetReadDeadline(time.Time{}) }()
	return req.body.readAhead(limit)
}

// accept checks everything that can be checked before the body is read, and counts the
// request as in flight. If it returns a request, serve has to remove it from that count.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *problem) {
	if hasConflictingLengths(r.Context()) || len(r.Header.Values("Content-Length")) > 1 {
		return nil, newRefusal(http.StatusBadRequest, "Conflicting lengths",
			"the request has both a content-length and a transfer-encoding")
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, newRefusal(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed",
			"an HTTP/1.0 caller could not tell a response that was cut off from a whole one")
	}
	service, ok := serviceOf(r.URL.Path)
	if !ok || r.Method == http.MethodConnect {
		return nil, newRefusal(http.StatusBadRequest, "Bad target", "want /{service}/... without dot segments")
	}
	contract, ok := f.router.Contract(service)
	if !ok {
		return nil, newRefusal(http.StatusNotFound, "No such service", fmt.Sprintf("there is no service %q", service))
	}
	timeout, err := requestTimeout(r, contract)
	if err != nil {
		return nil, newRefusal(http.StatusBadRequest, "Bad timeout", err.Error())
	}
	limit := f.limits.MaxBodyBytes
	if contract.MaxBody > 0 {
		limit = min(limit, int64(contract.MaxBody))
	}
	if r.ContentLength > limit {
		return nil, newRefusal(http.StatusRequestEntityTooLarge, "Body too large", fmt.Sprintf("the limit is %d bytes", limit))
	}
	if f.inFlight.Add(1) > int64(f.limits.MaxRequests) {
		f.inFlight.Add(-1)
		return nil, newRefusal(http.StatusServiceUnavailable, "The entry is busy",
			fmt.Sprintf("the entry has its limit of %d requests", f.limits.MaxRequests))
	}
	req := &request{
		w: w, r: r, controller: http.NewResponseController(w), contract: contract, id: r.Header.Get(jaygw.HeaderRequest),
		target: r.URL.RequestURI(), body: newBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength),
		deadline: now.Add(timeout),
	}
	req.claimID = f.idPrefix + strconv.FormatUint(f.lastRequestNumber.Add(1), 36)
	if req.id == "" {
		req.id = req.claimID
	}
	req.header = forwardedHeader(r, req.id)
	return req, nil
}

// requestTimeout returns the shorter one of the caller's and the contract's timeout.
func requestTimeout(r *http.Request, contract jaygw.Contract) (time.Duration, error) {
	timeout := contract.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	value := r.Header.Get(jaygw.HeaderTimeout)
	if value == "" {
		return timeout, nil
	}
	requested, err := time.ParseDuration(value)
	if err != nil || requested <= 0 {
		return 0, errors.New("the header jaygw-timeout needs a duration such as 800ms")
	}
	return min(requested, timeout), nil
}
