// Package router chooses the upstream of each attempt by slot credits, expected delay and
// failure domain. It ejects outliers, ramps up new upstreams and accounts for the retry
// budget of each service.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Router holds the upstreams of each service from the confirmed view, with this
	// entry's measurements of them.
	Router struct {
		domain string // failure domain of the entry

		mu        sync.Mutex
		view      jaygw.View
		upstreams map[upstreamKey]*upstream
		services  map[string]*service // by name
		random    *rand.Rand
	}

	// upstreamKey identifies one incarnation of an upstream's agent.
	upstreamKey struct {
		vm          string
		incarnation jaygw.Incarnation
	}

	// PickOutcome is the outcome of Pick.
	PickOutcome int

	// AttemptResult is the outcome of an attempt. It influences the choice of upstreams for later
	// attempts.
	AttemptResult int
)

const (
	// Picked means that Pick has returned an upstream.
	Picked PickOutcome = iota
	// NoUpstream means that the service has no usable upstream that has not been tried for
	// the request.
	NoUpstream
	// NoCredit means that all upstreams are at the limit granted to this entry.
	NoCredit
)

const (
	// Responded means that the upstream has responded.
	Responded AttemptResult = iota
	// Refused means that the agent refused the attempt because of load.
	Refused
	// Failed means that there was no response, or one that indicates a fault of the upstream.
	Failed
	// Abandoned means that the entry ended the attempt. It does not count for or against
	// the upstream.
	Abandoned
)

// New returns a router without a view for an entry in a failure domain. The seed determines
// its random choices.
func New(domain string, seed uint64) *Router {
	return &Router{
		domain:    domain,
		upstreams: map[upstreamKey]*upstream{},
		services:  map[string]*service{},
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Update replaces the view, unless the new one is older than the one in use.
func (r *Router) Update(view jaygw.View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.Index < r.view.Index {
		return
	}
	first := r.view.Index == 0
	r.view = view
	current := make(map[upstreamKey]*upstream, len(r.upstreams))
	services := make(map[string]*service, len(view.Contracts))
	for name := range view.Contracts {
		s := r.services[name]
		if s == nil {
			s = newService()
		}
		s.upstreams = s.upstreams[:0]
		for _, u := range view.Upstreams[name] {
			if view.Domains[u.Domain].Out {
				continue
			}
			id := upstreamKey{u.VM, u.Incarnation}
			state := current[id]
			if state == nil {
				state = r.upstreams[id]
			}
			if state == nil {
				state = &upstream{Upstream: u, rampStart: now}
				if first {
					// After the start of the entry, the age of the upstreams is
					// unknown, so none of them ramps up.
					state.rampStart = now.Add(-rampUpTime)
				}
			}
			current[id] = state
			s.upstreams = append(s.upstreams, state)
		}
		services[name] = s
	}
	r.upstreams = current
	r.services = services
}

// View returns the view in use. Its index is 0 before the first Update.
func (r *Router) View() jaygw.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Contract returns the contract of a service, and whether the view has the service.
func (r *Router) Contract(service string) (jaygw.Contract, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	contract, ok := r.view.Contracts[service]
	return contract, ok
}

// Pick chooses an upstream whose VM is not among those tried for the request, and returns how
// many slots this entry could use there. Each upstream that it returns must be followed by
// one call of Done.
func (r *Router) Pick(service string, tried []string, now time.Time) (jaygw.Upstream, int, PickOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return jaygw.Upstream{}, 0, NoUpstream
	}
	s.eject(now)
	u, outcome := s.pick(tried, r.domain, now, r.random.IntN)
	if u == nil {
		if outcome == NoCredit {
			s.creditDenials++
		}
		return jaygw.Upstream{}, 0, outcome
	}
	u.inFlight++
	u.lastUse = now
	return u.Upstream, u.inFlight + s.unmetDemandPerUpstream(), Picked
}

// RecordResult records the result of an attempt, and its latency up to the first response message.
func (r *Router) RecordResult(service string, up jaygw.Upstream, result AttemptResult, latency time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.upstreams[upstreamKey{up.VM, up.Incarnation}]; u != nil {
		u.finishAttempt(result, latency, now)
	}
	if s := r.services[service]; s != nil && result == Responded {
		s.latency.observe(latency)
	}
}

// RecordCredits records how many slots an agent has granted to this entry, how long the grant is
// valid, and whether the upstream is leaving. Zero credits leave the earlier grant in place.
func (r *Router) RecordCredits(up jaygw.Upstream, credits int, valid time.Duration, leaving bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[upstreamKey{up.VM, up.Incarnation}]
	if u == nil {
		return
	}
	if credits > 0 {
		u.credits = credits
		u.creditsUntil = now.Add(valid)
	}
	u.leaving = u.leaving || leaving
}

// UpstreamsNeedingCredits returns the upstreams that were used within creditRenewalWindow and whose credits
// expire before a given time.
func (r *Router) UpstreamsNeedingCredits(now, by time.Time) []jaygw.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stale []jaygw.Upstream
	for _, u := range r.upstreams {
		if u.creditsUntil.Before(by) && now.Sub(u.lastUse) < creditRenewalWindow {
			stale = append(stale, u.Upstream)
		}
	}
	return stale
}

// RecordRequest records a new request, which adds to the retry budget of its service.
func (r *Router) RecordRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.budget.deposit(r.view.Contracts[service].RetryPercent)
	}
}

// TakeRetry takes one retry from the budget of the service. It returns false if the budget is
// exhausted.
func (r *Router) TakeRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	return s != nil && s.budget.withdraw()
}

// HedgeDelay returns an estimate of the 95th percentile of the service's latency, and whether
// there were enough samples for it.
func (r *Router) HedgeDelay(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return 0, false
	}
	return s.latency.value()
}

// Jitter returns a random duration of at most a limit.
func (r *Router) Jitter(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}
