package orchestrator

import (
	"errors"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestAdvice guards against starts on workers that a queue's policy does not allow, the use of
// expired tickets, and work on other queues that waits for advice.
func TestAdvice(t *testing.T) {
	h := newHarness(t, "a", "b")
	h.state.PutCatalog(jaygw.PutCatalog{Catalog: jaygw.Catalog{
		Number: 2, Services: []jaygw.PoolSpec{{Name: "s"}},
		Queues: []jaygw.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Timeout: time.Second},
			{Name: "advised", Host: "h", Prefix: "/advised/", Service: "s", Timeout: time.Second, Advised: true},
		},
	}})
	require.Nil(t, h.state.Submit(jaygw.SubmitWorkflow{
		Spec: jaygw.WorkflowSpec{ID: "x", Steps: []jaygw.Step{step(3)}}, Host: "h", Path: "/advised/x",
	}, jaygw.TimeOf(h.now)).Refusal)
	h.submit("other", step(1))
	h.decide()
	require.Len(t, append(h.placed("a"), h.placed("b")...), 1, "work that requires no advice does not wait")

	request, ok := h.table.advice.nextRequest(h.now)
	require.True(t, ok)
	require.Equal(t, jaygw.AdviceRequest{Step: jaygw.StepTask{Workflow: "x"}, Workers: []string{"a", "b"}}, request.toAdviser())
	h.table.advice.recordResponse(request, jaygw.Advice{}, errors.New("too many calls"), h.now, h.now)
	h.decide()
	_, ok = h.table.advice.nextRequest(h.now)
	require.False(t, ok, "a failed request is repeated only after a delay")

	h.now = h.now.Add(adviceRetryDelay)
	sentAt := h.now
	h.decide()
	request, ok = h.table.advice.nextRequest(h.now)
	require.True(t, ok)
	h.now = h.now.Add(time.Second)
	h.table.advice.recordResponse(request, jaygw.Advice{Tickets: map[string]string{"b": "ticket"}, ValidFor: 2 * time.Second}, nil, sentAt, h.now)
	h.decide()
	started := map[string]int{}
	for _, vm := range []string{"a", "b"} {
		for _, start := range h.poll(vm).Starts {
			if start.Run.Task.Workflow == "x" {
				require.Equal(t, "ticket", start.Ticket)
				started[vm]++
			}
		}
	}
	require.Equal(t, map[string]int{"b": 3}, started)
	h.now = sentAt.Add(2 * time.Second)
	require.Empty(t, h.table.advice.ticket(jaygw.StepTask{Workflow: "x"}, jaygw.WorkerIncarnation{Name: "b"}, h.now), "the validity counts from the time of the request")
}
