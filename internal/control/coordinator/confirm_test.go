package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// requireUnconfirmed requires that Confirm ends shortly after the time that its caller allows.
func requireUnconfirmed(t *testing.T, r *member) {
	const allowed = 700 * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), allowed)
	defer cancel()
	started := time.Now()
	_, err := r.Confirm(ctx)
	require.ErrorIs(t, err, jaygw.ErrNotConfirmed)
	require.Less(t, time.Since(started), allowed+300*time.Millisecond)
}

// Guards against a read that outlasts its caller, or is confirmed, at a replica that can't know the
// current state: a leader or a follower that is cut off, and one that is no member.
func TestReadWithoutQuorumEndsInTime(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.leader(), 1)
	outsider := g.start(jaygw.Member{ID: 9, Address: "127.0.0.1:0"}, nil, t.TempDir(), true)
	requireUnconfirmed(t, outsider)
	outsider.stop()
	delete(g.replicas, outsider.ID)
	leader, follower := g.leader(), g.follower()
	leader.disconnected.Store(true)
	requireUnconfirmed(t, leader)
	follower.disconnected.Store(true)
	requireUnconfirmed(t, follower)
	leader.disconnected.Store(false)
	follower.disconnected.Store(false)
	g.requireConfirmed(leader, 1)
	g.requireConfirmed(follower, 1)
}

// Guards against acknowledged commands that are missing, and reads that stay unconfirmed, after all
// replicas have stopped and the tolerated number of them comes back without a disk.
func TestGroupRecoversAfterAllStoppedAndDisksLost(t *testing.T) {
	for size, losses := range map[int]int{3: 1, 5: 2} {
		g := newGroup(t, size)
		for i := 1; i <= 30; i++ {
			g.propose(g.leader(), i)
		}
		members := make([]*member, 0, size)
		for _, r := range g.replicas {
			members = append(members, r)
			r.stop()
		}
		clear(g.replicas)
		g.members = nil
		started := time.Now()
		var wiped []*member
		for i, r := range members {
			if i < losses {
				next := r.Member
				next.ID, next.Voter = r.ID+100, false
				wiped = append(wiped, g.start(next, nil, t.TempDir(), true))
			} else {
				g.start(r.Member, nil, r.folder, false)
			}
		}
		g.requireConfirmed(g.leader(), 30)
		confirmed := time.Since(started)
		for _, r := range wiped {
			require.Eventually(t, func() bool { return isVoter(r.Status().Members, r.ID) && len(r.Status().Members) == size },
				10*time.Second, 10*time.Millisecond)
			g.requireConfirmed(r, 30)
		}
		t.Logf("%d replicas, %d disks lost: reads confirmed after %s, all voters after %s", size, losses, confirmed, time.Since(started))
		for _, r := range g.replicas {
			r.stop()
		}
	}
}
