package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/lessor"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/rotisserie/eris"
)

// Renew answers a renewal. It commits the reports in it, holds the response until
// there is something new for the VM, and confirms the leadership with a quorum
// before it answers.
func (d *Dispatcher) Renew(ctx context.Context, r jaygw.Renewal) (jaygw.RenewalResult, error) {
	if err := d.heard(ctx, r); err != nil {
		return jaygw.RenewalResult{}, err
	}
	if r.Announce != nil {
		if err := d.announce(ctx, *r.Announce); err != nil {
			return jaygw.RenewalResult{}, err
		}
	}
	acknowledged, err := d.report(ctx, r)
	if err != nil {
		return jaygw.RenewalResult{}, err
	}
	d.hold(ctx, r)
	return d.answer(ctx, r, acknowledged)
}

func (d *Dispatcher) heard(ctx context.Context, r jaygw.Renewal) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leads {
		return jaygw.ErrNotLeader
	}
	now := time.Now()
	d.lessor.Heard(r.VM, r.Incarnation, now)
	if len(r.Usage) > 0 {
		d.replica.Read(func(machine *applier.Machine) {
			d.scheduler.Observe(machine, r.VM, r.Usage, max(machine.State().Time, jaygw.TimeOf(now)))
		})
	}
	return ctx.Err()
}

func (d *Dispatcher) announce(ctx context.Context, vm jaygw.VM) error {
	var known *jaygw.VM
	d.replica.Read(func(machine *applier.Machine) { known = machine.State().VMs[vm.Name] })
	if known != nil && sameAnnouncement(*known, vm) {
		return nil
	}
	result, err := d.replica.Propose(ctx, jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: vm}})
	if err != nil {
		return err
	}
	return result.Err()
}

func sameAnnouncement(known, vm jaygw.VM) bool {
	return known.Incarnation == vm.Incarnation && known.Leaving == vm.Leaving && known.Size == vm.Size &&
		known.Address == vm.Address && slices.Equal(known.Services, vm.Services)
}

// report commits the renewal's reports and returns the highest sequence that is
// committed. A report of an attempt that is over is acknowledged as well: it will
// never count.
func (d *Dispatcher) report(ctx context.Context, r jaygw.Renewal) (uint64, error) {
	if len(r.Reports) == 0 {
		return 0, nil
	}
	batch := &jaygw.ReportTasks{VM: r.VM, Incarnation: r.Incarnation}
	acknowledged := uint64(0)
	d.replica.Read(func(machine *applier.Machine) {
		state := machine.State()
		for _, sequenced := range r.Reports {
			report := sequenced.Report
			if task := state.Tasks[report.Attempt.Task]; report.Kind == jaygw.AttemptFailed && task != nil {
				report.NotBefore = state.Time.Add(scheduler.Backoff(report.Attempt, task.Failures))
			}
			batch.Reports = append(batch.Reports, report)
			acknowledged = max(acknowledged, sequenced.Sequence)
		}
	})
	result, err := d.replica.Propose(ctx, jaygw.Command{Report: batch})
	if err != nil {
		return 0, err
	}
	return acknowledged, result.Err()
}

// hold waits until the VM's assignments have changed since the last response, or
// the time that the agent allows is over.
func (d *Dispatcher) hold(ctx context.Context, r jaygw.Renewal) {
	if r.Hold <= 0 {
		return
	}
	timer := time.NewTimer(min(r.Hold, jaygw.RenewalInterval))
	defer timer.Stop()
	for {
		revision, changed := d.notes.ofVM(r.VM)
		if revision != r.Served {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answer builds the response from a state that a quorum has confirmed after the
// renewal arrived.
func (d *Dispatcher) answer(ctx context.Context, r jaygw.Renewal, acknowledged uint64) (jaygw.RenewalResult, error) {
	if _, err := d.replica.Confirm(ctx); err != nil {
		return jaygw.RenewalResult{}, err
	}
	if err := d.waitForExpiry(ctx, r.VM); err != nil {
		return jaygw.RenewalResult{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leads {
		return jaygw.RenewalResult{}, jaygw.ErrNotLeader
	}
	if _, busy := d.expiring[r.VM]; busy {
		return jaygw.RenewalResult{}, jaygw.ErrNotCurrent
	}
	terms := lessor.DefaultTerms()
	result := jaygw.RenewalResult{
		Incarnation: r.Incarnation, Sequence: r.Sequence, Acknowledged: acknowledged,
		BatchLease: terms.Batch, ServiceLease: terms.Service,
	}
	var failure error
	result.Revision, _ = d.notes.ofVM(r.VM)
	d.replica.Read(func(machine *applier.Machine) {
		failure = fill(&result, machine, r)
		result.Orders = append(result.Orders, d.scheduler.Orders(r.VM, max(machine.State().Time, jaygw.TimeOf(time.Now())))...)
	})
	if failure == nil {
		d.lessor.Granted(r.VM, r.Incarnation, time.Now(), terms)
	}
	return result, failure
}

func (d *Dispatcher) waitForExpiry(ctx context.Context, vm string) error {
	d.mu.Lock()
	done, busy := d.expiring[vm]
	d.mu.Unlock()
	if !busy {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the end of the old lease")
	}
}

// fill adds the permits and orders that the state calls for.
func fill(result *jaygw.RenewalResult, machine *applier.Machine, r jaygw.Renewal) error {
	state := machine.State()
	vm, ok := state.VMs[r.VM]
	if !ok || vm.Incarnation != r.Incarnation {
		return jaygw.ErrNotCurrent // the agent announces itself again
	}
	result.Index = state.Index
	result.DomainOut = state.Domains[vm.Domain].Out
	inForce := map[jaygw.Attempt]bool{}
	for _, id := range machine.TasksOn(r.VM) {
		task := state.Tasks[id]
		attempt := task.Attempt()
		inForce[attempt] = true
		known := slices.Contains(r.Known, attempt)
		switch {
		case task.State == jaygw.Stopping:
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionStop})
		case known:
		case task.State == jaygw.Granted && task.Incarnation == r.Incarnation && !result.DomainOut:
			result.Permits = append(result.Permits, permit(task))
		default:
			// The worker does not have an attempt that should run there.
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionKill})
		}
	}
	for _, attempt := range r.Known {
		if !inForce[attempt] && !endReported(r.Reports, attempt) {
			result.Orders = append(result.Orders, jaygw.Order{Attempt: attempt, Action: jaygw.ActionKill})
		}
	}
	return nil
}

// endReported reports whether the renewal says that an attempt is over. The agent
// forgets it with the response, and an order to kill it would make the agent stop
// it and report it once more, without end.
func endReported(reports []jaygw.SequencedReport, attempt jaygw.Attempt) bool {
	return slices.ContainsFunc(reports, func(r jaygw.SequencedReport) bool {
		return r.Report.Attempt == attempt && r.Report.Kind != jaygw.Started && r.Report.Kind != jaygw.Checkpointed
	})
}

func permit(task *jaygw.Task) jaygw.Permit {
	p := jaygw.Permit{
		Attempt: task.Attempt(), Kind: task.Kind, Class: task.Class, Size: task.Reserved,
		RunTime: task.RunTime, Payload: task.Payload, Checkpoint: task.Checkpoint,
		Valid: jaygw.PermitValidity,
	}
	if task.Kind == jaygw.ServiceTask {
		p.Service = task.Owner
	}
	return p
}
