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

// syncRate returns the number of 256-byte writes a second in a folder, each followed by a sync.
func syncRate(b *testing.B, folder string) float64 {
	file, err := os.Create(filepath.Join(folder, "synced"))
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

// BenchmarkCommits compares the commit rate of one replica with the rate of plain synced writes on
// the same disk, measured before and after.
func BenchmarkCommits(b *testing.B) {
	for _, proposers := range []int{1, 64} {
		b.Run(fmt.Sprint(proposers), func(b *testing.B) {
			g := newGroup(b, 1)
			r := g.leader()
			folder := b.TempDir()
			rateBefore := syncRate(b, folder)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var workers sync.WaitGroup
			b.ResetTimer()
			for range proposers {
				workers.Go(func() {
					for remaining.Add(-1) >= 0 {
						_, err := r.Propose(context.Background(), jaygw.Command{SetDomain: &jaygw.SetDomain{Name: "north", Out: true}})
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			workers.Wait()
			b.StopTimer()
			commitRate := float64(b.N) / b.Elapsed().Seconds()
			meanSyncRate := (rateBefore + syncRate(b, folder)) / 2
			b.ReportMetric(commitRate, "commits/s")
			b.ReportMetric(meanSyncRate, "syncs/s")
			b.ReportMetric(commitRate/meanSyncRate, "commits/sync-rate")
		})
	}
}

// BenchmarkWithoutLeader stops the leader of three replicas 50 times and measures the time until
// the next command is committed.
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
			g.requireConfirmed(g.start(old.Member, nil, old.folder, false), 2+i)
		}
		slices.Sort(times)
		b.ReportMetric(times[crashes/2].Seconds(), "s-median")
		b.ReportMetric(times[crashes-1].Seconds(), "s-worst")
	}
}
