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
	seeder.Fix(300)
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

// Whatever happens, the router must stay within the granted credits, send nothing to
// an upstream that leaves, whose domain is out or that is gone, and keep at least
// half of the upstreams.
func TestRouterKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		r := New("a", rapid.Uint64().Draw(t, "seed"))
		vms := rapid.IntRange(1, 40).Draw(t, "vms")
		r.Update(viewOf(1, vms), now)
		index := 1
		inFlight := map[string]int{}
		limit := map[string]int{}
		gone := map[string]bool{}
		var open []jaygw.Upstream
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				u, _, verdict := r.Pick(booking, nil, now)
				if verdict != Picked {
					return
				}
				inFlight[u.VM]++
				open = append(open, u)
				if gone[u.VM] {
					t.Fatalf("%s was picked though it has left", u.VM)
				}
				if granted := max(limit[u.VM], initialCredits); inFlight[u.VM] > granted {
					t.Fatalf("%d requests at %s, granted %d", inFlight[u.VM], u.VM, granted)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing in flight")
				}
				u := open[0]
				open = open[1:]
				inFlight[u.VM]--
				result := rapid.SampledFrom([]Result{Answered, Refused, Failed, Failed, Abandoned}).Draw(t, "result")
				r.Done(booking, u, result, time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms"))*time.Millisecond, now)
			},
			"credit": func(t *rapid.T) {
				u := viewOf(1, vms).Upstreams[booking][rapid.IntRange(0, vms-1).Draw(t, "vm")]
				n := rapid.IntRange(1, 16).Draw(t, "credits")
				leaving := rapid.IntRange(0, 20).Draw(t, "leaving") == 0
				r.Credit(u, n, time.Second, leaving, now)
				limit[u.VM] = n
				gone[u.VM] = gone[u.VM] || leaving
			},
			"domain": func(t *rapid.T) {
				index++
				v := viewOf(index, vms)
				out := string(rune('a' + rapid.IntRange(0, 3).Draw(t, "out")))
				v.Domains[out] = jaygw.FailureDomain{Name: out, Out: true}
				r.Update(v, now)
				for _, u := range v.Upstreams[booking] {
					// An upstream that was away is known afresh when it returns.
					wasOut := gone["out:"+u.VM]
					gone["out:"+u.VM] = u.Domain == out
					gone[u.VM] = u.Domain == out || gone[u.VM] && !wasOut
				}
				// What was in flight at a VM that was away is no longer counted.
				for vm := range inFlight {
					inFlight[vm] = 0
				}
				open = nil
				for _, u := range r.upstreams {
					u.inFlight = 0
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 100, 5000}).Draw(t, "ms")) * time.Millisecond)
				clear(limit)
				for vm := range inFlight {
					limit[vm] = max(inFlight[vm], 16)
				}
			},
			"": func(t *rapid.T) {
				ejected := 0
				s := r.services[booking]
				for _, u := range s.members {
					if now.Before(u.ejected) && !u.leaving {
						ejected++
					}
				}
				if ejected > (len(s.members)+1)/2 && ejected > 1 {
					t.Fatalf("%d of %d upstreams are ejected", ejected, len(s.members))
				}
			},
		})
	})
}

// An upstream that is much slower must get few requests, and be tried again.
func TestSlowUpstreamIsAvoidedAndTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("z", 1)
	r.Update(viewOf(1, 11), now)
	slow, total := 0, 120_000 // two minutes: several half-lives of a latency average
	for range total {
		now = now.Add(time.Millisecond)
		u, _, verdict := r.Pick(booking, nil, now)
		require.Equal(t, Picked, verdict)
		took := 2 * time.Millisecond
		if u.VM == "vm-03" {
			slow++
			took *= 20
		}
		r.Done(booking, u, Answered, took, now)
	}
	require.Less(t, slow, total/200)
	require.Greater(t, slow, 1)
}

// A new upstream among old ones must not be given its full share at once.
func TestNewUpstreamRampsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New("z", 1)
	r.Update(viewOf(1, 3), now)
	r.Update(viewOf(2, 4), now)
	for _, u := range r.upstreams {
		r.Credit(u.Upstream, 10, time.Hour, false, now)
	}
	count := func() int {
		n := 0
		for {
			u, _, verdict := r.Pick(booking, nil, now)
			if verdict != Picked {
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
	now = now.Add(rampUp)
	require.Equal(t, 10, count())
}

// In an outage, retries must stay a share of the requests.
func TestRetryBudget(t *testing.T) {
	r := New("a", 1)
	r.Update(viewOf(1, 1), time.Unix(1000, 0))
	retries := 0
	for range 1000 {
		r.Arrived(booking)
		if r.MayRetry(booking) {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 100)
	require.GreaterOrEqual(t, retries, 95)
	quiet := New("a", 1)
	quiet.Update(viewOf(1, 1), time.Unix(1000, 0))
	for range 1000 {
		quiet.Arrived(booking)
	}
	saved := 0
	for quiet.MayRetry(booking) {
		saved++
	}
	require.Equal(t, budgetLimit, saved)
}
