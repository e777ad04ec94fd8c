package orchestrator

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
)

type (
	// vmTable holds the leader's knowledge of the VMs that is not part of the control state, and
	// makes the decisions based on both. It does no I/O and is not safe for concurrent use.
	vmTable struct {
		leads             bool
		term              uint64              // term of the latest change of leadership
		leaderSince       time.Time           // start of the leadership
		leaseDuration     time.Duration       // duration of the leases that responses grant
		vms               map[string]*vmState // by name
		siblings          siblings
		lastMoveCheck     time.Time // last check for runs that have to move
		lastEffectsRecord time.Time // last time that the estimates of effects were recorded
		begun             begunWorkflows

		restoredTerm uint64 // term in which the recorded estimates were loaded

		images *estimator.ImageEffects // effects of spare images on serving images
		speeds *estimator.Speeds       // relative speeds of the VMs
		// runTimes are the learned durations of runs. They outlast a leadership, as the runs do not change with it.
		runTimes *forecaster.Forecaster

		advice *adviceTable

		lookAhead bool // large tasks hold claims
		claims    claimTable

		ranks        rankTable // nil unless paces follow the urgency of workflows
		ranksChanged int       // ranks sent that were not counted yet

		copies        *copyTable
		copiesEnabled bool

		openPolls map[string]int       // polls that have not been answered, by VM
		opening   map[string]bool      // VMs whose session is being opened
		ending    map[string]int       // polls whose ends of runs are being committed, by VM
		latePolls map[string]latePolls // refused polls of superseded processes, by VM
	}

	// vmState is the leader's state of a VM: one whose agent has polled in this leadership, or one
	// that may hold a lease from an earlier leader.
	vmState struct {
		worker       *jaygw.PoolWorker // as of the latest poll; nil before the first
		session      uint64            // session number of the latest poll
		sequence     uint64            // sequence number of the latest poll
		lastPoll     time.Time
		lastResponse time.Time // last response, which granted its agent a lease
		lastSample   time.Time // last evaluation of the reported measurements
		// headroom is the share of the VM that spare runs get beyond the estimated free capacity.
		headroom  float64
		leaseEnd  time.Time                       // time after which its lease has certainly expired
		unhealthy string                          // why the worker is unhealthy; empty if it is healthy
		reported  map[jaygw.Run]jaygw.ReportedRun // runs in the latest poll
		spareLoad []estimator.ImageLoad           // load by spare runs among the reported runs
		stalled   map[jaygw.Run]time.Time         // start of the stall, by stalled spare run
		unplaced  bool                            // the latest poll reports a run that the state does not place on the VM
		expiring  bool                            // the end of the lease is proposed and not known to be committed
		expiries  int                             // commands of that end that are not known to be committed
		delivery  delivery
	}
)

const (
	// maxPollAge is the time since the last poll after which a VM gets no new runs. It is long
	// enough for a poll that is held for MaxHold and one lost call.
	maxPollAge = 2500 * time.Millisecond

	// maxResponseAge is the time since the last response after which a VM gets no new runs, because
	// its agent would not learn of them. It includes the time for which a poll is held.
	maxResponseAge = maxPollAge + MaxHold

	// permitValidity is how long after sending a poll an agent may carry out a start from the
	// response. It prevents starts in a failure domain that was taken out meanwhile.
	permitValidity = 2 * time.Second

	// sampleInterval is the time between two evaluations of a VM's measurements, which cover half a
	// second each. Shorter intervals would count the same measurement again, and cost the leader
	// more than all its decisions.
	sampleInterval = 400 * time.Millisecond

	// clockRateMargin is the time, in percent of the lease duration, that the leader waits beyond
	// the end of a lease. It allows for clocks that run at different rates.
	clockRateMargin = 5
)

// errExpiring is returned while the end of a VM's lease is being committed.
var errExpiring = errors.New("the end of the VM's lease is being committed")

func newVMTable(lease time.Duration) *vmTable {
	return &vmTable{
		vms: map[string]*vmState{}, siblings: siblings{}, leaseDuration: lease, images: estimator.NewImageEffects(), speeds: estimator.NewSpeeds(), runTimes: forecaster.New(),
		advice: newAdviceTable(), copies: newCopyTable(), copiesEnabled: true, openPolls: map[string]int{}, opening: map[string]bool{}, ending: map[string]int{}, latePolls: map[string]latePolls{},
	}
}

