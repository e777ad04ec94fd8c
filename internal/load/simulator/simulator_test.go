package simulator_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jaygw/jaygw/examples"
	"github.com/jaygw/jaygw/internal/load/simulator"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/stretchr/testify/require"
)

const defaultSeed = 20261204

// outcome holds the results of all policies in one scenario of one user. servicesOnly is the
// scheduler without batch jobs, otherDomains the scheduler without the first failure domain.
type outcome struct {
	user, scenario                                   string
	servicesOnly, otherDomains                       simulator.Measurements
	scheduler, firstFit, leastLoaded, withoutSensing simulator.Measurements
}

// seed returns the seed from JAYGW_SEED, or the default one.
func seed() uint64 {
	if value, err := strconv.ParseUint(os.Getenv("JAYGW_SEED"), 10, 64); err == nil {
		return value
	}
	return defaultSeed
}

// readTestdata reads a list of items from a JSON file.
func readTestdata[T any](t testing.TB, name string) []T {
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	var items []T
	require.NoError(t, json.Unmarshal(data, &items))
	return items
}

// runPolicies runs all policies in the named scenarios, or in all of them if none is named.
func runPolicies(t testing.TB, names ...string) []outcome {
	documents := map[string][]byte{"litera-unita": examples.LiteraUnitaDocument, "cedarline": examples.CedarlineDocument}
	var outcomes []outcome
	for _, user := range readTestdata[simulator.User](t, "users.json") {
		require.NoError(t, json.Unmarshal(documents[user.Name], &user.Document))
		for _, s := range readTestdata[simulator.Scenario](t, "scenarios.json") {
			if len(names) > 0 && !slices.Contains(names, s.Name) {
				continue
			}
			o := outcome{user: user.Name, scenario: s.Name}
			servicesOnly := s
			servicesOnly.Jobs = nil
			o.servicesOnly = simulator.Run(&user, &servicesOnly, scheduler.New(), seed())
			o.scheduler = simulator.Run(&user, &s, scheduler.New(), seed())
			o.withoutSensing = simulator.Run(&user, &s,
				scheduler.New(scheduler.WithoutInterference(), scheduler.WithoutEstimates()), seed())
			o.firstFit = simulator.Run(&user, &s, &simulator.Baseline{}, seed())
			o.leastLoaded = simulator.Run(&user, &s, &simulator.Baseline{LeastLoaded: true}, seed())
			if s.Out != nil {
				o.otherDomains = simulator.RunWithoutFirstDomain(&user, &s, scheduler.New(), seed())
			}
			outcomes = append(outcomes, o)
		}
	}
	return outcomes
}

// TestBoundsWithDomainOut guards against a scheduler that misses the bounds of the design page for
// latency, throughput and evictions while a failure domain is out and after it returns. The command
// make policy prints all scenarios.
func TestBoundsWithDomainOut(t *testing.T) {
	for _, o := range runPolicies(t, "domain away") {
		require.LessOrEqual(t, o.scheduler.P99.Seconds(), 1.3*o.servicesOnly.P99.Seconds(), o.user)
		require.GreaterOrEqual(t, o.scheduler.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
		require.LessOrEqual(t, 2*o.scheduler.Evictions, o.leastLoaded.Evictions, o.user)
		require.GreaterOrEqual(t, o.scheduler.WorkWhileOut.Seconds(), 0.95*o.otherDomains.WorkWhileOut.Seconds(), o.user)
	}
}

// TestBoundsInANoisyWave guards against batch jobs with much interference that slow down the services,
// and against a scheduler that protects the services by running too little batch work.
func TestBoundsInANoisyWave(t *testing.T) {
	for _, o := range runPolicies(t, "noisy wave") {
		require.LessOrEqual(t, o.scheduler.P99.Seconds(), 1.3*o.servicesOnly.P99.Seconds(), o.user)
		require.GreaterOrEqual(t, o.scheduler.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
	}
}

// TestBoundsInOtherScenarios guards against missed bounds in the other scenarios. The cases
// that it exempts are checked by the tests that follow.
func TestBoundsInOtherScenarios(t *testing.T) {
	for _, o := range runPolicies(t, "steady", "bad worker", "wrong declarations", "all at once") {
		name := o.user + ", " + o.scenario
		require.LessOrEqual(t, o.scheduler.P99.Seconds(), 1.3*o.servicesOnly.P99.Seconds(), name)
		if name != "cedarline, wrong declarations" {
			require.GreaterOrEqual(t, o.scheduler.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), name)
		}
		if name != "litera-unita, all at once" {
			require.LessOrEqual(t, 2*o.scheduler.Evictions, o.leastLoaded.Evictions, name)
		}
		if o.otherDomains.P99 > 0 {
			require.GreaterOrEqual(t, o.scheduler.WorkWhileOut.Seconds(), 0.95*o.otherDomains.WorkWhileOut.Seconds(), name)
		}
	}
}

// TestEvictionsInANoisyWave guards against a reaction to interference that costs more than half of the
// evictions of the least loaded policy.
func TestEvictionsInANoisyWave(t *testing.T) {
	for _, o := range runPolicies(t, "noisy wave") {
		require.LessOrEqual(t, 2*o.scheduler.Evictions, o.leastLoaded.Evictions, o.user)
	}
}

// TestThroughputWithWrongDeclarations guards against learning of job sizes that costs more than a tenth
// of the throughput of the first fit policy.
func TestThroughputWithWrongDeclarations(t *testing.T) {
	for _, o := range runPolicies(t, "wrong declarations") {
		require.GreaterOrEqual(t, o.scheduler.Work.Seconds(), 0.9*o.firstFit.Work.Seconds(), o.user)
	}
}

// TestEvictionsAllAtOnce guards against too many evictions, more than half of those of the least loaded
// policy, when wrong declarations, interference, urgent tasks, a failure domain that is out and a
// bad VM come together.
func TestEvictionsAllAtOnce(t *testing.T) {
	for _, o := range runPolicies(t, "all at once") {
		require.LessOrEqual(t, 2*o.scheduler.Evictions, o.leastLoaded.Evictions, o.user)
	}
}

// BenchmarkPolicyTable prints one table with the results of all policies.
func BenchmarkPolicyTable(b *testing.B) {
	fmt.Printf("seed %d; p99 in ms, work and work while away in core minutes\n", seed())
	fmt.Printf("%-13s %-19s %-16s %7s %6s %7s %7s %6s %8s %6s\n",
		"user", "scenario", "policy", "p99", "ratio", "work", "evicted", "failed", "away", "urgent")
	for _, o := range runPolicies(b) {
		for _, p := range []struct {
			name string
			m    simulator.Measurements
		}{
			{"ours", o.scheduler},
			{"ours, no sensing", o.withoutSensing},
			{"first fit", o.firstFit},
			{"least loaded", o.leastLoaded},
			{"ours, rest only", o.otherDomains},
		} {
			if p.m.P99 == 0 {
				continue
			}
			fmt.Printf("%-13s %-19s %-16s %7.1f %6.2f %7.0f %7d %6d %8.0f %6s\n", o.user, o.scenario, p.name,
				p.m.P99.Seconds()*1000, p.m.P99.Seconds()/o.servicesOnly.P99.Seconds(), p.m.Work.Minutes(), p.m.Evictions, p.m.Failures,
				p.m.WorkWhileOut.Minutes(), p.m.UrgentWait.Round(100*time.Millisecond))
		}
	}
}
