package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/control/server"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
)

const patience = 2 * time.Minute

type (
	// group runs replicas on loopback sockets.
	group struct {
		t        testing.TB
		members  []jaygw.Member
		replicas map[uint64]*member
	}

	member struct {
		jaygw.Member
		*coordinator.Replica
		folder string
		cut    atomic.Bool // no connection in either direction
		stop   func()
		ended  chan error
	}

	// gate closes every connection while its member is cut off.
	gate struct {
		net.Listener
		m *member
	}

	gatedConn struct {
		net.Conn
		m *member
	}
)

func (g gate) Accept() (net.Conn, error) {
	conn, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{conn, g.m}, nil
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.m.cut.Load() {
		c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

func (c gatedConn) Write(p []byte) (int, error) {
	if c.m.cut.Load() {
		c.Close()
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}

func newGroup(t testing.TB, size int, options ...coordinator.Option) *group {
	g := &group{t: t, replicas: map[uint64]*member{}}
	var listeners []net.Listener
	for id := uint64(1); id <= uint64(size); id++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		g.members = append(g.members, jaygw.Member{ID: id, Name: fmt.Sprint("m", id), Address: l.Addr().String(), Voter: true})
	}
	for i, m := range g.members {
		g.start(m, listeners[i], t.TempDir(), false, options...)
	}
	// A member of a new group counts once it has seen the first commit.
	for _, r := range g.replicas {
		g.confirmed(r, 0)
	}
	g.setup()
	return g
}

// start starts a replica at its address. Without a listener it takes the address
// that the replica had before.
func (g *group) start(m jaygw.Member, l net.Listener, folder string, join bool, options ...coordinator.Option) *member {
	if l == nil {
		require.Eventually(g.t, func() bool {
			var err error
			l, err = net.Listen("tcp", m.Address)
			return err == nil
		}, patience, 10*time.Millisecond)
	}
	r := &member{Member: m, folder: folder, ended: make(chan error, 1)}
	d := dialer.New(dialer.WithWrapper(func(c net.Conn) net.Conn { return gatedConn{c, r} }))
	options = append([]coordinator.Option{coordinator.WithDialer(d), coordinator.WithLogger(quiet())}, options...)
	replica, err := coordinator.Open(coordinator.Settings{
		Group: "main", Self: m, Folder: folder, Members: g.members, Join: join,
	}, applier.New("main"), options...)
	require.NoError(g.t, err)
	r.Replica = replica
	mux := drpcmux.New()
	scheduling := dispatcher.New(dispatcher.WithLogger(quiet()))
	scheduling.Serve(replica)
	require.NoError(g.t, messenger.DRPCRegisterGroup(mux, server.New("main", replica, scheduling, server.WithDialer(d))))
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); _ = dialer.Serve(ctx, gate{l, r}, mux) }()
	go func() { r.ended <- replica.Run(ctx) }()
	r.stop = sync.OnceFunc(func() {
		cancel()
		d.Close()
		<-served
		<-r.ended
	})
	g.t.Cleanup(r.stop)
	g.replicas[m.ID] = r
	return r
}

func (g *group) leader() *member {
	var found *member
	require.Eventually(g.t, func() bool {
		for _, r := range g.replicas {
			if s := r.Status(); s.Leader == s.ID && !r.cut.Load() && s.Applied > 0 {
				found = r
				return true
			}
		}
		return false
	}, patience, 5*time.Millisecond)
	return found
}

func (g *group) follower() *member {
	leader := g.leader()
	for _, r := range g.replicas {
		if r != leader {
			return r
		}
	}
	return nil
}

// setup declares the failure domain of the VMs that the commands announce.
func (g *group) setup() {
	g.commit(g.leader(), jaygw.Command{Client: "setup", Sequence: 1, Submit: &jaygw.SubmitDocument{
		Document: jaygw.Document{Environment: "e", Number: 1, Domains: []jaygw.DomainSpec{{Name: "north", Region: "r"}}}, Digest: "d",
	}})
	g.commit(g.leader(), jaygw.Command{Client: "setup", Sequence: 2, Promote: &jaygw.PromoteDocument{Environment: "e", Digest: "d"}})
}

// command announces a VM of its own, so that its effect shows.
func command(number int) jaygw.Command {
	return jaygw.Command{Client: "test", Sequence: uint64(number), AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
		Name: fmt.Sprint("vm-", number), Domain: "north", Incarnation: 1,
		Size: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB},
	}}}
}

func (g *group) propose(r *member, number int) { g.commit(r, command(number)) }

// commit commits a command through a replica, resending it as clients do.
func (g *group) commit(r *member, c jaygw.Command) {
	var result jaygw.Result
	require.Eventually(g.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		result, err = r.Propose(ctx, c)
		return err == nil
	}, patience, 10*time.Millisecond)
	require.NoError(g.t, result.Err())
}

func (r *member) vms() int {
	count := 0
	r.Read(func(machine *applier.Machine) { count = len(machine.State().VMs) })
	return count
}

// confirmed waits for a confirmed read that sees a number of commands.
func (g *group) confirmed(r *member, want int) {
	require.Eventually(g.t, func() bool {
		_, err := r.Confirm(context.Background())
		return err == nil
	}, patience, 10*time.Millisecond)
	require.Equal(g.t, want, r.vms())
}

// A crash of the leader must lose no command, and the others must go on.
func TestLeaderCrash(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.follower(), 1)
	old := g.leader()
	old.stop()
	delete(g.replicas, old.ID)
	g.propose(g.leader(), 2)
	for _, r := range g.replicas {
		g.confirmed(r, 2)
	}
	g.confirmed(g.start(old.Member, nil, old.folder, false), 2)
}

