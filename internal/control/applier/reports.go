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
	task, refused := m.attempt(r.Attempt)
	if task == nil {
		return refused
	}
	if task.LastVM == "" || task.LastVM != vm {
		return item(jaygw.RefusedState, "VM %s was not granted epoch %d of task %s", vm, r.Attempt.Epoch, task.ID)
	}
	if task.State.Ended() {
		return item(jaygw.RefusedState, "task %s is %s", task.ID, task.State)
	}
	if r.Kind == jaygw.Completed {
		return m.complete(task)
	}
	if !task.State.Holds() {
		return item(jaygw.RefusedState, "the attempt of task %s is over", task.ID)
	}
	switch r.Kind {
	case jaygw.Started:
		m.started(task)
	case jaygw.Checkpointed:
		next := *task
		next.Checkpoint = newerCheckpoint(task.Checkpoint, r.Checkpoint)
		m.putTask(&next)
	case jaygw.AttemptFailed:
		m.failed(task, r)
	case jaygw.Stopped:
		m.release(task, &r.Checkpoint, r.Reason)
	case jaygw.NotStarted:
		m.release(task, nil, r.Reason)
	default:
		return item(jaygw.RefusedInvalid, "report kind %q is not known", r.Kind)
	}
	return jaygw.ItemResult{}
}

func (m *Machine) started(task *jaygw.Task) {
	if task.State != jaygw.Granted {
		return
	}
	next := *task
	next.State = jaygw.Running
	next.Since = m.state.Time
	m.putTask(&next)
}

// complete records that a task has finished its work. The epoch is the latest
// one, so no other attempt has been granted since: the work has run once, even
// if the attempt was being stopped or its lease was over by the time that the
// report arrived.
func (m *Machine) complete(task *jaygw.Task) jaygw.ItemResult {
	if task.Kind == jaygw.ServiceTask {
		return item(jaygw.RefusedInvalid, "service task %s does not complete", task.ID)
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
	m.finish(&next)
	return jaygw.ItemResult{}
}

// failed counts a failed attempt. Replicas of services are always tried again.
func (m *Machine) failed(task *jaygw.Task, r jaygw.Report) {
	counted := *task
	counted.Failures++
	counted.NotBefore = r.NotBefore
	limit := 0
	if job, ok := m.state.Jobs[ownerKey(task.Environment, task.Owner)]; ok && task.Kind == jaygw.BatchTask {
		limit = job.Spec.FailureLimit()
	}
	if limit == 0 || counted.Failures < limit || task.Canceling {
		m.release(&counted, &r.Checkpoint, r.Reason)
		return
	}
	next := counted
	m.charge(&next, jaygw.Resources{}.Sub(task.Reserved))
	next.State = jaygw.Failed
	next.Since = m.state.Time
	next.VM = ""
	next.Incarnation = 0
	next.Reserved = jaygw.Resources{}
	next.Reason = clip(r.Reason)
	m.finish(&next)
}
