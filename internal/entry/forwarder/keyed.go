package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/jaygw/jaygw"
)

// recording keeps the response of a request with a key, for resends. Its methods
// do nothing on a nil receiver, for requests without one.
type recording struct {
	response jaygw.StoredResponse
	tooLarge bool
	whole    bool
}

const (
	// KeyRetention is how long a key and its response are kept.
	KeyRetention = time.Hour

	// MaxStoredResponse is the largest response body that is kept for resends.
	// At the target size the control state keeps 64 MB for all keys.
	MaxStoredResponse = 64 << 10

	maxKeyBytes = 255

	// claimShare is the part of the remaining time, as a divisor, that a claim
	// may take.
	claimShare = 2
	claimLimit = 2 * time.Second

	// settleMargin is added to a request's time before its claim counts as lost.
	settleMargin = 5 * time.Second
)

// serveKeyed forwards a request whose key was claimed for it, or answers from
// what is known of the key's first request.
func (f *Forwarder) serveKeyed(q *request, keys []string) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		f.refuse(q.w, q.r, *refused(http.StatusBadRequest, "Bad idempotency-key",
			fmt.Sprintf("want one key of 1 to %d bytes", maxKeyBytes)))
		return
	}
	reserved, ok := f.reserve(q)
	defer f.buffered.Add(-reserved)
	if !ok {
		f.refuse(q.w, q.r, *refused(http.StatusServiceUnavailable, "The entry is busy",
			"the bodies of requests with a key have reached their limit"))
		return
	}
	if err := q.fill(int(reserved) + 1); err != nil {
		f.refuse(q.w, q.r, bodyProblem(err, jaygw.NotExecuted))
		return
	}
	// The request goes on when its caller is lost: the caller's resend needs the
	// response.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.r.Context()), q.deadline)
	defer cancel()
	claim := jaygw.KeyClaim{
		Key:       q.contract.Environment + "/" + q.contract.Service + "/" + keys[0],
		Digest:    digestOf(q),
		Entry:     f.name,
		Request:   q.claim,
		Patience:  time.Until(q.deadline) + settleMargin,
		Retention: KeyRetention,
	}
	item, err := f.claim(ctx, claim)
	if err != nil {
		f.refuse(q.w, q.r, *refused(http.StatusServiceUnavailable, "The key could not be claimed", err.Error()))
		return
	}
	if item.Code != "" {
		f.answerClaimed(q, item)
		return
	}
	f.forwardClaimed(ctx, q, claim)
}

// reserve takes the memory of the request's whole body, which has to be read before
// the claim: the claim has its digest.
func (f *Forwarder) reserve(q *request) (int64, bool) {
	size := q.body.length
	if size < 0 {
		size = f.limits.Body
		if q.contract.MaxBody > 0 {
			size = min(size, int64(q.contract.MaxBody))
		}
	}
	return size, f.buffered.Add(size) <= f.limits.Buffered
}

func (f *Forwarder) claim(ctx context.Context, claim jaygw.KeyClaim) (jaygw.ItemResult, error) {
	if f.claimer == nil {
		return jaygw.ItemResult{}, jaygw.ErrStopped
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, min(time.Until(deadline)/claimShare, claimLimit))
	defer cancel()
	return f.claimer.Claim(ctx, claim)
}

func digestOf(q *request) string {
	h := sha256.New()
	_, _ = io.WriteString(h, q.r.Method+"\n"+q.target+"\n")
	_, _ = h.Write(q.body.head)
	return hex.EncodeToString(h.Sum(nil))
}

func (f *Forwarder) forwardClaimed(ctx context.Context, q *request, claim jaygw.KeyClaim) {
	record := &recording{}
	executed := jaygw.ExecutionUnknown
	defer func() { // also after a response that was cut off
		f.claimer.Settle(record.settlement(claim, executed))
	}()
	executed = f.forward(ctx, q, record)
}

// answerClaimed answers a request whose key is not new.
func (f *Forwarder) answerClaimed(q *request, item jaygw.ItemResult) {
	switch item.Code {
	case jaygw.RefusedKeyReused:
		f.refuse(q.w, q.r, *refused(http.StatusUnprocessableEntity, "The key was used before", item.Detail))
	case jaygw.RefusedKeyBusy:
		f.refuse(q.w, q.r, problem{
			Status: http.StatusConflict, Title: "Still running", Detail: item.Detail, Executed: jaygw.ExecutionUnknown,
		})
	case jaygw.RefusedKeyKnown:
		if item.Key != nil && item.Key.Outcome == jaygw.KeyCompleted && item.Key.Response != nil {
			f.replay(q, item.Key.Response)
			return
		}
		f.refuse(q.w, q.r, problem{
			Status: http.StatusBadGateway, Title: "Outcome unknown", Detail: item.Detail, Executed: jaygw.ExecutionUnknown,
		})
	default:
		f.refuse(q.w, q.r, *refused(http.StatusServiceUnavailable, "The key could not be claimed", item.Detail))
	}
}

// replay sends the stored first response.
func (f *Forwarder) replay(q *request, stored *jaygw.StoredResponse) {
	f.counts.replayed.Inc(1)
	header := q.w.Header()
	for _, pair := range stored.Header {
		header[pair[0]] = append(header[pair[0]], pair[1])
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	hasBody := jaygw.HasBody(q.r.Method, stored.Status)
	if hasBody {
		header["Content-Length"] = []string{formatLength(int64(len(stored.Body)))}
	}
	q.w.WriteHeader(stored.Status)
	if hasBody {
		_, _ = q.w.Write(stored.Body)
	}
}

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }

func (r *recording) start(status int, fields []field, length int64) {
	if r == nil {
		return
	}
	header := http.Header{}
	copyHeader(header, fields)
	r.response.Status = status
	for name, values := range header {
		for _, value := range values {
			r.response.Header = append(r.response.Header, [2]string{name, value})
		}
	}
	r.tooLarge = length > MaxStoredResponse
}

func (r *recording) add(chunk []byte) {
	if r == nil || r.tooLarge {
		return
	}
	if len(r.response.Body)+len(chunk) > MaxStoredResponse {
		r.tooLarge = true
		r.response.Body = nil
		return
	}
	r.response.Body = append(r.response.Body, chunk...)
}

func (r *recording) finish() {
	if r != nil {
		r.whole = true
	}
}

// settlement returns what is stored for the claim. A response that is too large is
// not kept: resends then learn that the request may have run, and it does not run
// again.
func (r *recording) settlement(claim jaygw.KeyClaim, executed jaygw.Executed) jaygw.Settlement {
	s := jaygw.Settlement{Key: claim.Key, Request: claim.Request, Outcome: jaygw.KeyUnknown}
	switch {
	case r.whole && !r.tooLarge:
		s.Outcome = jaygw.KeyCompleted
		s.Response = &r.response
	case r.response.Status == 0 && executed == jaygw.NotExecuted:
		s.Outcome = jaygw.KeyNotExecuted
	}
	return s
}
