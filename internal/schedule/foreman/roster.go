package foreman

import (
	"errors"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
)

type (
	// roster is what the leader knows of the VMs beside the control state, and the
	// decisions from both. It does no I/O and is not safe for concurrent use.
	roster struct {
		leads bool
		term  uint64
		since time.Time // start of the leadership
		terms time.Duration
		vms   map[string]*attendant
		steps siblings
		moved time.Time // last look for runs to move
		kept  time.Time // last time that estimates were recorded

		recalled uint64 // term in which the recorded estimates were taken

		images *estimator.Images
		speeds *estimator.Speeds

		tickets *tickets
	}

	// attendant is a VM whose agent has attended in this leadership.
	attendant struct {
		worker    *jaygw.PoolWorker
		session   uint64
		sequence  uint64 // of the latest attendance
		heard     time.Time
		answered  time.Time // last response; its agent holds a lease
		learned   time.Time // last look at its figures
		room      float64   // share of the VM that spare runs get beyond the estimate
		leaseEnd  time.Time
		unhealthy string
		known     map[jaygw.Run]jaygw.KnownRun
		beside    []estimator.Pressing    // spare work among the known runs
		still     map[jaygw.Run]time.Time // spare runs that hardly work, since when
		expiring  bool                    // the end of the lease is proposed
	}
)

const (
	// silenceLimit is the time without an attendance after which a VM gets no new
	// runs. It covers a hold and a lost call.
	silenceLimit = 2500 * time.Millisecond

	// answerLimit is the time without a response after which a VM gets no new runs: it
	// hears of none. It covers the hold of an attendance as well.
	answerLimit = silenceLimit + MaxHold

	// permitValidity is how long an agent may carry out a start after it has sent the
	// attendance. It keeps starts out of a domain that was taken out meanwhile.
	permitValidity = 2 * time.Second

	// learnInterval is the time between two looks at a VM's figures, which cover half a
	// second: more looks would count the same figure again, and cost the leader more
	// than all its decisions.
	learnInterval = 400 * time.Millisecond

	// rateMargin is the share, in percent, by which the leader waits longer than the
	// lease, for clocks that run at different rates.
	rateMargin = 5
)

// errExpiring is returned while the end of a VM's lease is being committed.
var errExpiring = errors.New("the end of the VM's lease is being committed")

func newRoster(lease time.Duration) *roster {
	return &roster{
		vms: map[string]*attendant{}, steps: siblings{}, terms: lease, images: estimator.NewImages(), speeds: estimator.NewSpeeds(),
		tickets: newTickets(),
	}
}

func (r *roster) lead(term uint64, leads bool, now time.Time) {
	r.leads, r.term, r.since = leads, term, now
	r.vms, r.steps = map[string]*attendant{}, siblings{}
}

// opening returns the command that a new agent process or a new life of its worker
// calls for, or nil.
func (r *roster) opening(a jaygw.Attendance, state *registrar.Registrar) (*jaygw.Command, error) {
	if !r.leads {
		return nil, jaygw.ErrNotLeader
	}
	if a.Worker == nil {
		return nil, jaygw.ErrInvalidMessage
	}
	session := state.Session(a.VM)
	if session != nil && session.Process == a.Process && session.Life == a.Worker.Life {
		return nil, nil
	}
	return &jaygw.Command{OpenSession: &jaygw.OpenSession{
		VM: a.VM, Process: a.Process, Life: a.Worker.Life, Domain: a.Worker.Domain,
	}}, nil
}

