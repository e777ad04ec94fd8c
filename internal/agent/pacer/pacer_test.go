package pacer_test

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/stretchr/testify/require"
)

// loadPattern is the tail latency of a serving run without spare work, sampled each half
// second, and how much spare work at full pace adds to it.
type loadPattern struct {
	Guards       string  `json:"guards"`
	TargetMs     int     `json:"target-ms"`
	TailsMs      []int   `json:"tails-ms"`
	AddedLatency float64 `json:"adds"`          // multiple of the tail latency without spare work, at full pace
	Effect       float64 `json:"effect"`        // estimate given to the pacer; zero: none
	MaxOver      int     `json:"most-over"`     // consecutive samples over the target while spare work continues
	MinWorkMs    int     `json:"least-work-ms"` // spare work, in ms at full pace
}

// TestLoadPatterns replays the load patterns in testdata. It guards against spare work that
// keeps a serving run over its target for too long, and against needless pacing.
func TestLoadPatterns(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.json")
	require.NoError(t, err)
	var patterns []loadPattern
	require.NoError(t, json.Unmarshal(data, &patterns))
	for _, pattern := range patterns {
		t.Run(pattern.Guards, func(t *testing.T) { replay(t, pattern) })
	}
}

func replay(t *testing.T, pattern loadPattern) {
	const sample = 500 * time.Millisecond
	p, now := pacer.New(), time.Unix(0, 0)
	if pattern.Effect > 0 {
		p.Learn([]jaygw.ImageEffect{{Effect: pattern.Effect}})
	}
	serving := jaygw.Run{Task: jaygw.StepTask{Workflow: "serving"}, Number: 1}
	spare := jaygw.Run{Task: jaygw.StepTask{Workflow: "spare"}, Number: 1}
	over, maxOver, work := 0, 0, 0
	for _, tailLatency := range pattern.TailsMs {
		now = now.Add(sample)
		pace := p.PaceOf(spare)
		measured := float64(tailLatency) * (1 + pattern.AddedLatency*float64(pace)/100)
		work += pace * int(sample.Milliseconds()) / 100
		if measured > float64(pattern.TargetMs) && tailLatency <= pattern.TargetMs && pace > 0 {
			over++
		} else {
			over = 0
		}
		maxOver = max(maxOver, over)
		for _, change := range p.Decide([]pacer.Observation{
			{Run: serving, Traits: jaygw.RunTraits{LatencyTarget: time.Duration(pattern.TargetMs) * time.Millisecond}, TailLatency: time.Duration(measured) * time.Millisecond},
			{Run: spare, Traits: jaygw.RunTraits{Spare: true}, Share: 0.3, UsedShare: 0.3 * float64(pace) / 100},
		}, now) {
			require.Equal(t, spare, change.Run, "only spare runs are paced")
			p.SetPace(change)
		}
	}
	require.LessOrEqual(t, maxOver, pattern.MaxOver, "samples over the target")
	require.GreaterOrEqual(t, work, pattern.MinWorkMs, "spare work in ms at full pace")
}

func spareRun(id string, share, used float64, percent int) pacer.Observation {
	return pacer.Observation{
		Run: jaygw.Run{Task: jaygw.StepTask{Workflow: id}, Number: 1}, Traits: jaygw.RunTraits{Spare: true, Image: "spare"},
		Share: share, UsedShare: used, Progress: percent,
	}
}

func servingRun(tailLatency time.Duration) pacer.Observation {
	return pacer.Observation{
		Run:    jaygw.Run{Task: jaygw.StepTask{Workflow: "serving"}, Number: 1},
		Traits: jaygw.RunTraits{LatencyTarget: 100 * time.Millisecond, Image: "serving"}, TailLatency: tailLatency,
	}
}

func pacesOf(changes []pacer.Pace) map[string]int {
	paces := map[string]int{}
	for _, c := range changes {
		paces[c.Run.Task.Workflow] = c.Percent
	}
	return paces
}

func pacerWith(effect float64) *pacer.Pacer {
	p := pacer.New()
	p.Learn([]jaygw.ImageEffect{{Pair: jaygw.ImagePair{Spare: "spare", Serving: "serving"}, Effect: effect}})
	return p
}

