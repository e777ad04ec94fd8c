package orchestrator

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/sirupsen/logrus"
)

type (
	// StateLimits bounds what callers' requests take in the memory of a control replica. Zero values set no bound.
	StateLimits struct {
		// State bounds the workflows and the cancels of unknown ones.
		State int64
		// Log is what the log may take between two snapshots.
		Log int64
	}

	// stateLimiter refuses requests that the state or the log has no room for, before they are proposed.
	stateLimiter struct {
		limits StateLimits

		mu       sync.Mutex
		reserved int64 // by requests that have been proposed and may not be applied yet
		logged   time.Time
		refused  int // requests without a log line since then
	}

	// stateRequest is a request that may add to the state.
	stateRequest struct {
		id, host, path string
		bytes          int64
		submit         *jaygw.SubmitWorkflow // nil for a cancel
	}

	// memoryReporter is a replica that knows the size of its log in memory, and the smallest memory for the state of all members.
	memoryReporter interface {
		LogBytes() int64
		StateBytes() int64
	}
)

const (
	// largeRequest is the size from which a request must leave a quarter of each bound to others, unless it finds the state
	// nearly empty: it may then be the largest request that is valid.
	largeRequest = 16 << 10
	nearlyEmpty  = 8

	// logFactor is how many times its share the log may take while a snapshot is written: the entries that are retained,
	// those that the snapshot covers and those that follow.
	logFactor = 3

	// proposedShare is the part of the log's share that requests may take which have not been applied yet. Each is held in
	// several encodings.
	proposedShare = 4

	// undecidedHold is how long a request with an unknown outcome keeps its reservation: it may still be applied.
	undecidedHold = 5 * time.Second

	// fullStateRetry and fullLogRetry are the times after which a refused request should be sent again.
	fullStateRetry = 5 * time.Second
	fullLogRetry   = time.Second

	// refusalLogInterval is the least time between two log lines.
	refusalLogInterval = 10 * time.Second

	// The reasons of refusals.
	stateIsFull    = "the control state holds as much as its memory allows"
	logIsFull      = "the log holds as much as its memory allows"
	proposedIsFull = "too many requests wait to be committed"
)

// WithStateLimits bounds what callers' requests take in memory. The default is no bound.
func WithStateLimits(limits StateLimits) Option {
	return func(o *Orchestrator) { o.limiter.limits = limits }
}

// Reserve decides whether the state and the log have room for a command, and reserves it. It returns a refusal if they have
// not: the command has not been proposed, and its workflow is not in a state that a quorum has confirmed since the call
// began. Otherwise release must be called with the outcome of the proposal. The content of a resend, which is
// acknowledged by its id, is dropped.
func (o *Orchestrator) Reserve(ctx context.Context, command *jaygw.Command, now time.Time) (release func(err error), refusal *jaygw.Refusal) {
	nothingReserved := func(error) {}
	request, ok := newStateRequest(command)
	if !ok || o.limiter.limits == (StateLimits{}) || !o.leading.Load() {
		return nothingReserved, nil
	}
	used, isNew, staysKnown := o.stateUsed(request, now)
	if staysKnown {
		request.dropContent()
	}
	if !isNew {
		return nothingReserved, nil
	}
	logBytes, limits := o.memory()
	reason := o.limiter.reserve(request.bytes, used, logBytes, limits)
	if reason == "" {
		return func(err error) { o.limiter.release(request.bytes, err) }, nil
	}
	if _, err := o.replica.Confirm(ctx); err != nil {
		o.log.WithError(err).WithField("workflow", request.id).Warn("scheduler: state not confirmed, request not refused")
		return nothingReserved, nil
	}
	if _, isNew, _ := o.stateUsed(request, now); !isNew || !o.leading.Load() {
		return nothingReserved, nil
	}
	o.reportFull(request, reason, used, now)
	refusal = jaygw.Refuse(jaygw.RefusedTableFull, "%s", reason).Refusal
	refusal.RetryAfter = fullLogRetry
	if reason == stateIsFull {
		refusal.RetryAfter = fullStateRetry
	}
	return nothingReserved, refusal
}

