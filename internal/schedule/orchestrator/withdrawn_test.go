package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestStartOrderForDomainTakenOut guards against an order for a run that was granted before its failure domain was
// taken out, and whose order is given only later.
func TestStartOrderForDomainTakenOut(t *testing.T) {
	h := newHarness(t, "a")
	h.submit("w", step(1))
	h.decide()
	require.Len(t, h.placed("a"), 1)
	h.out["d"] = true
	h.now = h.now.Add(3 * time.Second)
	require.Empty(t, h.poll("a").Starts)
	h.decide()
	response := h.poll("a")
	require.Empty(t, response.Starts)
	require.Len(t, response.Stops, 1, "the run does not stay on the VM for as long as the domain is out")
}

// TestWithdrawalCommittedAfterDomainReturned guards against the stop of a run at work by a decision that was made while its failure
// domain was out, and is committed after the domain was returned and the agent has started the run.
func TestWithdrawalCommittedAfterDomainReturned(t *testing.T) {
	h := newHarness(t, "a")
	h.submit("x", step(1))
	h.decide()
	require.Len(t, h.placed("a"), 1)
	run := h.placed("a")[0]
	h.out["d"] = true
	late := h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now))
	require.Len(t, late, 1)
	require.Equal(t, run, late[0].StopRuns.Stops[0].Run)
	h.out["d"] = false // the withdrawal of the evacuation is committed first
	require.Len(t, h.poll("a").Starts, 1)
	h.reported["a"] = []jaygw.ReportedRun{{Run: run, Percent: 50, Confirmed: true}}
	h.poll("a")
	h.apply(&late[0])
	require.Empty(t, h.poll("a").Stops, "the run is at work and its domain is not out")
}
