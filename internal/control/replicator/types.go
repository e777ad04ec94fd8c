// Package replicator implements the consensus core of a control group as a step function
// without I/O. The protocol is Raft with pre-vote, a leader that steps down without a
// quorum, learners, one membership change at a time, chunked snapshots, leadership
// transfer and reads that a quorum confirms.
package replicator

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// EntryKind is the kind of content of a log entry.
	EntryKind uint8

	// Entry is one entry of the replicated log.
	Entry struct {
		Index   uint64         `cbor:"1,keyasint"` // position in the log, from 1
		Term    uint64         `cbor:"2,keyasint"` // term of the leader that appended the entry
		Kind    EntryKind      `cbor:"3,keyasint,omitempty"`
		Time    jaygw.Time     `cbor:"4,keyasint,omitempty"` // never decreases along the log
		Data    []byte         `cbor:"5,keyasint,omitempty"` // encoded command of a CommandEntry
		Members []jaygw.Member `cbor:"6,keyasint,omitempty"` // members in force from a MembersEntry on
	}

	// VoteState is the voting state that a replica stores durably, so that it survives a restart.
	VoteState struct {
		Term uint64 `cbor:"1,keyasint,omitempty"` // highest term seen
		Vote uint64 `cbor:"2,keyasint,omitempty"` // member that got the vote in Term; zero for none
		// Verified is set once the replica has had every committed entry. Until then its disk
		// may have been lost, together with entries and votes that it had confirmed.
		Verified bool `cbor:"3,keyasint,omitempty"`
	}

	// SnapshotMeta describes a snapshot of the applied state.
	SnapshotMeta struct {
		Index   uint64         `cbor:"1,keyasint"`           // last entry that the snapshot includes
		Term    uint64         `cbor:"2,keyasint"`           // term of that entry
		Time    jaygw.Time     `cbor:"3,keyasint,omitempty"` // time of that entry
		Members []jaygw.Member `cbor:"4,keyasint,omitempty"` // members at that entry
		Size    uint64         `cbor:"5,keyasint,omitempty"` // length of the data in bytes
	}

	// Snapshot is a snapshot with its data.
	Snapshot struct {
		Meta SnapshotMeta
		Data []byte
	}

	// MessageKind is the kind of a consensus message.
	MessageKind uint8

	// Message is one consensus message between two replicas.
	Message struct {
		Kind MessageKind `cbor:"1,keyasint"`
		From uint64      `cbor:"2,keyasint"`           // id of the sending member
		To   uint64      `cbor:"3,keyasint"`           // id of the receiving member
		Term uint64      `cbor:"4,keyasint,omitempty"` // term of the sender; in a PreVote, the next one
		// Index is the index of the previous, last, matched or confirmed entry, by kind.
		Index   uint64 `cbor:"5,keyasint,omitempty"`
		LogTerm uint64 `cbor:"6,keyasint,omitempty"` // term of the entry at Index
		Commit  uint64 `cbor:"7,keyasint,omitempty"` // commit index of the leader
		// Round is the number of the read round in which the leader confirms reads; the response
		// to an Append repeats it.
		Round      uint64        `cbor:"8,keyasint,omitempty"`
		Refused    bool          `cbor:"9,keyasint,omitempty"`  // in a response: the request was rejected
		Hint       uint64        `cbor:"10,keyasint,omitempty"` // in a refusal: last index that may match
		Unverified bool          `cbor:"11,keyasint,omitempty"` // the sender of the response is not Verified, see VoteState
		Read       uint64        `cbor:"12,keyasint,omitempty"` // id of the read
		Entries    []Entry       `cbor:"13,keyasint,omitempty"`
		Meta       *SnapshotMeta `cbor:"14,keyasint,omitempty"` // snapshot that the chunk belongs to
		Offset     uint64        `cbor:"15,keyasint,omitempty"` // bytes of the snapshot before the chunk
		Length     uint64        `cbor:"16,keyasint,omitempty"` // bytes in the chunk; the sender fills in Data
		Data       []byte        `cbor:"17,keyasint,omitempty"` // content of the chunk
		// Transfer marks a Vote of a leadership transfer, which a live leader does not block.
		Transfer bool `cbor:"18,keyasint,omitempty"`
		// Capacity is Config.Capacity of the sender of an AppendResponse; zero from a replica of an earlier build.
		Capacity uint64 `cbor:"19,keyasint,omitempty"`
	}

	// Proposal is one command to append to the log.
	Proposal struct {
		ID       uint64     // chosen by the caller; the matching AppendResult carries it
		Term     uint64     // the only term in which the command may be appended; zero for any
		WallTime jaygw.Time // time of the entry, unless the last entry of the log is later
		Data     []byte     // encoded command
	}

	// Change is one membership change.
	Change struct {
		ID       uint64        // chosen by the caller; the matching AppendResult carries it
		WallTime jaygw.Time    // time of the entry, unless the last entry of the log is later
		Add      *jaygw.Member // joins as a learner and becomes a voter once it has caught up
		Remove   uint64        // id of the member to remove if Add is nil
		// Leave is the id of a member that is about to stop, if Add is nil and Remove is zero. A learner
		// that has caught up takes its place; without one, the member stays unless the group has more
		// voters than required.
		Leave uint64
		// ReplaceUnresponsive makes an added member without Replaces replace the voter that has
		// been unresponsive for longest, if there is one.
		ReplaceUnresponsive bool
	}

	// Input is one event that a step handles. At most one field is set; an Input without a
	// field is a tick.
	Input struct {
		Message            *Message
		Proposal           *Proposal
		Change             *Change
		Read               uint64        // id of a read to confirm
		Compacted          *SnapshotMeta // a snapshot that is stored durably
		TransferLeadership bool          // transfer the leadership, because the replica is about to stop
	}

	// AppendResult is the result of a Proposal or Change: the entry that was appended for it, or
	// the error.
	AppendResult struct {
		ID             uint64
		Index          uint64
		Term           uint64
		AlreadyApplied bool  // the members have been as requested since Index; no entry was appended
		Err            error // jaygw.ErrNotLeader, also of a leader that accepts no commands yet, or a *jaygw.Refusal; no entry was appended
	}

	// ReadResult is the result of a read: the state is current once it has applied Index.
	ReadResult struct {
		ID    uint64
		Index uint64
		Err   error // jaygw.ErrNotConfirmed if the read was not confirmed
	}

	// Output is what the caller must do after a step, in this order: store VoteState, Install
	// and Entries durably, send Messages, restore the state from Install, apply Apply, and
	// complete the calls in Appended and Reads.
	Output struct {
		Install   *Snapshot
		Entries   []Entry    // an entry replaces the stored one with the same index and all later ones
		VoteState *VoteState // nil if unchanged
		Messages  []Message
		Apply     []Entry // newly committed entries
		Appended  []AppendResult
		Reads     []ReadResult
		Changed   bool  // the role, the term or the leader changed
		Fault     error // the log conflicts with the leader's; the replica must stop
	}

	// Config configures a Core.
	Config struct {
		ID              uint64         // id of this member
		Bootstrap       []jaygw.Member // initial members of a new group
		Seed            uint64         // seed of the election jitter
		Heartbeat       time.Duration  // interval between two heartbeats of a leader
		Election        time.Duration  // minimum time without a leader before an election
		RetainedEntries uint64         // compacted entries retained in memory for lagging replicas
		RetainedBytes   int            // estimated size of these entries; zero for the default
		Chunk           uint64         // bytes of a snapshot per message; zero for the default
		// RemoveUnresponsiveAfter is the time without contact after which a member is removed while enough
		// voters remain; zero disables removal. A removed replica has to join again. Unless it is zero,
		// a learner that would make the number of voters even waits for a voter to replace.
		RemoveUnresponsiveAfter time.Duration
		// Capacity is the memory that this replica has for the state, in bytes; zero for no bound.
		Capacity uint64
		// ToleratedLosses is the number of voters that may be lost at the same time.
		ToleratedLosses int
	}

	// RecoveredState is the state that was recovered from the data folder.
	RecoveredState struct {
		VoteState VoteState
		Snapshot  SnapshotMeta
		Entries   []Entry // consecutive, from any index up to the last one
	}

	// Role is the role of a replica in its term.
	Role uint8
)