func (t *vmTable) setLeadership(term uint64, leads bool, now time.Time) {
	t.leads, t.term, t.leaderSince = leads, term, now
	t.vms, t.siblings, t.begun = map[string]*vmState{}, siblings{}, begunWorkflows{}
	clear(t.ranks)
	clear(t.copies.granted)
	t.claims = claimTable{changes: claimChanges{changed: t.lookAhead}}
	clear(t.latePolls)
}

// recordPoll records a poll and returns the command that commits the ends of runs that it reports,
// or nil.
func (t *vmTable) recordPoll(request jaygw.PollRequest, state *registrar.Registrar, now time.Time) (*jaygw.Command, error) {
	session := state.Session(request.VM)
	switch {
	case !t.leads:
		return nil, jaygw.ErrNotLeader
	case session == nil || session.Process != request.Process || session.Life != request.Worker.Incarnation:
		return nil, jaygw.ErrNotConfirmed
	}
	t.restoreEffects(state, now)
	vm := t.vms[request.VM]
	if vm != nil && vm.expiring {
		return nil, errExpiring
	}
	if vm == nil {
		vm = &vmState{leaseEnd: t.latestLeaseEnd(t.leaderSince)}
		t.vms[request.VM] = vm
	}
	if vm.session != session.Number {
		t.speeds.Forget(request.VM)
	}
	if vm.session != session.Number || request.Sequence > vm.sequence {
		if request.Worker.Draining && (vm.worker == nil || !vm.worker.Draining) {
			t.lastMoveCheck = time.Time{} // makes the next decide check for runs to move
		}
		if vm.session != session.Number {
			vm.delivery = delivery{received: request.Received}
		}
		vm.session, vm.sequence = session.Number, request.Sequence
		vm.worker, vm.unhealthy = request.Worker, request.Unhealthy
		reported := make(map[jaygw.Run]jaygw.ReportedRun, len(request.Runs))
		vm.delivery.starting = false
		for _, k := range request.Runs {
			earlier, known := vm.reported[k.Run]
			vm.delivery.taken = vm.delivery.taken || !known
			vm.delivery.starting = vm.delivery.starting || !k.HasBegun()
			k.Checkpoint = cmp.Or(k.Checkpoint, earlier.Checkpoint)
			reported[k.Run] = k
			t.begun.observe(k, state)
		}
		vm.unplaced = hasUnplaced(request, state)
		t.siblings.replace(request.VM, vm.reported, reported)
		vm.reported = reported
		vm.spareLoad = spareLoad(vm, state)
	}
	vm.lastPoll = now
	vm.delivery.recordPoll(request)
	vm.recordStalled(now)
	if now.Sub(vm.lastSample) >= sampleInterval {
		vm.lastSample = now
		t.observeEffects(request.VM, state, now)
		t.observeSpeed(request.VM, state, now, jaygw.TimeOf(now))
		vm.observeHeadroom(request.VM, state, jaygw.TimeOf(now))
	}
	if len(request.Ended) == 0 {
		return nil, nil
	}
	t.observeRunTimes(request, state, jaygw.TimeOf(now))
	return &jaygw.Command{EndRuns: &jaygw.EndRuns{VM: request.VM, Ended: request.Ended}}, nil
}

// hasUnplaced reports whether a poll reports a run, other than an ended one, that the state does not place on the
// VM. Its room may have been given to other runs.
func hasUnplaced(request jaygw.PollRequest, state *registrar.Registrar) bool {
	return slices.ContainsFunc(request.Runs, func(k jaygw.ReportedRun) bool {
		return state.FindPlacement(request.VM, k.Run) == nil &&
			!slices.ContainsFunc(request.Ended, func(e jaygw.EndedRun) bool { return e.Run == k.Run })
	})
}