// newStateRequest returns the request of a command. It reports false for a command that adds nothing to the state, also
// because it is invalid.
func newStateRequest(command *jaygw.Command) (stateRequest, bool) {
	switch {
	case command.SubmitWorkflow != nil:
		s := command.SubmitWorkflow
		if len(s.Spec.Check(jaygw.MaxWorkflowTasks)) > 0 {
			return stateRequest{}, false
		}
		return stateRequest{id: s.Spec.ID, host: s.Host, path: s.Path, bytes: s.Spec.StateBytes(), submit: s}, true
	case command.CancelWorkflow != nil:
		c := command.CancelWorkflow
		return stateRequest{id: c.Path, host: c.Host, path: c.Path, bytes: registrar.CancelBytes(c.Host, c.Path)}, true
	default:
		return stateRequest{}, false
	}
}

// dropContent drops what a resend does not need to be acknowledged.
func (r *stateRequest) dropContent() {
	if r.submit != nil {
		r.submit.Spec = jaygw.WorkflowSpec{ID: r.submit.Spec.ID}
	}
}

// stateUsed returns the memory that the state takes, whether the request would add to it, and whether its workflow is known and stays
// so until the request has been applied.
func (o *Orchestrator) stateUsed(request stateRequest, now time.Time) (used int64, isNew, staysKnown bool) {
	o.replica.Read(func(machine *applier.Machine) {
		state := machine.Registrar()
		used, isNew = state.Bytes(jaygw.TimeOf(now)), !state.IsKnown(request.host, request.path)
		if request.submit != nil {
			isNew = isNew && state.Workflow(request.id) == nil // the id may be that of a workflow in another queue
		}
		staysKnown = state.StaysKnown(request.host, request.path, jaygw.TimeOf(now))
	})
	return used, isNew, staysKnown
}

// memory returns the size of the log in memory, and the limits, which also hold for the member with the least memory.
func (o *Orchestrator) memory() (logBytes int64, limits StateLimits) {
	limits = o.limiter.limits
	if replica, ok := o.replica.(memoryReporter); ok {
		logBytes = replica.LogBytes()
		limits.State = min(orUnbounded(limits.State), orUnbounded(replica.StateBytes()))
	}
	return logBytes, limits
}

// reserve reserves the bytes of a request, or returns why there is no room for it.
func (l *stateLimiter) reserve(bytes, used, logBytes int64, limits StateLimits) (reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, log, proposed := orUnbounded(limits.State), orUnbounded(limits.Log), orUnbounded(limits.Log/proposedShare)
	if limits.Log > 0 {
		log *= logFactor
	}
	if bytes >= largeRequest {
		if used+l.reserved > state/nearlyEmpty {
			state = state / 4 * 3
		}
		log, proposed = log/4*3, proposed/4*3
	}
	switch {
	case used+l.reserved+bytes > state:
		return stateIsFull
	case logBytes+l.reserved+bytes > log:
		return logIsFull
	case l.reserved > 0 && l.reserved+bytes > proposed:
		return proposedIsFull
	}
	l.reserved += bytes
	return ""
}

// orUnbounded returns a bound, or the largest one if there is none.
func orUnbounded(bound int64) int64 {
	if bound > 0 {
		return bound
	}
	return math.MaxInt64
}

// release returns what a request has reserved, once its outcome is known.
func (l *stateLimiter) release(bytes int64, err error) {
	giveBack := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.reserved -= bytes
	}
	if errors.Is(err, jaygw.ErrOutcomeUnknown) {
		time.AfterFunc(undecidedHold, giveBack)
		return
	}
	giveBack()
}

// reportFull counts a refusal and logs it, at most once in refusalLogInterval.
func (o *Orchestrator) reportFull(request stateRequest, reason string, used int64, now time.Time) {
	o.incrementCounter("clients.refused-state")
	l := &o.limiter
	logBytes, limits := o.memory()
	l.mu.Lock()
	l.refused++
	refused, reserved, isDue := l.refused, l.reserved, now.Sub(l.logged) >= refusalLogInterval
	if isDue {
		l.logged, l.refused = now, 0
	}
	l.mu.Unlock()
	if isDue {
		o.log.WithFields(logrus.Fields{
			"workflow": request.id, "reason": reason, "request": request.bytes, "used": used, "reserved": reserved,
			"limit": limits.State, "log": logBytes, "count": refused,
		}).Warn("scheduler: request refused, no room for it")
	}
}
