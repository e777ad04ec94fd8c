// Package router chooses the upstream of each attempt.
package router

import (
	"math/rand/v2"
	"sync"

	"github.com/jaygw/jaygw"
)

type (
	// Router knows the upstreams of each service from the confirmed view.
	Router struct {
		domain string

		mu       sync.Mutex
		view     jaygw.View
		inFlight map[string]int // by VM
		random   *rand.Rand
	}
)

// New returns a router of an entry in a failure domain, without a view.
func New(domain string, seed uint64) *Router {
	return &Router{domain: domain, inFlight: map[string]int{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// Update takes a new view. An older one is ignored.
func (r *Router) Update(view jaygw.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if view.Index >= r.view.Index {
		r.view = view
	}
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

// Pick chooses the less loaded of two upstreams that were not tried before. Each
// Pick needs one Done.
func (r *Router) Pick(service string, tried map[string]bool) (jaygw.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []jaygw.Upstream
	for _, upstream := range r.view.Upstreams[service] {
		if !tried[upstream.VM] {
			candidates = append(candidates, upstream)
		}
	}
	if len(candidates) == 0 {
		return jaygw.Upstream{}, false
	}
	a := candidates[r.random.IntN(len(candidates))]
	b := candidates[r.random.IntN(len(candidates))]
	if r.inFlight[b.VM] < r.inFlight[a.VM] {
		a = b
	}
	r.inFlight[a.VM]++
	return a, true
}

// Done notes the end of an attempt.
func (r *Router) Done(upstream jaygw.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[upstream.VM]--; r.inFlight[upstream.VM] <= 0 {
		delete(r.inFlight, upstream.VM)
	}
}