// buildResponse builds the response from a state that a quorum has confirmed since the poll
// arrived.
func (t *vmTable) buildResponse(request jaygw.PollRequest, state *registrar.Registrar, arrived, now time.Time) (jaygw.PollResponse, error) {
	session := state.Session(request.VM)
	vm := t.vms[request.VM]
	switch {
	case !t.leads:
		return jaygw.PollResponse{}, jaygw.ErrNotLeader
	case vm == nil || session == nil || session.Process != request.Process || session.Life != request.Worker.Incarnation:
		return jaygw.PollResponse{}, jaygw.ErrNotConfirmed
	case vm.expiring:
		return jaygw.PollResponse{}, errExpiring
	}
	result := jaygw.PollResponse{Session: session.Number, Sequence: request.Sequence, Lease: t.leaseDuration}
	hasEnded := make(map[jaygw.Run]bool, len(request.Ended))
	for _, e := range request.Ended {
		result.Recorded, hasEnded[e.Run] = append(result.Recorded, e.Run), true
	}
	reported, traitsUnknown := make(map[jaygw.Run]bool, len(request.Runs)), map[jaygw.Run]bool{}
	for _, k := range request.Runs {
		reported[k.Run], traitsUnknown[k.Run] = true, k.TraitsUnknown
	}
	current := map[jaygw.Run]bool{}
	state.ForEachPlacement(request.VM, func(p *registrar.Placement) {
		run, ok := state.PlacedRun(p)
		if !ok || run.WorkflowEnded {
			return
		}
		current[p.Run] = true
		switch {
		case reported[p.Run]:
			if rank := t.rankOf(state, &run, jaygw.TimeOf(now)); traitsUnknown[p.Run] || !t.ranks.isSent(request.VM, p.Run, rank) {
				result.Traits = append(result.Traits, jaygw.RunWithTraits{Run: p.Run, Traits: traits(run.Step, rank)})
			}
		case now.Sub(arrived) < permitValidity && !state.IsDomainOut(session.Domain):
			order := jaygw.StartOrder{
				Run: p.Run, Payload: run.Payload, Checkpoint: run.Checkpoint, ValidFor: permitValidity, Ticket: p.Ticket,
				Traits: traits(run.Step, t.rankOf(state, &run, jaygw.TimeOf(now))),
			}
			if t.copies.isDoubled(&run) {
				order.Doubled, order.ValidFor = true, min(permitValidity, now.Sub(arrived)+copyValidity)
			}
			result.Starts = append(result.Starts, order)
		}
	})
	// A run that was granted and withdrawn before its agent received it is neither current nor
	// reported. The agent is requested to stop it, and reports its end.
	state.ForEachPlacement(request.VM, func(p *registrar.Placement) {
		if !current[p.Run] && !reported[p.Run] {
			result.Stops = append(result.Stops, p.Run)
		}
	})
	for _, k := range request.Runs {
		if !current[k.Run] {
			result.Stops = append(result.Stops, k.Run)
		}
		if !hasEnded[k.Run] && state.FindPlacement(request.VM, k.Run) == nil {
			result.Unplaced = append(result.Unplaced, k.Run)
		}
	}
	result.Effects = t.imageEffects(request.VM, state)
	result.Effects = result.Effects[:fitting(result.Effects, effectBytes, maxEffectBytes)]
	starts, unknown := len(result.Starts), len(result.Traits)
	result.Starts = boundStarts(result.Starts, func(run jaygw.Run) bool { step := stepSpec(state, run); return step != nil && step.Gang })
	result.Traits = result.Traits[:fitting(result.Traits, traitBytes, maxTraitBytes)]
	slices.SortFunc(result.Stops, registrar.CompareRuns)
	t.ranksChanged += t.ranks.record(&result, request.VM, vm.reported)
	vm.delivery.recordResponse(len(result.Starts) < starts || len(result.Traits) < unknown, t.leaseDuration, now)
	if vm.delivery.withheld {
		result.Lease = 0
		return result, nil
	}
	vm.lastResponse, vm.leaseEnd = now, later(vm.leaseEnd, t.latestLeaseEnd(now))
	return result, nil
}

func traits(step *jaygw.Step, rank int) jaygw.RunTraits {
	return jaygw.RunTraits{
		Image: step.Image, Spare: step.Spare, LatencyTarget: step.LatencyTarget, Lasting: step.Lasting, CPU: step.Size.CPU, Rank: rank,
	}
}

// latestLeaseEnd returns the time after which a lease that was granted at a time has certainly
// expired.
func (t *vmTable) latestLeaseEnd(granted time.Time) time.Time {
	return granted.Add(t.leaseDuration + t.leaseDuration*clockRateMargin/100)
}

