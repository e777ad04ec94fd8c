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
	seeder.Fix(200)
	os.Exit(m.Run())
}

type arrival struct {
	Class   jaygw.Class
	After   time.Duration
	Timeout time.Duration
	Work    time.Duration
	Cancel  time.Duration // zero: never
}

// A slot given twice would overload the upstream; one that is lost would idle it
// for ever; a refusal that takes longer than the deadline is of no use.
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
		var broken string
		synctest.Test(t, func(*testing.T) {
			l := New(3, 4)
			var running atomic.Int32
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
					if running.Add(1) > 3 {
						exceeded.Store(true)
					}
					time.Sleep(a.Work)
					running.Add(-1)
					l.Release(a.Work, time.Now())
				}()
				synctest.Wait()
			}
			for range list {
				<-done
			}
			if busy, waiting := l.Load(); busy != 0 || waiting != 0 {
				broken = "a slot or a place in the queue was lost"
			}
			if exceeded.Load() {
				broken = "more requests run than there are slots"
			}
			if late.Load() {
				broken = "an answer came after the deadline"
			}
		})
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// Urgent requests must not wait behind bulk ones, nor a full queue of bulk refuse
// them.
func TestClassesGoInOrder(t *testing.T) {
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

// A request that cannot be served before its deadline must be refused at once.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
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

// Entries that do not know each other must not be granted much more than there is,
// and none may be left with nothing.
func TestGrantsFollowDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 16
		g := NewGranter(capacity)
		now := time.Unix(1000, 0)
		wanted := rapid.SliceOfN(rapid.IntRange(1, 40), 1, 8).Draw(t, "wanted")
		var last []int
		for range 2 {
			last = last[:0]
			for i, n := range wanted {
				last = append(last, g.Grant(string(rune('a'+i)), n, now))
			}
		}
		sum := 0
		for _, n := range last {
			sum += n
		}
		if slices.Min(last) < 1 || sum > capacity+len(wanted) {
			t.Fatalf("wanted %v, granted %v", wanted, last)
		}
		if n := g.Grant("late", capacity, now.Add(2*forgetAfter)); n != capacity {
			t.Fatalf("entries that are gone keep %d of %d", capacity-n, capacity)
		}
	})
}
