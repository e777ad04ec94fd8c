package replicator

import (
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestVerifiedBeforeItsEntriesAreStored guards against a voter that lost its disk, stores that it is verified and is
// killed before it has stored the entries: its vote then counts although it lacks acknowledged entries.
func TestVerifiedBeforeItsEntriesAreStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !sample(t, 50) {
			return
		}
		c := newHealthyCluster(t, 3)
		leader := c.leader()
		wiped, behind := c.nodes[leader.id%3], c.nodes[(leader.id+1)%3]
		behind.core = nil
		for range rapid.IntRange(1, 5).Draw(t, "puts") {
			c.put(leader)
		}
		require.True(t, c.runUntil(time.Second, func() bool { return c.acknowledged() == leader.core.log.last() }))
		acknowledged := c.acknowledged()
		c.wipeDisk(wiped)
		stored := wiped.disk.Entries
		require.True(t, c.runUntil(5*time.Second, func() bool {
			if !wiped.disk.VoteState.Verified {
				stored = slices.Clone(wiped.disk.Entries)
			}
			return wiped.disk.VoteState.Verified
		}))
		wiped.disk.Entries = stored // the vote state is stored first
		leader.core, c.network = nil, nil
		c.start(wiped)
		c.start(behind)
		require.True(t, c.runUntil(5*time.Second, func() bool { return c.leader() != nil && c.leader().applied >= acknowledged }),
			"the leader lacks acknowledged entries\n%s", c)
	})
}

// TestDiskLostAfterFirstAcknowledgedCommandEndsQuorum guards against a new group that acknowledges commands before all
// its voters are verified: once the tolerated number of disks is lost, the votes of the others don't suffice for good.
func TestDiskLostAfterFirstAcknowledgedCommandEndsQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !sample(t, 10) {
			return
		}
		losses := rapid.IntRange(1, 2).Draw(t, "losses")
		c := newCluster(t, 2*losses+1, rapid.Uint64().Draw(t, "seed"))
		require.True(t, c.runUntil(time.Minute, func() bool { return c.leader() != nil }))
		c.runUntil(time.Duration(rapid.IntRange(0, 6).Draw(t, "rounds"))*20*time.Millisecond, func() bool { return false })
		others := c.survivors(c.leader())
		for _, slow := range others[:rapid.IntRange(1, losses).Draw(t, "slow")] {
			for _, n := range c.nodes {
				c.blocked[[2]uint64{n.id, slow.id}] = true
			}
		}
		acknowledged := func() bool {
			if leader := c.leader(); leader != nil {
				c.put(leader)
			}
			return c.acknowledged() > 0
		}
		c.runUntil(time.Duration(rapid.IntRange(0, 2000).Draw(t, "milliseconds"))*time.Millisecond, acknowledged)
		clear(c.blocked)
		require.True(t, c.runUntil(10*time.Second, acknowledged), "no command is acknowledged\n%s", c)
		highest := c.acknowledged()
		for i, lost := range c.random.Perm(len(others)) {
			if i < losses {
				others[lost] = c.wipe(others[lost])
			}
		}
		active := slices.Concat(others, []*node{c.leader()})
		for _, n := range active {
			n.core = nil
		}
		c.network = nil
		for _, n := range active {
			c.start(n)
		}
		require.True(t, c.runUntil(10*time.Second, func() bool { return c.allVote(active) }), "no quorum\n%s", c)
		require.Equal(t, highest, c.countApplied(highest), "acknowledged commands are lost\n%s", c)
	})
}

// TestNewGroupWaitsForLostVoter guards against a new group that accepts no command because one of its voters is lost,
// or lost its disk, before it is verified.
func TestNewGroupWaitsForLostVoter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !sample(t, 50) {
			return
		}
		c := newCluster(t, rapid.SampledFrom([]int{3, 5}).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		removal := rapid.SampledFrom([]time.Duration{0, 6 * time.Second}).Draw(t, "removal")
		for _, n := range c.nodes {
			n.core.config.RemoveUnresponsiveAfter = removal
		}
		require.True(t, c.runUntil(time.Minute, func() bool { return c.leader() != nil }))
		lost := c.survivors(c.leader())[0]
		limit := 7 * time.Second
		if rapid.Bool().Draw(t, "replaced") {
			wiped := c.wipe(lost)
			limit = 5 * time.Second
			require.True(t, c.runUntil(limit, func() bool { return c.leader() != nil && c.join(wiped) == nil }), "%s", c)
		}
		lost.core = nil
		require.True(t, c.runUntil(limit, func() bool {
			if leader := c.leader(); leader != nil {
				c.put(leader)
			}
			return c.acknowledged() > 0
		}), "no command is acknowledged\n%s", c)
	})
}

// TestLearnerVotesBeforeItIsVerified guards against a new voter whose vote doesn't count yet: the loss of a disk could
// leave too few verified voters for an election.
func TestLearnerVotesBeforeItIsVerified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if !sample(t, 20) {
			return
		}
		c := newHealthyCluster(t, 3)
		for range rapid.IntRange(0, 20).Draw(t, "puts") {
			c.put(c.leader())
		}
		c.runUntil(time.Second, func() bool { return false })
		if rapid.Bool().Draw(t, "compact") {
			c.compact(c.leader())
		}
		lost := c.nodes[c.leader().id%3]
		lost.core = nil
		learner := c.addSpare()
		require.NoError(t, c.requestChange(Change{Add: &jaygw.Member{ID: learner.id, Address: "x", Replaces: lost.id}}))
		require.True(t, c.runUntil(time.Minute, func() bool {
			votes := isVoter(c.leader().core.Members(), learner.id)
			require.True(t, !votes || learner.disk.VoteState.Verified, "%s", c)
			return votes
		}))
	})
}
