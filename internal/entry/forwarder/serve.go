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

// request is one request of a caller on its way.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	contract jaygw.Contract
	id       string
	target   string
	header   []field
	claim    string // the id under which a key is claimed; never the caller's
	body     *body
	deadline time.Time
}

// writeGrace is how long after the deadline the end of a response may still be
// written to a slow caller.
const writeGrace = time.Second

// serve checks a request and forwards it.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request) {
	f.counts.requests.Inc(1)
	now := time.Now()
	q, refusal := f.accept(w, r, now)
	if refusal != nil {
		f.refuse(w, r, *refusal)
		return
	}
	defer f.inFlight.Add(-1)
	_ = q.control.SetWriteDeadline(q.deadline.Add(writeGrace))
	defer func() { _ = q.control.SetWriteDeadline(time.Time{}) }()

	if key := r.Header.Values(jaygw.HeaderKey); len(key) > 0 {
		f.serveKeyed(q, key)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if err := q.fill(bufferedBody); err != nil {
		f.refuse(w, r, bodyProblem(err, jaygw.NotExecuted))
		return
	}
	f.forward(ctx, q, nil)
}

// fill reads the body ahead. The read deadline ends with it: net/http takes a
// deadline that passes later for a lost caller.
func (q *request) fill(limit int) error {
	if q.body.whole {
		return nil
	}
	_ = q.control.SetReadDeadline(q.deadline)
	defer func() { _ = q.control.SetReadDeadline(time.Time{}) }()
	return q.body.fill(limit)
}

// accept checks everything that can be refused before the body is read, and counts
// the request as in flight.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *problem) {
	if lengthsConflict(r.Context()) || len(r.Header.Values("Content-Length")) > 1 {
		return nil, refused(http.StatusBadRequest, "Conflicting lengths",
			"the request has both a content-length and a transfer-encoding")
	}
	if !r.ProtoAtLeast(1, 1) {
		return nil, refused(http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed",
			"an HTTP/1.0 caller could not tell a response that was cut off from a whole one")
	}
	service, ok := serviceOf(r.URL.Path)
	if !ok || r.Method == http.MethodConnect {
		return nil, refused(http.StatusBadRequest, "Bad target", "want /{service}/... without dot segments")
	}
	contract, ok := f.router.Contract(service)
	if !ok {
		return nil, refused(http.StatusNotFound, "No such service", fmt.Sprintf("there is no service %q", service))
	}
	timeout, err := requestTimeout(r, contract)
	if err != nil {
		return nil, refused(http.StatusBadRequest, "Bad timeout", err.Error())
	}
	limit := f.limits.Body
	if contract.MaxBody > 0 {
		limit = min(limit, int64(contract.MaxBody))
	}
	if r.ContentLength > limit {
		return nil, refused(http.StatusRequestEntityTooLarge, "Body too large", fmt.Sprintf("the limit is %d bytes", limit))
	}
	if f.inFlight.Add(1) > int64(f.limits.Requests) {
		f.inFlight.Add(-1)
		return nil, refused(http.StatusServiceUnavailable, "The entry is busy",
			fmt.Sprintf("the entry has its limit of %d requests", f.limits.Requests))
	}
	q := &request{
		w: w, r: r, control: http.NewResponseController(w), contract: contract, id: r.Header.Get(jaygw.HeaderRequest),
		target: r.URL.RequestURI(), body: newBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength),
		deadline: now.Add(timeout),
	}
	q.claim = f.seed + strconv.FormatUint(f.requests.Add(1), 36)
	if q.id == "" {
		q.id = q.claim
	}
	q.header = forwardedHeader(r, q.id)
	return q, nil
}

func requestTimeout(r *http.Request, contract jaygw.Contract) (time.Duration, error) {
	timeout := contract.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	text := r.Header.Get(jaygw.HeaderTimeout)
	if text == "" {
		return timeout, nil
	}
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return 0, errors.New("the header jaygw-timeout needs a duration such as 800ms")
	}
	return min(wanted, timeout), nil
}
