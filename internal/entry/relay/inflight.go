package relay

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
)

// inFlight bounds what waits for the control group. Each call takes a connection to it, and the leader holds the submissions of all
// entries at the same time, in several encodings, before it can refuse them. Large ones do not take the room of small ones.
type inFlight struct{ calls, small, large *semaphore.Weighted }

const (
	// A submission from largeSubmission bytes on is a large one.
	largeSubmission = 16 << 10

	// smallInFlight and largeInFlight bound the bytes in flight. A submission that is larger is in flight alone.
	smallInFlight = 512 << 10
	largeInFlight = 512 << 10

	// maxCalls bounds the calls in flight.
	maxCalls = 96

	// inFlightWait is how long a request waits for its turn, and inFlightRetry the time after which a refused
	// one should be sent again.
	inFlightWait  = 250 * time.Millisecond
	inFlightRetry = time.Second
)

func newInFlight() *inFlight {
	return &inFlight{calls: semaphore.NewWeighted(maxCalls), small: semaphore.NewWeighted(smallInFlight), large: semaphore.NewWeighted(largeInFlight)}
}

// submit waits for the turn of a submission. It reports false if that does not come in time.
func (f *inFlight) submit(ctx context.Context, bytes int64) (end func(), ok bool) {
	turns, limit := f.small, int64(smallInFlight)
	if bytes >= largeSubmission {
		turns, limit = f.large, largeInFlight
	}
	endBytes, ok := acquire(ctx, turns, min(bytes, limit))
	if !ok {
		return nil, false
	}
	endCall, ok := f.call(ctx)
	if !ok {
		endBytes()
		return nil, false
	}
	return func() { endCall(); endBytes() }, true
}

// call waits for the turn of a call. It reports false if that does not come in time.
func (f *inFlight) call(ctx context.Context) (end func(), ok bool) { return acquire(ctx, f.calls, 1) }

func acquire(ctx context.Context, turns *semaphore.Weighted, weight int64) (release func(), ok bool) {
	release = func() { turns.Release(weight) }
	if turns.TryAcquire(weight) {
		return release, true
	}
	ctx, cancel := context.WithTimeout(ctx, inFlightWait)
	defer cancel()
	return release, turns.Acquire(ctx, weight) == nil
}

// refuseBusy counts and returns the refusal of a request whose turn has not come.
func (r *Relay) refuseBusy(request string) jaygw.Result {
	metrics.GetOrRegisterCounter("clerk."+request+".busy", r.registry).Inc(1)
	result := jaygw.Refuse(jaygw.RefusedOverload, "too many requests wait for the control group")
	result.Refusal.RetryAfter = inFlightRetry
	return result
}
