package locator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestMain(m *testing.M) {
	seeder.FixSeed(100)
	m.Run()
}

// exchange sends the view of one process to another and back, as a Locate call does.
func exchange(from, to *locator.Locator, toAddress string, now time.Time) {
	response := to.HandleRequest(from.Request(), now)
	from.HandleResponse(toAddress, response, now)
}

// TestGroupNotFoundAlongChainOfSeeds guards against a process that does not find the group although its
// seeds lead to a replica over other control processes without one.
func TestGroupNotFoundAlongChainOfSeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 15).Draw(t, "processes")
		replica := rapid.IntRange(0, count-1).Draw(t, "replica")
		view := jaygw.GroupView{Commit: 9, Leader: "p0", Members: []string{fmt.Sprintf("p%d", replica)}}
		processes := map[string]*locator.Locator{}
		for i := range count {
			// Each process has at least its predecessor as a seed, so that all are connected.
			seeds := []string{fmt.Sprintf("p%d", max(i-1, 0)), fmt.Sprintf("p%d", rapid.IntRange(0, count-1).Draw(t, "seed"))}
			address := fmt.Sprintf("p%d", i)
			processes[address] = locator.New(seeds, locator.WithAddress(address))
		}
		view.Leader = fmt.Sprintf("p%d", replica)
		processes[view.Leader].Configure(locator.WithReplicaView(func() jaygw.GroupView { return view }))
		asker := locator.New([]string{fmt.Sprintf("p%d", rapid.IntRange(0, count-1).Draw(t, "seed of the entry"))})
		for round := range 4 * count {
			now := start.Add(time.Duration(round) * 400 * time.Millisecond)
			for i := range count {
				from := processes[fmt.Sprintf("p%d", i)]
				for _, target := range from.NextTargets(3) {
					exchange(from, processes[target], target, now)
				}
			}
			for _, target := range asker.NextTargets(3) {
				exchange(asker, processes[target], target, now)
			}
		}
		require.Equal(t, view, asker.View())
	})
}

// TestOlderViewReplacesNewer guards against a view of a replica that was cut off, which names members that
// no longer exist.
func TestOlderViewReplacesNewer(t *testing.T) {
	l := locator.New([]string{"a"})
	newer := jaygw.GroupView{Commit: 20, Leader: "c", Members: []string{"b", "c"}}
	require.True(t, l.Learn(newer))
	require.False(t, l.Learn(jaygw.GroupView{Commit: 10, Leader: "a", Members: []string{"a", "b"}}))
	require.False(t, l.Learn(jaygw.GroupView{Commit: 20, Members: []string{"b", "c"}}), "no leader is no news")
	require.Equal(t, newer, l.View())
	require.Equal(t, []string{"b", "c", "a"}, l.Addresses(), "seeds stay beside the members")
}

// TestGoneAddressCirculates guards against processes that pass the address of a control process that is
// gone to each other forever.
func TestGoneAddressCirculates(t *testing.T) {
	a, b := locator.New([]string{"b"}, locator.WithAddress("a")), locator.New([]string{"a"}, locator.WithAddress("b"))
	a.HandleRequest(jaygw.LocateRequest{Address: "gone"}, start)
	now := start
	for range 300 {
		now = now.Add(time.Second)
		exchange(a, b, "b", now)
		exchange(b, a, "a", now)
	}
	require.NotContains(t, a.Addresses(), "gone")
	require.NotContains(t, b.Addresses(), "gone")
}

// TestFormerLeaderNamesItself guards against a replica that has stepped down and still counts as the leader, for
// itself and for the processes that ask it.
func TestFormerLeaderNamesItself(t *testing.T) {
	local := jaygw.GroupView{Commit: 10, Term: 2, Leader: "a", Members: []string{"a", "b", "c"}}
	l := locator.New([]string{"a", "b", "c"}, locator.WithAddress("a"), locator.WithReplicaView(func() jaygw.GroupView { return local }))
	require.True(t, l.Leads())
	local.Leader = ""
	require.Empty(t, l.HandleRequest(jaygw.LocateRequest{Address: "g"}, start).View.Leader)
	require.False(t, l.Leads())
}

// TestOlderLeaderReplacesNewer guards against the view of a former leader that replaces a newer one because
// nothing was committed in between.
func TestOlderLeaderReplacesNewer(t *testing.T) {
	l := locator.New([]string{"a"})
	members := []string{"a", "b", "c"}
	require.True(t, l.Learn(jaygw.GroupView{Commit: 10, Term: 2, Leader: "a", Members: members}))
	require.True(t, l.Learn(jaygw.GroupView{Commit: 10, Term: 3, Leader: "b", Members: members}))
	require.False(t, l.Learn(jaygw.GroupView{Commit: 10, Term: 2, Leader: "a", Members: members}))
}
