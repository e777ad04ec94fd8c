package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestProfileChangeKeepsRuns guards against a session that ends or stops runs, or refuses an agent, when the worker
// changes its profile: with polls that overtake each other, and back to the earlier profile.
func TestProfileChangeKeepsRuns(t *testing.T) {
	h := newHarness(t, "a")
	h.submit("w", step(3))
	h.decide()
	runs := h.placed("a")
	require.Len(t, runs, 3)
	shrunk := func(request *jaygw.PollRequest) { request.Worker.Size.CPU = 2 * jaygw.Core }
	for i := range 6 {
		change := func(*jaygw.PollRequest) {}
		if i%2 == 0 {
			change = shrunk
		}
		session := h.state.Session("a").Number
		response := h.poll("a", change)
		require.Equal(t, session, response.Session)
		require.Empty(t, response.Stops)
		require.ElementsMatch(t, runs, h.placed("a"))
		// A poll that was sent before the change arrives after it.
		late := jaygw.PollRequest{VM: "a", Process: 1, Sequence: h.sequence - 1, Worker: &jaygw.PoolWorker{
			Incarnation: jaygw.WorkerIncarnation{Name: "a"}, Service: "s", Domain: "d",
			Size: jaygw.Resources{CPU: jaygw.Core},
		}}
		_, err := h.table.sessionCommand(late, h.state)
		require.ErrorIs(t, err, jaygw.ErrNotConfirmed)
		h.now = h.now.Add(100 * time.Millisecond)
	}
	require.Empty(t, h.state.Session("a").Superseded)
	h.submit("v", step(2))
	h.poll("a", shrunk)
	h.decide()
	require.Len(t, h.placed("a"), 3, "the VM is over its size")
	h.poll("a")
	h.decide()
	require.Len(t, h.placed("a"), 5)
}
