package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/stretchr/testify/require"
)

// TestTwoDecisionsFromOneStateInOneTerm shows that a leader whose disk is full for a moment gives up on a proposal,
// decides again from a state without it, and commits both. A check when a command is applied has to allow for that.
func TestTwoDecisionsFromOneStateInOneTerm(t *testing.T) {
	disks := map[uint64]*failingDisk{}
	g := newGroup(t, 3, func(r *coordinator.Replica) {
		disk := newFailingDisk(t, t.TempDir())
		coordinator.WithDisk(disk)(r)
		disks[uint64(len(disks)+1)] = disk // replicas start in the order of their ids
	})
	g.propose(g.leader(), 1)
	leader := g.leader()
	term := leader.Status().Term
	ctx := jaygw.InTerm(context.Background(), term)
	setFollowers := func(disconnected bool) {
		for _, r := range g.replicas {
			if r != leader {
				r.disconnected.Store(disconnected)
			}
		}
	}
	disks[leader.ID].full.Store(true)
	_, err := leader.Propose(ctx, command(2))
	require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)
	setFollowers(true)
	time.AfterFunc(150*time.Millisecond, func() { setFollowers(false) })
	disks[leader.ID].full.Store(false)
	require.Eventually(t, func() bool { return leader.Status().Leader == leader.ID }, time.Second, time.Millisecond)
	require.Equal(t, 1, leader.vmCount(), "the state of the second decision")
	second, err := leader.Propose(ctx, command(3))
	require.NoError(t, err)
	require.Equal(t, term, leader.Status().Term)
	require.Equal(t, 3, leader.vmCount())
	t.Logf("both committed in term %d, the second one with index %d", term, second.Index)
}
