package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestHeadroomFollowsSpareUsage guards against spare work that waits although co-located serving
// tasks use only half of their size, and against so much spare work that all of it becomes slow.
func TestHeadroomFollowsSpareUsage(t *testing.T) {
	h := newHarness(t, "a")
	spare := step(4)
	spare.Spare, spare.Image = true, "x"
	h.submit("w", spare)
	h.decide()
	sample := func(used jaygw.MilliCores) float64 {
		h.now = h.now.Add(time.Second)
		h.reported["a"] = nil
		for _, run := range h.placed("a") {
			h.reported["a"] = append(h.reported["a"], jaygw.ReportedRun{Run: run, UsedCPU: used})
		}
		h.poll("a")
		return h.table.vms["a"].headroom
	}
	require.Zero(t, sample(0), "runs without a usage sample leave the headroom unchanged")
	for range 20 {
		sample(980)
	}
	require.InDelta(t, maxHeadroom, sample(980), 0.001)
	require.InDelta(t, maxHeadroom, sample(820), 0.001, "usage between the thresholds leaves the headroom unchanged")
	for range 10 {
		sample(500)
	}
	require.Zero(t, sample(500))
}
