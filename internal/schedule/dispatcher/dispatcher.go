// Package dispatcher runs the leader's part of scheduling: it responds to the agents'
// renewals, ends expired leases, and proposes the scheduler's decisions.
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

		mu sync.Mutex // guards decider, except its notifier, which has a lock of its own
		*decider
	}

	// Option configures a new Dispatcher.
	Option func(*Dispatcher)
)

const (
	// decisionInterval is the time between two decisions if no change of the state triggers one.
	decisionInterval = 50 * time.Millisecond

	// proposeTimeout bounds a proposal, so that a lost quorum does not block the loop. The
	// outcome of a proposal that timed out is unknown.
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

// SetReplica sets the replica that the dispatcher works for. It is called once.
func (d *Dispatcher) SetReplica(replica Replica) { d.replica = replica }

// SetLeadership starts or ends the replica's leadership in a term.
func (d *Dispatcher) SetLeadership(term uint64, isLeader bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setLeadership(term, isLeader, now)
	if isLeader {
		d.log.Infof("scheduler: leading control group in term %d", term)
	}
}

// Run makes and proposes decisions until the context ends, at fixed intervals and after changes
// of the state.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(decisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-d.wake:
		}
		d.runOnce(ctx, time.Now())
	}
}

// runOnce makes one round of decisions and proposes them. Expiries are proposed concurrently, so
// that those of a lost failure domain share one sync of the log; all others in order.
func (d *Dispatcher) runOnce(ctx context.Context, now time.Time) {
	var commands []jaygw.Command
	d.mu.Lock()
	if d.isLeader {
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

// propose proposes a decision and records its outcome.
func (d *Dispatcher) propose(ctx context.Context, command jaygw.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := d.replica.Propose(ctx, command)
	if err != nil {
		d.log.Warnf("scheduler: a decision was not committed: %v", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordOutcome(command, err)
}

// wakeUp makes Run start a round of decisions without waiting for the next tick.
func (d *Dispatcher) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