// TestNewRunGetsPaceImmediately guards against a spare run with a large effect that works at
// full pace until the latency of a co-located serving run shows it.
func TestNewRunGetsPaceImmediately(t *testing.T) {
	p, now := pacerWith(20), time.Unix(0, 0)
	// The inverse latency is 2 times the target's, so the margin is 1, of which a new run leaves
	// 0.3. A tenth of the VM at effect 20 would take 2.
	require.Equal(t, map[string]int{"a": 35}, pacesOf(p.Decide([]pacer.Observation{servingRun(50 * time.Millisecond), spareRun("a", 0.1, 0, 0)}, now)))
	p.SetPace(pacer.Pace{Run: spareRun("a", 0, 0, 0).Run, Percent: 35})
	now = now.Add(100 * time.Millisecond)
	changes := p.Decide([]pacer.Observation{
		servingRun(50 * time.Millisecond), spareRun("a", 0.1, 0, 5), spareRun("b", 0.1, 0, 0),
	}, now)
	require.Equal(t, map[string]int{"b": 0}, pacesOf(changes), "the first run takes the whole margin, although the measurements do not show it yet")
}

// TestRunsWithMostProgressKeepTheirPace guards against spare runs that are all suspended with
// most of their work done.
func TestRunsWithMostProgressKeepTheirPace(t *testing.T) {
	p, now := pacerWith(20), time.Unix(0, 0)
	runs := []pacer.Observation{servingRun(20 * time.Millisecond), spareRun("a", 0.05, 0.05, 10), spareRun("b", 0.05, 0.05, 90)}
	require.Empty(t, p.Decide(runs, now))
	now = now.Add(700 * time.Millisecond)
	runs[0] = servingRun(200 * time.Millisecond)
	// The inverse latency is 0.5 of the target's. The two spare runs take 1 each, so the margin
	// is 1.5.
	require.Equal(t, map[string]int{"a": 50}, pacesOf(p.Decide(runs, now)))
}

// TestImagesWithNegligibleEffectKeepTheirPace guards against pacing spare runs that do not
// slow the serving run, which exceeds its target without them.
func TestImagesWithNegligibleEffectKeepTheirPace(t *testing.T) {
	p, now := pacerWith(1.5), time.Unix(0, 0)
	runs := []pacer.Observation{servingRun(110 * time.Millisecond), spareRun("a", 0.1, 0.1, 10)}
	for range 3 {
		require.Empty(t, p.Decide(runs, now))
		now = now.Add(700 * time.Millisecond)
	}
}

// TestSustainedExcessSuspendsAllSpareRuns guards against wrong estimates: spare runs with a
// negligible estimated effect would keep a serving run over its target for seconds.
func TestSustainedExcessSuspendsAllSpareRuns(t *testing.T) {
	p, now := pacerWith(0), time.Unix(0, 0)
	runs := []pacer.Observation{servingRun(300 * time.Millisecond), spareRun("a", 0.1, 0.1, 10), spareRun("b", 0.2, 0.2, 10)}
	start := now
	for p.PaceOf(runs[1].Run) > 0 || p.PaceOf(runs[2].Run) > 0 {
		for _, change := range p.Decide(runs, now) {
			p.SetPace(change)
		}
		require.Less(t, now.Sub(start), 2600*time.Millisecond)
		now = now.Add(500 * time.Millisecond)
	}
}

// TestPacesDoNotFollowSmallChanges guards against a pace that rises whenever the load of a serving
// run falls a little, so that the next rise of the load puts the run over its target.
func TestPacesDoNotFollowSmallChanges(t *testing.T) {
	p, now := pacerWith(10), time.Unix(0, 0)
	decide := func(tailLatency time.Duration, used float64) map[string]int {
		now = now.Add(700 * time.Millisecond)
		changes := p.Decide([]pacer.Observation{servingRun(tailLatency), spareRun("a", 0.1, used, 0)}, now)
		for _, change := range changes {
			p.SetPace(change)
		}
		return pacesOf(changes)
	}
	require.Equal(t, map[string]int{"a": 21}, decide(66*time.Millisecond, 0), "a new run leaves the reserve")
	require.Empty(t, decide(80*time.Millisecond, 0.021), "the ratio is 1.25, and the run takes 0.21 of it")
	require.Empty(t, decide(95*time.Millisecond, 0.021), "the ratio is above 1")
	require.Equal(t, map[string]int{"a": 0}, decide(120*time.Millisecond, 0.021), "the ratio is below 1")
}

// TestRunsWithoutProcessorTimeKeepTheirPace guards against a division by zero that suspends a spare
// run with a declared size of 0.
func TestRunsWithoutProcessorTimeKeepTheirPace(t *testing.T) {
	p := pacerWith(20)
	require.Empty(t, p.Decide([]pacer.Observation{servingRun(50 * time.Millisecond), spareRun("a", 0, 0, 0)}, time.Unix(0, 0)))
}
