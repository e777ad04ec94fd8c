package relay

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
)

// inFlight bounds the submissions that wait for the control group. The leader holds those of all entries at the same time, in
// several encodings, before it can refuse them. Large ones do not take the room of small ones.
type inFlight struct{ small, large *semaphore.Weighted }

const (
	// A submission from largeSubmission bytes on is a large one.
	largeSubmission = 16 << 10

	// smallInFlight and largeInFlight bound the bytes in flight. A submission that is larger is in flight alone.
	smallInFlight = 512 << 10
	largeInFlight = 512 << 10

	// inFlightWait is how long a submission waits for its turn, and inFlightRetry the time after which a refused
	// one should be sent again.
	inFlightWait  = 250 * time.Millisecond
	inFlightRetry = time.Second
)

func newInFlight() *inFlight {
	return &inFlight{small: semaphore.NewWeighted(smallInFlight), large: semaphore.NewWeighted(largeInFlight)}
}

// acquire waits for the turn of a submission. It reports false if that does not come in time.
func (f *inFlight) acquire(ctx context.Context, bytes int64) (release func(), ok bool) {
	turns, limit := f.small, int64(smallInFlight)
	if bytes >= largeSubmission {
		turns, limit = f.large, largeInFlight
	}
	weight := min(bytes, limit)
	ctx, cancel := context.WithTimeout(ctx, inFlightWait)
	defer cancel()
	if turns.Acquire(ctx, weight) != nil {
		return nil, false
	}
	return func() { turns.Release(weight) }, true
}

// refuseBusy counts and returns the refusal of a submission whose turn has not come.
func (r *Relay) refuseBusy() jaygw.Result {
	metrics.GetOrRegisterCounter("clerk.submit.busy", r.registry).Inc(1)
	result := jaygw.Refuse(jaygw.RefusedOverload, "too many submissions wait for the control group")
	result.Refusal.RetryAfter = inFlightRetry
	return result
}