// arrived notes an attendance and returns the command that commits its ends, or nil.
func (r *roster) arrived(a jaygw.Attendance, state *registrar.Registrar, now time.Time) (*jaygw.Command, error) {
	session := state.Session(a.VM)
	switch {
	case !r.leads:
		return nil, jaygw.ErrNotLeader
	case session == nil || session.Process != a.Process || session.Life != a.Worker.Life:
		return nil, jaygw.ErrNotCurrent
	}
	r.recall(state, now)
	vm := r.vms[a.VM]
	if vm != nil && vm.expiring {
		return nil, errExpiring
	}
	if vm == nil {
		vm = &attendant{leaseEnd: r.bound(r.since)}
		r.vms[a.VM] = vm
	}
	if vm.session != session.Number {
		r.speeds.Forget(a.VM)
	}
	if vm.session != session.Number || a.Sequence > vm.sequence {
		if a.Worker.Draining && (vm.worker == nil || !vm.worker.Draining) {
			r.moved = time.Time{} // its runs move at once
		}
		vm.session, vm.sequence = session.Number, a.Sequence
		vm.worker, vm.unhealthy = a.Worker, a.Unhealthy
		known := make(map[jaygw.Run]jaygw.KnownRun, len(a.Known))
		for _, k := range a.Known {
			known[k.Run] = k
		}
		r.steps.replace(a.VM, vm.known, known)
		vm.known = known
		vm.beside = pressing(vm, state)
	}
	vm.heard = now
	vm.noteStill(now)
	if now.Sub(vm.learned) >= learnInterval {
		vm.learned = now
		r.learn(a.VM, state, now)
		r.observeSpeed(a.VM, state, now, jaygw.TimeOf(now))
		vm.observeRoom(a.VM, state, jaygw.TimeOf(now))
	}
	if len(a.Ended) == 0 {
		return nil, nil
	}
	return &jaygw.Command{EndRuns: &jaygw.EndRuns{VM: a.VM, Ended: a.Ended}}, nil
}

// answer builds the response from a state that a quorum has confirmed since the
// attendance arrived.
func (r *roster) answer(a jaygw.Attendance, state *registrar.Registrar, arrived, now time.Time) (jaygw.AttendanceResult, error) {
	session := state.Session(a.VM)
	vm := r.vms[a.VM]
	switch {
	case !r.leads:
		return jaygw.AttendanceResult{}, jaygw.ErrNotLeader
	case vm == nil || session == nil || session.Process != a.Process || session.Life != a.Worker.Life:
		return jaygw.AttendanceResult{}, jaygw.ErrNotCurrent
	case vm.expiring:
		return jaygw.AttendanceResult{}, errExpiring
	}
	result := jaygw.AttendanceResult{Session: session.Number, Sequence: a.Sequence, Lease: r.terms}
	for _, e := range a.Ended {
		result.Recorded = append(result.Recorded, e.Run)
	}
	known, bare := make(map[jaygw.Run]bool, len(a.Known)), map[jaygw.Run]bool{}
	for _, k := range a.Known {
		known[k.Run], bare[k.Run] = true, k.Bare
	}
	inForce := map[jaygw.Run]bool{}
	state.PlacedOn(a.VM, func(p *registrar.Placed) {
		run, ok := state.PlacedRun(p)
		if !ok || run.Over {
			return
		}
		inForce[p.Run] = true
		switch {
		case known[p.Run]:
			if bare[p.Run] {
				result.Traits = append(result.Traits, jaygw.TraitsOf{Run: p.Run, Traits: traits(run.Step)})
			}
		case now.Sub(arrived) < permitValidity:
			result.Starts = append(result.Starts, jaygw.StartOrder{
				Run: p.Run, Payload: run.Payload, Checkpoint: run.Checkpoint, Valid: permitValidity, Ticket: p.Ticket, Traits: traits(run.Step),
			})
		}
	})
	// A run that was granted and given up before its agent has heard of it is in
	// nobody's list: the agent is told to stop it, and reports its end.
	state.PlacedOn(a.VM, func(p *registrar.Placed) {
		if !inForce[p.Run] && !known[p.Run] {
			result.Stops = append(result.Stops, p.Run)
		}
	})
	for _, k := range a.Known {
		if !inForce[k.Run] {
			result.Stops = append(result.Stops, k.Run)
		}
	}
	result.Effects = r.effects(a.VM, state)
	slices.SortFunc(result.Starts, func(x, y jaygw.StartOrder) int { return registrar.CompareRuns(x.Run, y.Run) })
	slices.SortFunc(result.Stops, registrar.CompareRuns)
	vm.answered, vm.leaseEnd = now, later(vm.leaseEnd, r.bound(now))
	return result, nil
}

func traits(step *jaygw.Step) jaygw.RunTraits {
	return jaygw.RunTraits{Image: step.Image, Spare: step.Spare, Target: step.LatencyTarget, Lasting: step.Lasting, CPU: step.Size.CPU}
}

