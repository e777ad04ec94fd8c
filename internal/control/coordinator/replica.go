// Package coordinator runs one replica of a control group: it connects the log on disk, the
// consensus core, the other replicas and the state machine.
package coordinator

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// Replica is one replica of a control group. Its methods are safe for concurrent use.
	Replica struct {
		settings        Settings
		leadershipHook  func(Leadership)
		dialer          *dialer.Dialer
		log             logrus.FieldLogger
		registry        metrics.Registry
		disk            journaler.Disk
		snapshotEntries uint64
		retained        uint64
		snapshotBytes   int // entry data that causes a snapshot before snapshotEntries do, and that is retained

		inputs    chan event
		done      chan struct{} // closed when Run ends
		stopping  chan struct{} // closed when the context of Run ends
		diskSpace *diskSpace
		lastID    atomic.Uint64 // id of the last proposal or read
		logMemory atomic.Int64  // estimated size of the log in memory
		capacity  atomic.Int64  // smallest memory for the state of all members
		ownLimit  int64         // of this replica, see WithStateBytes
		start     time.Time     // origin of the core's clock
		rejoining atomic.Bool   // a request to join through a leader is running

		// Only the goroutine of Run accesses the fields from journal to logBytes, except that
		// the peers and the snapshot writer also use journal.
		journal        *journaler.Journal
		core           *replicator.Core
		peers          map[uint64]*peer
		addresses      map[uint64]string          // of replicas that are not yet known as members, by id
		proposals      map[uint64]*call           // not yet appended, by proposal id
		pending        map[uint64]pendingProposal // appended but not applied, by log index
		reads          map[uint64]*call           // not yet confirmed, by read id
		confirmedReads []confirmedRead            // reads whose index is not yet applied
		leadership     Leadership
		spread         jaygw.VoterSpread
		spreadMembers  []jaygw.Member // members for which spread was determined
		spreadReported bool           // this replica leads and has logged that no set of voters has a sufficient spread
		background     sync.WaitGroup // goroutines that write snapshots
		savingSnapshot bool           // a snapshot is being written
		nextSnapshot   uint64         // index of the next snapshot, unless logBytes causes an earlier one
		logBytes       int            // bytes of entries applied since the last snapshot began

		mu      sync.Mutex // guards machine, applied and status
		machine *applier.Machine
		applied uint64
		status  jaygw.ReplicaStatus
	}

	// event is an input of the core with the data that the replica needs to handle it.
	event struct {
		input   replicator.Input
		call    *call
		address string // address of the sender of input.Message
		// earlierMember is set instead of input for a leader's message to an earlier member at
		// this replica's address.
		earlierMember uint64
		snapshotErr   error // error from writing the snapshot input.Compacted; may be nil
	}

	// call is a proposal or a read whose outcome is awaited.
	call struct {
		command jaygw.Command // decoded from the proposal's data, as on the other replicas
		done    chan outcome  // capacity 1, so that sending never blocks
	}

	// outcome is the result of a proposal or the index of a read, or an error.
	outcome struct {
		result jaygw.Result
		index  uint64
		err    error
	}

	// pendingProposal is an appended proposal with the term of its entry.
	pendingProposal struct {
		term uint64
		call *call
	}

	// confirmedRead is a read that completes once the state covers its index.
	confirmedRead struct {
		index uint64
		call  *call
	}
)

var _ jaygw.Control = (*Replica)(nil)

// Open opens the data folder and restores the state machine from the last snapshot. Later
// entries are applied once a leader has confirmed that they are committed.
func Open(settings Settings, machine *applier.Machine, options ...Option) (*Replica, error) {
	r := &Replica{
		settings:        settings,
		leadershipHook:  func(Leadership) {},
		log:             logrus.StandardLogger(),
		registry:        metrics.NewRegistry(),
		snapshotEntries: snapshotEntries,
		retained:        retainedEntries,
		snapshotBytes:   snapshotBytes,
		inputs:          make(chan event, inputQueueSize),
		done:            make(chan struct{}),
		stopping:        make(chan struct{}),
		diskSpace:       newDiskSpace(),
		start:           time.Now(),
		peers:           map[uint64]*peer{},
		addresses:       map[uint64]string{},
		proposals:       map[uint64]*call{},
		pending:         map[uint64]pendingProposal{},
		reads:           map[uint64]*call{},
		machine:         machine,
	}
	for _, option := range options {
		option(r)
	}
	// Random first id: late responses to reads of an earlier incarnation must not match new reads.
	r.lastID.Store(rand.Uint64() >> 1)
	if r.dialer == nil {
		r.dialer = dialer.New()
	}
	return r, r.open()
}

