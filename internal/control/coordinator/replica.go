// Package coordinator runs one replica of a control group: it joins the log on
// disk, the consensus core, the other replicas and the state machine.
package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/sirupsen/logrus"
)

type (
	// Replica is one replica of a control group.
	Replica struct {
		settings      Settings
		hook          func(Leadership)
		dialer        *dialer.Dialer
		log           logrus.FieldLogger
		disk          journaler.Disk
		snapshotEvery uint64
		kept          uint64

		inputs chan event
		done   chan struct{}
		ending chan struct{} // closed when Run is to end
		room   *room
		ids    atomic.Uint64
		start  time.Time

		// The fields below belong to Run.
		journal    *journaler.Journal
		core       *replicator.Core
		peers      map[uint64]*peer
		addresses  map[uint64]string // of replicas that are no members here yet
		proposals  map[uint64]*call  // by id
		pending    map[uint64]placed // by index
		reads      map[uint64]*call  // by id
		confirmed  []confirmed       // reads that wait for the state
		leadership Leadership
		work       sync.WaitGroup
		saving     bool   // a snapshot is being written
		saveAt     uint64 // no snapshot before this index
		logBytes   int    // of the entries applied since the last snapshot

		mu      sync.Mutex // guards machine, applied and status
		machine *applier.Machine
		applied uint64
		status  jaygw.ReplicaStatus
	}

	// event is one input of the core, or the end of a snapshot.
	event struct {
		input   replicator.Input
		call    *call
		address string // of the sender of a message
		saved   error  // of Compacted
	}

	// call waits for the outcome of a proposal or a read.
	call struct {
		command jaygw.Command // as any replica decodes it
		done    chan outcome  // has room for one
	}

	outcome struct {
		result jaygw.Result
		index  uint64
		err    error
	}

	placed struct {
		term uint64
		call *call
	}

	confirmed struct {
		index uint64
		call  *call
	}
)

var _ jaygw.Control = (*Replica)(nil)

// Open opens the data folder and restores the machine's last snapshot. The
// entries after it are applied once a leader has confirmed them.
func Open(settings Settings, machine *applier.Machine, options ...Option) (*Replica, error) {
	r := &Replica{
		settings:      settings,
		hook:          func(Leadership) {},
		log:           logrus.StandardLogger(),
		snapshotEvery: snapshotEvery,
		kept:          keptEntries,
		inputs:        make(chan event, inputQueue),
		done:          make(chan struct{}),
		ending:        make(chan struct{}),
		room:          newRoom(),
		start:         time.Now(),
		peers:         map[uint64]*peer{},
		addresses:     map[uint64]string{},
		proposals:     map[uint64]*call{},
		pending:       map[uint64]placed{},
		reads:         map[uint64]*call{},
		machine:       machine,
	}
	for _, option := range options {
		option(r)
	}
	// Answers to reads of an earlier life must not match a read of this one.
	r.ids.Store(rand.Uint64() >> 1)
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
	var restored replicator.Restored
	r.journal, restored, err = journaler.Open(r.disk, r.settings.Folder, r.settings.Group, r.settings.Self.ID,
		journaler.WithFull(r.awaitRoom))
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
	r.applied, r.saveAt = restored.Snapshot.Index, restored.Snapshot.Index+r.snapshotEvery
	r.core = replicator.New(replicator.Config{
		ID: r.settings.Self.ID, Bootstrap: members, Seed: rand.Uint64(),
		Heartbeat: replicator.DefaultHeartbeat, Election: replicator.DefaultElection, Kept: r.kept,
		Retire: r.settings.Retire, Tolerated: r.settings.Tolerated,
	}, restored)
	r.updateStatus()
	return nil
}

// Run takes part in the group until the context ends. An error of the disk ends
// it: after a failed sync nothing is known about what was written.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer r.stop(cancel)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	context.AfterFunc(ctx, func() { close(r.ending) })
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
		if err := r.step(ctx, r.gather(batch)); err != nil {
			r.log.Errorf("control: the replica stops: %v", err)
			return err
		}
	}
}

// gather adds the inputs that are waiting.
func (r *Replica) gather(batch []event) []event {
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

func (r *Replica) stop(cancel func()) {
	cancel()
	close(r.done)
	if r.leadership.Leads {
		r.hook(Leadership{Term: r.leadership.Term})
	}
	for _, p := range r.peers {
		<-p.done
	}
	r.work.Wait()
	if err := r.journal.Close(); err != nil {
		r.log.Warnf("control: close the data folder: %v", err)
	}
}

// step runs one step of the core and does what it asks for.
func (r *Replica) step(ctx context.Context, batch []event) error {
	inputs := make([]replicator.Input, 0, len(batch))
	for _, e := range batch {
		switch {
		case e.input.Proposal != nil:
			r.proposals[e.input.Proposal.ID] = e.call
		case e.input.Change != nil:
			r.proposals[e.input.Change.ID] = e.call
		case e.input.Read != 0:
			r.reads[e.input.Read] = e.call
		case e.input.Message != nil && e.address != "":
			r.addresses[e.input.Message.From] = e.address
		case e.input.Compacted != nil:
			if err := r.saved(e); err != nil {
				return err
			}
			if e.saved != nil {
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
	r.send(ctx, out.Messages)
	r.place(out.Appended)
	if err := r.apply(out); err != nil {
		return err
	}
	r.lead()
	r.answer(out)
	r.snapshot()
	return nil
}

func (r *Replica) persist(out replicator.Output) error {
	if out.Ballot != nil {
		if err := r.journal.SaveBallot(*out.Ballot); err != nil {
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
	r.stored()
	return nil
}

// lead tells the hook of a change of the leadership.
func (r *Replica) lead() {
	now := Leadership{Term: r.core.Term(), Leads: r.core.Leads(r.applied)}
	before := r.leadership
	if now.Leads == before.Leads && (!now.Leads || now.Term == before.Term) {
		return
	}
	r.leadership = now
	r.hook(now)
}

func (r *Replica) updateStatus() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = jaygw.ReplicaStatus{
		Group: r.settings.Group, ID: r.settings.Self.ID, Leader: r.core.Leader(), Term: r.core.Term(),
		Commit: jaygw.Index(r.core.Commit()), Applied: jaygw.Index(r.applied), Members: r.core.Members(),
	}
}

// Read calls a function with the state machine between two commands.
func (r *Replica) Read(read func(*applier.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.machine)
}

// Status describes the replica. Its members must not be changed. A replica that cannot
// store anything knows no leader: another one may lead by now.
func (r *Replica) Status() jaygw.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.status
	if r.room.isLost() {
		status.Leader = 0
	}
	return status
}
