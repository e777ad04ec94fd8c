// Package dispatcher runs the leader's part of scheduling: it answers the
// agents' renewals, ends leases, and proposes what the scheduler decides.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
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

		mu sync.Mutex // guards the decider, but for its notes
		*decider
	}

	// Option changes a new Dispatcher.
	Option func(*Dispatcher)
)

const (
	tick = 50 * time.Millisecond

	// proposeTimeout bounds a proposal, so that a lost quorum does not stop the
	// loop. The outcome is then unknown.
	proposeTimeout = 2 * time.Second
)

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option {
	return func(d *Dispatcher) { d.log = log }
}

// New returns a dispatcher that does not lead yet.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{
		log:     logrus.StandardLogger(),
		wake:    make(chan struct{}, 1),
		decider: newDecider(),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Serve sets the replica that the dispatcher works for. It is called once.
func (d *Dispatcher) Serve(replica Replica) { d.replica = replica }

// Lead starts or ends a leadership.
func (d *Dispatcher) Lead(term uint64, leads bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lead(term, leads, now)
	if leads {
		d.log.Infof("scheduler: leading control group in term %d", term)
	}
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

// step proposes what is to be decided. Expiries are proposed at the same time, so
// that those of a lost domain share a sync; the rest in order.
func (d *Dispatcher) step(ctx context.Context, now time.Time) {
	var commands []jaygw.Command
	d.mu.Lock()
	if d.leads {
		d.replica.Read(func(machine *applier.Machine) { commands = d.decide(machine, now) })
	}
	ctx = jaygw.InTerm(ctx, d.term)
	d.mu.Unlock()
	var expiries sync.WaitGroup
	for _, command := range commands {
		if command.ExpireVM != nil {
			expiries.Go(func() { d.propose(ctx, command) })
		}
	}
	expiries.Wait()
	for _, command := range commands {
		if command.ExpireVM == nil {
			d.propose(ctx, command)
		}
	}
}

func (d *Dispatcher) propose(ctx context.Context, command jaygw.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := d.replica.Propose(ctx, command)
	if err != nil {
		d.log.Warnf("scheduler: a decision was not committed: %v", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settled(command, err)
}

func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
