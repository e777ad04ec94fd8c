package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/orchestrator"
	"github.com/stretchr/testify/require"
)

// lead returns an orchestrator that works for a replica as the leader.
func lead(r *member) *orchestrator.Orchestrator {
	o := orchestrator.New(orchestrator.WithLogger(discardLogger()))
	o.SetReplica(r)
	o.SetLeadership(r.Status().Term, true, time.Now())
	return o
}

// incarnationPoll returns the poll of an agent process for an incarnation of its worker.
func incarnationPoll(process uint64, born jaygw.Time) jaygw.PollRequest {
	return jaygw.PollRequest{VM: "a", Process: process, Sequence: 1, Worker: &jaygw.PoolWorker{
		Incarnation: jaygw.WorkerIncarnation{Name: "a", StartTime: born}, Service: "s", Domain: "north",
	}}
}

// TestPollCommittedAfterLeadership guards against the session of an earlier incarnation that a former leader
// commits through its successor. It would free the runs of the later incarnation while they run.
func TestPollCommittedAfterLeadership(t *testing.T) {
	g := newGroup(t, 3)
	former := g.leader()
	cutOff := lead(former)
	former.disconnected.Store(true)
	poll := make(chan struct{})
	go func() {
		defer close(poll)
		_, _ = cutOff.Poll(context.Background(), incarnationPoll(1, 10))
	}()
	leader := g.leader()
	successor := lead(leader)
	require.Eventually(t, func() bool {
		_, err := successor.Poll(context.Background(), incarnationPoll(2, 20))
		return err == nil
	}, waitLimit, 10*time.Millisecond)
	former.disconnected.Store(false)
	<-poll
	g.requireConfirmed(leader, 0)
	leader.Read(func(machine *applier.Machine) {
		session := machine.Registrar().Session("a")
		require.Equal(t, jaygw.Time(20), session.Life.StartTime, "session of process %d", session.Process)
	})
}