// bound returns when a lease that is granted at a time is certainly over.
func (r *roster) bound(granted time.Time) time.Time {
	return granted.Add(r.terms + r.terms*rateMargin/100)
}

// decide returns the commands that the state and the time call for. The wall time
// decides about due times only.
func (r *roster) decide(state *registrar.Registrar, out map[string]bool, now time.Time, wall jaygw.Time) []jaygw.Command {
	if !r.leads {
		return nil
	}
	commands := r.expire(state, now)
	if state.Catalog() == nil {
		return commands
	}
	commands = append(commands, r.keep(now)...)
	if now.Sub(r.moved) >= moveInterval {
		r.moved = now
		if moves := r.moves(state, now, wall); len(moves) > 0 {
			commands = append(commands, jaygw.Command{StopRuns: &jaygw.StopRuns{Stops: moves}})
		}
	}
	if !allocator.Waits(state.Active(), wall) {
		return commands
	}
	view := allocator.View{
		Catalog: state.Catalog(), Workflows: state.Active(), VMs: r.usable(state, out, now), Effect: r.images.Effect,
		Ticket: func(step jaygw.StepTask, worker string) string { return r.tickets.of(step, worker, now) },
	}
	r.tickets.want(view, now)
	if grants := allocator.Decide(view, wall); len(grants) > 0 {
		commands = append(commands, jaygw.Command{StartRuns: &jaygw.StartRuns{Grants: grants}})
	}
	return commands
}

// expire returns the commands that end the runs of VMs whose lease is over.
func (r *roster) expire(state *registrar.Registrar, now time.Time) []jaygw.Command {
	var commands []jaygw.Command
	for name, vm := range r.vms {
		if vm.expiring && !state.Holds(name) {
			vm.expiring = false // committed, though the answer was lost
		}
	}
	for _, name := range state.VMs() {
		vm := r.vms[name]
		if vm == nil {
			vm = &attendant{leaseEnd: r.bound(r.since), heard: r.since}
			r.vms[name] = vm
		}
		if !now.After(vm.leaseEnd) {
			continue
		}
		// The end may have been proposed before with an unknown outcome; a copy that is
		// committed late finds the runs gone.
		vm.expiring = true
		var ended []jaygw.EndedRun
		state.PlacedOn(name, func(p *registrar.Placed) {
			ended = append(ended, jaygw.EndedRun{
				Run: p.Run, How: jaygw.RunGone, Checkpoint: vm.known[p.Run].Checkpoint, Reason: "the lease of the VM is over",
			})
		})
		slices.SortFunc(ended, func(a, b jaygw.EndedRun) int { return registrar.CompareRuns(a.Run, b.Run) })
		commands = append(commands, jaygw.Command{EndRuns: &jaygw.EndRuns{VM: name, Ended: ended}})
	}
	return commands
}

// settled takes the outcome of a command from decide. An end of a lease whose outcome
// is not known stays proposed: the VM gets no lease until it is.
func (r *roster) settled(command jaygw.Command, err error) {
	if command.EndRuns == nil || err != nil {
		return
	}
	if vm := r.vms[command.EndRuns.VM]; vm != nil {
		vm.expiring = false
	}
}

// usable returns the VMs that may take runs.
func (r *roster) usable(state *registrar.Registrar, out map[string]bool, now time.Time) []allocator.VM {
	var vms []allocator.VM
	for name, vm := range r.vms {
		session := state.Session(name)
		if vm.worker == nil || vm.expiring || session == nil || session.Number != vm.session ||
			vm.worker.Draining || out[vm.worker.Domain] || vm.unhealthy != "" || now.Sub(vm.heard) > silenceLimit ||
			now.Sub(vm.answered) > answerLimit ||
			r.speeds.Speed(name, now) < slowSpeed {
			continue
		}
		usable := allocator.VM{Name: name, Session: vm.session, Worker: vm.worker, Room: vm.room}
		state.PlacedOn(name, func(p *registrar.Placed) {
			if run, ok := state.PlacedRun(p); ok {
				known, reported := vm.known[p.Run]
				run.Paced, run.Tail, run.Reported = known.Paced, known.Tail, reported
				usable.Runs = append(usable.Runs, run)
			}
		})
		vms = append(vms, usable)
	}
	slices.SortFunc(vms, func(a, b allocator.VM) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return vms
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