// decide returns the commands that the state and the time require. The wall time is used for
// scheduled times and the ages of runs only.
func (t *vmTable) decide(state *registrar.Registrar, out map[string]bool, now time.Time, wall jaygw.Time) []jaygw.Command {
	if !t.leads {
		return nil
	}
	return append(t.decideRuns(state, out, now, wall), t.begun.commands(state, now)...)
}

// decideRuns returns the commands that concern runs.
func (t *vmTable) decideRuns(state *registrar.Registrar, out map[string]bool, now time.Time, wall jaygw.Time) []jaygw.Command {
	commands := t.expireLeases(state, now)
	if state.Catalog() == nil {
		return commands
	}
	commands = append(commands, t.recordEffects(now)...)
	if now.Sub(t.lastMoveCheck) >= moveInterval {
		t.lastMoveCheck = now
		if moves := t.runsToMove(state, now, wall); len(moves) > 0 {
			commands = append(commands, jaygw.Command{StopRuns: &jaygw.StopRuns{Stops: moves}})
		}
	}
	if withdrawn := t.withdrawnRuns(state, out); len(withdrawn) > 0 {
		commands = append(commands, jaygw.Command{StopRuns: &jaygw.StopRuns{Stops: withdrawn}})
	}
	copies := t.planCopies(state, now, wall)
	if len(copies.Candidates) == 0 && !allocator.HasWaitingTasks(state.Active(), wall) {
		t.claims.update(allocator.Decision{}, wall)
		return commands
	}
	view := allocator.View{
		Catalog: state.Catalog(), Workflows: state.Active(), VMs: t.usableVMs(state, out, now), Effect: t.images.Effect,
		Ticket: func(step jaygw.StepTask, worker jaygw.WorkerIncarnation) string {
			return t.advice.ticket(step, worker, now)
		},
		Estimate: t.estimate, LookAhead: t.lookAhead, Copies: copies,
	}
	t.advice.updatePending(view, now)
	decision := allocator.DecideWithClaims(view, wall)
	if t.lookAhead {
		t.claims.update(decision, wall)
	}
	t.copies.recordGrants(decision.Grants, state, now)
	if len(decision.Grants) > 0 {
		commands = append(commands, jaygw.Command{StartRuns: &jaygw.StartRuns{Grants: decision.Grants}})
	}
	return commands
}

// expireLeases returns the commands that end the runs of VMs whose lease has expired.
func (t *vmTable) expireLeases(state *registrar.Registrar, now time.Time) []jaygw.Command {
	var commands []jaygw.Command
	for name, vm := range t.vms {
		if vm.expiring && !state.HasPlacements(name) {
			vm.expiring = false // the end was committed, though the response was lost
		}
	}
	for _, name := range state.VMs() {
		vm := t.vms[name]
		if vm == nil {
			vm = &vmState{leaseEnd: t.latestLeaseEnd(t.leaderSince), lastPoll: t.leaderSince}
			t.vms[name] = vm
		}
		if !now.After(vm.leaseEnd) {
			continue
		}
		// The end may have been proposed before with an unknown outcome. A copy that is committed
		// later has no effect, because the runs have already been removed.
		vm.expiring = true
		var ended []jaygw.EndedRun
		state.ForEachPlacement(name, func(p *registrar.Placement) {
			ended = append(ended, jaygw.EndedRun{
				Run: p.Run, Outcome: jaygw.RunWorkerLost, Checkpoint: vm.reported[p.Run].Checkpoint, Reason: "the lease of the VM is over",
			})
		})
		slices.SortFunc(ended, func(a, b jaygw.EndedRun) int { return registrar.CompareRuns(a.Run, b.Run) })
		ends := boundEnds(name, ended)
		vm.expiries = len(ends)
		commands = append(commands, ends...)
	}
	return commands
}

// recordOutcome records the outcome of a command from decide. If it is unknown whether the end of a
// lease is committed, decide proposes it again, and the VM gets no lease until that is known.
func (t *vmTable) recordOutcome(command jaygw.Command, err error) {
	if command.EndRuns == nil || err != nil {
		return
	}
	if vm := t.vms[command.EndRuns.VM]; vm != nil {
		vm.expiries--
		vm.expiring = vm.expiring && vm.expiries > 0
	}
}
