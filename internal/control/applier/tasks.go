package applier

import (
	"fmt"

	"github.com/jaygw/jaygw"
)

func (m *Machine) grantTasks(batch jaygw.GrantTasks) jaygw.Result {
	return each(batch.Grants, m.grant)
}

// grant starts a new attempt. Every rule is checked here again, so that a
// decision made from an old state cannot overcommit a VM or a quota, start a
// task in a domain that is out, or start a task twice.
func (m *Machine) grant(g jaygw.Grant) jaygw.ItemResult {
	task, ok := m.state.Tasks[g.Task]
	if !ok {
		return item(jaygw.RefusedUnknown, "task %s is not known", g.Task)
	}
	if task.State != jaygw.Waiting {
		return item(jaygw.RefusedState, "task %s is %s", g.Task, task.State)
	}
	if task.Epoch != g.After {
		return item(jaygw.RefusedEpoch, "task %s had epoch %d, the grant follows %d", g.Task, task.Epoch, g.After)
	}
	if refused := m.checkPlace(task, g); refused.Code != "" {
		return refused
	}
	next := *task
	next.State = jaygw.Granted
	next.Since = m.state.Time
	next.Epoch++
	next.VM = g.VM
	if task.LastVM != "" {
		next.Moved = clip(fmt.Sprintf("VM %s: %s", task.LastVM, task.Reason))
	}
	next.LastVM = g.VM
	next.Incarnation = g.Incarnation
	next.Reserved = g.Reserve
	next.Reason = ""
	m.charge(&next, g.Reserve)
	m.putTask(&next)
	return jaygw.ItemResult{Epoch: next.Epoch}
}

func (m *Machine) checkPlace(task *jaygw.Task, g jaygw.Grant) jaygw.ItemResult {
	vm, ok := m.state.VMs[g.VM]
	if !ok {
		return item(jaygw.RefusedUnknown, "VM %s is not known", g.VM)
	}
	if vm.Incarnation != g.Incarnation {
		return item(jaygw.RefusedIncarnation, "VM %s has a newer incarnation", g.VM)
	}
	if vm.Leaving {
		return item(jaygw.RefusedState, "VM %s is leaving", g.VM)
	}
	if domain := m.state.Domains[vm.Domain]; domain.Out {
		return item(jaygw.RefusedDomainOut, "failure domain %s is out", vm.Domain)
	}
	team, ok := m.state.Teams[ownerKey(task.Environment, task.Team)]
	if !ok || !allows(team.MayStart, vm.Domain) || !allows(task.Domains, vm.Domain) {
		return item(jaygw.RefusedState, "task %s may not start in failure domain %s", task.ID, vm.Domain)
	}
	if !m.reservationAllowed(task, g.Reserve) {
		return item(jaygw.RefusedInvalid, "task %s has to be committed with its declared size at least", task.ID)
	}
	fits := g.Reserve.Fits(vm.Size) && vm.Committed.Add(g.Reserve).Fits(vm.Size)
	if !fits && !m.trustGrants {
		return item(jaygw.RefusedCapacity, "task %s does not fit on VM %s", task.ID, g.VM)
	}
	if !team.Used.Add(g.Reserve).Fits(team.Quota) {
		return item(jaygw.RefusedQuota, "task %s exceeds the quota of team %s", task.ID, task.Team)
	}
	return jaygw.ItemResult{}
}

// reservationAllowed reports whether a task may be committed with this size:
// batch tasks below their declared size only if the document says so.
func (m *Machine) reservationAllowed(task *jaygw.Task, reserve jaygw.Resources) bool {
	if reserve.Negative() || reserve.IsZero() {
		return false
	}
	if task.Declared.Fits(reserve) {
		return true
	}
	environment := m.state.Environments[task.Environment]
	return task.Kind == jaygw.BatchTask && environment != nil && environment.InForce != nil &&
		environment.InForce.Document.Limits.CommitBelowDeclared
}

func (m *Machine) resizeTasks(batch jaygw.ResizeTasks) jaygw.Result {
	return each(batch.Resizes, m.resize)
}

func (m *Machine) resize(r jaygw.Resize) jaygw.ItemResult {
	task, refused := m.attempt(r.Attempt)
	if task == nil {
		return refused
	}
	if !task.State.Holds() {
		return item(jaygw.RefusedState, "task %s holds no resources", task.ID)
	}
	if !m.reservationAllowed(task, r.Reserve) {
		return item(jaygw.RefusedInvalid, "task %s has to be committed with its declared size at least", task.ID)
	}
	change := r.Reserve.Sub(task.Reserved)
	// A smaller size is accepted even if the team is over a quota that was
	// lowered.
	shrinks := r.Reserve.Fits(task.Reserved)
	vm := m.state.VMs[task.VM]
	if !r.Reserve.Fits(vm.Size) || !vm.Committed.Add(change).Fits(vm.Size) {
		return item(jaygw.RefusedCapacity, "task %s does not fit on VM %s with its new size", task.ID, task.VM)
	}
	team := m.state.Teams[ownerKey(task.Environment, task.Team)]
	if !shrinks && (team == nil || !team.Used.Add(change).Fits(team.Quota)) {
		return item(jaygw.RefusedQuota, "task %s exceeds the quota of team %s with its new size", task.ID, task.Team)
	}
	next := *task
	next.Reserved = r.Reserve
	m.charge(&next, change)
	m.putTask(&next)
	return jaygw.ItemResult{}
}

