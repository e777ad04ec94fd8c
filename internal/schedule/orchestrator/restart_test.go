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

// TestRunThatIsNoLongerPlacedTakesRoom guards against starts beyond the size of a VM whose worker reports a run that the
// state no longer counts, as after a late order to a worker that has started again.
func TestRunThatIsNoLongerPlacedTakesRoom(t *testing.T) {
	h := newHarness(t, "a")
	whole := step(1)
	whole.Size.CPU = 8 * jaygw.Core
	h.submit("w", whole)
	h.decide()
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	require.Equal(t, []jaygw.Run{run}, h.placed("a"))
	ended := []jaygw.EndedRun{{Run: run, Outcome: jaygw.RunNotStarted}}
	h.apply(&jaygw.Command{EndRuns: &jaygw.EndRuns{VM: "a", Ended: ended}})
	h.reported["a"] = []jaygw.ReportedRun{{Run: run}}
	h.submit("next", whole)
	require.Equal(t, []jaygw.Run{run}, h.poll("a").Stops)
	h.decide()
	require.Empty(t, h.placed("a"))
	h.poll("a", func(request *jaygw.PollRequest) { request.Ended = ended })
	h.decide()
	require.Len(t, h.placed("a"), 1)
}
