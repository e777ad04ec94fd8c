package replicator

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

// Core is the state of one replica. Its methods do no I/O and read no clock: the
// caller passes the monotonic time since a fixed point. A Core is not safe for
// concurrent use.
type Core struct {
	config Config
	now    time.Duration
	random uint64

	voteState VoteState
	log       memoryLog
	role      Role
	leader    uint64 // id of the leader; zero if unknown
	commit    uint64
	emitted   uint64 // index of the last entry that an Output has passed on to be applied

	electionDeadline time.Duration   // end of the wait for a leader or for votes
	leaderContact    time.Duration   // time of the last message from the leader
	votes            map[uint64]bool // voters that granted their vote, and whether each is Verified
	storing          bool            // the previous step's output had to be stored
	stored           uint64          // last entry of the log that an earlier step's output has stored
	failedElections  int             // elections without a lasting leader since the last one with
	ledSince         time.Duration   // time from which on the present leader is known
	incomingSnapshot *Snapshot

	progress          map[uint64]*progress // replication progress of the other members, while leading
	lastQuorumCheck   time.Duration        // time of the last check that a quorum is active
	termStart         uint64               // index of the first entry of the term, while leading
	membersIndex      uint64               // index of the members that the leader has seen last
	membersSince      time.Duration        // time from which the leader has had these members
	movedTo           uint64               // last learner that got a vote for the sake of the spread, while leading
	readRound         uint64
	queuedReads       []pendingRead // reads for the next read round
	activeReads       []pendingRead // reads that wait for the acknowledgments of the present round
	readIndex         uint64        // commit index at the start of the round
	transferRequested bool          // the election that starts belongs to a leadership transfer
	transferDeadline  time.Duration // end of a leadership transfer; rejects proposals until then

	output Output
}

// pendingRead is a read that waits for a confirmation.
type pendingRead struct {
	id        uint64
	requester uint64 // id of the replica that requested it
}

// New returns the core of a replica that continues from the recovered state.
func New(c Config, recovered RecoveredState) *Core {
	if c.RetainedBytes == 0 {
		c.RetainedBytes = DefaultRetainedBytes
	}
	if c.Chunk == 0 {
		c.Chunk = chunkBytes
	}
	core := &Core{
		config:        c,
		random:        c.Seed ^ c.ID*0x9e3779b97f4a7c15,
		voteState:     recovered.VoteState,
		log:           newLog(recovered, c.Bootstrap),
		commit:        recovered.Snapshot.Index,
		emitted:       recovered.Snapshot.Index,
		leaderContact: -c.Election,
	}
	return core
}

// Role returns the role of the replica in its term.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.voteState.Term }

// IsReadyLeader reports whether the replica is the leader, the group is formed and the applied
// index covers every entry that earlier leaders committed.
func (c *Core) IsReadyLeader(applied uint64) bool {
	return c.role == Leader && applied >= c.termStart && c.isFormed()
}

// Leader returns the id of the leader, or zero if it is unknown.
func (c *Core) Leader() uint64 { return c.leader }

// Commit returns the index of the last entry that is known to be committed.
func (c *Core) Commit() uint64 { return c.commit }

// Last returns the index and the term of the last entry of the log.
func (c *Core) Last() (index, term uint64) { return c.log.last(), c.log.lastTerm() }

// Capacity returns the smallest memory for the state that a leader knows of the members; zero for no bound.
func (c *Core) Capacity() uint64 {
	smallest := c.config.Capacity
	for _, p := range c.progress {
		if p.capacity > 0 && (smallest == 0 || p.capacity < smallest) {
			smallest = p.capacity
		}
	}
	return smallest
}

// LogBytes returns the estimated size of the log in memory.
func (c *Core) LogBytes() int { return c.log.bytes }

// VoteState returns the present voting state.
func (c *Core) VoteState() VoteState { return c.voteState }

// Members returns the members, including a change that is not committed yet.
func (c *Core) Members() []jaygw.Member { return c.log.membership().members }

// Meta returns the description of a snapshot of the state after the entry at the given
// index, which must have been applied.
func (c *Core) Meta(index uint64) SnapshotMeta { return c.log.meta(index) }

// Step handles the inputs and the timeouts that have expired. The caller owns the output.
func (c *Core) Step(now time.Duration, inputs ...Input) Output {
	c.now = now
	c.output = Output{}
	c.stored = c.log.last()
	role, term, leader, voteState := c.role, c.voteState.Term, c.leader, c.voteState
	if c.storing && c.role != Leader {
		c.resetElectionDeadline() // nothing could be received while the disk was written
	}
	if c.electionDeadline == 0 {
		c.resetElectionDeadline()
		if ids := voters(c.Members()); len(ids) == 1 && ids[0] == c.config.ID {
			c.electionDeadline = now // no other member can lead
		}
	}
	for i := range inputs {
		c.handle(&inputs[i])
	}
	c.tick()
	if c.role == Leader {
		c.stepLeader()
	}
	c.emitCommitted()
	if c.voteState != voteState {
		changed := c.voteState
		c.output.VoteState = &changed
	}
	c.storing = c.output.VoteState != nil || c.output.Install != nil || len(c.output.Entries) > 0
	c.output.Changed = role != c.role || term != c.voteState.Term || leader != c.leader
	if c.output.Changed {
		c.ledSince = c.now
	} else if c.leader != 0 && c.now-c.ledSince >= lastingElections*c.config.Election {
		c.failedElections = 0
	}
	return c.output
}

