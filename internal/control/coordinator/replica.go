// Package coordinator runs one replica of a control group: it joins the log on
// disk, the consensus core and the state machine.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

type (
	// Settings names the replica and its group.
	Settings struct {
		Group  string
		Self   jaygw.Member
		Folder string
	}

	// Leadership tells whether the replica leads, and in which term.
	Leadership struct {
		Term  uint64
		Leads bool
	}

	// Replica is one replica of a control group.
	Replica struct {
		settings  Settings
		hook      func(Leadership)
		journal   *journal
		proposals chan proposal

		mu      sync.Mutex // guards machine and applied
		machine *applier.Machine
		applied jaygw.Index
		done    chan struct{}
	}

	// Option changes a new Replica.
	Option func(*Replica)

	proposal struct {
		command jaygw.Command
		result  chan jaygw.Result
	}
)

const (
	maxBatch      = 256
	proposalQueue = 1024
)

var _ jaygw.Control = (*Replica)(nil)

// WithLeadershipHook sets a function that is called when the replica gains or
// loses the leadership.
func WithLeadershipHook(hook func(Leadership)) Option {
	return func(r *Replica) { r.hook = hook }
}

// Open opens the data folder and applies the log in it to the machine.
func Open(settings Settings, machine *applier.Machine, options ...Option) (*Replica, error) {
	r := &Replica{
		settings:  settings,
		hook:      func(Leadership) {},
		proposals: make(chan proposal, proposalQueue),
		machine:   machine,
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(r)
	}
	var err error
	r.journal, err = openJournal(settings.Folder, r.replay)
	return r, err
}

func (r *Replica) replay(record []byte) error {
	var command jaygw.Command
	if err := encoder.Unmarshal(record, &command); err != nil {
		return err
	}
	r.applied++
	r.machine.Apply(r.applied, command)
	return nil
}

// Run commits and applies proposals until the context ends. An error of the disk
// ends it: after a failed sync nothing is known about what was written.
func (r *Replica) Run(ctx context.Context) error {
	defer close(r.done)
	r.hook(Leadership{Term: 1, Leads: true})
	defer r.hook(Leadership{Term: 1})
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-r.proposals:
			if err := r.commit(r.batch(first)); err != nil {
				return err
			}
		}
	}
}

func (r *Replica) batch(first proposal) []proposal {
	batch := []proposal{first}
	for len(batch) < maxBatch {
		select {
		case next := <-r.proposals:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (r *Replica) commit(batch []proposal) error {
	records := make([][]byte, len(batch))
	for i := range batch {
		batch[i].command.Time = max(r.logTime(), jaygw.TimeOf(time.Now()))
		record, err := encoder.Marshal(batch[i].command)
		if err != nil {
			return err
		}
		records[i] = record
	}
	if err := r.journal.append(records); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range batch {
		r.applied++
		p.result <- r.machine.Apply(r.applied, p.command)
	}
	return nil
}

func (r *Replica) logTime() jaygw.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.State().Time
}

// Propose commits a command.
func (r *Replica) Propose(ctx context.Context, command jaygw.Command) (jaygw.Result, error) {
	p := proposal{command: command, result: make(chan jaygw.Result, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return jaygw.Result{}, eris.Wrap(ctx.Err(), "propose")
	case <-r.done:
		return jaygw.Result{}, jaygw.ErrStopped
	}
	select {
	case result := <-p.result:
		return result, nil
	case <-ctx.Done():
		return jaygw.Result{}, jaygw.ErrOutcomeUnknown
	case <-r.done:
		return jaygw.Result{}, jaygw.ErrOutcomeUnknown
	}
}

// Confirm returns the applied index.
func (r *Replica) Confirm(context.Context) (jaygw.Index, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied, nil
}

// Read calls a function with the state machine between two commands.
func (r *Replica) Read(read func(*applier.Machine)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	read(r.machine)
}

// Status describes the replica.
func (r *Replica) Status() jaygw.ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return jaygw.ReplicaStatus{
		Group: r.settings.Group, ID: r.settings.Self.ID, Leader: r.settings.Self.ID, Term: 1,
		Commit: r.applied, Applied: r.applied, Members: []jaygw.Member{r.settings.Self},
	}
}
