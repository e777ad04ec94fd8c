package orchestrator

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// runsUnknown makes a poll that of a process to which the worker has not listed its runs.
func runsUnknown(request *jaygw.PollRequest) { request.RunsUnknown = true }

// TestRunReachesLaterIncarnationBeforeAgentRestarts guards against a run that is freed and granted elsewhere
// while it runs: its start has reached the worker's later incarnation, and the agent that knew it is dead.
func TestRunReachesLaterIncarnationBeforeAgentRestarts(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.poll("a", by(1, 10, 1))
			h.submit("w", step(1))
			h.decide()
			runs := h.placed("a")
			require.Len(t, runs, 1)
			earlier := h.state.Session("a").Number
			response := h.poll("a", by(2, 20, 1), runsUnknown)
			require.Greater(t, response.Session, earlier, "orders of the earlier process are denied")
			require.Equal(t, runs, response.Stops)
			require.Empty(t, response.Starts)
			h.poll("b")
			if newLeader {
				h.table.setLeadership(2, true, h.now)
				require.Equal(t, runs, h.poll("a", by(2, 20, 2), runsUnknown).Stops)
				h.poll("b")
			}
			h.decide()
			require.Equal(t, runs, h.placed("a"))
			require.Empty(t, h.placed("b"))
			h.poll("a", by(2, 20, 3), func(request *jaygw.PollRequest) {
				request.Ended = []jaygw.EndedRun{{Run: runs[0], Outcome: jaygw.RunDone}}
			})
			require.Empty(t, h.placed("a"))
			require.Equal(t, jaygw.WorkflowCompleted, h.state.Workflow("w").State)
			require.Equal(t, jaygw.Time(20), h.state.Session("a").Life.StartTime)
		})
	}
}
