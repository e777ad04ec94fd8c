package limiter

import (
	"sync"
	"time"
)

type (
	// Granter divides the capacity of an upstream among the entries by their
	// demand. Entries do not know each other; each learns only its own share.
	Granter struct {
		capacity int

		mu      sync.Mutex
		demands map[string]*demand // by entry
		sum     int
		swept   time.Time
	}

	demand struct {
		wanted int
		heard  time.Time
	}
)

const (
	// CreditValidity is how long an entry may use credits without hearing from
	// the agent.
	CreditValidity = 2 * time.Second

	// forgetAfter must exceed CreditValidity: until then the entry may use the
	// share that it was granted.
	forgetAfter = 3 * time.Second
)

// NewGranter returns a granter of a number of requests that may run or wait at
// the upstream.
func NewGranter(capacity int) *Granter {
	return &Granter{capacity: capacity, demands: map[string]*demand{}}
}

// Grant notes what an entry could use and returns its share, at least one.
func (g *Granter) Grant(entry string, wanted int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.swept) > forgetAfter/3 {
		g.sweep(now)
	}
	wanted = min(max(wanted, 1), g.capacity)
	d, ok := g.demands[entry]
	if !ok {
		d = &demand{}
		g.demands[entry] = d
	}
	g.sum += wanted - d.wanted
	d.wanted = wanted
	d.heard = now
	return max(1, g.capacity*wanted/g.sum)
}

func (g *Granter) sweep(now time.Time) {
	g.swept = now
	for entry, d := range g.demands {
		if now.Sub(d.heard) > forgetAfter {
			g.sum -= d.wanted
			delete(g.demands, entry)
		}
	}
}
