package runner

import (
	"errors"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// withStart returns a runner with an order to start a run on incarnation 10 of its worker, and the time.
func withStart(t *testing.T) (*Runner, jaygw.Run, time.Time) {
	now := time.Unix(1000, 0)
	r := New("vm", 1, 4500*time.Millisecond)
	id := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	r.Report(jaygw.PoolWorker{Incarnation: jaygw.WorkerIncarnation{Name: "w", StartTime: 10}}, time.Hour, now)
	r.PollRequest(now, 0)
	actions := r.HandleResponse(jaygw.PollResponse{Sequence: 1, Session: 7, Lease: 4500 * time.Millisecond, Starts: []jaygw.StartOrder{{Run: id, ValidFor: 2 * time.Second}}}, now)
	require.Len(t, actions, 1)
	return r, id, now
}

// TestUnlistedRunGivenUpBeforeItIsStopped guards against a run that counts as ended with the lease of the earlier
// incarnation while the later one has it, with a deadline on another clock.
func TestUnlistedRunGivenUpBeforeItIsStopped(t *testing.T) {
	r, id, now := withStart(t)
	_, ok := r.Admit(id, now.Add(2*time.Second), now)
	require.True(t, ok)
	r.Started(id, jaygw.WorkerResponse{}, errors.New("no response"), now.Add(500*time.Millisecond))
	later := jaygw.WorkerIncarnation{Name: "w", StartTime: 20}
	require.Equal(t, []jaygw.Run{id}, r.Restarted(later), "the heartbeat is refused, as the worker denies the stop")
	r.Listed(jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Denied: jaygw.DeniedIncarnation}}, now.Add(time.Second), now.Add(time.Second))
	r.DueStops(now.Add(4600 * time.Millisecond))
	request, _ := r.PollRequest(now.Add(4600*time.Millisecond), 0)
	require.Empty(t, request.Ended)
	require.Equal(t, []jaygw.Run{id}, r.Restarted(later), "the run may still be on the later incarnation")
	r.DueStops(now.Add(10 * time.Second))
	request, _ = r.PollRequest(now.Add(10*time.Second), 0)
	require.Len(t, request.Ended, 1, "the longest lease of the later incarnation is over")
}

// TestListAfterRestarted guards against starts that are admitted again by a list of the earlier incarnation that
// is handled after the later one was confirmed.
func TestListAfterRestarted(t *testing.T) {
	r, id, now := withStart(t)
	later := jaygw.WorkerIncarnation{Name: "w", StartTime: 20}
	r.Restarted(later)
	r.Listed(jaygw.RunList{Incarnation: jaygw.WorkerIncarnation{Name: "w", StartTime: 10}}, now, now.Add(10*time.Millisecond))
	_, ok := r.Admit(id, now.Add(2*time.Second), now.Add(20*time.Millisecond))
	require.False(t, ok)
}

// TestListRequestedAfterDenial guards against a worker that gets no start any more because one denial named
// another incarnation although the worker still runs.
func TestListRequestedAfterDenial(t *testing.T) {
	for name, admitted := range map[string]bool{"requested before": false, "requested after": true} {
		r, id, now := withStart(t)
		requestedAt := now
		r.Listed(jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Denied: jaygw.DeniedIncarnation}}, now, now.Add(5*time.Millisecond))
		if admitted {
			requestedAt = now.Add(6 * time.Millisecond)
		}
		r.Listed(jaygw.RunList{Incarnation: jaygw.WorkerIncarnation{Name: "w", StartTime: 10}}, requestedAt, now.Add(10*time.Millisecond))
		_, ok := r.Admit(id, now.Add(2*time.Second), now.Add(20*time.Millisecond))
		require.Equal(t, admitted, ok, name)
	}
}