func (r *Replica) open() error {
	var err error
	if r.disk == nil {
		if r.disk, err = journaler.NewFolder(r.settings.Folder); err != nil {
			return err
		}
	}
	var recovered replicator.RecoveredState
	r.journal, recovered, err = journaler.Open(r.disk, r.settings.Folder, r.settings.Group, r.settings.Self.ID,
		journaler.WithDiskFullHook(r.awaitDiskSpace), journaler.WithSegmentBytes(int64(min(r.snapshotBytes, maxSegmentBytes))))
	if err != nil {
		return err
	}
	data, err := r.journal.LoadSnapshot()
	if err == nil && data != nil {
		err = r.machine.Restore(data)
	}
	if err != nil {
		return errors.Join(err, r.journal.Close())
	}
	members := r.settings.Members
	for _, m := range members {
		r.addresses[m.ID] = m.Address
	}
	if len(members) == 0 {
		members = []jaygw.Member{r.settings.Self}
		members[0].Voter = true
	}
	if r.settings.Join {
		members = nil
	}
	r.applied, r.nextSnapshot = recovered.Snapshot.Index, recovered.Snapshot.Index+r.snapshotEntries
	r.core = replicator.New(replicator.Config{
		ID: r.settings.Self.ID, Bootstrap: members, Seed: rand.Uint64(),
		Heartbeat: replicator.DefaultHeartbeat, Election: replicator.DefaultElection, RetainedEntries: r.retained,
		Capacity:                uint64(r.ownLimit),
		RetainedBytes:           min(r.snapshotBytes, replicator.DefaultRetainedBytes),
		RemoveUnresponsiveAfter: r.settings.RemoveUnresponsiveAfter, ToleratedLosses: r.settings.Tolerated,
	}, recovered)
	r.updateStatus()
	last, lastTerm := r.core.Last()
	vote := r.core.VoteState()
	r.log.WithFields(logrus.Fields{
		"member": r.settings.Self.ID, "term": vote.Term, "verified": vote.Verified, "snapshot": recovered.Snapshot.Index,
		"last": last, "last-term": lastTerm, "members": memberAddresses(r.core.Members()),
	}).Info("control: replica opened")
	return nil
}

// memberAddresses lists members for the log, voters by their address alone.
func memberAddresses(members []jaygw.Member) []string {
	var addresses []string
	for _, m := range members {
		if m.Voter {
			addresses = append(addresses, m.Address)
		} else {
			addresses = append(addresses, m.Address+" (learner)")
		}
	}
	return addresses
}

// Run takes part in the group until the context ends or the disk fails. A failed sync ends it,
// since it is then unknown which writes are durable.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.stop(cancel)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	context.AfterFunc(ctx, func() { close(r.stopping) })
	if err := r.step(ctx, nil); err != nil {
		return err
	}
	batch := make([]event, 0, maxBatch)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case e := <-r.inputs:
			batch = append(batch, e)
		}
		if err := r.step(ctx, r.collectInputs(batch)); err != nil {
			r.log.Errorf("control: the replica stops: %v", err)
			return err
		}
	}
}

