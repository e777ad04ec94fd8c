package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/stretchr/testify/require"
)

// TestEffectsFollowMeasuredUsage guards against estimates that are based on paces, which are newer
// than the latencies reported with them. A run that has just started or has stalled would then be
// taken for one without effect, and a co-located run for the cause.
func TestEffectsFollowMeasuredUsage(t *testing.T) {
	h := newHarness(t, "b")
	labeled := func(request *jaygw.PollRequest) { request.Worker.Labels = []string{"spare"} }
	h.poll("a", labeled)
	serving := step(2)
	serving.Lasting, serving.Image, serving.LatencyTarget, serving.MaxPerVM = true, "search", 24*time.Millisecond, 1
	h.submit("serving", serving)
	h.decide()
	spare := step(1)
	spare.Spare, spare.Image, spare.Label = true, "heavy", "spare"
	h.submit("heavy", spare)
	h.decide()
	spare.Image = "light"
	h.submit("light", spare)
	h.decide()
	require.Len(t, h.placed("a"), 3)
	sample := func(tailLatency time.Duration, used map[string]jaygw.MilliCores, slowdown map[string]int) {
		h.now = h.now.Add(time.Second)
		for _, vm := range []string{"a", "b"} {
			h.reported[vm] = nil
			for _, run := range h.placed(vm) {
				k := jaygw.ReportedRun{Run: run, UsedCPU: used[run.Task.Workflow], SlowdownPercent: slowdown[run.Task.Workflow]}
				if run.Task.Workflow == "serving" {
					k.TailLatency = 8 * time.Millisecond
					if vm == "a" {
						k.TailLatency = tailLatency
					}
				}
				h.reported[vm] = append(h.reported[vm], k)
			}
			h.poll(vm, labeled)
		}
	}
	for range 20 {
		// The heavy run has just started and has no effect yet. In the next sample it has one,
		// though its pace has been reduced by then.
		sample(8*time.Millisecond, map[string]jaygw.MilliCores{"light": 1000}, nil)
		sample(24*time.Millisecond, map[string]jaygw.MilliCores{"light": 1000, "heavy": 1000}, map[string]int{"heavy": 100})
	}
	require.InDelta(t, 16, h.table.images.Effect("heavy", "search"), 3)
	require.InDelta(t, 0, h.table.images.Effect("light", "search"), 1)
}

// TestNextLeaderRestoresEffects guards against a new leader that lacks the estimates of the
// previous one: after each change of the leader, spare work slowed the serving tasks down again
// until its effect was learned anew.
func TestNextLeaderRestoresEffects(t *testing.T) {
	h := newHarness(t, "a", "b")
	for range 30 {
		h.now = h.now.Add(time.Second)
		h.table.images.Observe("search", 1, 4, []estimator.ImageLoad{{Image: "heavy", Share: 0.2}}, h.now)
	}
	learned := h.table.images.Effect("heavy", "search")
	require.Greater(t, learned, 10.0)
	h.now = h.now.Add(effectsRecordInterval)
	h.decide()
	require.Empty(t, h.table.recordEffects(h.now.Add(effectsRecordInterval)), "unchanged estimates are not recorded again")

	h.table = newVMTable(testLease)
	h.table.setLeadership(2, true, h.now)
	h.poll("a")
	require.InDelta(t, learned, h.table.images.Effect("heavy", "search"), 0.1)
}
