package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestRoomOfReportedRunIsGranted guards against a start beyond the size of a VM whose worker still has a run that the
// control state has given up: one whose order was late, or whose lease the leader counts as over.
func TestRoomOfReportedRunIsGranted(t *testing.T) {
	h := newHarness(t, "a")
	big := jaygw.Step{Tasks: 1, Size: jaygw.Resources{CPU: 6 * jaygw.Core, Memory: jaygw.GB}, RunTime: time.Second}
	h.submit("v", big)
	h.decide()
	run := h.placed("a")[0]
	h.now = h.now.Add(testLease + time.Second)
	h.decide()
	require.Empty(t, h.placed("a"))
	h.reported["a"] = []jaygw.ReportedRun{{Run: run}}
	response := h.poll("a")
	require.Equal(t, []jaygw.Run{run}, response.Stops)
	h.submit("w", big)
	h.decide()
	response = h.poll("a")
	t.Logf("one response stops %v and starts %v", response.Stops, response.Starts)
	require.Empty(t, h.placed("a"))
}

// TestUnplacedRuns guards against starts in the room of runs that the agent still has and the leader does not count.
func TestUnplacedRuns(t *testing.T) {
	h := newHarness(t, "a")
	h.submit("w", step(2))
	h.decide()
	placed, foreign := h.placed("a"), jaygw.Run{Task: jaygw.StepTask{Workflow: "gone"}, Number: 1}
	for _, run := range append(placed, foreign) {
		h.reported["a"] = append(h.reported["a"], jaygw.ReportedRun{Run: run})
	}
	require.Equal(t, []jaygw.Run{foreign}, h.poll("a").Unplaced)
	h.apply(&jaygw.Command{StopRuns: &jaygw.StopRuns{Stops: []jaygw.StoppedRun{{Run: placed[0], VM: "a"}}}})
	response := h.poll("a")
	require.Contains(t, response.Stops, placed[0])
	require.Equal(t, []jaygw.Run{foreign}, response.Unplaced, "a run that is being stopped is counted")
	require.Empty(t, h.poll("a", func(request *jaygw.PollRequest) {
		request.Ended = []jaygw.EndedRun{{Run: foreign, Outcome: jaygw.RunStopped}, {Run: placed[0], Outcome: jaygw.RunStopped}}
	}).Unplaced)
	h.now = h.now.Add(2 * testLease)
	h.decide()
	require.Contains(t, h.poll("a").Unplaced, placed[1], "the lease of the VM is over")
}
