package orchestrator

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestTicketOfEarlierIncarnation guards against a start with a ticket that was issued for an earlier incarnation of the worker,
// which the present one rejects: a ticket is known by the worker's name alone.
func TestTicketOfEarlierIncarnation(t *testing.T) {
	h := newHarness(t, "a")
	h.state.PutCatalog(jaygw.PutCatalog{Catalog: jaygw.Catalog{
		Number: 2, Services: []jaygw.PoolSpec{{Name: "s"}},
		Queues: []jaygw.Queue{{Name: "advised", Host: "h", Prefix: "/advised/", Service: "s", Timeout: time.Second, Advised: true}},
	}})
	require.Nil(t, h.state.Submit(jaygw.SubmitWorkflow{
		Spec: jaygw.WorkflowSpec{ID: "x", Steps: []jaygw.Step{step(1)}}, Host: "h", Path: "/advised/x",
	}, jaygw.TimeOf(h.now)).Refusal)
	h.decide()
	request, ok := h.table.advice.nextRequest(h.now)
	require.True(t, ok)
	h.table.advice.recordResponse(request, jaygw.Advice{Tickets: map[string]string{"a": "ticket"}, ValidFor: 30 * time.Second}, nil, h.now, h.now)
	restarted := func(request *jaygw.PollRequest) { request.Worker.Incarnation.StartTime = 2 }
	h.poll("a", restarted)
	h.decide()
	require.Empty(t, h.poll("a", restarted).Starts, "the ticket is one of the incarnation before")
	_, ok = h.table.advice.nextRequest(h.now)
	require.True(t, ok, "advice is due for the new incarnation")
}
