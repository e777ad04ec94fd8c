// Package foreman runs the leader's part of workflows: it answers the agents'
// attendances, ends leases, and proposes what the allocator decides.
package foreman

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
	// Replica is the part of a control replica that the foreman needs.
	Replica interface {
		jaygw.Control
		// Read calls a function with the state machine between two commands.
		Read(func(*applier.Machine))
	}

	// Foreman serves one replica. It acts only while the replica leads.
	Foreman struct {
		replica Replica
		log     logrus.FieldLogger
		wake    chan struct{}
		notes   *notifier.Notes
		lease   time.Duration
		meters  metrics.Registry
		leading atomic.Bool

		mu sync.Mutex // guards the roster
		*roster
	}

	// Option changes a new Foreman.
	Option func(*Foreman)
)

const (
	// DefaultLease is how long a worker goes on after its agent has sent an
	// attendance that the leader answers. It outlives a change of the leader, which
	// takes up to 2 s; the work of a lost VM resumes after it.
	DefaultLease = 4500 * time.Millisecond

	// MaxHold is the longest time that an attendance is held.
	MaxHold = time.Second

	// idleTick is the time between two decisions when nothing changes.
	idleTick = 100 * time.Millisecond

	// restShare is the rest after a decision, in multiples of its time. Load pattern: under
	// overload each end of a run wakes the leader, and decisions that find no room would
	// leave it no time for attendances.
	restShare = 2

	// proposeTimeout bounds a proposal, so that a lost quorum does not stop the loop.
	proposeTimeout = 2 * time.Second

	// proposePause is the time before a decision is made again after one that could
	// not be committed.
	proposePause = 50 * time.Millisecond
)

// WithLogger sets the logger.
func WithLogger(log logrus.FieldLogger) Option { return func(f *Foreman) { f.log = log } }

// WithRegistry sets where the counters are kept.
func WithRegistry(registry metrics.Registry) Option { return func(f *Foreman) { f.meters = registry } }

// WithLease sets the length of the leases.
func WithLease(lease time.Duration) Option { return func(f *Foreman) { f.lease = lease } }

// New returns a foreman that does not lead yet.
func New(options ...Option) *Foreman {
	f := &Foreman{
		log:   logrus.StandardLogger(),
		wake:  make(chan struct{}, 1),
		notes: notifier.New(),
		lease: DefaultLease, meters: metrics.NewRegistry(),
	}
	for _, option := range options {
		option(f)
	}
	f.roster = newRoster(f.lease)
	return f
}

// Serve sets the replica that the foreman works for. It is called once, before Run.
func (f *Foreman) Serve(replica Replica) {
	f.replica = replica
	replica.Read(func(machine *applier.Machine) {
		machine.Registrar().Notify(f.changed)
		machine.Registrar().OnEnd(f.tell)
	})
}

// changed notes a change of the state. It is called while the state is locked.
func (f *Foreman) changed(vm string) {
	if vm != "" {
		f.notes.VM(vm)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Lead starts or ends a leadership.
func (f *Foreman) Lead(term uint64, leads bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lead(term, leads, now)
	f.leading.Store(leads)
	f.notes.Restart(term)
	f.log.WithFields(logrus.Fields{"term": term, "leads": leads}).Info("scheduler: leadership changed")
}

// Run decides until the context ends.
func (f *Foreman) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-f.wake:
		}
		took := f.step(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-time.After(min(took*restShare, idleTick)):
		}
	}
}

// step proposes what is to be decided, in order. It returns how long the decision took.
func (f *Foreman) step(ctx context.Context, now time.Time) time.Duration {
	var commands []jaygw.Command
	f.mu.Lock()
	if f.leads {
		f.replica.Read(func(machine *applier.Machine) {
			commands = f.decide(machine.Registrar(), outDomains(machine), now, jaygw.TimeOf(now))
		})
	}
	term := f.term
	f.mu.Unlock()
	took := time.Since(now)
	ctx = jaygw.InTerm(ctx, term)
	for _, command := range commands {
		f.propose(ctx, command, now)
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

func (f *Foreman) propose(ctx context.Context, command jaygw.Command, now time.Time) {
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	begun := time.Now()
	result, err := f.replica.Propose(bounded, command)
	metrics.GetOrRegisterTimer("scheduler.commit.time", f.meters).UpdateSince(begun)
	if err != nil {
		f.log.WithError(err).Warn("scheduler: a decision was not committed")
	}
	f.mu.Lock()
	f.settled(command, err)
	f.mu.Unlock()
	f.explain(command, result, now)
	if err != nil {
		select {
		case <-ctx.Done():
		case <-time.After(proposePause):
		}
	}
}

// read calls a function with the registrar while the roster is locked.
func (f *Foreman) read(read func(*registrar.Registrar)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replica.Read(func(machine *applier.Machine) { read(machine.Registrar()) })
}
