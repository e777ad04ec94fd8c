package dispatcher

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/distributor"
	"github.com/jaygw/jaygw/internal/schedule/lessor"
	"github.com/jaygw/jaygw/internal/schedule/notifier"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
)

type (
	// decider makes the leader's scheduling decisions from the replicated control state and
	// from data that only the leader has, such as the leases of the VMs. It does no I/O and
	// is not safe for concurrent use.
	decider struct {
		isLeader          bool
		term              uint64 // term of the latest change of leadership
		clientID          string // client name of the ExpireVM commands of this leadership
		sequence          uint64 // sequence number of the latest ExpireVM command
		lessor            *lessor.Lessor
		scheduler         *scheduler.Scheduler
		expiries          map[string]*expiry       // pending expiries by VM
		unresponsive      map[string]bool          // VMs without a renewal for longer than jaygw.MaxRenewalAge
		withoutBatchLease map[string]bool          // VMs whose batch lease has expired, so that they cannot get start permits
		resetScheduler    bool                     // the scheduler has to be reset for a new leadership
		lastCheck         time.Time                // time of the latest check of all VMs
		notifier          *notifier.Notifier       // wakes the renewals and watches that wait for a change
		views             *distributor.Distributor // holds the view and its changes for the nodes that watch it
		publishedRevision uint64                   // revision in notifier of the view that was published last
	}

	// expiry is the decision that leases of a VM have expired. The VM's renewals get no
	// response until it is known whether the command is committed.
	expiry struct {
		command  jaygw.Command
		inFlight bool          // a proposal of the command has no result yet
		done     chan struct{} // closed once the outcome is known
	}
)

const (
	// removalDelay is the time since its last renewal after which a VM without tasks is
	// removed. A VM that has announced that it leaves is removed after
	// jaygw.MaxRenewalAge.
	removalDelay = time.Hour

	// livenessInterval is the time between two checks of all VMs. Changes of the state
	// trigger decisions more often: up to 720 times a second at the peak rate of starts.
	livenessInterval = 50 * time.Millisecond
)

// errExpiryPending is returned while it is not known whether the expiry of a VM's lease is
// committed.
var errExpiryPending = errors.New("the expiry of the VM's lease has no known outcome yet")

func newDecider() *decider {
	return &decider{
		expiries:          map[string]*expiry{},
		unresponsive:      map[string]bool{},
		withoutBatchLease: map[string]bool{},
		scheduler:         scheduler.New(),
		notifier:          notifier.New(),
	}
}

// setLeadership starts or ends a leadership and discards the data of the previous one.
func (d *decider) setLeadership(term uint64, isLeader bool, now time.Time) {
	d.isLeader = isLeader
	d.term = term
	d.unresponsive = map[string]bool{}
	d.withoutBatchLease = map[string]bool{}
	d.resetScheduler = true
	d.lastCheck = time.Time{}
	// A command of the previous leadership is either in the log before the first entry of the
	// next one or never committed. A response is sent only once a quorum has confirmed a
	// state that includes that entry.
	for name := range d.expiries {
		d.clearExpiry(name)
	}
	if isLeader {
		d.lessor = lessor.New(now)
		d.views = distributor.New(term, now)
		d.publishedRevision = 0
		d.clientID = fmt.Sprintf("scheduler-%d-%d", term, now.UnixNano())
		d.sequence = 0
	}
	d.notifier.Restart(term)
}

// announceCommand returns the command that records the VM's announcement in a renewal, or nil
// if there is none or it changes nothing.
func (d *decider) announceCommand(r jaygw.Renewal, machine *applier.Machine) (*jaygw.Command, error) {
	if !d.isLeader {
		return nil, jaygw.ErrNotLeader
	}
	if r.Announce == nil {
		return nil, nil
	}
	recorded := machine.State().VMs[r.VM]
	if recorded != nil && sameAnnouncement(*recorded, *r.Announce) {
		return nil, nil
	}
	return &jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: *r.Announce}}, nil
}

func sameAnnouncement(recorded, announced jaygw.VM) bool {
	return recorded.Incarnation == announced.Incarnation && recorded.Leaving == announced.Leaving &&
		recorded.Size == announced.Size && recorded.Address == announced.Address && slices.Equal(recorded.Services, announced.Services)
}

// recordRenewal records the time and the usage of a renewal. It is called once the renewal's
// announcement is committed, and refuses a renewal of any incarnation but the recorded one, as it
// does not describe the present VM.
func (d *decider) recordRenewal(r jaygw.Renewal, machine *applier.Machine, now time.Time) error {
	if !d.isLeader {
		return jaygw.ErrNotLeader
	}
	if vm := machine.State().VMs[r.VM]; vm == nil || vm.Incarnation != r.Incarnation {
		return jaygw.ErrNotConfirmed // makes the agent announce its VM again
	}
	d.lessor.RecordRenewal(r.VM, now)
	if len(r.Usage) > 0 {
		d.scheduler.Observe(machine, r.VM, r.Usage, max(machine.State().Time, jaygw.TimeOf(now)))
	}
	return nil
}

