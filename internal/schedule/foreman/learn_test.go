package foreman

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/stretchr/testify/require"
)

// TestEffectsGoByWhatSpareRunsHaveUsed guards against estimates from figures that are
// older than the paces beside them: a run that has just started, or stands still, would
// be taken for one that does not press, and the run next to it for one that does.
func TestEffectsGoByWhatSpareRunsHaveUsed(t *testing.T) {
	e := newEstate(t, "b")
	labeled := func(a *jaygw.Attendance) { a.Worker.Labels = []string{"spare"} }
	e.attend("a", labeled)
	serving := step(2)
	serving.Lasting, serving.Image, serving.LatencyTarget, serving.PerVM = true, "search", 24*time.Millisecond, 1
	e.submit("serving", serving)
	e.decide()
	spare := step(1)
	spare.Spare, spare.Image, spare.Label = true, "heavy", "spare"
	e.submit("heavy", spare)
	e.decide()
	spare.Image = "light"
	e.submit("light", spare)
	e.decide()
	require.Len(t, e.placed("a"), 3)
	play := func(tail time.Duration, used map[string]jaygw.MilliCores, paced map[string]int) {
		e.now = e.now.Add(time.Second)
		for _, vm := range []string{"a", "b"} {
			e.known[vm] = nil
			for _, run := range e.placed(vm) {
				k := jaygw.KnownRun{Run: run, Used: used[run.Task.Workflow], Paced: paced[run.Task.Workflow]}
				if run.Task.Workflow == "serving" {
					k.Tail = 8 * time.Millisecond
					if vm == "a" {
						k.Tail = tail
					}
				}
				e.known[vm] = append(e.known[vm], k)
			}
			e.attend(vm, labeled)
		}
	}
	for range 20 {
		// The heavy run has begun and does not show yet; then it shows, though its pace is
		// down by now.
		play(8*time.Millisecond, map[string]jaygw.MilliCores{"light": 1000}, nil)
		play(24*time.Millisecond, map[string]jaygw.MilliCores{"light": 1000, "heavy": 1000}, map[string]int{"heavy": 100})
	}
	require.InDelta(t, 16, e.roster.images.Effect("heavy", "search"), 3)
	require.InDelta(t, 0, e.roster.images.Effect("light", "search"), 1)
}

// TestTheNextLeaderKnowsTheEffects guards against a leader that begins without what the
// one before it has found out: after each change of the leader, spare work pressed the
// serving tasks again until it had been learned anew.
func TestTheNextLeaderKnowsTheEffects(t *testing.T) {
	e := newEstate(t, "a", "b")
	for range 30 {
		e.now = e.now.Add(time.Second)
		e.roster.images.Observe("search", 1, 4, []estimator.Pressing{{Image: "heavy", Share: 0.2}}, e.now)
	}
	learned := e.roster.images.Effect("heavy", "search")
	require.Greater(t, learned, 10.0)
	e.now = e.now.Add(keepInterval)
	e.decide()
	require.Empty(t, e.roster.keep(e.now.Add(keepInterval)), "unchanged estimates are not recorded again")

	e.roster = newRoster(testLease)
	e.roster.lead(2, true, e.now)
	e.attend("a")
	require.InDelta(t, learned, e.roster.images.Effect("heavy", "search"), 0.1)
}
