package router

import (
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

// upstream holds this entry's state of one incarnation of an upstream's agent.
type upstream struct {
	jaygw.Upstream

	inFlight     int       // attempts of this entry in flight
	credits      int       // slots granted to this entry
	creditsUntil time.Time // expiry of the credits
	rampStart    time.Time // when a view first contained the upstream, or when its last ejection ends
	lastUse      time.Time
	leaving      bool // no further attempts may be sent to it

	latency             float64 // moving average in nanoseconds; 0 before the first sample
	samples             int     // since the last ejection
	lastSample          time.Time
	consecutiveFailures int
	ejectedUntil        time.Time

	// ejections is how often firstEjection is doubled for the duration of the next ejection. It
	// is reset when the last ejection ended more than longestEjection ago.
	ejections int
}

const (
	// rampUpTime is how long a new or returning upstream takes to reach its full share,
	// relative to the others.
	rampUpTime = 10 * time.Second

	// initialCredits applies while there is no valid grant of the agent. It equals the slots
	// of a typical worker; with 4, a burst after a pause was refused at half load.
	initialCredits = 8

	// creditRenewalWindow is how long after its last use an upstream's credits are renewed.
	creditRenewalWindow = 10 * time.Second

	latencyWeight   = 0.1
	latencyHalfLife = 10 * time.Second // of the average while there are no new samples

	failuresToEject   = 5 // in a row
	outlierFactor     = 5 // times the median latency
	minOutlierSamples = 8 // since the last ejection
	firstEjection     = 5 * time.Second
	longestEjection   = time.Minute
	maxEjectedDivisor = 2 // at most half of a service's upstreams, rounded up, are ejected

	// loadedTenths is the share of its limit, in tenths, from which an upstream in the
	// entry's own failure domain is no longer preferred.
	loadedTenths = 7

	// choiceWindow is how many upstreams of a large service one choice considers, so that
	// the cost of a choice does not grow with the service.
	choiceWindow = 32
)

// limit returns how many requests this entry may have in flight at the upstream. The ramp-up
// share is relative to maxRamp, the largest one among the upstreams of the choice.
func (u *upstream) limit(now time.Time, maxRamp float64) int {
	limit := initialCredits
	if now.Before(u.creditsUntil) {
		limit = u.credits
	}
	return max(1, int(float64(limit)*u.rampShare(now)/maxRamp))
}

// rampShare returns the share of its full load that the upstream gets, from 0.1 to 1.
func (u *upstream) rampShare(now time.Time) float64 {
	return min(1, float64(now.Sub(u.rampStart)+rampUpTime/10)/float64(rampUpTime))
}

// usable reports whether the upstream is neither leaving nor ejected.
func (u *upstream) usable(now time.Time) bool { return !u.leaving && !now.Before(u.ejectedUntil) }

// expectedLatency returns the average latency in nanoseconds. It decays while there are no
// samples, so that an upstream that was slow is tried again.
func (u *upstream) expectedLatency(now time.Time) float64 {
	if u.latency == 0 {
		return 0
	}
	idle := now.Sub(u.lastSample)
	if idle < time.Second {
		return u.latency
	}
	return u.latency * math.Exp2(-float64(idle)/float64(latencyHalfLife))
}

// expectedDelay returns the delay in nanoseconds that one more request would have. Upstreams
// are compared by it.
func (u *upstream) expectedDelay(now time.Time) float64 {
	const minLatency = float64(50 * time.Microsecond) // smaller differences are noise
	return float64(u.inFlight+1) * max(u.expectedLatency(now), minLatency)
}

// finishAttempt updates the state after an attempt.
func (u *upstream) finishAttempt(result AttemptResult, latency time.Duration, now time.Time) {
	u.inFlight = max(0, u.inFlight-1) // the count restarts at 0 when an upstream leaves the view and returns
	switch result {
	case Responded:
		u.consecutiveFailures = 0
		u.addSample(latency, now)
	case Failed:
		u.consecutiveFailures++
	}
}

// addSample adds a latency to the moving average.
func (u *upstream) addSample(latency time.Duration, now time.Time) {
	u.lastSample = now
	u.samples++
	if u.latency == 0 {
		u.latency = float64(latency)
		return
	}
	u.latency += (float64(latency) - u.latency) * latencyWeight
}

// choose returns the better of two random upstreams that have credit. It prefers upstreams in
// the entry's own failure domain that are neither loaded nor slow.
func choose(upstreams []*upstream, median float64, tried []string, domain string, now time.Time,
	randomInt func(int) int,
) (*upstream, PickOutcome) {
	maxRamp := 0.0
	for _, u := range upstreams {
		if u.usable(now) {
			maxRamp = max(maxRamp, u.rampShare(now))
		}
	}
	var buffer [2 * choiceWindow]*upstream
	local, all := buffer[:0:choiceWindow], buffer[choiceWindow:choiceWindow]
	outcome := NoUpstream
	for _, u := range upstreams {
		if !u.usable(now) || slices.Contains(tried, u.VM) {
			continue
		}
		limit := u.limit(now, maxRamp)
		if u.inFlight >= limit {
			outcome = NoCredit
			continue
		}
		if u.Domain == domain && u.inFlight*10 < limit*loadedTenths && u.expectedLatency(now) <= 2*median {
			local = append(local, u)
		}
		all = append(all, u)
	}
	if u := betterOfTwo(local, now, randomInt); u != nil {
		return u, Picked
	}
	if u := betterOfTwo(all, now, randomInt); u != nil {
		return u, Picked
	}
	return nil, outcome
}

// betterOfTwo returns the one of two random candidates with the smaller expected delay.
func betterOfTwo(candidates []*upstream, now time.Time, randomInt func(int) int) *upstream {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	i := randomInt(len(candidates))
	j := randomInt(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].expectedDelay(now) < candidates[i].expectedDelay(now) {
		return candidates[j]
	}
	return candidates[i]
}

// medianLatency returns the median expected latency in nanoseconds of the usable upstreams
// with samples, or infinity if there are none.
func medianLatency(upstreams []*upstream, now time.Time) float64 {
	var buffer [64]float64
	latencies := buffer[:0]
	for _, u := range upstreams {
		if u.latency > 0 && u.usable(now) {
			latencies = append(latencies, u.expectedLatency(now))
		}
	}
	if len(latencies) == 0 {
		return math.Inf(1)
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)-1)/2]
}
