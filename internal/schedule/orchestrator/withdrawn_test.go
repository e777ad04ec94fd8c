package orchestrator

import (
	"testing"
	"time"

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
