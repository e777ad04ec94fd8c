package replicator

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// checksPerProperty is the number of random schedules that each property is checked with.
const checksPerProperty = 2000

func TestMain(m *testing.M) {
	seeder.FixSeed(checksPerProperty)
	flag.Parse()
	os.Exit(m.Run())
}

// TestSafetyAndProgress guards against two leaders in a term, lost committed entries, reads
// and commands that are not linearizable, and a group that does not recover once random
// network and disk faults have ended.
func TestSafetyAndProgress(t *testing.T) {
	var operations, finished, highest, committedChanges int
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
		c.addSpare()
		if rapid.IntRange(0, 3).Draw(t, "formed") > 0 {
			require.True(t, c.runUntil(time.Minute, func() bool { return c.converged(1) }))
		}
		for range rapid.IntRange(200, 2500).Draw(t, "events") {
			c.randomEvent()
		}
		c.heal()
		// A leader that transfers its leadership rejects proposals for an election time and
		// its callers retry; the put below is not retried.
		c.runUntil(DefaultElection, func() bool { return false })
		require.True(t, c.runUntil(time.Minute, func() bool {
			n := c.leader()
			return n != nil && n.core.commit >= c.highest && n.core.isFormed()
		}), "no leader\n%s", c)
		target := c.highest + 1
		c.put(c.leader())
		require.True(t, c.runUntil(time.Minute, func() bool { return c.converged(target) }), "no progress\n%s", c)
		c.runUntil(3*time.Second, func() bool { return false }) // a membership change may be under way
		require.NotNil(t, c.leader())
		for _, m := range c.leader().core.Members() {
			c.read(c.nodes[m.ID-1])
		}
		c.runUntil(time.Second, func() bool { return false })
		last := c.history[len(c.history)-1]
		require.NotNil(t, last.Output, "a read on a working network is not confirmed\n%s", c)

		for _, op := range c.history {
			if op.Output != nil {
				finished++
			}
		}
		operations += len(c.history)
		highest += int(c.highest)
		committedChanges += c.committedChanges
		require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, c.relevantOperations(), time.Minute))
	})
	t.Logf("%d operations, %d finished, %d entries applied, %d with a changed number of members", operations, finished, highest, committedChanges)
	// Schedules in which hardly any operation succeeds would check nothing.
	require.Greater(t, finished*3, operations)
	require.Positive(t, committedChanges)
}

func newHealthyCluster(t *rapid.T, size int) *cluster {
	c := newCluster(t, size, rapid.Uint64().Draw(t, "seed"))
	require.True(t, c.runUntil(time.Minute, func() bool { return c.converged(1) && c.leader().core.isFormed() }))
	return c
}

func (c *cluster) requestChange(change Change) error {
	change.ID = 1 << 40
	n := c.leader()
	delete(n.appended, change.ID)
	c.step(n, false, Input{Change: &change})
	return n.appended[change.ID].Err
}

// TestMemberReplacement guards against a new member that becomes a voter before it has caught
// up, and against the removal of the member that it replaces before then, also while messages
// from the new member are lost.
func TestMemberReplacement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 9).Draw(t, "sample") > 0 {
			return // a tenth of the checks is enough for this property
		}
		c := newHealthyCluster(t, 3)
		for range rapid.IntRange(0, 20).Draw(t, "puts") {
			c.put(c.leader())
		}
		c.runUntil(time.Second, func() bool { return false })
		if rapid.Bool().Draw(t, "compact") {
			c.compact(c.leader())
		}
		lost := c.nodes[c.leader().id%3] // a follower
		lost.core = nil
		joiner := c.addSpare()
		c.blocked[[2]uint64{4, c.leader().id}] = true
		require.NoError(t, c.requestChange(Change{Add: &jaygw.Member{ID: 4, Address: "x", Replaces: lost.id}}))
		c.runUntil(2*time.Second, func() bool { return false })
		require.False(t, isVoter(c.leader().core.Members(), 4), "the new member votes before it has caught up")
		require.True(t, isVoter(c.leader().core.Members(), lost.id))
		clear(c.blocked)
		require.True(t, c.runUntil(time.Minute, func() bool {
			n := c.leader()
			return n != nil && isVoter(n.core.Members(), 4) && !isVoter(n.core.Members(), lost.id) && joiner.applied >= c.highest
		}))
		require.True(t, joiner.disk.VoteState.Verified)
	})
}

