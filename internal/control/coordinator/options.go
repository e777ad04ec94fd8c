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
	// Settings describes the replica, its control group and its data folder.
	Settings struct {
		Group                   string         // name of the control group
		Self                    jaygw.Member   // this replica
		Folder                  string         // path of the data folder
		Members                 []jaygw.Member // of a new group, or known members of the group to join; empty: Self alone
		Join                    bool           // wait until an existing group adds the replica
		RemoveUnresponsiveAfter time.Duration  // time without contact after which a voter is removed; zero: never
		// Tolerated is the number of voters that may be lost at the same time. A voter without
		// contact is not removed if the group could then no longer survive that many losses.
		Tolerated int
	}

	// Leadership reports whether the replica leads the group, and in which term.
	Leadership struct {
		Term  uint64
		Leads bool
	}

	// Option configures a Replica that Open creates.
	Option func(*Replica)
)

const (
	maxBatch              = 1024                            // inputs of one step
	inputQueueSize        = 4096                            // inputs
	peerQueueSize         = 256                             // messages; further ones are dropped and sent again later
	tickInterval          = replicator.DefaultHeartbeat / 4 // between steps without input
	peerRetryInterval     = 100 * time.Millisecond          // after a message that could not be sent
	streamLifetime        = time.Second                     // of a peer's stream, until its receiver must respond
	streamEndTimeout      = time.Second                     // of the receiver's response at the end of a stream
	retryInterval         = 20 * time.Millisecond           // between attempts of Propose and of Confirm
	failFastWait          = 250 * time.Millisecond          // time limit of retries after FailFast
	diskRetryInterval     = 100 * time.Millisecond          // between attempts to write to a full disk
	handOverPollInterval  = 5 * time.Millisecond            // between checks for the new leader
	confirmTimeout        = 2 * time.Second                 // for all attempts of one Confirm
	confirmAttemptTimeout = 300 * time.Millisecond          // for one attempt
	retainedEntries       = 2000                            // before a snapshot, for replicas that are behind
	snapshotEntries       = 10_000                          // entries between snapshots
	snapshotBytes         = 32 << 20                        // entry data that causes an earlier snapshot
	maxSegmentBytes       = 8 << 20                         // of a file of the log
	snapshotRetryEntries  = 1000                            // until the next attempt after a failed snapshot
	forwardTimeout        = 4 * time.Second                 // of a proposal sent to the leader
)

// WithLeadershipHook sets a function that is called when the replica gains or loses the
// leadership. When it is called for a gain, all earlier commands have been applied.
func WithLeadershipHook(hook func(Leadership)) Option {
	return func(r *Replica) { r.leadershipHook = hook }
}

// WithDialer sets the dialer of the connections to the other replicas.
func WithDialer(d *dialer.Dialer) Option { return func(r *Replica) { r.dialer = d } }

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option { return func(r *Replica) { r.log = log } }

// WithDisk sets the disk that is used instead of Settings.Folder.
func WithDisk(disk journaler.Disk) Option { return func(r *Replica) { r.disk = disk } }

// WithSnapshotEntries sets the number of entries between snapshots, and the number of entries
// before a snapshot that are retained for replicas that are behind.
func WithSnapshotEntries(entries, retained uint64) Option {
	return func(r *Replica) { r.snapshotEntries, r.retained = entries, retained }
}

// WithLogBytes sets the size of the entries that cause a snapshot, and of those before a snapshot that are retained in memory.
// Zero stands for the default.
func WithLogBytes(bytes int64) Option {
	return func(r *Replica) {
		if bytes > 0 {
			r.snapshotBytes = int(bytes)
		}
	}
}

// WithStateBytes sets the memory that this replica has for the state, which it tells the leader. Zero sets no bound.
func WithStateBytes(bytes int64) Option { return func(r *Replica) { r.ownLimit = max(bytes, 0) } }
