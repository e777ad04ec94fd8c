package applier

import (
	"fmt"

	"github.com/jaygw/jaygw"
)

// applyServices creates the replicas that the document declares, updates the
// declared sizes, and stops replicas that it no longer declares.
func (m *Machine) applyServices(document jaygw.Document) {
	declared := map[jaygw.TaskID]bool{}
	for _, spec := range document.Services {
		for i := range spec.Replicas {
			task := serviceTask(document.Environment, spec, i)
			declared[task.ID] = true
			m.declareReplica(task)
		}
	}
	for _, task := range m.replicas(document.Environment) {
		if !declared[task.ID] {
			m.cancelTask(task)
		}
	}
}

func serviceTask(environment string, spec jaygw.ServiceSpec, number int) jaygw.Task {
	return jaygw.Task{
		ID:          jaygw.TaskID(fmt.Sprintf("%s/%s/%d", environment, spec.Name, number)),
		Environment: environment,
		Owner:       spec.Name,
		Kind:        jaygw.ServiceTask,
		Team:        spec.Team,
		Class:       spec.Class,
		Declared:    spec.Resources,
		Domains:     spec.Domains,
	}
}

func (m *Machine) declareReplica(task jaygw.Task) {
	old, ok := m.state.Tasks[task.ID]
	if !ok || old.State.Ended() {
		task.State = jaygw.Waiting
		task.Since = m.state.Time
		task.Submitted = m.state.Time
		if ok {
			task.Epoch = old.Epoch // epochs of one id never repeat
		}
		m.putTask(&task)
		return
	}
	next := *old
	next.Team = task.Team
	next.Class = task.Class
	next.Declared = task.Declared
	next.Domains = task.Domains
	next.Canceling = false
	m.moveUse(old, &next)
	m.putTask(&next)
}

// moveUse moves a held reservation to the new team's account.
func (m *Machine) moveUse(old, next *jaygw.Task) {
	if old.Team == next.Team || !old.State.Holds() {
		return
	}
	m.chargeTeam(old, jaygw.Resources{}.Sub(old.Reserved))
	m.chargeTeam(next, old.Reserved)
}

// replicas returns all service tasks of an environment, in the order of their
// ids.
func (m *Machine) replicas(environment string) []*jaygw.Task {
	var tasks []*jaygw.Task
	for _, id := range sortedKeys(m.state.Tasks) {
		task := m.state.Tasks[id]
		if task.Kind == jaygw.ServiceTask && task.Environment == environment {
			tasks = append(tasks, task)
		}
	}
	return tasks
}
