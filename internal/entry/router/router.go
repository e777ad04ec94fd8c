// Package router chooses the upstream of each attempt: by slot credits, by
// expected delay and by failure domain. It ejects outliers, ramps up new
// upstreams and keeps the retry budget of each service.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Router knows the upstreams of each service from the confirmed view, and
	// what this entry has seen of them.
	Router struct {
		domain string

		mu        sync.Mutex
		view      jaygw.View
		upstreams map[identity]*upstream
		services  map[string]*service
		random    *rand.Rand
	}

	// identity is one life of an upstream's agent.
	identity struct {
		vm          string
		incarnation jaygw.Incarnation
	}

	// Verdict says why Pick has returned no upstream.
	Verdict int

	// Result is what became of an attempt, for the choice of later ones.
	Result int
)

const (
	// Picked means that there is an upstream.
	Picked Verdict = iota
	// NoUpstream means that the service has no upstream that was not tried.
	NoUpstream
	// NoCredit means that all upstreams are at the limit granted to this entry.
	NoCredit
)

const (
	// Answered means that the upstream has responded.
	Answered Result = iota
	// Refused means that the agent refused the attempt because of load.
	Refused
	// Failed means that no response came, or one that shows a fault.
	Failed
	// Abandoned means that the entry gave up; it says nothing of the upstream.
	Abandoned
)

// New returns a router of an entry in a failure domain, without a view.
func New(domain string, seed uint64) *Router {
	return &Router{
		domain:    domain,
		upstreams: map[identity]*upstream{},
		services:  map[string]*service{},
		random:    rand.New(rand.NewPCG(seed, 0)),
	}
}

// Update takes a new view. An older one is ignored.
func (r *Router) Update(view jaygw.View, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.Index < r.view.Index {
		return
	}
	first := r.view.Index == 0
	r.view = view
	seen := make(map[identity]*upstream, len(r.upstreams))
	services := make(map[string]*service, len(view.Contracts))
	for name := range view.Contracts {
		s := r.services[name]
		if s == nil {
			s = newService()
		}
		s.members = s.members[:0]
		for _, u := range view.Upstreams[name] {
			if view.Domains[u.Domain].Out {
				continue
			}
			id := identity{u.VM, u.Incarnation}
			state := seen[id]
			if state == nil {
				state = r.upstreams[id]
			}
			if state == nil {
				state = &upstream{Upstream: u, since: now}
				if first {
					// An entry that has just started knows of no upstream that
					// is older than the others.
					state.since = now.Add(-rampUp)
				}
			}
			seen[id] = state
			s.members = append(s.members, state)
		}
		services[name] = s
	}
	r.upstreams = seen
	r.services = services
}

// View returns the view in use.
func (r *Router) View() jaygw.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Contract returns the contract of a service.
func (r *Router) Contract(service string) (jaygw.Contract, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	contract, ok := r.view.Contracts[service]
	return contract, ok
}

// Pick chooses an upstream that was not tried before, and returns how many slots
// this entry could use there. Each Pick needs one Done.
func (r *Router) Pick(service string, tried []string, now time.Time) (jaygw.Upstream, int, Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return jaygw.Upstream{}, 0, NoUpstream
	}
	s.eject(now)
	u, verdict := s.pick(tried, r.domain, now, r.random.IntN)
	if u == nil {
		if verdict == NoCredit {
			s.turnedAway++
		}
		return jaygw.Upstream{}, 0, verdict
	}
	u.inFlight++
	u.used = now
	return u.Upstream, u.inFlight + s.turnedAwayPerMember(), Picked
}

// Done notes the end of an attempt that took a time.
func (r *Router) Done(service string, up jaygw.Upstream, result Result, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u := r.upstreams[identity{up.VM, up.Incarnation}]; u != nil {
		u.done(result, took, now)
	}
	if s := r.services[service]; s != nil && result == Answered {
		s.latency.observe(took)
	}
}

// Credit notes the share that an agent has granted, and whether it is leaving.
func (r *Router) Credit(up jaygw.Upstream, credits int, valid time.Duration, leaving bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[identity{up.VM, up.Incarnation}]
	if u == nil {
		return
	}
	if credits > 0 {
		u.credits = credits
		u.creditsUntil = now.Add(valid)
	}
	u.leaving = u.leaving || leaving
}

// Stale returns the upstreams that were used lately and whose credits will have
// run out by a time.
func (r *Router) Stale(now, by time.Time) []jaygw.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var stale []jaygw.Upstream
	for _, u := range r.upstreams {
		if u.creditsUntil.Before(by) && now.Sub(u.used) < askFor {
			stale = append(stale, u.Upstream)
		}
	}
	return stale
}

// Arrived notes a first attempt, which adds to the retry budget.
func (r *Router) Arrived(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		s.budget.deposit(r.view.Contracts[service].RetryPercent)
	}
}

// MayRetry takes one retry from the budget of the service.
func (r *Router) MayRetry(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	return s != nil && s.budget.withdraw()
}

// HedgeAfter returns the 95th percentile of the service's latency, once enough
// requests were seen.
func (r *Router) HedgeAfter(service string) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return 0, false
	}
	return s.latency.value()
}

// Jitter returns a random pause up to a limit.
func (r *Router) Jitter(limit time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.random.Int64N(int64(limit) + 1))
}
