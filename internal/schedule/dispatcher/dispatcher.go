// Package dispatcher runs the leader's part of scheduling: it answers the
// agents' renewals, ends leases, and proposes what the scheduler decides.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/lessor"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/sirupsen/logrus"
)

type (
	// Replica is the part of a control replica that the dispatcher needs.
	Replica interface {
		jaygw.Control
		// Read calls a function with the state machine between two commands.
		Read(func(*applier.Machine))
	}

	// Dispatcher serves one replica. It acts only while the replica leads.
	Dispatcher struct {
		replica Replica
		log     logrus.FieldLogger
		wake    chan struct{}
		notes   *notes

		mu        sync.Mutex
		leads     bool
		term      uint64
		lessor    *lessor.Lessor
		scheduler *scheduler.Scheduler
		expiring  map[string]chan struct{} // closed once the expiry is applied
		silent    map[string]bool
	}

	// Option changes a new Dispatcher.
	Option func(*Dispatcher)
)

const (
	tick = 50 * time.Millisecond
)

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// New returns a dispatcher that does not lead yet.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		log:      logrus.StandardLogger(),
		wake:     make(chan struct{}, 1),
		expiring: map[string]chan struct{}{},
		silent:   map[string]bool{},
		notes:    newNotes(),
	}
	for _, option := range options {
		option(d)
	}
	d.scheduler = scheduler.New(scheduler.WithHealth(func(vm string) bool { return !d.silent[vm] }))
	return d
}

// Serve sets the replica that the dispatcher works for. It is called once.
func (d *Dispatcher) Serve(replica Replica) { d.replica = replica }

// Lead starts or ends a leadership.
func (d *Dispatcher) Lead(term uint64, leads bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leads = leads
	d.term = term
	d.silent = map[string]bool{}
	if leads {
		d.lessor = lessor.New(now)
		d.log.Infof("scheduler: leading control group in term %d", term)
	}
	d.notes.all()
}

// Run decides until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.wake:
		}
		d.step(ctx, time.Now())
	}
}

func (d *Dispatcher) step(ctx context.Context, now time.Time) {
	var commands []jaygw.Command
	d.mu.Lock()
	if !d.leads {
		d.mu.Unlock()
		return
	}
	d.replica.Read(func(machine *applier.Machine) {
		d.updateLiveness(machine.State(), now)
		for _, expire := range d.lessor.Expired(machine.State().VMs, now) {
			if len(machine.TasksOn(expire.Name)) == 0 {
				continue
			}
			d.expiring[expire.Name] = make(chan struct{})
			commands = append(commands, jaygw.Command{ExpireVM: &expire})
		}
		commands = append(commands, d.scheduler.Decide(machine, max(machine.State().Time, jaygw.TimeOf(now)))...)
	})
	ctx = jaygw.InTerm(ctx, d.term)
	d.mu.Unlock()
	for _, command := range commands {
		if _, err := d.replica.Propose(ctx, command); err != nil {
			d.log.Warnf("scheduler: a decision was not committed: %v", err)
		}
		if command.ExpireVM != nil {
			d.expired(command.ExpireVM.Name)
		}
	}
}

func (d *Dispatcher) expired(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if done, ok := d.expiring[vm]; ok {
		close(done)
		delete(d.expiring, vm)
	}
}

// updateLiveness notes which VMs have fallen silent or returned.
func (d *Dispatcher) updateLiveness(state *applier.State, now time.Time) {
	changed := false
	for name := range state.VMs {
		silent := d.lessor.Silent(name, now)
		if silent != d.silent[name] {
			d.silent[name] = silent
			changed = true
		}
	}
	if changed {
		d.notes.view()
	}
}

func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
