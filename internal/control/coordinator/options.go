package coordinator

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/sirupsen/logrus"
)

type (
	// Settings names the replica and its group.
	Settings struct {
		Group   string
		Self    jaygw.Member
		Folder  string
		Members []jaygw.Member // of a new group, or known members of the group to join; empty: Self alone
		Join    bool           // wait until an existing group adds the replica
		Retire  time.Duration  // silence after which a voter is removed while enough stay; zero: never
		// Tolerated is how many voters may be lost at the same time: silent voters are not
		// removed from a group that could not bear that many losses any more.
		Tolerated int
	}

	// Leadership tells whether the replica leads, and in which term.
	Leadership struct {
		Term  uint64
		Leads bool
	}

	// Option changes a new Replica.
	Option func(*Replica)
)

const (
	maxBatch       = 1024 // inputs of one step
	inputQueue     = 4096
	peerQueue      = 256 // messages; more are dropped and sent again later
	tickInterval   = replicator.DefaultHeartbeat / 4
	peerPause      = 100 * time.Millisecond
	proposePause   = 20 * time.Millisecond
	leaderWait     = 250 * time.Millisecond // for senders that try other replicas
	roomPause      = 100 * time.Millisecond // between two tries to write to a full disk
	handOverPause  = 5 * time.Millisecond
	confirmLimit   = 2 * time.Second
	confirmResend  = 300 * time.Millisecond
	keptEntries    = 2000
	snapshotEvery  = 10_000   // entries
	snapshotBytes  = 32 << 20 // of entries
	snapshotRetry  = 1000     // entries after a snapshot that could not be written
	forwardTimeout = 4 * time.Second
)

// WithLeadershipHook sets a function that is called when the replica gains or
// loses the leadership. A new leader has applied all earlier commands.
func WithLeadershipHook(hook func(Leadership)) Option {
	return func(r *Replica) { r.hook = hook }
}

// WithDialer sets the connections to the other replicas.
func WithDialer(d *dialer.Dialer) Option { return func(r *Replica) { r.dialer = d } }

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option { return func(r *Replica) { r.log = log } }

// WithDisk replaces the disk of the data folder.
func WithDisk(disk journaler.Disk) Option { return func(r *Replica) { r.disk = disk } }

// WithSnapshotEvery sets the number of entries after which a snapshot is taken,
// and how many entries before it stay for replicas that are a little behind.
func WithSnapshotEvery(entries, kept uint64) Option {
	return func(r *Replica) { r.snapshotEvery, r.kept = entries, kept }
}
