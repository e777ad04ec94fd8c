package router

import (
	"math"
	"time"
)

type (
	// service holds this entry's state of one service.
	service struct {
		upstreams           []*upstream
		budget              budget
		latency             quantile
		lastEjectionCheck   time.Time // last search for outliers
		medianLatency       float64   // of the upstreams at the last check, in nanoseconds
		creditDenials       int       // requests without credit since the last check
		creditDenialsBefore int       // the same count for the interval before the last check
	}

	// budget is the number of retries left, in ten-thousandths of a retry.
	budget struct{ tenThousandths int }

	// quantile estimates the 95th percentile of a stream of durations.
	quantile struct {
		estimate float64 // in nanoseconds
		samples  int
	}
)

const (
	ejectionInterval = 100 * time.Millisecond // between checks for outliers

	// maxSavedRetries bounds how many retries the budget accumulates without failures.
	// depositPercent scales the deposits down, so that the saved retries fit into the
	// contract's share: with 10 saved retries and full deposits, 10.95% of the 1000 requests
	// of an outage were retried.
	maxSavedRetries = 3
	depositPercent  = 95
	retryCost       = 10_000 // in ten-thousandths

	targetQuantile     = 0.95
	quantileStep       = 0.02 // of the estimate
	minQuantileSamples = 100  // below this count the estimate is not used
)

func newService() *service {
	return &service{budget: budget{tenThousandths: retryCost}, medianLatency: math.Inf(1)}
}

// pick chooses among a random window of the upstreams of a large service, and among all of
// them if that window has no upstream with credit.
func (s *service) pick(tried []string, domain string, now time.Time, randomInt func(int) int) (*upstream, PickOutcome) {
	if n := len(s.upstreams); n > choiceWindow {
		start := randomInt(n - choiceWindow + 1)
		if u, _ := choose(s.upstreams[start:start+choiceWindow], s.medianLatency, tried, domain, now, randomInt); u != nil {
			return u, Picked
		}
	}
	return choose(s.upstreams, s.medianLatency, tried, domain, now, randomInt)
}

// eject excludes, for a limited time, upstreams that fail or are much slower than the others.
// It stops when half of the upstreams, rounded down, or only one of them is usable.
func (s *service) eject(now time.Time) {
	if now.Sub(s.lastEjectionCheck) < ejectionInterval {
		return
	}
	s.lastEjectionCheck = now
	s.creditDenialsBefore, s.creditDenials = s.creditDenials, 0
	usable := 0
	for _, u := range s.upstreams {
		if u.usable(now) {
			usable++
		}
	}
	s.medianLatency = medianLatency(s.upstreams, now)
	for _, u := range s.upstreams {
		if usable <= len(s.upstreams)/maxEjectedDivisor || usable <= 1 {
			return
		}
		if u.usable(now) && outlier(u, s.medianLatency, now) {
			u.eject(now)
			usable--
		}
	}
}

// outlier reports whether an upstream has failed too often in a row or is much slower than
// the median.
func outlier(u *upstream, median float64, now time.Time) bool {
	if u.consecutiveFailures >= failuresToEject {
		return true
	}
	return u.samples >= minOutlierSamples && u.expectedLatency(now) > outlierFactor*median
}

// eject excludes the upstream for a time that doubles with each ejection, up to a limit.
func (u *upstream) eject(now time.Time) {
	if now.Sub(u.ejectedUntil) > longestEjection {
		u.ejections = 0
	}
	u.ejectedUntil = now.Add(min(firstEjection<<u.ejections, longestEjection))
	if firstEjection<<u.ejections < longestEjection {
		u.ejections++
	}
	u.rampStart = u.ejectedUntil // it ramps up when it returns
	u.consecutiveFailures = 0
	u.samples = 0
}

// unmetDemandPerUpstream spreads the requests of the last interval that found no credit over
// the upstreams. The agents cannot observe this demand themselves.
func (s *service) unmetDemandPerUpstream() int {
	return (s.creditDenialsBefore + len(s.upstreams) - 1) / max(1, len(s.upstreams))
}

// deposit adds a percentage of one retry, up to the limit of the budget.
func (b *budget) deposit(percent int) {
	b.tenThousandths = min(b.tenThousandths+percent*depositPercent, maxSavedRetries*retryCost)
}

// withdraw takes one retry. It returns false if less than one is left.
func (b *budget) withdraw() bool {
	if b.tenThousandths < retryCost {
		return false
	}
	b.tenThousandths -= retryCost
	return true
}

// observe moves the estimate up or down. The steps up and down are in the ratio 0.95 to 0.05,
// so that the estimate settles where 95% of the durations are below it.
func (q *quantile) observe(latency time.Duration) {
	q.samples++
	if q.estimate == 0 {
		q.estimate = float64(latency)
		return
	}
	if float64(latency) > q.estimate {
		q.estimate += q.estimate * quantileStep * targetQuantile
	} else {
		q.estimate -= q.estimate * quantileStep * (1 - targetQuantile)
	}
}

// value returns the estimate, and whether there were enough samples for it.
func (q *quantile) value() (time.Duration, bool) {
	return time.Duration(q.estimate), q.samples >= minQuantileSamples
}