func (m *Machine) evictTasks(batch jaygw.EvictTasks) jaygw.Result {
	return each(batch.Evictions, m.evict)
}

func (m *Machine) evict(e jaygw.Eviction) jaygw.ItemResult {
	task, refused := m.attempt(e.Attempt)
	if task == nil {
		return refused
	}
	if task.State != jaygw.Granted && task.State != jaygw.Running {
		return item(jaygw.RefusedState, "task %s is %s", task.ID, task.State)
	}
	next := *task
	next.State = jaygw.Stopping
	next.Since = m.state.Time
	next.Evictions++
	next.Reason = clip(e.Reason)
	m.putTask(&next)
	return jaygw.ItemResult{}
}

// attempt returns the task if the attempt is the one in force.
func (m *Machine) attempt(a jaygw.Attempt) (*jaygw.Task, jaygw.ItemResult) {
	task, ok := m.state.Tasks[a.Task]
	if !ok {
		return nil, item(jaygw.RefusedUnknown, "task %s is not known", a.Task)
	}
	if task.Epoch != a.Epoch {
		return nil, item(jaygw.RefusedEpoch, "task %s has epoch %d, not %d", a.Task, task.Epoch, a.Epoch)
	}
	return task, jaygw.ItemResult{}
}

// release ends the attempt in force without completing the task, which waits
// again or is canceled.
func (m *Machine) release(task *jaygw.Task, checkpoint *jaygw.Checkpoint, reason string) {
	next := *task
	m.charge(&next, jaygw.Resources{}.Sub(task.Reserved))
	next.State = jaygw.Waiting
	if task.Canceling {
		next.State = jaygw.Canceled
	}
	next.Since = m.state.Time
	next.VM = ""
	next.Incarnation = 0
	next.Reserved = jaygw.Resources{}
	next.Reason = clip(reason)
	if checkpoint != nil {
		next.Checkpoint = newerCheckpoint(task.Checkpoint, *checkpoint)
	}
	m.finish(&next)
}

// finish stores a task after a change of its state and counts it if it has
// ended.
func (m *Machine) finish(task *jaygw.Task) {
	m.putTask(task)
	if !task.State.Ended() {
		return
	}
	if task.Kind == jaygw.ServiceTask {
		m.dropTask(task.ID)
		return
	}
	m.taskEnded(task)
}

func (m *Machine) cancelTask(task *jaygw.Task) {
	next := *task
	switch {
	case task.State.Ended():
		return
	case task.State.Holds():
		next.Canceling = true
		if next.State != jaygw.Stopping {
			next.State = jaygw.Stopping
			next.Since = m.state.Time
		}
		next.Reason = "canceled"
		m.putTask(&next)
	default:
		next.State = jaygw.Canceled
		next.Since = m.state.Time
		m.finish(&next)
	}
}

func newerCheckpoint(old, checkpoint jaygw.Checkpoint) jaygw.Checkpoint {
	if checkpoint.Progress < old.Progress {
		return old
	}
	if checkpoint.Progress == old.Progress && checkpoint.Token == "" {
		return old
	}
	return checkpoint
}

// charge adds an amount to what is committed on the task's VM and to what its
// team uses.
func (m *Machine) charge(task *jaygw.Task, amount jaygw.Resources) {
	vm := *m.state.VMs[task.VM]
	vm.Committed = vm.Committed.Add(amount)
	m.putVM(&vm)
	m.chargeTeam(task, amount)
}

func (m *Machine) chargeTeam(task *jaygw.Task, amount jaygw.Resources) {
	key := ownerKey(task.Environment, task.Team)
	var team jaygw.Team
	if old, ok := m.state.Teams[key]; ok {
		team = *old
	} else {
		team.Name = task.Team
	}
	team.Used = team.Used.Add(amount)
	m.state.Teams[key] = &team
	m.dropUnusedTeam(key)
}

// dropUnusedTeam drops a team that the document in force no longer declares once
// it holds no resources.
func (m *Machine) dropUnusedTeam(key string) {
	if team := m.state.Teams[key]; team.Removed && team.Used.IsZero() {
		delete(m.state.Teams, key)
	}
}

func (m *Machine) putTask(task *jaygw.Task) {
	old := m.state.Tasks[task.ID]
	if old != nil {
		m.index.drop(old)
	}
	m.index.add(task)
	m.state.Tasks[task.ID] = task
	for _, observer := range m.observers {
		observer.TaskChanged(old, task)
	}
}

// dropTask forgets a task. A later task with the same id starts above its epoch,
// so that late reports of the old task's attempts never count for the new one.
func (m *Machine) dropTask(id jaygw.TaskID) {
	old := m.state.Tasks[id]
	if old.LastVM != "" {
		m.state.EpochFloor = max(m.state.EpochFloor, old.Epoch)
	}
	m.index.drop(old)
	delete(m.state.Tasks, id)
	for _, observer := range m.observers {
		observer.TaskChanged(old, nil)
	}
}

// each applies the items of a batched command one by one; each succeeds or fails
// alone.
func each[T any](items []T, apply func(T) jaygw.ItemResult) jaygw.Result {
	results := make([]jaygw.ItemResult, len(items))
	for i, one := range items {
		results[i] = apply(one)
	}
	return jaygw.Result{Results: results}
}

func item(code jaygw.RefusalCode, format string, args ...any) jaygw.ItemResult {
	return jaygw.ItemResult{Code: code, Detail: clip(fmt.Sprintf(format, args...))}
}
