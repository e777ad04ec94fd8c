package orchestrator

import (
	"context"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/sirupsen/logrus"
)

// latePolls counts the refused polls of a process that a later one has superseded.
type latePolls struct {
	session  uint64 // number of the session of the later process
	process  uint64
	sequence uint64 // highest sequence number of a refused poll
	count    int    // refused polls, each with a higher sequence number than the one before
}

// maxLatePolls is the number of polls of a superseded process that are refused as late. More polls show
// that the process lives: an agent waits for two responses at most, and copies have equal numbers.
const maxLatePolls = 8

// openSession opens the session that a poll requires. Only one session of a VM is opened at a time, and
// only in the term of the decision, so that the order of the sessions is that of the decisions.
func (o *Orchestrator) openSession(ctx context.Context, request jaygw.PollRequest) error {
	var command *jaygw.Command
	var err error
	var previous registrar.Session
	runs := 0
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
		if o.opening[request.VM] {
			err = jaygw.ErrNotConfirmed
			return
		}
		o.opening[request.VM] = true
	})
	fields := logrus.Fields{
		"vm": request.VM, "process": request.Process, "sequence": request.Sequence, "previous-session": previous.Number,
		"previous-process": previous.Process, "previous-worker": previous.Life.Name, "previous-born": int64(previous.Life.StartTime), "runs": runs,
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
	fields["session"] = result.Index
	o.log.WithFields(fields).Info("scheduler: session opened")
	return result.Err()
}

// sessionCommand returns the command that opens a session for a new agent process or a new
// incarnation of its worker, or nil if the session is current. A late poll of an earlier process or
// incarnation is refused: its session would end the runs of the later one while they run.
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
	case session.Process == request.Process && session.Life == request.Worker.Incarnation:
		return nil, nil
	case t.isClearing(request, session):
		if state.HasPlacements(request.VM) || request.Sequence < session.Sequence {
			return nil, nil
		}
		delete(t.clearing, request.VM)
	case session.Process == request.Process && request.Sequence < session.Sequence,
		isEarlier(request, session) && t.isLate(request, session):
		return nil, jaygw.ErrNotConfirmed
	}
	open := &jaygw.OpenSession{
		VM: request.VM, Process: request.Process, Incarnation: request.Worker.Incarnation, Domain: request.Worker.Domain,
		Sequence: request.Sequence,
	}
	if session != nil && session.Process != request.Process && isRestart(session.Life, open.Incarnation) && state.HasPlacements(request.VM) {
		t.clearing[request.VM] = request.Process
		open.Incarnation = session.Life
	}
	return &jaygw.Command{OpenSession: open}, nil
}

// isRestart reports whether two incarnations are different ones of one name.
func isRestart(a, b jaygw.WorkerIncarnation) bool { return a.Name == b.Name && a != b }

// isClearing reports whether a session is still that of the worker's earlier incarnation, because both the
// agent process and the worker have started again. A start of the earlier process may have reached the later
// incarnation, so all runs are stopped there before a session for it frees them. A new leader cannot know
// whether a process has reported the earlier incarnation, and had its runs stopped when it ended.
func (t *vmTable) isClearing(request jaygw.PollRequest, session *registrar.Session) bool {
	if session.Process != request.Process || !isRestart(session.Life, request.Worker.Incarnation) {
		return false
	}
	vm := t.vms[request.VM]
	return t.clearing[request.VM] == request.Process ||
		vm == nil || vm.session != session.Number || vm.worker.Incarnation != session.Life
}

// isCurrent reports whether a poll is of the process and the incarnation of a session, or of a process that
// stops the runs of the earlier incarnation.
func (t *vmTable) isCurrent(request jaygw.PollRequest, session *registrar.Session) bool {
	return session != nil && session.Process == request.Process &&
		(session.Life == request.Worker.Incarnation || t.isClearing(request, session))
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

// isEarlier reports whether a poll is of a process that another one has superseded, or of a process that may
// have ended before it had a session: its worker started before that of the session. The latter is not
// certain, since the clock of a VM may be set back.
func isEarlier(request jaygw.PollRequest, session *registrar.Session) bool {
	life := request.Worker.Incarnation
	return slices.Contains(session.Superseded, request.Process) ||
		request.Process != session.Process && life.Name == session.Life.Name && life.StartTime < session.Life.StartTime
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
