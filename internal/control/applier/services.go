package applier

import (
	"fmt"

	"github.com/jaygw/jaygw"
)

// applyServices creates the replicas that the document declares, updates the declared sizes
// of those that exist, and cancels replicas that only the previous document declared.
func (m *Machine) applyServices(previous *jaygw.Document, document jaygw.Document) {
	declared := map[jaygw.TaskID]bool{}
	for _, spec := range document.Services {
		for i := range spec.Replicas {
			task := serviceTask(document.Environment, spec, i)
			declared[task.ID] = true
			m.declareReplica(task)
		}
	}
	if previous == nil {
		return
	}
	for _, spec := range previous.Services {
		for _, id := range m.index.tasksOf(ownerKey(previous.Environment, spec.Name)) {
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
	m.transferTeamUsage(old, &next)
	m.putTask(&next)
}

// transferTeamUsage moves a held reservation from the usage of the old team to that of the
// new one.
func (m *Machine) transferTeamUsage(old, next *jaygw.Task) {
	if old.Team == next.Team || !old.State.Holds() {
		return
	}
	m.chargeTeam(old, jaygw.Resources{}.Sub(old.Reserved))
	m.chargeTeam(next, old.Reserved)
}