func (c *Core) handle(in *Input) {
	switch {
	case in.Message != nil:
		if in.Message.To == c.config.ID {
			c.receive(in.Message)
		}
	case in.Proposal != nil:
		c.propose(in.Proposal)
	case in.Change != nil:
		c.handleChange(in.Change)
	case in.Read != 0:
		c.requestRead(in.Read)
	case in.Compacted != nil:
		c.log.compact(*in.Compacted, c.config.RetainedEntries, c.config.RetainedBytes)
	case in.TransferLeadership:
		c.transferLeadership()
	}
}

// tick steps down as a leader without an active quorum, and starts an election when no
// leader was in contact before the deadline.
func (c *Core) tick() {
	switch {
	case c.role == Leader:
		if c.now-c.lastQuorumCheck < c.electionTime() {
			return
		}
		c.lastQuorumCheck = c.now
		if !c.quorumActive(c.Members()) {
			if c.commit < c.termStart {
				c.failedElections++
			}
			c.follow(c.voteState.Term, 0)
		}
	case c.now >= c.electionDeadline:
		if c.leader == 0 && c.role != PreCandidate && c.voteState.Vote != 0 {
			c.failedElections++
		}
		c.leader = 0
		c.campaign(PreCandidate)
	}
}

// emitCommitted adds the newly committed entries to the output.
func (c *Core) emitCommitted() {
	if c.commit <= c.emitted || c.emitted < c.log.base {
		return
	}
	c.output.Apply = append(c.output.Apply, c.log.between(c.emitted, c.commit)...)
	c.emitted = c.commit
}

func (c *Core) propose(p *Proposal) {
	if c.role != Leader || c.transferDeadline > c.now || p.Term != 0 && p.Term != c.voteState.Term || !c.isFormed() {
		c.output.Appended = append(c.output.Appended, AppendResult{ID: p.ID, Err: jaygw.ErrNotLeader})
		return
	}
	e := c.append(Entry{Kind: CommandEntry, Time: p.WallTime, Data: p.Data})
	c.output.Appended = append(c.output.Appended, AppendResult{ID: p.ID, Index: e.Index, Term: e.Term})
}

// append appends an entry to the log as the leader.
func (c *Core) append(e Entry) Entry {
	e.Index, e.Term = c.log.last()+1, c.voteState.Term
	e.Time = max(e.Time, c.log.lastTime())
	c.log.truncateAndAppend(e)
	c.output.Entries = append(c.output.Entries, e)
	return e
}

func (c *Core) send(m Message) {
	m.From = c.config.ID
	if m.Kind == AppendResponse {
		m.Unverified, m.Capacity = !c.voteState.Verified, c.config.Capacity
	}
	c.output.Messages = append(c.output.Messages, m)
}

// fault records the first inconsistency that must stop the replica.
func (c *Core) fault(format string, args ...any) {
	if c.output.Fault == nil {
		c.output.Fault = eris.Errorf(format, args...)
	}
}

func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now + c.electionTime() + c.jitter()
}

// electionTime returns the minimum time without a leader before an election. It grows with the elections
// that failed although a majority responded: on slow disks or a busy machine the votes, or the first
// heartbeats of the leader, take longer.
func (c *Core) electionTime() time.Duration {
	return c.config.Election << min(max(c.failedElections-1, 0), maxElectionShift)
}

// jitter returns a random time below the election time (splitmix64).
func (c *Core) jitter() time.Duration {
	c.random += 0x9e3779b97f4a7c15
	z := c.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return time.Duration((z ^ z>>31) % uint64(max(c.electionTime(), 1)))
}

// follow makes the replica a follower in a term. A leader of zero is unknown.
func (c *Core) follow(term, leader uint64) {
	if term > c.voteState.Term {
		c.voteState.Term, c.voteState.Vote = term, 0
	}
	if c.role == Leader {
		c.failReads()
		c.progress = nil
	}
	c.role, c.leader, c.votes = Follower, leader, nil
	c.resetElectionDeadline()
}

func voters(members []jaygw.Member) []uint64 {
	var ids []uint64
	for _, m := range members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func isVoter(members []jaygw.Member, id uint64) bool { return slices.Contains(voters(members), id) }

// majority reports whether the predicate holds for a majority of the ids.
func majority(ids []uint64, has func(uint64) bool) bool {
	count := 0
	for _, id := range ids {
		if has(id) {
			count++
		}
	}
	return count > len(ids)/2
}
