package applier

import (
	"github.com/jaygw/jaygw"
)

func (m *Machine) reportTasks(batch jaygw.ReportTasks) jaygw.Result {
	if vm, ok := m.state.VMs[batch.VM]; ok && vm.Incarnation != batch.Incarnation {
		return jaygw.Refuse(jaygw.RefusedIncarnation, "VM %s has a newer incarnation", batch.VM)
	}
	results := make([]jaygw.ItemResult, len(batch.Reports))
	for i, report := range batch.Reports {
		results[i] = m.report(batch.VM, report)
	}
	return jaygw.Result{Results: results}
}

func (m *Machine) report(vm string, r jaygw.Report) jaygw.ItemResult {
	task, refused := m.taskOfAttempt(r.Attempt)
	if task == nil {
		return refused
	}
	if task.LastVM == "" || task.LastVM != vm {
		return refuseItem(jaygw.RefusedState, "VM %s was not granted epoch %d of task %s", vm, r.Attempt.Epoch, task.ID)
	}
	if task.State.Ended() {
		return refuseItem(jaygw.RefusedState, "task %s is %s", task.ID, task.State)
	}
	if r.Kind == jaygw.Completed {
		return m.completeTask(task)
	}
	if !task.State.Holds() {
		return refuseItem(jaygw.RefusedState, "the attempt of task %s is over", task.ID)
	}
	switch r.Kind {
	case jaygw.Started:
		m.markRunning(task)
	case jaygw.Checkpointed:
		next := *task
		next.Checkpoint = newerCheckpoint(task.Checkpoint, r.Checkpoint)
		m.putTask(&next)
	case jaygw.AttemptFailed:
		m.countFailure(task, r)
	case jaygw.Stopped:
		m.releaseAttempt(task, &r.Checkpoint, r.Reason)
	case jaygw.NotStarted:
		m.releaseAttempt(task, nil, r.Reason)
	default:
		return refuseItem(jaygw.RefusedInvalid, "report kind %q is not known", r.Kind)
	}
	return jaygw.ItemResult{}
}

func (m *Machine) markRunning(task *jaygw.Task) {
	if task.State != jaygw.Granted {
		return
	}
	next := *task
	next.State = jaygw.Running
	next.Since = m.state.Time
	m.putTask(&next)
}

// completeTask records that a task has completed its work. The epoch is the latest one, so
// no other attempt has been granted since: the work has run once, even if the attempt was
// being stopped or its lease had expired when the report arrived.
func (m *Machine) completeTask(task *jaygw.Task) jaygw.ItemResult {
	if task.Kind == jaygw.ServiceTask {
		return refuseItem(jaygw.RefusedInvalid, "service task %s does not complete", task.ID)
	}
	next := *task
	if task.State.Holds() {
		m.charge(&next, jaygw.Resources{}.Sub(task.Reserved))
	}
	next.State = jaygw.Done
	next.Since = m.state.Time
	next.VM = ""
	next.Incarnation = 0
	next.Reserved = jaygw.Resources{}
	next.Reason = ""
	m.storeTask(&next)
	return jaygw.ItemResult{}
}

// countFailure counts a failed attempt and fails the task at the failure limit of its job.
// Replicas of services are always retried.
func (m *Machine) countFailure(task *jaygw.Task, r jaygw.Report) {
	counted := *task
	counted.Failures++
	counted.NotBefore = r.NotBefore
	limit := 0
	if job, ok := m.state.Jobs[ownerKey(task.Environment, task.Owner)]; ok && task.Kind == jaygw.BatchTask {
		limit = job.Spec.FailureLimit()
	}
	if limit == 0 || counted.Failures < limit || task.Canceling {
		m.releaseAttempt(&counted, &r.Checkpoint, r.Reason)
		return
	}
	next := counted
	m.charge(&next, jaygw.Resources{}.Sub(task.Reserved))
	next.State = jaygw.Failed
	next.Since = m.state.Time
	next.VM = ""
	next.Incarnation = 0
	next.Reserved = jaygw.Resources{}
	next.Reason = truncateText(r.Reason)
	m.storeTask(&next)
}
