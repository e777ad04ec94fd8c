package runner_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/stretchr/testify/require"
)

// TestLongLeaseOfRestartedWorker guards against a run that goes on after the leader has freed it: the deadline
// of an order to the worker's earlier incarnation has given the later one its longest lease.
func TestLongLeaseOfRestartedWorker(t *testing.T) {
	const longest = 10 * time.Second
	for name, test := range map[string]struct {
		down time.Duration // from the order to the start of the later incarnation
		long bool
	}{
		"order reaches the later incarnation":      {down: -20 * time.Millisecond, long: true},
		"order ended with the earlier incarnation": {down: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := runner.New("vm", 1, longest)
			now := time.Unix(1000, 0)
			incarnation := jaygw.WorkerIncarnation{Name: "w", StartTime: 1}
			respond := func() (unhealthy string) {
				request, ok := r.PollRequest(now, 0)
				require.True(t, ok)
				r.HandleResponse(jaygw.PollResponse{Session: uint64(incarnation.StartTime), Sequence: request.Sequence, Lease: lease}, now)
				return request.Unhealthy
			}
			r.Report(jaygw.PoolWorker{Incarnation: incarnation}, time.Hour, now)
			respond()
			require.Greater(t, r.ListRequest(now, 0).Deadline, time.Hour)
			started := now.Add(test.down)
			now = now.Add(200 * time.Millisecond)
			incarnation.StartTime = 2
			r.Report(jaygw.PoolWorker{Incarnation: incarnation}, now.Sub(started), now)
			require.NotEmpty(t, respond(), "the lease is not known")
			r.Listed(jaygw.RunList{Incarnation: incarnation, WorkerResponse: jaygw.WorkerResponse{Clock: now.Sub(started)}}, now, now)
			listed := now
			for respond(); now.Sub(listed) < longest+longest*3/100-lease; now = now.Add(100 * time.Millisecond) {
				require.Equal(t, test.long, respond() != "", now.Sub(listed))
			}
			respond()
			require.Empty(t, respond())
		})
	}
}
