package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

func inDomain(domain string) func(*jaygw.PollRequest) {
	return func(request *jaygw.PollRequest) { request.Worker.Domain = domain }
}

// TestChangedDomainStarvesTask guards against a grant that is offered and refused for good: the session of a VM
// keeps the failure domain of its first report.
func TestChangedDomainStarvesTask(t *testing.T) {
	h := newHarness(t)
	h.out["first"] = true
	h.poll("a", inDomain("first"))
	h.poll("a", inDomain("second"))
	h.poll("b", inDomain("third"))
	h.submit("filler", jaygw.Step{Tasks: 1, Size: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, Label: "none"})
	h.submit("w", step(1))
	for range 20 {
		h.decide()
		h.now = h.now.Add(100 * time.Millisecond)
		h.poll("a", inDomain("second"))
		h.poll("b", inDomain("third"))
	}
	require.Len(t, append(h.placed("a"), h.placed("b")...), 1)
}

// TestLateGrantInChangedDomain guards against a run in a failure domain that was taken out after the decision.
func TestLateGrantInChangedDomain(t *testing.T) {
	h := newHarness(t)
	h.poll("a", inDomain("first"))
	h.poll("a", inDomain("second"))
	h.submit("w", step(1))
	late := h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now))
	h.out["second"] = true
	for _, command := range late {
		h.apply(&command)
	}
	require.Empty(t, h.placed("a"))
}
