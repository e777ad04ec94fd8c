package replicator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCapacityIsTheSmallest guards against a leader that counts on more memory than a member has, and against one that takes a member of
// an earlier build, which names none, for one without memory.
func TestCapacityIsTheSmallest(t *testing.T) {
	for _, test := range []struct {
		own, want uint64
		members   []uint64
	}{
		{own: 0, want: 0},
		{own: 7, want: 7, members: []uint64{0, 9}},
		{own: 7, want: 5, members: []uint64{5, 0}},
		{own: 0, want: 5, members: []uint64{5}},
	} {
		c := &Core{config: Config{Capacity: test.own}, progress: map[uint64]*progress{}}
		for i, capacity := range test.members {
			c.progress[uint64(i)] = &progress{capacity: capacity}
		}
		require.Equal(t, test.want, c.Capacity())
	}
}