// collectInputs adds queued inputs to the batch, up to maxBatch.
func (r *Replica) collectInputs(batch []event) []event {
	for len(batch) < maxBatch {
		select {
		case e := <-r.inputs:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// stop reports the loss of the leadership, waits for the peers and the snapshot writer and closes
// the journal.
func (r *Replica) stop(cancel func()) {
	cancel()
	close(r.done)
	if r.leadership.Leads {
		r.leadershipHook(Leadership{Term: r.leadership.Term})
	}
	for _, p := range r.peers {
		<-p.done
	}
	r.background.Wait()
	if err := r.journal.Close(); err != nil {
		r.log.Warnf("control: cannot close the data folder: %v", err)
	}
}

// step runs one step of the core and carries out its output.
func (r *Replica) step(ctx context.Context, batch []event) error {
	inputs := make([]replicator.Input, 0, len(batch))
	for _, e := range batch {
		switch {
		case e.earlierMember != 0:
			r.rejoin(ctx, e)
			continue
		case e.input.Proposal != nil:
			r.proposals[e.input.Proposal.ID] = e.call
		case e.input.Change != nil:
			r.proposals[e.input.Change.ID] = e.call
		case e.input.Read != 0:
			r.reads[e.input.Read] = e.call
		case e.input.Message != nil && e.address != "":
			r.addresses[e.input.Message.From] = e.address
		case e.input.Compacted != nil:
			if err := r.finishSnapshot(e); err != nil {
				return err
			}
			if e.snapshotErr != nil {
				continue
			}
		}
		inputs = append(inputs, e.input)
	}
	out := r.core.Step(time.Since(r.start), inputs...)
	if out.Fault != nil {
		return out.Fault
	}
	if err := r.persist(out); err != nil {
		return err
	}
	r.queueMessages(ctx, out.Messages)
	r.recordAppended(out.Appended)
	if err := r.apply(out); err != nil {
		return err
	}
	r.logMemory.Store(int64(r.core.LogBytes()))
	r.capacity.Store(int64(min(r.core.Capacity(), math.MaxInt64)))
	r.updateLeadership()
	r.completeReads(out)
	r.startSnapshot()
	return nil
}

// persist stores the output of a step before its messages are sent.
func (r *Replica) persist(out replicator.Output) error {
	if out.VoteState != nil {
		if err := r.journal.SaveVoteState(*out.VoteState); err != nil {
			return err
		}
	}
	if out.Install != nil {
		if err := r.journal.Install(*out.Install); err != nil {
			return err
		}
	}
	if err := r.journal.Append(out.Entries); err != nil {
		return err
	}
	r.reportWritable()
	return nil
}

// updateLeadership calls the hook if the leadership has changed.
func (r *Replica) updateLeadership() {
	current := Leadership{Term: r.core.Term(), Leads: r.core.IsReadyLeader(r.applied)}
	previous := r.leadership
	if current.Leads == previous.Leads && (!current.Leads || current.Term == previous.Term) {
		return
	}
	r.leadership = current
	last, lastTerm := r.core.Last()
	r.log.WithFields(logrus.Fields{
		"term": current.Term, "leads": current.Leads, "commit": r.core.Commit(), "last": last, "last-term": lastTerm,
		"members": memberAddresses(r.core.Members()),
	}).Info("control: leadership changed")
	r.updateStatus()
	r.leadershipHook(current)
}

func (r *Replica) updateStatus() {
	last, _ := r.core.Last()
	r.updateSpread(r.core.Members())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = jaygw.ReplicaStatus{
		Group: r.settings.Group, ID: r.settings.Self.ID, Leader: r.core.Leader(), Term: r.core.Term(),
		Last: jaygw.Index(last), Commit: jaygw.Index(r.core.Commit()), Applied: jaygw.Index(r.applied), Members: r.core.Members(),
		Spread: r.spread,
	}
}

// Read calls a function with the state machine. No command is applied meanwhile.
func (r *Replica) Read(read func(*applier.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.machine)
}

// StateBytes returns the smallest memory that the members of the group have for the state, as far as this replica knows; zero for
// no bound. A leader knows it from the members' responses.
func (r *Replica) StateBytes() int64 { return r.capacity.Load() }

// LogBytes returns the estimated size of the log in memory.
func (r *Replica) LogBytes() int64 { return r.logMemory.Load() }

// Status returns the status of the replica. Its Members must not be modified. While the disk is
// full, the status names no leader, since another replica may have become the leader.
func (r *Replica) Status() jaygw.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.status
	if r.diskSpace.isFull() {
		status.Leader = 0
	}
	return status
}
