package limiter

import (
	"sync"
	"time"
)

type (
	// Granter divides the capacity of an upstream among the entries in proportion to their
	// demand. Entries do not know each other; each receives only its own share. It is safe
	// for concurrent use.
	Granter struct {
		capacity int

		mu             sync.Mutex
		demands        map[string]*demand // by entry
		totalRequested int                // sum of all demands
		lastCleanup    time.Time
	}

	demand struct {
		requested   int
		lastRequest time.Time
	}
)

const (
	// CreditValidity is how long an entry may use credits after a response of the agent.
	CreditValidity = 2 * time.Second

	// demandRetention is how long the demand of an entry without further requests counts. It
	// must exceed CreditValidity, because the entry may use its share until then.
	demandRetention = 3 * time.Second
)

// NewGranter returns a granter that divides a capacity, which is the number of requests that may
// run or wait at the upstream.
func NewGranter(capacity int) *Granter {
	return &Granter{capacity: capacity, demands: map[string]*demand{}}
}

// Grant records how many credits an entry requests and returns its share, which is at least one.
func (g *Granter) Grant(entry string, requested int, now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastCleanup) > demandRetention/3 {
		g.removeExpired(now)
	}
	requested = min(max(requested, 1), g.capacity)
	d, ok := g.demands[entry]
	if !ok {
		d = &demand{}
		g.demands[entry] = d
	}
	g.totalRequested += requested - d.requested
	d.requested = requested
	d.lastRequest = now
	return max(1, g.capacity*requested/g.totalRequested)
}

func (g *Granter) removeExpired(now time.Time) {
	g.lastCleanup = now
	for entry, d := range g.demands {
		if now.Sub(d.lastRequest) > demandRetention {
			g.totalRequested -= d.requested
			delete(g.demands, entry)
		}
	}
}
