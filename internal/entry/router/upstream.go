package router

import (
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

// upstream is what this entry has seen of one life of an upstream's agent.
type upstream struct {
	jaygw.Upstream

	inFlight     int
	credits      int
	creditsUntil time.Time
	since        time.Time // known, or returned after an ejection
	used         time.Time
	leaving      bool

	latency  float64   // moving average in nanoseconds
	samples  int       // since the last ejection
	sampled  time.Time // last sample
	failures int       // in a row
	ejected  time.Time // until
	times    int       // ejections without a good phase in between
}

const (
	// rampUp is how long a new or returning upstream takes to reach its full
	// share, relative to the others.
	rampUp = 10 * time.Second

	// initialCredits may be used while the agent has granted none: the slots of
	// the usual worker. With 4, a burst after a pause was refused at half load.
	initialCredits = 8

	// askFor is how long after its last use an upstream's credits are kept
	// current.
	askFor = 10 * time.Second

	latencyWeight   = 0.1
	latencyHalfLife = 10 * time.Second // of an average without new samples

	failuresToEject   = 5
	outlierFactor     = 5 // times the median latency
	outlierSamples    = 8
	firstEjection     = 5 * time.Second
	longestEjection   = time.Minute
	ejectedShareLimit = 2 // at most one half of a service's upstreams

	// loadedShare is the share of its limit, in tenths, from which on an
	// upstream in the entry's own failure domain is not preferred.
	loadedShare = 7

	// window is how many upstreams of a large service one choice looks at, so
	// that its cost does not grow with the service.
	window = 32
)

// limit returns how many requests this entry may have at the upstream.
func (u *upstream) limit(now time.Time, oldest float64) int {
	limit := initialCredits
	if now.Before(u.creditsUntil) {
		limit = u.credits
	}
	return max(1, int(float64(limit)*u.ramp(now)/oldest))
}

// ramp returns the share that an upstream of this age is given.
func (u *upstream) ramp(now time.Time) float64 {
	return min(1, float64(now.Sub(u.since)+rampUp/10)/float64(rampUp))
}

func (u *upstream) usable(now time.Time) bool { return !u.leaving && !now.Before(u.ejected) }

// expected returns the latency average, which fades while there are no samples, so
// that an upstream that was slow is tried again.
func (u *upstream) expected(now time.Time) float64 {
	if u.latency == 0 {
		return 0
	}
	idle := now.Sub(u.sampled)
	if idle < time.Second {
		return u.latency
	}
	return u.latency * math.Exp2(-float64(idle)/float64(latencyHalfLife))
}

// cost orders upstreams: the delay that one more request would see.
func (u *upstream) cost(now time.Time) float64 {
	const floor = float64(50 * time.Microsecond) // below this, differences are noise
	return float64(u.inFlight+1) * max(u.expected(now), floor)
}

func (u *upstream) done(result Result, took time.Duration, now time.Time) {
	u.inFlight = max(0, u.inFlight-1) // the upstream may have left the view and returned
	switch result {
	case Answered:
		u.failures = 0
		u.sample(took, now)
	case Failed:
		u.failures++
	}
}

func (u *upstream) sample(took time.Duration, now time.Time) {
	u.sampled = now
	u.samples++
	if u.latency == 0 {
		u.latency = float64(took)
		return
	}
	u.latency += (float64(took) - u.latency) * latencyWeight
}

// choose returns the better of two random upstreams that have credit, first among
// those in the entry's own failure domain that are neither loaded nor slow.
func choose(members []*upstream, median float64, tried []string, domain string, now time.Time,
	random func(int) int,
) (*upstream, Verdict) {
	oldest := 0.0
	for _, u := range members {
		if u.usable(now) {
			oldest = max(oldest, u.ramp(now))
		}
	}
	var buffer [2 * window]*upstream
	near, far := buffer[:0:window], buffer[window:window]
	verdict := NoUpstream
	for _, u := range members {
		if !u.usable(now) || slices.Contains(tried, u.VM) {
			continue
		}
		limit := u.limit(now, oldest)
		if u.inFlight >= limit {
			verdict = NoCredit
			continue
		}
		if u.Domain == domain && u.inFlight*10 < limit*loadedShare && u.expected(now) <= 2*median {
			near = append(near, u)
		}
		far = append(far, u)
	}
	if u := better(near, now, random); u != nil {
		return u, Picked
	}
	if u := better(far, now, random); u != nil {
		return u, Picked
	}
	return nil, verdict
}

func better(candidates []*upstream, now time.Time, random func(int) int) *upstream {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	i := random(len(candidates))
	j := random(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].cost(now) < candidates[i].cost(now) {
		return candidates[j]
	}
	return candidates[i]
}

// medianLatency returns the median of the known latencies, or infinity.
func medianLatency(members []*upstream, now time.Time) float64 {
	var buffer [64]float64
	known := buffer[:0]
	for _, u := range members {
		if u.latency > 0 && u.usable(now) {
			known = append(known, u.expected(now))
		}
	}
	if len(known) == 0 {
		return math.Inf(1)
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}
