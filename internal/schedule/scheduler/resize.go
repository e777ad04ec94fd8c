package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// maxResizes bounds the resizes of one decision.
const maxResizes = 256

// Observe records the usage that a VM has reported in a renewal.
func (s *Scheduler) Observe(machine *applier.Machine, vm string, usage []jaygw.Usage, now jaygw.Time) {
	if s.indexStale {
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

// sizeToCommit returns the resources to commit for a task.
func (d *decision) sizeToCommit(task *jaygw.Task) jaygw.Resources {
	if d.withoutEstimates {
		return task.Declared
	}
	below := task.Kind == jaygw.BatchTask && d.limits(task.Environment).CommitBelowDeclared
	return d.usage.Reserve(placer.OwnerKey(task), task.Declared, d.index.Largest(), below)
}

// resize adjusts what is committed to running tasks whose estimates have changed, as far as the VM
// and the quota allow. What does not fit is tried again when the estimate changes or the task
// restarts.
func (d *decision) resize() {
	if d.withoutEstimates {
		return
	}
	for _, owner := range sortedKeys(d.usage.Changed()) {
		d.queue.ResetShapes(owner)
		d.pendingResizes[owner] = true
	}
	for _, owner := range sortedKeys(d.pendingResizes) {
		if len(d.resizes) >= maxResizes {
			return
		}
		delete(d.pendingResizes, owner)
		for _, id := range d.machine.TasksOfOwnerKey(owner) {
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
	size := d.sizeToCommit(task)
	change := size.Sub(task.Reserved)
	available := n.Uncommitted().Min(team.Quota.Sub(d.teamUsed(placer.TeamKey(task)))).Max(jaygw.Resources{})
	change = change.Min(available)
	if change.IsZero() || !d.teamUsed(placer.TeamKey(task)).Add(change).Fits(team.Quota) {
		return // unchanged, or the team exceeds a quota that was lowered
	}
	d.index.Plan(n, change)
	d.chargeTeam(placer.TeamKey(task), change)
	d.resizes = append(d.resizes, jaygw.Resize{Attempt: task.Attempt(), Reserve: task.Reserved.Add(change)})
}
