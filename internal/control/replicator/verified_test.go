package replicator

import (
	"slices"
	"testing"
	"time"

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