// TestChangeThatLosesTheQuorumIsRefused guards against a membership change that leaves no
// majority of responsive voters.
func TestChangeThatLosesTheQuorumIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 49).Draw(t, "sample") > 0 {
			return
		}
		c := newHealthyCluster(t, 3)
		leader := c.leader()
		down, other := c.nodes[leader.id%3], c.nodes[(leader.id+1)%3]
		down.core = nil
		c.runUntil(time.Second, func() bool { return false })
		err := c.requestChange(Change{Remove: other.id})
		var refusal *jaygw.Refusal
		require.ErrorAs(t, err, &refusal)
		require.NoError(t, c.requestChange(Change{Remove: down.id}))
		require.True(t, c.runUntil(time.Minute, func() bool { return len(c.leader().core.Members()) == 2 && c.leader().core.Commit() >= 2 }))
	})
}

// TestLeaderStepsDownWithoutQuorum guards against a leader that keeps its role after it was
// cut off from the others.
func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 49).Draw(t, "sample") > 0 {
			return
		}
		c := newHealthyCluster(t, 5)
		old := c.leader()
		c.cutOff(old)
		c.cutOff(old)
		c.cutOff(old)
		c.read(old)
		require.True(t, c.runUntil(5*time.Second, func() bool { return old.core.Role() != Leader || !c.blocked[[2]uint64{old.id, old.id%5 + 1}] }))
		require.True(t, c.runUntil(5*time.Second, func() bool { n := c.leader(); return n != nil && n.core.Commit() > 1 }))
	})
}

// TestLeadershipTransfer guards against a leader whose stop costs the group an election time.
func TestLeadershipTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 49).Draw(t, "sample") > 0 {
			return
		}
		c := newHealthyCluster(t, 3)
		old := c.leader()
		c.put(old)
		c.step(old, false, Input{TransferLeadership: true})
		start := c.now
		require.True(t, c.runUntil(DefaultElection/2, func() bool { n := c.leader(); return n != nil && n != old }), "after %s", c.now-start)
		require.True(t, c.runUntil(time.Second, func() bool { return old.core.Role() == Follower }))
	})
}

// TestUnresponsiveVotersAreRemoved guards against a lost voter that stays in a group of four,
// which a second loss would stop, and against a new member that does not replace an
// unresponsive voter.
func TestUnresponsiveVotersAreRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 49).Draw(t, "sample") > 0 {
			return
		}
		c := newCluster(t, 4, rapid.Uint64().Draw(t, "seed"))
		for _, n := range c.nodes {
			n.core.config.RemoveUnresponsiveAfter = 3 * time.Second
		}
		require.True(t, c.runUntil(time.Minute, func() bool { return c.converged(1) }))
		lost := c.nodes[c.leader().id%4]
		lost.core = nil
		require.True(t, c.runUntil(10*time.Second, func() bool { return len(c.leader().core.Members()) == 3 }))
		second := c.nodes[c.leader().id%4]
		if second == lost {
			second = c.nodes[(c.leader().id+1)%4]
		}
		second.core = nil
		c.runUntil(2*time.Second, func() bool { return false })
		c.addSpare()
		require.NoError(t, c.requestChange(Change{Add: &jaygw.Member{ID: 5, Address: "x"}, ReplaceUnresponsive: true}))
		require.True(t, c.runUntil(time.Minute, func() bool {
			n := c.leader()
			return n != nil && isVoter(n.core.Members(), 5) && !isVoter(n.core.Members(), second.id) && len(n.core.Members()) == 3
		}))
	})
}

// TestUnresponsiveVotersStayAtMinimumGroupSize guards against a group that shrinks below the
// size that the tolerated losses require: if two more disks are lost, the rest of a smaller
// group is no majority, and acknowledged entries are lost.
func TestUnresponsiveVotersStayAtMinimumGroupSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if rapid.IntRange(0, 49).Draw(t, "sample") > 0 {
			return
		}
		requireUnresponsiveVotersStay(t, rapid.Uint64().Draw(t, "seed"))
	})
}

func requireUnresponsiveVotersStay(t *rapid.T, seed uint64) {
	c := newCluster(t, 6, seed)
	for _, n := range c.nodes {
		n.core.config.RemoveUnresponsiveAfter, n.core.config.ToleratedLosses = 3*time.Second, 2
	}
	require.True(t, c.runUntil(time.Minute, func() bool { return c.converged(1) }))
	for range 2 {
		for _, n := range c.nodes {
			if n != c.leader() && n.core != nil {
				n.core = nil
				break
			}
		}
	}
	require.True(t, c.runUntil(10*time.Second, func() bool { return len(c.leader().core.Members()) == 5 }))
	require.False(t, c.runUntil(10*time.Second, func() bool { return len(c.leader().core.Members()) < 5 }))
}
