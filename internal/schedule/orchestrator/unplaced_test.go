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
