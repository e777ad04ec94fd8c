package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// maxResizes bounds the resizes of one decision.
const maxResizes = 256

// Observe takes the usage that a VM has reported in a renewal.
func (s *Scheduler) Observe(machine *applier.Machine, vm string, usage []jaygw.Usage, now jaygw.Time) {
	if s.stale {
		return
	}
	state := machine.State()
	for _, sample := range usage {
		task := state.Tasks[sample.Attempt.Task]
		if task == nil || task.Epoch != sample.Attempt.Epoch || task.VM != vm {
			continue
		}
		owner := placer.OwnerKey(task)
		if !s.throttled(vm, sample.Attempt) && !sample.Used.IsZero() {
			s.usage.Observe(owner, sample.Used, now)
		}
		if task.Kind == jaygw.ServiceTask && sample.Latency > 0 {
			s.observeLatency(vm, owner, sample, now)
		}
	}
}

// reserve returns what to commit for a task.
func (d *decision) reserve(task *jaygw.Task) jaygw.Resources {
	if d.withoutEstimates {
		return task.Declared
	}
	below := task.Kind == jaygw.BatchTask && d.limits(task.Environment).CommitBelowDeclared
	return d.usage.Reserve(placer.OwnerKey(task), task.Declared, d.index.Largest(), below)
}

// resize adjusts the reservations of running tasks whose estimates have changed,
// as far as the VM and the quota allow. What does not fit now is tried again when
// the estimate changes or the task starts anew.
func (d *decision) resize() {
	if d.withoutEstimates {
		return
	}
	for _, owner := range sortedNames(d.usage.Changed()) {
		d.queue.Refresh(owner)
		d.pending[owner] = true
	}
	for _, owner := range sortedNames(d.pending) {
		if len(d.resizes) >= maxResizes {
			return
		}
		delete(d.pending, owner)
		for _, id := range d.machine.TasksOfKey(owner) {
			if task := d.state.Tasks[id]; task.State == jaygw.Running && !d.evicted[id] {
				d.resizeTask(task)
			}
		}
	}
}

func (d *decision) resizeTask(task *jaygw.Task) {
	n := d.index.Node(task.VM)
	team := d.state.Teams[placer.TeamKey(task)]
	if n == nil || team == nil {
		return
	}
	want := d.reserve(task)
	change := want.Sub(task.Reserved)
	room := n.Uncommitted().Min(team.Quota.Sub(d.teamUse(placer.TeamKey(task)))).Max(jaygw.Resources{})
	change = change.Min(room)
	if change.IsZero() || !d.teamUse(placer.TeamKey(task)).Add(change).Fits(team.Quota) {
		return // unchanged, or the team is over a quota that was lowered
	}
	d.index.Plan(n, change)
	d.charge(placer.TeamKey(task), change)
	d.resizes = append(d.resizes, jaygw.Resize{Attempt: task.Attempt(), Reserve: task.Reserved.Add(change)})
}