// reportCommand returns the command that commits a renewal's reports, or nil if nothing is to be
// committed, and the highest sequence number among them. Reports of attempts that have ended
// are acknowledged too, since they can have no effect any more.
func (d *decider) reportCommand(r jaygw.Renewal, machine *applier.Machine) (*jaygw.Command, uint64) {
	state := machine.State()
	batch := &jaygw.ReportTasks{VM: r.VM, Incarnation: r.Incarnation}
	acknowledged := uint64(0)
	for _, sequenced := range r.Reports {
		report := sequenced.Report
		acknowledged = max(acknowledged, sequenced.Sequence)
		task := state.Tasks[report.Attempt.Task]
		if report.Kind == jaygw.AttemptFailed && task != nil {
			report.NotBefore = state.Time.Add(scheduler.Backoff(report.Attempt, task.Failures))
		}
		// An agent that has restarted reports every start again. A recorded start stays
		// recorded for the rest of the epoch, so that it need not be committed again.
		if report.Kind == jaygw.Started && task != nil && task.Attempt() == report.Attempt && task.State == jaygw.Running {
			continue
		}
		batch.Reports = append(batch.Reports, report)
	}
	if len(batch.Reports) == 0 {
		return nil, acknowledged
	}
	return &jaygw.Command{Report: batch}, acknowledged
}

// buildResponse builds the response to a renewal and records the leases that it grants. The state
// has to be confirmed by a quorum after the renewal's arrival.
func (d *decider) buildResponse(
	r jaygw.Renewal, acknowledged uint64, arrivedAt time.Time, machine *applier.Machine, now time.Time,
) (jaygw.RenewalResult, error) {
	if !d.isLeader {
		return jaygw.RenewalResult{}, jaygw.ErrNotLeader
	}
	if _, pending := d.expiries[r.VM]; pending {
		return jaygw.RenewalResult{}, errExpiryPending
	}
	durations := lessor.DefaultDurations()
	result := jaygw.RenewalResult{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Acknowledged: acknowledged,
		BatchLease: durations.Batch, ServiceLease: durations.Service,
	}
	result.Revision, _ = d.notifier.VMRevision(r.VM)
	if err := addAssignments(&result, machine, r, now.Sub(arrivedAt) < jaygw.PermitValidity); err != nil {
		return jaygw.RenewalResult{}, err
	}
	result.Orders = append(result.Orders, d.scheduler.Orders(r.VM, max(machine.State().Time, jaygw.TimeOf(now)))...)
	d.lessor.RecordGrant(r.VM, now, durations)
	return result, nil
}

// addAssignments adds to a response the permits and orders that bring the VM's attempts in line
// with the state. Start permits are left out if they would have expired since the renewal arrived.
func addAssignments(result *jaygw.RenewalResult, machine *applier.Machine, r jaygw.Renewal, withPermits bool) error {
	state := machine.State()
	vm, ok := state.VMs[r.VM]
	if !ok || vm.Incarnation != r.Incarnation {
		return jaygw.ErrNotConfirmed // makes the agent announce its VM again
	}
	result.Index = state.Index
	result.DomainOut = state.Domains[vm.Domain].Out
	size := 0
	assigned := map[jaygw.Attempt]bool{}
	reported := map[jaygw.Attempt]bool{}
	for _, attempt := range r.Attempts {
		reported[attempt] = true
	}
	for _, id := range machine.TasksOn(r.VM) {
		task := state.Tasks[id]
		attempt := task.Attempt()
		assigned[attempt] = true
		switch {
		case task.State == jaygw.Stopping:
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionStop})
		case reported[attempt]:
		case task.State == jaygw.Granted && task.Incarnation == r.Incarnation && !result.DomainOut && !vm.Leaving:
			if !withPermits {
				continue
			}
			permit := newPermit(task)
			if size += permitBytes(permit); size <= maxPermitBytes || len(result.Permits) == 0 {
				result.Permits = append(result.Permits, permit)
			}
		default:
			// The state places the attempt here, but the agent neither reports it nor may start it.
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionKill})
		}
	}
	for _, attempt := range r.Attempts {
		if !assigned[attempt] && !endReported(r.Reports, attempt) {
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionKill})
		}
	}
	return nil
}

// endReported reports whether a renewal contains the end of an attempt. The agent removes such
// an attempt when it gets the response. An order to kill it would make the agent stop it and
// report its end again, in an endless loop.
func endReported(reports []jaygw.SequencedReport, attempt jaygw.Attempt) bool {
	return slices.ContainsFunc(reports, func(r jaygw.SequencedReport) bool {
		return r.Report.Attempt == attempt && r.Report.Kind != jaygw.Started && r.Report.Kind != jaygw.Checkpointed
	})
}

// newPermit returns the permit to start the current attempt of a task.
func newPermit(task *jaygw.Task) jaygw.Permit {
	p := jaygw.Permit{
		Attempt: task.Attempt(), Kind: task.Kind, Class: task.Class, Size: task.Reserved,
		RunTime: task.RunTime, Payload: task.Payload, Checkpoint: task.Checkpoint,
		ValidFor: jaygw.PermitValidity,
	}
	if task.Kind == jaygw.ServiceTask {
		p.Service = task.Owner
	}
	return p
}

