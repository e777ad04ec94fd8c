package limiter

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(200)
	os.Exit(m.Run())
}

type arrival struct {
	Class   jaygw.Class
	After   time.Duration
	Timeout time.Duration
	Work    time.Duration
	Cancel  time.Duration // zero: never
}

// A slot that is assigned twice would overload the upstream, one that is lost would reduce its
// capacity forever, and a refusal after the deadline is useless.
func TestSlotsAreNeitherExceededNorLost(t *testing.T) {
	arrivals := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) arrival {
		ms := func(name string, values ...int) time.Duration {
			return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
		}
		return arrival{
			Class: rapid.SampledFrom([]jaygw.Class{jaygw.Urgent, jaygw.LatencyCritical, jaygw.Bulk}).Draw(t, "class"),
			After: ms("after", 0, 0, 1, 5), Timeout: ms("timeout", 1, 10, 100, 1000),
			Work: ms("work", 1, 10, 50), Cancel: ms("cancel", 0, 0, 1, 20),
		}
	}), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		list := arrivals.Draw(rt, "arrivals")
		var violation string
		synctest.Test(t, func(*testing.T) {
			l := New(3, 4)
			var active atomic.Int32
			var late, exceeded atomic.Bool
			done := make(chan struct{})
			for _, a := range list {
				time.Sleep(a.After)
				go func() {
					defer func() { done <- struct{}{} }()
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if a.Cancel > 0 {
						time.AfterFunc(a.Cancel, cancel)
					}
					start := time.Now()
					err := l.Acquire(ctx, a.Class, start.Add(a.Timeout), start)
					if time.Since(start) > a.Timeout {
						late.Store(true)
					}
					if err != nil {
						return
					}
					if active.Add(1) > 3 {
						exceeded.Store(true)
					}
					time.Sleep(a.Work)
					active.Add(-1)
					l.Release(a.Work, time.Now())
				}()
				synctest.Wait()
			}
			for range list {
				<-done
			}
			if running, waiting := l.Load(); running != 0 || waiting != 0 {
				violation = "a slot or a place in the queue was lost"
			}
			if exceeded.Load() {
				violation = "more requests run than there are slots"
			}
			if late.Load() {
				violation = "a response came after the deadline"
			}
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// Urgent requests must not wait behind bulk requests, nor be refused because of a queue full of
// bulk requests.
func TestClassesAreServedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1, 3)
		now := time.Now()
		require.NoError(t, l.Acquire(t.Context(), jaygw.Bulk, now.Add(time.Hour), now))
		var mu sync.Mutex
		var order []jaygw.Class
		for _, class := range []jaygw.Class{jaygw.Bulk, jaygw.Bulk, jaygw.LatencyCritical, jaygw.Urgent} {
			go func() {
				if l.Acquire(context.Background(), class, now.Add(time.Hour), time.Now()) == nil {
					mu.Lock()
					order = append(order, class)
					mu.Unlock()
					l.Release(time.Millisecond, time.Now())
				}
			}()
			synctest.Wait()
		}
		l.Release(time.Millisecond, time.Now())
		synctest.Wait()
		require.Equal(t, []jaygw.Class{jaygw.Urgent, jaygw.LatencyCritical, jaygw.Bulk}, order)
	})
}

// A request that cannot be served before its deadline must be refused immediately.
func TestUnmeetableDeadlinesAreRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1, 10)
		now := time.Now()
		require.NoError(t, l.Acquire(t.Context(), jaygw.Bulk, now.Add(time.Hour), now))
		l.Release(100*time.Millisecond, now)
		require.NoError(t, l.Acquire(t.Context(), jaygw.Bulk, now.Add(time.Hour), now))
		err := l.Acquire(t.Context(), jaygw.Bulk, now.Add(150*time.Millisecond), now)
		require.True(t, errors.Is(err, ErrDeadline))
		require.Equal(t, now, time.Now())
	})
}

// Entries that do not know each other must not be granted much more than the capacity in total,
// and each must be granted at least one credit.
func TestGrantsFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 16
		g := NewGranter(capacity)
		now := time.Unix(1000, 0)
		requested := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 8).Draw(t, "requested")
		var last []int
		for range 2 {
			last = last[:0]
			for i, n := range requested {
				last = append(last, g.Grant(string(rune('a'+i)), n, now))
			}
		}
		sum := 0
		for _, n := range last {
			sum += n
		}
		if slices.Min(last) < 1 || sum > capacity+len(requested) {
			t.Fatalf("requested %v, granted %v", requested, last)
		}
		if n := g.Grant("late", capacity, now.Add(2*demandRetention)); n != capacity {
			t.Fatalf("entries without requests retain %d of %d", capacity-n, capacity)
		}
	})
}
