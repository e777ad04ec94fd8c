package applier

import (
	"fmt"

	"github.com/jaygw/jaygw"
)

// applyServices creates the replicas that the document declares, updates the
// declared sizes, and stops replicas that the document before it declared and it
// does not.
func (m *Machine) applyServices(before *jaygw.Document, document jaygw.Document) {
	declared := map[jaygw.TaskID]bool{}
	for _, spec := range document.Services {
		for i := range spec.Replicas {
			task := serviceTask(document.Environment, spec, i)
			declared[task.ID] = true
			m.declareReplica(task)
		}
	}
	if before == nil {
		return
	}
	for _, spec := range before.Services {
		for _, id := range m.index.tasksOf(ownerKey(before.Environment, spec.Name)) {
			if !declared[id] {
				m.cancelTask(m.state.Tasks[id])
			}
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
	if !ok {
		task.State = jaygw.Waiting
		task.Since = m.state.Time
		task.Submitted = m.state.Time
		task.Epoch = m.state.EpochFloor
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
