// Package orchestrator implements the orchestrator, the leader's part of workflows: it responds to
// the agents' polls, ends expired leases, and proposes what the allocator decides.
package orchestrator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/notifier"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// Replica is the part of a control replica that the orchestrator uses.
	Replica interface {
		jaygw.Control
		// Read calls a function with the state machine while no command is applied.
		Read(func(*applier.Machine))
	}

	// Orchestrator schedules workflows for one replica. It acts only while the replica leads.
	Orchestrator struct {
		replica  Replica
		log      logrus.FieldLogger
		wake     chan struct{}
		notifier *notifier.Notifier
		lease    time.Duration
		registry metrics.Registry
		leading  atomic.Bool
		ahead    bool // see WithLookAhead

		paceByUrgency bool

		withoutCopies bool

		// admission is nil if all workflows are admitted.
		admission *admission

		// limiter bounds what callers' requests take in memory.
		limiter stateLimiter

		mu sync.Mutex // guards the VM table
		*vmTable
	}

	// Option configures a new Orchestrator.
	Option func(*Orchestrator)
)

const (
	// DefaultLease is the default duration of the lease that a response grants to a VM, counted
	// from when its agent sent the poll. It outlasts a change of the leader, which takes up to 2 s;
	// the work of a lost VM resumes once it has expired.
	DefaultLease = 4500 * time.Millisecond

	// MaxHold is the longest time that a poll is held before the response is sent.
	MaxHold = time.Second

	// idleInterval is the time between two decisions when nothing changes.
	idleInterval = 100 * time.Millisecond

	// pauseFactor is the pause after a decision, in multiples of the time that the decision took.
	// Under overload each end of a run wakes the leader, and decisions that find no free capacity
	// would leave it no time for polls.
	pauseFactor = 2

	// proposeTimeout bounds a proposal, so that a lost quorum does not stop the loop.
	proposeTimeout = 2 * time.Second

	// proposeRetryDelay is the delay before the next decision after one that could not be
	// committed.
	proposeRetryDelay = 50 * time.Millisecond
)

// WithLogger sets the logger. The default is the standard logger of logrus.
func WithLogger(log logrus.FieldLogger) Option { return func(o *Orchestrator) { o.log = log } }

// WithRegistry sets the registry of the counters and timers. The default is a new registry.
func WithRegistry(registry metrics.Registry) Option {
	return func(o *Orchestrator) { o.registry = registry }
}

// WithLease sets the duration of the leases. The default is DefaultLease.
func WithLease(lease time.Duration) Option { return func(o *Orchestrator) { o.lease = lease } }

// WithLookAhead makes large tasks hold claims on the VMs where they can start earliest. The default is off.
func WithLookAhead(on bool) Option { return func(o *Orchestrator) { o.ahead = on } }

// New returns an orchestrator that does not lead yet.
func New(options ...Option) *Orchestrator {
	o := &Orchestrator{
		log:      logrus.StandardLogger(),
		wake:     make(chan struct{}, 1),
		notifier: notifier.New(),
		lease:    DefaultLease, registry: metrics.NewRegistry(),
	}
	for _, option := range options {
		option(o)
	}
	o.vmTable = newVMTable(o.lease)
	o.lookAhead = o.ahead
	o.copiesEnabled = !o.withoutCopies
	if o.paceByUrgency {
		o.ranks = rankTable{}
	}
	return o
}

// SetReplica sets the replica that the orchestrator works for. It must be called once, before Run.
func (o *Orchestrator) SetReplica(replica Replica) {
	o.replica = replica
	replica.Read(func(machine *applier.Machine) {
		machine.Registrar().Notify(o.notifyChange)
		machine.Registrar().OnEnd(o.reportWorkflowEnd)
	})
}

// notifyChange notifies the waiting polls of a VM, if one is named, and wakes the decision loop. It
// is called while the state is locked.
func (o *Orchestrator) notifyChange(vm string) {
	if vm != "" {
		o.notifier.NotifyVM(vm)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// SetLeadership records that the replica starts or stops leading in a term.
func (o *Orchestrator) SetLeadership(term uint64, leads bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setLeadership(term, leads, now)
	o.leading.Store(leads)
	o.admission.reset(leads, jaygw.TimeOf(now))
	o.notifier.Restart(term)
	o.log.WithFields(logrus.Fields{"term": term, "leads": leads}).Info("scheduler: leadership changed")
}

// Run makes decisions and proposes them until the context ends.
func (o *Orchestrator) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-o.wake:
		}
		took := o.decideOnce(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(min(took*pauseFactor, idleInterval)):
		}
	}
}

// decideOnce makes one decision and proposes its commands in order. It returns how long the
// decision took, without the proposals.
func (o *Orchestrator) decideOnce(ctx context.Context, now time.Time) time.Duration {
	var commands []jaygw.Command
	from := origin{at: now}
	o.mu.Lock()
	if o.leads {
		o.replica.Read(func(machine *applier.Machine) {
			from.index = machine.State().Index
			out := outDomains(machine)
			commands = o.decide(machine.Registrar(), out, now, jaygw.TimeOf(now))
			o.refreshAdmission(machine.Registrar(), out, now)
		})
	}
	from.term = o.term
	claims := o.claims.takeChanges()
	o.mu.Unlock()
	took := time.Since(now)
	o.reportClaims(claims, from)
	ctx = jaygw.InTerm(ctx, from.term)
	for _, command := range commands {
		o.propose(ctx, command, from)
	}
	return took
}

func outDomains(machine *applier.Machine) map[string]bool {
	out := map[string]bool{}
	for name, domain := range machine.State().Domains {
		if domain.Out {
			out[name] = true
		}
	}
	return out
}

func (o *Orchestrator) propose(ctx context.Context, command jaygw.Command, from origin) {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	start := time.Now()
	result, err := o.replica.Propose(bounded, command)
	metrics.GetOrRegisterTimer("scheduler.commit.time", o.registry).UpdateSince(start)
	if err != nil {
		o.log.WithError(err).WithFields(from.fields()).WithFields(commandFields(command)).Warn("scheduler: a decision was not committed")
	}
	o.mu.Lock()
	o.recordOutcome(command, err)
	o.mu.Unlock()
	if result.Refusal != nil {
		o.log.WithError(result.Err()).WithFields(from.fields()).WithFields(commandFields(command)).Warn("scheduler: a decision was refused")
	}
	o.reportCommand(command, result, from)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(proposeRetryDelay):
		}
	}
}

// withRegistrar calls a function with the registrar while the VM table is locked.
func (o *Orchestrator) withRegistrar(fn func(*registrar.Registrar)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.replica.Read(func(machine *applier.Machine) { fn(machine.Registrar()) })
}
