package orchestrator

import (
	"context"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/sirupsen/logrus"
)

// latePolls counts the refused polls of a process that may be an earlier one.
type latePolls struct {
	session  uint64 // number of the session of the later process
	process  uint64
	sequence uint64 // highest sequence number of a refused poll
	count    int    // refused polls, each with a higher sequence number than the one before
}

// maxLatePolls is the number of polls that are refused as late of a process that may be an earlier one.
// More polls show that the process lives: an agent waits for two responses at most, and copies have equal
// numbers.
const maxLatePolls = 8

// openSession opens the session that a poll requires. Only one session of a VM is opened at a time, and
// only in the term of the decision, so that the order of the sessions is that of the decisions.
func (o *Orchestrator) openSession(ctx context.Context, request jaygw.PollRequest) error {
	var command *jaygw.Command
	var err error
	var previous registrar.Session
	runs, ending := 0, 0
	o.withRegistrar(func(state *registrar.Registrar) {
		ctx = jaygw.InTerm(ctx, o.term)
		command, err = o.sessionCommand(request, state)
		if session := state.Session(request.VM); session != nil {
			previous = *session
		}
		state.ForEachPlacement(request.VM, func(*registrar.Placement) { runs++ })
		if command == nil {
			return
		}
		ending = o.ending[request.VM]
		err = o.beginSession(request.VM)
	})
	fields := logrus.Fields{
		"vm": request.VM, "process": request.Process, "sequence": request.Sequence, "previous-session": previous.Number,
		"previous-process": previous.Process, "previous-worker": previous.Life.Name, "previous-born": int64(previous.Life.StartTime), "runs": runs,
		"runs-unknown": request.RunsUnknown, "ending": ending,
	}
	if request.Worker != nil {
		fields["worker"], fields["born"] = request.Worker.Incarnation.Name, int64(request.Worker.Incarnation.StartTime)
	}
	if err != nil && previous.Number > 0 && o.leading.Load() {
		o.log.WithFields(fields).Info("scheduler: session refused")
	}
	if command == nil || err != nil {
		return err
	}
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.opening, request.VM)
	}()
	if ends := endsBeforeSession(request); ends != nil {
		result, err := o.replica.Propose(ctx, *ends)
		if err != nil {
			return err
		}
		o.reportEnds(request, result)
	}
	result, err := o.replica.Propose(ctx, *command)
	if err != nil {
		return err
	}
	if previous.Process == request.Process && previous.Life == request.Worker.Incarnation {
		o.log.WithFields(fields).WithFields(logrus.Fields{
			"size": request.Worker.Size, "labels": request.Worker.Labels, "service": request.Worker.Service, "domain": request.Worker.Domain,
		}).Info("scheduler: profile of a worker changed")
		return result.Err()
	}
	fields["session"] = result.Index
	o.log.WithFields(fields).Info("scheduler: session opened")
	return result.Err()
}

// sessionCommand returns the command that opens a session for a new agent process or a new
// incarnation of its worker, or that records a changed profile or failure domain of the worker. It returns
// nil if the session is current. A late poll of an earlier process or incarnation is refused: its session
// would end the runs of the later one while they run.
func (t *vmTable) sessionCommand(request jaygw.PollRequest, state *registrar.Registrar) (*jaygw.Command, error) {
	if !t.leads {
		return nil, jaygw.ErrNotLeader
	}
	if request.Worker == nil {
		return nil, jaygw.ErrInvalidMessage
	}
	session := state.Session(request.VM)
	switch {
	case session == nil:
	case session.Process == request.Process && session.Life == request.Worker.Incarnation &&
		session.Profile.Equal(request.Worker.Profile()) && session.Domain == request.Worker.Domain:
		return nil, nil
	case session.Process == request.Process && request.Sequence < session.Sequence,
		mayBeEarlier(request, session) && t.isLate(request, session):
		return nil, jaygw.ErrNotConfirmed
	}
	return &jaygw.Command{OpenSession: &jaygw.OpenSession{
		VM: request.VM, Process: request.Process, Incarnation: request.Worker.Incarnation, Domain: request.Worker.Domain,
		Profile: request.Worker.Profile(), Sequence: request.Sequence, RunsUnknown: request.RunsUnknown,
	}}, nil
}

// beginSession marks the session of a VM as being opened. It refuses a second one, and one while the ends of a
// poll are being committed: these would take effect after the new session may have started the runs.
func (t *vmTable) beginSession(vm string) error {
	if t.opening[vm] || t.ending[vm] > 0 {
		return jaygw.ErrNotConfirmed
	}
	t.opening[vm] = true
	return nil
}

// beginEnds marks the ends of a poll as being committed, and refuses them while a session of the VM is opened.
func (t *vmTable) beginEnds(vm string) error {
	if t.opening[vm] {
		return jaygw.ErrNotConfirmed
	}
	t.ending[vm]++
	return nil
}

// finishEnds is called once the ends of a poll are in the log, or never will be.
func (t *vmTable) finishEnds(vm string) {
	if t.ending[vm]--; t.ending[vm] <= 0 {
		delete(t.ending, vm)
	}
}

// endsBeforeSession returns the command that commits the ends that a poll reports before the poll opens
// a session, or nil. The session ends the other runs of an earlier incarnation: a run that is done would
// be granted again before its end is committed.
func endsBeforeSession(request jaygw.PollRequest) *jaygw.Command {
	if len(request.Ended) == 0 {
		return nil
	}
	return &jaygw.Command{EndRuns: &jaygw.EndRuns{VM: request.VM, Ended: request.Ended}}
}

// mayBeEarlier reports whether a poll may be that of an earlier process. One that has had no session is
// known by its worker, unless the VM's clock was set back.
func mayBeEarlier(request jaygw.PollRequest, session *registrar.Session) bool {
	return slices.Contains(session.Superseded, request.Process) ||
		session.Process != request.Process && request.Worker.Incarnation.StartTime < session.Life.StartTime
}

// isLate reports whether a poll of an earlier process may have been sent before its session was
// superseded.
func (t *vmTable) isLate(request jaygw.PollRequest, session *registrar.Session) bool {
	late := t.latePolls[request.VM]
	if late.session != session.Number || late.process != request.Process {
		late = latePolls{session: session.Number, process: request.Process}
	}
	if request.Sequence <= late.sequence {
		return true
	}
	late.sequence = request.Sequence
	late.count++
	t.latePolls[request.VM] = late
	return late.count <= maxLatePolls
}