// decide returns the commands to propose for the present state and time: expired leases, VMs
// to remove, and the scheduler's decisions.
func (d *decider) decide(machine *applier.Machine, now time.Time) []jaygw.Command {
	if !d.isLeader {
		return nil
	}
	if d.resetScheduler {
		d.scheduler.Reset()
		d.resetScheduler = false
	}
	state := machine.State()
	var commands []jaygw.Command
	if now.Sub(d.lastCheck) >= livenessInterval {
		d.lastCheck = now
		d.updateLiveness(state, now)
		commands = d.checkLeases(machine, now)
	}
	commands = append(commands, d.scheduler.Decide(machine, max(state.Time, jaygw.TimeOf(now)))...)
	for _, vm := range d.scheduler.ChangedOrders() {
		d.notifier.NotifyVM(vm)
	}
	return commands
}

// checkLeases returns the commands that record expired leases and remove VMs.
func (d *decider) checkLeases(machine *applier.Machine, now time.Time) []jaygw.Command {
	state := machine.State()
	var commands []jaygw.Command
	for _, name := range slices.Sorted(maps.Keys(state.VMs)) {
		vm := state.VMs[name]
		if e, pending := d.expiries[name]; pending {
			if !e.inFlight {
				e.inFlight = true
				commands = append(commands, e.command)
			}
			continue
		}
		sinceRenewal := d.lessor.SinceLastRenewal(name, now)
		if sinceRenewal <= jaygw.MaxRenewalAge && !d.lessor.Expired(name, jaygw.BatchTask, now) {
			continue // common case: the service lease is longer, so no lease has expired
		}
		tasks := machine.TasksOn(name)
		if kinds := d.expiredKinds(state, name, tasks, now); len(kinds) > 0 {
			commands = append(commands, d.expire(vm, kinds))
		}
		if len(tasks) == 0 && (vm.Leaving && sinceRenewal > jaygw.MaxRenewalAge || sinceRenewal > removalDelay) {
			commands = append(commands, jaygw.Command{RemoveVM: &jaygw.RemoveVM{Name: name}})
		}
	}
	return commands
}

// expiredKinds returns the kinds of tasks on a VM whose lease has expired.
func (d *decider) expiredKinds(state *applier.State, vm string, tasks []jaygw.TaskID, now time.Time) []jaygw.TaskKind {
	var kinds []jaygw.TaskKind
	for _, id := range tasks {
		kind := state.Tasks[id].Kind
		if !slices.Contains(kinds, kind) && d.lessor.Expired(vm, kind, now) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// expire returns the command that ends a VM's leases of some kinds, and records it as pending.
// The command has a client and a sequence number, because it is proposed again while its outcome
// is unknown: a copy that is committed late must not end attempts that were granted since.
func (d *decider) expire(vm *jaygw.VM, kinds []jaygw.TaskKind) jaygw.Command {
	d.sequence++
	command := jaygw.Command{
		Client: d.clientID, Sequence: d.sequence,
		ExpireVM: &jaygw.ExpireVM{Name: vm.Name, Incarnation: vm.Incarnation, Kinds: kinds},
	}
	d.expiries[vm.Name] = &expiry{command: command, inFlight: true, done: make(chan struct{})}
	return command
}

// recordOutcome records the outcome of a command that decide has returned.
func (d *decider) recordOutcome(command jaygw.Command, err error) {
	switch {
	case command.ExpireVM != nil:
		e, ok := d.expiries[command.ExpireVM.Name]
		if !ok || e.command.Client != command.Client || e.command.Sequence != command.Sequence {
			return // the command belongs to an earlier leadership
		}
		if err != nil && !errors.Is(err, jaygw.ErrNotLeader) {
			e.inFlight = false // it may still be committed, so checkLeases proposes it again
			return
		}
		d.clearExpiry(command.ExpireVM.Name)
	case command.RemoveVM != nil && err == nil && d.lessor != nil:
		d.lessor.Remove(command.RemoveVM.Name)
	}
}

// clearExpiry removes a VM's pending expiry and wakes the renewals that wait for it.
func (d *decider) clearExpiry(vm string) {
	close(d.expiries[vm].done)
	delete(d.expiries, vm)
}

// updateLiveness updates which VMs are unresponsive or without a batch lease, and passes changes
// on to the scheduler and to the watchers of the view.
func (d *decider) updateLiveness(state *applier.State, now time.Time) {
	changed := false
	for name := range state.VMs {
		withoutBatchLease := d.lessor.Expired(name, jaygw.BatchTask, now)
		unresponsive := d.lessor.Unresponsive(name, now)
		if withoutBatchLease != d.withoutBatchLease[name] || unresponsive != d.unresponsive[name] {
			changed = changed || unresponsive != d.unresponsive[name]
			d.withoutBatchLease[name] = withoutBatchLease
			d.unresponsive[name] = unresponsive
			d.scheduler.SetUnresponsive(name, unresponsive || withoutBatchLease)
		}
	}
	if changed {
		d.notifier.NotifyView()
	}
}