const (
	// CommandEntry holds a command.
	CommandEntry EntryKind = iota
	// MembersEntry holds the members of the group. Each leader starts its term with one,
	// so that a new member learns the others from the log.
	MembersEntry
)

const (
	// Follower accepts entries from the leader.
	Follower Role = iota
	// PreCandidate requests pre-votes, to find out whether an election could succeed.
	PreCandidate
	// Candidate requests votes.
	Candidate
	// Leader appends entries.
	Leader
)

const (
	// PreVote requests a pre-vote: whether a vote would be granted, without a new term.
	PreVote MessageKind = iota + 1
	// PreVoteResponse responds to PreVote.
	PreVoteResponse
	// Vote requests a vote.
	Vote
	// VoteResponse responds to Vote.
	VoteResponse
	// Append carries entries; without entries it is a heartbeat.
	Append
	// AppendResponse responds to Append and to the last chunk of a snapshot.
	AppendResponse
	// Chunk carries a part of a snapshot.
	Chunk
	// ChunkResponse responds to Chunk with the next offset.
	ChunkResponse
	// ReadRequest requests a confirmed index from the leader.
	ReadRequest
	// ReadResponse responds to ReadRequest.
	ReadResponse
	// StartElection makes a member start an election at once, as part of a leadership
	// transfer.
	StartElection
)

const (
	// DefaultHeartbeat is the time between two heartbeats of a leader.
	DefaultHeartbeat = 100 * time.Millisecond
	// DefaultElection is the minimum time without a leader before an election. The jitter
	// at most doubles it, so that an election and one split vote fit into the limit of 2 s
	// without a leader.
	DefaultElection = 450 * time.Millisecond

	// DefaultRetainedBytes is the default of Config.RetainedBytes.
	DefaultRetainedBytes = 16 << 20

	// MaxEntryBytes is the maximum size of a command in bytes.
	MaxEntryBytes = 2 << 20

	maxAppendBytes   = 1 << 20
	maxInFlightBytes = 8 << 20 // bytes sent to one member without a response
	chunkBytes       = 256 << 10
	maxSnapshotBytes = 1 << 30
	maxQueuedReads   = 1 << 16 // reads that wait for a confirmation
	entryOverhead    = 64      // estimated bytes of an entry besides its data

	// resendHeartbeats is the time without a response, in heartbeats, after which entries
	// or a chunk are sent again.
	resendHeartbeats = 3

	// maxElectionShift bounds the growth of the election time after failed elections to four times.
	maxElectionShift = 2

	// lastingElections is the time with one leader, in election times, after which the election time is
	// the minimum again.
	lastingElections = 20

	// unresponsiveElections is the time without a response, in election times, after which a
	// new member may replace a voter.
	unresponsiveElections = 3

	// minVoters is the number of voters down to which unresponsive ones are removed. A
	// removal from three would leave two, both of which are required for a majority.
	minVoters = 3
)
