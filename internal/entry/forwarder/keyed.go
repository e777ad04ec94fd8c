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

// responseRecord collects the response to a request with an idempotency key, for resends
// of the request. Its methods do nothing on a nil receiver, which stands for a request
// without a key.
type responseRecord struct {
	response jaygw.StoredResponse
	tooLarge bool // the body exceeds MaxStoredResponse
	complete bool // the whole response was received
}

const (
	// KeyRetention is how long a key and its response are stored.
	KeyRetention = time.Hour

	// MaxStoredResponse is the size in bytes of the largest response body that is stored
	// for resends. At the target size the control state stores 64 MB for all keys.
	MaxStoredResponse = 64 << 10

	maxKeyBytes = 255

	// A claim may take the request's remaining time divided by claimTimeDivisor, and at
	// most maxClaimTime.
	claimTimeDivisor = 2
	maxClaimTime     = 2 * time.Second

	// settleMargin is added to a request's remaining time to give the time after which
	// its claim counts as lost.
	settleMargin = 5 * time.Second
)

// serveKeyed claims the key of a request and forwards the request. If the key was claimed
// before, the response depends on the state of the key's first request.
func (f *Forwarder) serveKeyed(req *request, keys []string) {
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		f.sendProblem(req.w, req.r, *newRefusal(http.StatusBadRequest, "Bad idempotency-key",
			fmt.Sprintf("want one key of 1 to %d bytes", maxKeyBytes)))
		return
	}
	reserved, ok := f.reserveBuffer(req)
	defer f.bufferedBytes.Add(-reserved)
	if !ok {
		f.sendProblem(req.w, req.r, *newRefusal(http.StatusServiceUnavailable, "The entry is busy",
			"the bodies of requests with a key have reached their limit"))
		return
	}
	if err := req.readAhead(int(reserved) + 1); err != nil {
		f.sendProblem(req.w, req.r, bodyProblem(err, jaygw.NotExecuted))
		return
	}
	// The request continues when its caller is lost, because a resend by the caller
	// needs the response.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.r.Context()), req.deadline)
	defer cancel()
	claim := jaygw.KeyClaim{
		Key:        req.contract.Environment + "/" + req.contract.Service + "/" + keys[0],
		Digest:     requestDigest(req),
		Entry:      f.name,
		Request:    req.claimID,
		MaxRunTime: time.Until(req.deadline) + settleMargin,
		Retention:  KeyRetention,
	}
	item, err := f.claimKey(ctx, claim)
	if err != nil {
		f.sendProblem(req.w, req.r, *newRefusal(http.StatusServiceUnavailable, "The key could not be claimed", err.Error()))
		return
	}
	if item.Code != "" {
		f.respondToClaimed(req, item)
		return
	}
	f.forwardClaimed(ctx, req, claim)
}

// reserveBuffer reserves memory for the request's whole body, in bytes, and reports whether
// the limit allows it. The body is read before the claim, which contains its digest.
func (f *Forwarder) reserveBuffer(req *request) (int64, bool) {
	size := req.body.length
	if size < 0 {
		size = f.limits.MaxBodyBytes
		if req.contract.MaxBody > 0 {
			size = min(size, int64(req.contract.MaxBody))
		}
	}
	return size, f.bufferedBytes.Add(size) <= f.limits.MaxBufferedBytes
}

// claimKey claims a key within a part of the request's remaining time.
func (f *Forwarder) claimKey(ctx context.Context, claim jaygw.KeyClaim) (jaygw.ItemResult, error) {
	if f.claimer == nil {
		return jaygw.ItemResult{}, jaygw.ErrStopped
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, min(time.Until(deadline)/claimTimeDivisor, maxClaimTime))
	defer cancel()
	return f.claimer.Claim(ctx, claim)
}

// requestDigest returns a digest of the method, target and body, which shows whether a key
// is reused for a different request.
func requestDigest(req *request) string {
	h := sha256.New()
	_, _ = io.WriteString(h, req.r.Method+"\n"+req.target+"\n")
	_, _ = h.Write(req.body.prefix)
	return hex.EncodeToString(h.Sum(nil))
}

// forwardClaimed forwards a request whose key was claimed and settles the claim.
func (f *Forwarder) forwardClaimed(ctx context.Context, req *request, claim jaygw.KeyClaim) {
	record := &responseRecord{}
	executed := jaygw.ExecutionUnknown
	defer func() { // runs also when the response was cut off by a panic
		f.claimer.Settle(record.settlement(claim, executed))
	}()
	executed = f.forward(ctx, req, record)
}

// respondToClaimed responds to a request whose key could not be claimed, in most cases
// because it was claimed before.
func (f *Forwarder) respondToClaimed(req *request, item jaygw.ItemResult) {
	switch item.Code {
	case jaygw.RefusedKeyReused:
		f.sendProblem(req.w, req.r, *newRefusal(http.StatusUnprocessableEntity, "The key was used before", item.Detail))
	case jaygw.RefusedKeyPending:
		f.sendProblem(req.w, req.r, problem{
			Status: http.StatusConflict, Title: "Still running", Detail: item.Detail, Executed: jaygw.ExecutionUnknown,
		})
	case jaygw.RefusedKeySettled:
		if item.Key != nil && item.Key.Outcome == jaygw.KeyCompleted && item.Key.Response != nil {
			f.replay(req, item.Key.Response)
			return
		}
		f.sendProblem(req.w, req.r, problem{
			Status: http.StatusBadGateway, Title: "Outcome unknown", Detail: item.Detail, Executed: jaygw.ExecutionUnknown,
		})
	default:
		f.sendProblem(req.w, req.r, *newRefusal(http.StatusServiceUnavailable, "The key could not be claimed", item.Detail))
	}
}

// replay sends the stored response to the key's first request.
func (f *Forwarder) replay(req *request, stored *jaygw.StoredResponse) {
	f.counters.replayed.Inc(1)
	header := req.w.Header()
	for _, pair := range stored.Header {
		header[pair[0]] = append(header[pair[0]], pair[1])
	}
	if _, hasContentType := header["Content-Type"]; !hasContentType {
		header["Content-Type"] = nil
	}
	hasBody := jaygw.HasBody(req.r.Method, stored.Status)
	if hasBody {
		header["Content-Length"] = []string{formatLength(int64(len(stored.Body)))}
	}
	req.w.WriteHeader(stored.Status)
	if hasBody {
		_, _ = req.w.Write(stored.Body)
	}
}

func formatLength(n int64) string { return strconv.FormatInt(n, 10) }

// start records the status and header fields; length is -1 if unknown.
func (r *responseRecord) start(status int, fields []headerField, length int64) {
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

// add records a part of the response body.
func (r *responseRecord) add(chunk []byte) {
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

// finish marks the response as complete.
func (r *responseRecord) finish() {
	if r != nil {
		r.complete = true
	}
}

// settlement returns the settlement of the claim. A response that is too large is not
// stored: a resend then gets the outcome "unknown", and the request does not run again.
func (r *responseRecord) settlement(claim jaygw.KeyClaim, executed jaygw.Executed) jaygw.Settlement {
	s := jaygw.Settlement{Key: claim.Key, Request: claim.Request, Outcome: jaygw.KeyUnknown}
	switch {
	case r.complete && !r.tooLarge:
		s.Outcome = jaygw.KeyCompleted
		s.Response = &r.response
	case r.response.Status == 0 && executed == jaygw.NotExecuted:
		s.Outcome = jaygw.KeyNotExecuted
	}
	return s
}
