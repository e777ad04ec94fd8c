package router

import (
	"math"
	"time"
)

type (
	// service is what this entry has seen of one service.
	service struct {
		members    []*upstream
		budget     budget
		latency    quantile
		judged     time.Time // last look for outliers
		median     float64   // latency of the upstreams, at the last look
		turnedAway int       // since the last look
		turnedRate int       // in the interval before it
	}

	// budget is the retries that are left, in ten-thousandths.
	budget struct{ tenThousandths int }

	// quantile follows the 95th percentile of a stream of durations.
	quantile struct {
		estimate float64
		samples  int
	}
)

const (
	judgeInterval = 100 * time.Millisecond

	// budgetLimit bounds what a quiet time saves up, in retries,
	// and depositShare, in percent, leaves room for that saving within the
	// contract's share: with 10 saved and full deposits, an outage of 1000
	// requests had 10.95% retries.
	budgetLimit  = 3
	depositShare = 95
	retryCost    = 10_000

	quantileShare   = 0.95
	quantileStep    = 0.02 // of the estimate
	quantileSamples = 100
)

func newService() *service {
	return &service{budget: budget{tenThousandths: retryCost}, median: math.Inf(1)}
}

// pick chooses among a random part of a large service, and among all of it if that
// part has no free upstream.
func (s *service) pick(tried []string, domain string, now time.Time, random func(int) int) (*upstream, Verdict) {
	if n := len(s.members); n > window {
		start := random(n - window + 1)
		if u, _ := choose(s.members[start:start+window], s.median, tried, domain, now, random); u != nil {
			return u, Picked
		}
	}
	return choose(s.members, s.median, tried, domain, now, random)
}

// eject takes out upstreams that fail or are much slower than the others, while
// enough of them remain.
func (s *service) eject(now time.Time) {
	if now.Sub(s.judged) < judgeInterval {
		return
	}
	s.judged = now
	s.turnedRate, s.turnedAway = s.turnedAway, 0
	usable := 0
	for _, u := range s.members {
		if u.usable(now) {
			usable++
		}
	}
	s.median = medianLatency(s.members, now)
	for _, u := range s.members {
		if usable <= len(s.members)/ejectedShareLimit || usable <= 1 {
			return
		}
		if u.usable(now) && outlier(u, s.median, now) {
			u.eject(now)
			usable--
		}
	}
}

func outlier(u *upstream, median float64, now time.Time) bool {
	if u.failures >= failuresToEject {
		return true
	}
	return u.samples >= outlierSamples && u.expected(now) > outlierFactor*median
}

func (u *upstream) eject(now time.Time) {
	if now.Sub(u.ejected) > longestEjection {
		u.times = 0
	}
	u.ejected = now.Add(min(firstEjection<<u.times, longestEjection))
	if firstEjection<<u.times < longestEjection {
		u.times++
	}
	u.since = u.ejected // ramps up when it returns
	u.failures = 0
	u.samples = 0
}

// turnedAwayPerMember spreads the requests that found no credit over the upstreams,
// as demand that the agents do not see.
func (s *service) turnedAwayPerMember() int {
	return (s.turnedRate + len(s.members) - 1) / max(1, len(s.members))
}

func (b *budget) deposit(percent int) {
	b.tenThousandths = min(b.tenThousandths+percent*depositShare, budgetLimit*retryCost)
}

func (b *budget) withdraw() bool {
	if b.tenThousandths < retryCost {
		return false
	}
	b.tenThousandths -= retryCost
	return true
}

// observe moves the estimate up or down by steps whose ratio is that of the shares
// above and below the percentile.
func (q *quantile) observe(took time.Duration) {
	q.samples++
	if q.estimate == 0 {
		q.estimate = float64(took)
		return
	}
	if float64(took) > q.estimate {
		q.estimate += q.estimate * quantileStep * quantileShare
	} else {
		q.estimate -= q.estimate * quantileStep * (1 - quantileShare)
	}
}

func (q *quantile) value() (time.Duration, bool) {
	return time.Duration(q.estimate), q.samples >= quantileSamples
}
