package router

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const booking = "booking"

func TestMain(m *testing.M) {
	seeder.FixSeed(300)
	os.Exit(m.Run())
}

func viewOf(index, vms int) jaygw.View {
	v := jaygw.View{
		Index:     jaygw.Index(index),
		Contracts: map[string]jaygw.Contract{booking: {Service: booking, RetryPercent: 10}},
		Upstreams: map[string][]jaygw.Upstream{},
		Domains:   map[string]jaygw.FailureDomain{},
	}
	for i := range vms {
		v.Upstreams[booking] = append(v.Upstreams[booking], jaygw.Upstream{
			VM: fmt.Sprintf("vm-%02d", i), Domain: string(rune('a' + i%3)), Incarnation: 1,
		})
	}
	return v
}

// TestRouterKeepsItsLimits guards against attempts beyond the granted credits, attempts at an
// upstream that is leaving or whose domain is out, and ejection of more than half of the
// upstreams, in random sequences of events.
func TestRouterKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := New("a", rapid.Uint64().Draw(t, "seed"))
		vms := rapid.IntRange(1, 40).Draw(t, "vms")
		r.Update(viewOf(1, vms), now)
		index := 1
		inFlight := map[string]int{}
		credits := map[string]int{}
		unavailable := map[string]bool{}
		var attempts []jaygw.Upstream
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				u, _, outcome := r.Pick(booking, nil, now)
				if outcome != Picked {
					return
				}
				inFlight[u.VM]++
				attempts = append(attempts, u)
				if unavailable[u.VM] {
					t.Fatalf("%s was picked although it is leaving or its domain is out", u.VM)
				}
				if granted := max(credits[u.VM], initialCredits); inFlight[u.VM] > granted {
					t.Fatalf("%d requests in flight at %s, but %d credits granted", inFlight[u.VM], u.VM, granted)
				}
			},
			"done": func(t *rapid.T) {
				if len(attempts) == 0 {
					t.Skip("nothing in flight")
				}
				u := attempts[0]
				attempts = attempts[1:]
				inFlight[u.VM]--
				result := rapid.SampledFrom([]AttemptResult{Responded, Refused, Failed, Failed, Abandoned}).Draw(t, "result")
				r.RecordResult(booking, u, result, time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond, now)
			},
			"credit": func(t *rapid.T) {
				u := viewOf(1, vms).Upstreams[booking][rapid.IntRange(0, vms-1).Draw(t, "vm")]
				n := rapid.IntRange(1, 16).Draw(t, "credits")
				leaving := rapid.IntRange(0, 20).Draw(t, "leaving") == 0
				r.RecordCredits(u, n, time.Second, leaving, now)
				credits[u.VM] = n
				unavailable[u.VM] = unavailable[u.VM] || leaving
			},
			"domain": func(t *rapid.T) {
				index++
				v := viewOf(index, vms)
				out := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "out")))
				v.Domains[out] = jaygw.FailureDomain{Name: out, Out: true}
				r.Update(v, now)
				for _, u := range v.Upstreams[booking] {
					// An upstream whose domain was out has no state when the domain returns.
					wasOut := unavailable["out:"+u.VM]
					unavailable["out:"+u.VM] = u.Domain == out
					unavailable[u.VM] = u.Domain == out || unavailable[u.VM] && !wasOut
				}
				// Attempts in flight at a VM whose domain was out are no longer counted.
				for vm := range inFlight {
					inFlight[vm] = 0
				}
				attempts = nil
				for _, u := range r.upstreams {
					u.inFlight = 0
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 5000}).Draw(t, "ms")) * time.Millisecond)
				clear(credits)
				for vm := range inFlight {
					credits[vm] = max(inFlight[vm], 16)
				}
			},
			"": func(t *rapid.T) {
				ejected := 0
				s := r.services[booking]
				for _, u := range s.upstreams {
					if now.Before(u.ejectedUntil) && !u.leaving {
						ejected++
					}
				}
				if ejected > (len(s.upstreams)+1)/2 && ejected > 1 {
					t.Fatalf("%d of %d upstreams are ejected", ejected, len(s.upstreams))
				}
			},
		})
	})
}

// TestSlowUpstreamIsAvoidedAndTriedAgain guards against a much slower upstream that gets many
// requests, or that never gets one again.
func TestSlowUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("z", 1)
	r.Update(viewOf(1, 11), now)
	slowPicks, total := 0, 120_000 // two minutes, several half-lives of the latency average
	for range total {
		now = now.Add(time.Millisecond)
		u, _, outcome := r.Pick(booking, nil, now)
		require.Equal(t, Picked, outcome)
		latency := 2 * time.Millisecond
		if u.VM == "vm-03" {
			slowPicks++
			latency *= 20
		}
		r.RecordResult(booking, u, Responded, latency, now)
	}
	require.Less(t, slowPicks, total/200)
	require.Greater(t, slowPicks, 1)
}

// TestNewUpstreamRampsUp guards against a new upstream among older ones that gets its full
// share immediately.
func TestNewUpstreamRampsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("z", 1)
	r.Update(viewOf(1, 3), now)
	r.Update(viewOf(2, 4), now)
	for _, u := range r.upstreams {
		r.RecordCredits(u.Upstream, 10, time.Hour, false, now)
	}
	count := func() int {
		n := 0
		for {
			u, _, outcome := r.Pick(booking, nil, now)
			if outcome != Picked {
				break
			}
			if u.VM == "vm-03" {
				n++
			}
		}
		for _, u := range r.upstreams {
			u.inFlight = 0
		}
		return n
	}
	require.Equal(t, 1, count())
	now = now.Add(rampUpTime)
	require.Equal(t, 10, count())
}

// TestRetryBudget guards against retries beyond the contract's share of the requests in an
// outage, and against a budget that accumulates without limit when there are no failures.
func TestRetryBudget(t *testing.T) {
	r := New("a", 1)
	r.Update(viewOf(1, 1), time.Unix(1000, 0))
	retries := 0
	for range 1000 {
		r.RecordRequest(booking)
		if r.TakeRetry(booking) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 100)
	require.GreaterOrEqual(t, retries, 95)
	idle := New("a", 1)
	idle.Update(viewOf(1, 1), time.Unix(1000, 0))
	for range 1000 {
		idle.RecordRequest(booking)
	}
	saved := 0
	for idle.TakeRetry(booking) {
		saved++
	}
	require.Equal(t, maxSavedRetries, saved)
}
