package experimenter_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jaygw/jaygw/examples"
	"github.com/jaygw/jaygw/internal/load/experimenter"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/stretchr/testify/require"
)

const defaultSeed = 20261204

// outcome is what the policies have measured in one scenario of one user.
type outcome struct {
	user, scenario                              string
	alone, rest                                 experimenter.Figures // without batch; ours without the first domain
	ours, firstFit, leastLoaded, withoutSensing experimenter.Figures
}

func seed() uint64 {
	if value, err := strconv.ParseUint(os.Getenv("JAYGW_SEED"), 10, 64); err == nil {
		return value
	}
	return defaultSeed
}

func load[T any](t testing.TB, name string) []T {
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	var items []T
	require.NoError(t, json.Unmarshal(data, &items))
	return items
}

func measure(t testing.TB, names ...string) []outcome {
	documents := map[string][]byte{"litera-unita": examples.LiteraUnitaDocument, "cedarline": examples.CedarlineDocument}
	var outcomes []outcome
	for _, user := range load[experimenter.User](t, "users.json") {
		require.NoError(t, json.Unmarshal(documents[user.Name], &user.Document))
		for _, s := range load[experimenter.Scenario](t, "scenarios.json") {
			if len(names) > 0 && !slices.Contains(names, s.Name) {
				continue
			}
			o := outcome{user: user.Name, scenario: s.Name}
			alone := s
			alone.Jobs = nil
			o.alone = experimenter.Run(&user, &alone, scheduler.New(), seed())
			o.ours = experimenter.Run(&user, &s, scheduler.New(), seed())
			o.withoutSensing = experimenter.Run(&user, &s,
				scheduler.New(scheduler.WithoutInterference(), scheduler.WithoutEstimates()), seed())
			o.firstFit = experimenter.Run(&user, &s, &experimenter.Baseline{}, seed())
			o.leastLoaded = experimenter.Run(&user, &s, &experimenter.Baseline{LeastLoaded: true}, seed())
			if s.Out != nil {
				o.rest = experimenter.RunRest(&user, &s, scheduler.New(), seed())
			}
			outcomes = append(outcomes, o)
		}
	}
	return outcomes
}

// The bounds of the design page must hold where a domain leaves and returns; make
// policy shows all scenarios.
func TestBoundsWithADomainAway(t *testing.T) {
	for _, o := range measure(t, "domain away") {
		require.LessOrEqual(t, o.ours.P99.Seconds(), 1.3*o.alone.P99.Seconds(), o.user)
		require.GreaterOrEqual(t, o.ours.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
		require.LessOrEqual(t, 2*o.ours.Evictions, o.leastLoaded.Evictions, o.user)
		require.GreaterOrEqual(t, o.ours.Away.Seconds(), 0.95*o.rest.Away.Seconds(), o.user)
	}
}

// A noisy wave must not slow the services, and batch work must go on beside it.
func TestBoundsInANoisyWave(t *testing.T) {
	for _, o := range measure(t, "noisy wave") {
		require.LessOrEqual(t, o.ours.P99.Seconds(), 1.3*o.alone.P99.Seconds(), o.user)
		require.GreaterOrEqual(t, o.ours.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
	}
}

// All bounds must hold in the other scenarios too; the three that do not are tested
// one by one below.
func TestBoundsInOtherScenarios(t *testing.T) {
	for _, o := range measure(t, "steady", "bad worker", "wrong declarations", "all at once") {
		name := o.user + ", " + o.scenario
		require.LessOrEqual(t, o.ours.P99.Seconds(), 1.3*o.alone.P99.Seconds(), name)
		if name != "cedarline, wrong declarations" {
			require.GreaterOrEqual(t, o.ours.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), name)
		}
		if name != "litera-unita, all at once" {
			require.LessOrEqual(t, 2*o.ours.Evictions, o.leastLoaded.Evictions, name)
		}
		if o.rest.P99 > 0 {
			require.GreaterOrEqual(t, o.ours.Away.Seconds(), 0.95*o.rest.Away.Seconds(), name)
		}
	}
}

// Reacting to interference must not cost more evictions than half of least loaded.
func TestEvictionsInANoisyWave(t *testing.T) {
	for _, o := range measure(t, "noisy wave") {
		require.LessOrEqual(t, 2*o.ours.Evictions, o.leastLoaded.Evictions, o.user)
	}
}

// Learning the sizes of jobs must not cost more than a tenth of the throughput.
func TestThroughputWithWrongDeclarations(t *testing.T) {
	for _, o := range measure(t, "wrong declarations") {
		require.GreaterOrEqual(t, o.ours.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
	}
}

// The week's worst must not cost more evictions than half of least loaded.
func TestEvictionsAllAtOnce(t *testing.T) {
	for _, o := range measure(t, "all at once") {
		require.LessOrEqual(t, 2*o.ours.Evictions, o.leastLoaded.Evictions, o.user)
	}
}

// BenchmarkPolicyTable prints the figures of all policies once.
func BenchmarkPolicyTable(b *testing.B) {
	fmt.Printf("seed %d; p99 in ms, work and work while away in core minutes\n", seed())
	fmt.Printf("%-13s %-19s %-16s %7s %6s %7s %7s %6s %8s %6s\n",
		"user", "scenario", "policy", "p99", "ratio", "work", "evicted", "failed", "away", "urgent")
	for _, o := range measure(b) {
		for _, p := range []struct {
			name string
			f    experimenter.Figures
		}{
			{"ours", o.ours},
			{"ours, no sensing", o.withoutSensing},
			{"first fit", o.firstFit},
			{"least loaded", o.leastLoaded},
			{"ours, rest only", o.rest},
		} {
			if p.f.P99 == 0 {
				continue
			}
			fmt.Printf("%-13s %-19s %-16s %7.1f %6.2f %7.0f %7d %6d %8.0f %6s\n", o.user, o.scenario, p.name,
				p.f.P99.Seconds()*1000, p.f.P99.Seconds()/o.alone.P99.Seconds(), p.f.Work.Minutes(), p.f.Evictions, p.f.Failures,
				p.f.Away.Minutes(), p.f.Urgent.Round(100*time.Millisecond))
		}
	}
}
