package bootstrapper_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/bootstrapper"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

var seeds = []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"}

func newDisk(t *testing.T, folder string) journaler.Disk {
	t.Helper()
	disk, err := journaler.NewFolder(folder)
	require.NoError(t, err)
	return disk
}

// TestIdentity guards against bootstrapping replicas that disagree on the initial members, a
// replica that changes its identity on restart, and one that reuses its old identity after
// its disk was lost, because it could vote twice.
func TestIdentity(t *testing.T) {
	first, err := bootstrapper.Open(newDisk(t, t.TempDir()), seeds[0], seeds, true)
	require.NoError(t, err)
	folder := filepath.Join(t.TempDir(), "data")
	second, err := bootstrapper.Open(newDisk(t, folder), seeds[1], seeds, true)
	require.NoError(t, err)
	require.Equal(t, first.Members, second.Members)
	require.Equal(t, second.ID, second.Members[1].ID)
	require.NotEqual(t, first.ID, second.ID)

	restarted, err := bootstrapper.Open(newDisk(t, folder), seeds[1], []string{"10.0.0.9:7720"}, false)
	require.NoError(t, err)
	require.Equal(t, second, restarted)

	lost, err := bootstrapper.Open(newDisk(t, t.TempDir()), seeds[1], seeds, false)
	require.NoError(t, err)
	require.NotEqual(t, second.ID, lost.ID)
	require.Empty(t, lost.Members)

	fourth, err := bootstrapper.Open(newDisk(t, t.TempDir()), "10.0.0.4:7720", seeds, true)
	require.NoError(t, err)
	require.Empty(t, fourth.Members, "a replica that is not a seed must join")
}

// TestDamagedIdentity guards against a replica that treats a damaged identity as missing and
// creates a new one.
func TestDamagedIdentity(t *testing.T) {
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, "identity.json"), []byte(`{"id":`), 0o600))
	_, err := bootstrapper.Open(newDisk(t, folder), seeds[0], seeds, true)
	require.Error(t, err)
}

// group is a fake group with a fixed status that counts requests to join.
type group struct {
	status atomic.Pointer[jaygw.ReplicaStatus]
	joins  atomic.Int32
}

func (g *group) Status() jaygw.ReplicaStatus { return *g.status.Load() }

func (g *group) Join(context.Context, jaygw.Member) (jaygw.Result, error) {
	g.joins.Add(1)
	return jaygw.Result{}, nil
}

// TestMaintainMembership guards against bootstrapping replicas that request to join before the
// group exists, and against a replica that was replaced while it was not running and never
// joins again.
func TestMaintainMembership(t *testing.T) {
	self := jaygw.Member{ID: 7}
	for name, c := range map[string]struct {
		status       jaygw.ReplicaStatus
		bootstrapped bool
		joins        bool
	}{
		"bootstrapping before the first leader": {status: jaygw.ReplicaStatus{Members: []jaygw.Member{self}}, bootstrapped: true},
		"member with a leader":                  {status: jaygw.ReplicaStatus{Members: []jaygw.Member{self}, Leader: 3, Commit: 9}},
		"not a member":                          {status: jaygw.ReplicaStatus{Commit: 9}, joins: true},
		"member without a leader":               {status: jaygw.ReplicaStatus{Members: []jaygw.Member{self}, Commit: 9}, joins: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := &group{}
			g.status.Store(&c.status)
			ctx, stop := context.WithTimeout(t.Context(), 3500*time.Millisecond)
			defer stop()
			require.NoError(t, bootstrapper.MaintainMembership(ctx, self, g, g, c.bootstrapped, logrus.New()))
			require.Equal(t, c.joins, g.joins.Load() > 0)
		})
	}
}

// seedGroup answers which seeds have a replica; those that are missing do not respond.
type seedGroup map[string]bool

func (g seedGroup) HasReplica(_ context.Context, address string) (bool, error) {
	has, known := g[address]
	if !known {
		return false, os.ErrDeadlineExceeded
	}
	return has, nil
}

// TestFoundersIncludeSeedThatNeverVotes guards against a first election that waits for a seed without a
// replica, and against one that never takes place because a seed is down.
func TestFoundersIncludeSeedThatNeverVotes(t *testing.T) {
	for name, c := range map[string]struct {
		seeds    seedGroup
		founders []string
	}{
		"all have a replica": {seedGroup{seeds[1]: true, seeds[2]: true}, seeds},
		"one has none":       {seedGroup{seeds[1]: true, seeds[2]: false}, seeds[:2]},
		"only this one":      {seedGroup{seeds[1]: false, seeds[2]: false}, seeds[:1]},
		"one is down":        {seedGroup{seeds[1]: true}, seeds},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			founders, err := bootstrapper.Founders(t.Context(), newDisk(t, t.TempDir()), seeds[0], seeds, true, c.seeds, logrus.New())
			require.NoError(t, err)
			require.Equal(t, c.founders, founders)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	_, err := bootstrapper.Founders(ctx, newDisk(t, t.TempDir()), seeds[0], seeds, true, seedGroup{seeds[1]: false}, logrus.New())
	require.ErrorIs(t, err, context.DeadlineExceeded, "the seed that is down may be the only other voter")
}

// TestAnswersOfSeedsRace guards against a process that ends at its first start because the seeds respond
// while others are still asked; the race detector reports it.
func TestAnswersOfSeedsRace(t *testing.T) {
	group, many := seedGroup{}, []string{}
	for i := range 200 {
		seed := fmt.Sprintf("10.0.1.%d:7720", i)
		group[seed], many = true, append(many, seed)
	}
	founders, err := bootstrapper.Founders(t.Context(), newDisk(t, t.TempDir()), many[0], many, true, group, logrus.New())
	require.NoError(t, err)
	require.Equal(t, many, founders)
}

// syncCounter counts the syncs of a folder.
type syncCounter struct {
	journaler.Disk
	syncs int
}

func (d *syncCounter) SyncFolder() error {
	d.syncs++
	return d.Disk.SyncFolder()
}

// TestIdentityUsedBeforeItsNameIsDurable guards against a replica that was killed before the sync of the
// identity's name, and that cannot start any more after its next process has used the identity and
// its VM has lost power: the log then belongs to a member that the folder no longer names.
func TestIdentityUsedBeforeItsNameIsDurable(t *testing.T) {
	folder := t.TempDir()
	_, err := bootstrapper.Open(newDisk(t, folder), seeds[0], seeds, true)
	require.NoError(t, err)
	restarted := &syncCounter{Disk: newDisk(t, folder)}
	_, err = bootstrapper.Open(restarted, seeds[0], seeds, false)
	require.NoError(t, err)
	require.NotZero(t, restarted.syncs)
}
