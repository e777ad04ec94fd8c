package coordinator_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// syncRate returns the rate of small writes that are each synced on the disk of a
// folder.
func syncRate(b *testing.B, folder string) float64 {
	file, err := os.Create(filepath.Join(folder, "bare"))
	require.NoError(b, err)
	defer os.Remove(file.Name())
	defer file.Close()
	const syncs = 2000
	data := make([]byte, 256)
	start := time.Now()
	for range syncs {
		_, err := file.Write(data)
		require.NoError(b, err)
		require.NoError(b, file.Sync())
	}
	return syncs / time.Since(start).Seconds()
}

// BenchmarkCommits measures commits on one replica against the bare rate of syncs
// on the same disk, which is measured before and after.
func BenchmarkCommits(b *testing.B) {
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			g := newGroup(b, 1)
			r := g.leader()
			bare := b.TempDir()
			before := syncRate(b, bare)
			var left atomic.Int64
			left.Store(int64(b.N))
			var work sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				work.Go(func() {
					for left.Add(-1) >= 0 {
						_, err := r.Propose(context.Background(), jaygw.Command{SetDomain: &jaygw.SetDomain{Name: "north", Out: true}})
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			work.Wait()
			b.StopTimer()
			rate := float64(b.N) / b.Elapsed().Seconds()
			mean := (before + syncRate(b, bare)) / 2
			b.ReportMetric(rate, "commits/s")
			b.ReportMetric(mean, "syncs/s")
			b.ReportMetric(rate/mean, "commits/sync-rate")
		})
	}
}

// BenchmarkWithoutLeader crashes the leader of three replicas 50 times and
// measures the time until a command is committed again.
func BenchmarkWithoutLeader(b *testing.B) {
	const crashes = 50
	for range b.N {
		g := newGroup(b, 3)
		g.propose(g.leader(), 1)
		var times []time.Duration
		for i := range crashes {
			old, survivor := g.leader(), g.follower()
			delete(g.replicas, old.ID)
			start := time.Now()
			go old.stop()
			g.propose(survivor, 2+i)
			times = append(times, time.Since(start))
			old.stop()
			g.confirmed(g.start(old.Member, nil, old.folder, false), 2+i)
		}
		slices.Sort(times)
		b.ReportMetric(times[crashes/2].Seconds(), "s-median")
		b.ReportMetric(times[crashes-1].Seconds(), "s-worst")
	}
}