// A replica behind a partition must not answer reads while 300 changes pass, and
// must see all of them afterwards.
func TestPartitionedReplicaConfirmsNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.leader(), 1)
	behind := g.follower()
	g.confirmed(behind, 1)
	behind.cut.Store(true)
	leader := g.leader()
	for i := 2; i <= 301; i++ {
		if i%100 == 0 {
			_, err := behind.Confirm(context.Background())
			require.ErrorIs(t, err, jaygw.ErrNotCurrent)
		}
		g.propose(leader, i)
	}
	_, err := behind.Confirm(context.Background())
	require.ErrorIs(t, err, jaygw.ErrNotCurrent)
	behind.cut.Store(false)
	g.confirmed(behind, 301)
}

// A replica that missed 500 changes must catch up, by a delta while the leader
// keeps the entries and by a snapshot otherwise.
func TestCatchUp(t *testing.T) {
	for name, options := range map[string][]coordinator.Option{
		"delta": nil, "snapshot": {coordinator.WithSnapshotEvery(100, 10)},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t, 3, options...)
			g.propose(g.leader(), 1)
			away := g.follower()
			away.stop()
			delete(g.replicas, away.ID)
			for i := 2; i <= 501; i++ {
				g.propose(g.leader(), i)
			}
			g.confirmed(g.start(away.Member, nil, away.folder, false, options...), 501)
		})
	}
}

// A member whose disk is lost is replaced by a new one, which takes over its
// vote; the group then survives the loss of another member.
func TestLostDiskIsReplaced(t *testing.T) {
	g := newGroup(t, 3, coordinator.WithSnapshotEvery(20, 5))
	for i := 1; i <= 50; i++ {
		g.propose(g.leader(), i)
	}
	lost := g.follower()
	lost.stop()
	delete(g.replicas, lost.ID)
	next := lost.Member
	next.ID, next.Voter, next.Replaces = 4, false, lost.ID
	joined := g.start(next, nil, t.TempDir(), true)
	require.Eventually(t, func() bool {
		result, err := g.leader().Propose(context.Background(), jaygw.Command{Members: &jaygw.ChangeMembers{Add: &next}})
		return err == nil && result.Refusal == nil
	}, patience, 20*time.Millisecond)
	require.Eventually(t, func() bool {
		members := joined.Status().Members
		return len(members) == 3 && members[2].ID == 4 && members[2].Voter
	}, patience, 20*time.Millisecond)
	g.confirmed(joined, 50)
	other := g.follower()
	if other == joined {
		other = g.leader()
	}
	other.stop()
	delete(g.replicas, other.ID)
	g.propose(joined, 51)
	g.confirmed(joined, 51)
}

// A removal that leaves no majority of responding voters must be refused.
func TestRemovalThatLosesTheQuorumIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.leader(), 1)
	down := g.follower()
	down.stop()
	delete(g.replicas, down.ID)
	up := g.follower()
	time.Sleep(2 * replicator.DefaultElection) // the leader counts a member as responding for one election time
	require.Eventually(t, func() bool {
		result, err := g.leader().Propose(context.Background(), jaygw.Command{Members: &jaygw.ChangeMembers{Remove: up.ID}})
		return err == nil && result.Refusal != nil && result.Refusal.Code == jaygw.RefusedState
	}, patience, 100*time.Millisecond)
	g.propose(up, 2)
}

// After a failed sync the replica must stop and must not have confirmed anything.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	folder := t.TempDir()
	disk := newFailingDisk(t, folder)
	g := newGroup(t, 1, coordinator.WithDisk(disk))
	g.propose(g.leader(), 1)
	disk.fail.Store(true)
	r := g.leader()
	_, err := r.Propose(context.Background(), command(2))
	require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)
	ended := <-r.ended
	require.ErrorIs(t, ended, errSync)
	r.ended <- ended
	_, err = r.Propose(context.Background(), command(3))
	require.True(t, errors.Is(err, jaygw.ErrStopped) || errors.Is(err, jaygw.ErrOutcomeUnknown))
}

// TestFullDiskOfTheLeader guards against a replica that ends, or confirms what it has not
// stored, while its disk is full: another one leads meanwhile, and it takes part again
// once there is room.
func TestFullDiskOfTheLeader(t *testing.T) {
	disks := map[uint64]*failingDisk{}
	g := newGroup(t, 3, func(r *coordinator.Replica) {
		disk := newFailingDisk(t, t.TempDir())
		coordinator.WithDisk(disk)(r)
		disks[uint64(len(disks)+1)] = disk // the replicas start in the order of their ids
	})
	g.propose(g.leader(), 1)
	full := g.leader()
	disks[full.ID].full.Store(true)
	begun := time.Now()
	_, err := full.Propose(context.Background(), command(2))
	require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)
	require.Less(t, time.Since(begun), time.Second, "callers have to learn of it in time to ask another replica")
	_, err = full.Confirm(context.Background())
	require.ErrorIs(t, err, jaygw.ErrNotCurrent)
	var others []*member
	for _, r := range g.replicas {
		if r != full {
			others = append(others, r)
		}
	}
	g.propose(others[0], 3)
	require.NotEqual(t, full.ID, g.leader().ID)
	disks[full.ID].full.Store(false)
	g.propose(full, 4)
	g.confirmed(full, 3)
}
