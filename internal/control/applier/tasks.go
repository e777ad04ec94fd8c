package applier

import (
	"fmt"

	"github.com/jaygw/jaygw"
)

func (m *Machine) grantTasks(batch jaygw.GrantTasks) jaygw.Result {
	return applyEach(batch.Grants, m.grant)
}

// grant starts a new attempt. Every rule is checked again here, so that a decision based on
// an old state cannot overcommit a VM or a quota, start a task in a failure domain that is
// out, or start a task twice.
func (m *Machine) grant(g jaygw.Grant) jaygw.ItemResult {
	task, ok := m.state.Tasks[g.Task]
	if !ok {
		return refuseItem(jaygw.RefusedUnknown, "task %s is not known", g.Task)
	}
	if task.State != jaygw.Waiting {
		return refuseItem(jaygw.RefusedState, "task %s is %s", g.Task, task.State)
	}
	if task.Epoch != g.After {
		return refuseItem(jaygw.RefusedEpoch, "task %s had epoch %d, the grant follows %d", g.Task, task.Epoch, g.After)
	}
	if refused := m.checkPlacement(task, g); refused.Code != "" {
		return refused
	}
	next := *task
	next.State = jaygw.Granted
	next.Since = m.state.Time
	next.Epoch++
	next.VM = g.VM
	if task.LastVM != "" {
		next.Moved = truncateText(fmt.Sprintf("VM %s: %s", task.LastVM, task.Reason))
	}
	next.LastVM = g.VM
	next.Incarnation = g.Incarnation
	next.Reserved = g.Reserve
	next.Reason = ""
	m.charge(&next, g.Reserve)
	m.putTask(&next)
	return jaygw.ItemResult{Epoch: next.Epoch}
}

func (m *Machine) checkPlacement(task *jaygw.Task, g jaygw.Grant) jaygw.ItemResult {
	vm, ok := m.state.VMs[g.VM]
	if !ok {
		return refuseItem(jaygw.RefusedUnknown, "VM %s is not known", g.VM)
	}
	if vm.Incarnation != g.Incarnation {
		return refuseItem(jaygw.RefusedIncarnation, "VM %s has a newer incarnation", g.VM)
	}
	if vm.Leaving {
		return refuseItem(jaygw.RefusedState, "VM %s is leaving", g.VM)
	}
	if domain := m.state.Domains[vm.Domain]; domain.Out {
		return refuseItem(jaygw.RefusedDomainOut, "failure domain %s is out", vm.Domain)
	}
	team, ok := m.state.Teams[ownerKey(task.Environment, task.Team)]
	if !ok || !allows(team.MayStart, vm.Domain) || !allows(task.Domains, vm.Domain) {
		return refuseItem(jaygw.RefusedState, "task %s may not start in failure domain %s", task.ID, vm.Domain)
	}
	if !m.reservationAllowed(task, g.Reserve) {
		return refuseItem(jaygw.RefusedInvalid, "task %s has to be committed with its declared size at least", task.ID)
	}
	fits := g.Reserve.Fits(vm.Size) && vm.Committed.Add(g.Reserve).Fits(vm.Size)
	if !fits && !m.trustGrants {
		return refuseItem(jaygw.RefusedCapacity, "task %s does not fit on VM %s", task.ID, g.VM)
	}
	if !team.Used.Add(g.Reserve).Fits(team.Quota) {
		return refuseItem(jaygw.RefusedQuota, "task %s exceeds the quota of team %s", task.ID, task.Team)
	}
	return jaygw.ItemResult{}
}

// reservationAllowed reports whether a task may reserve this size. Only a batch task may
// reserve less than its declared size, and only if the document in force allows it.
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
	return applyEach(batch.Resizes, m.resize)
}

func (m *Machine) resize(r jaygw.Resize) jaygw.ItemResult {
	task, refused := m.taskOfAttempt(r.Attempt)
	if task == nil {
		return refused
	}
	if !task.State.Holds() {
		return refuseItem(jaygw.RefusedState, "task %s holds no resources", task.ID)
	}
	if !m.reservationAllowed(task, r.Reserve) {
		return refuseItem(jaygw.RefusedInvalid, "task %s has to be committed with its declared size at least", task.ID)
	}
	change := r.Reserve.Sub(task.Reserved)
	// A smaller reservation is accepted even if the team exceeds a quota that was lowered.
	shrinks := r.Reserve.Fits(task.Reserved)
	vm := m.state.VMs[task.VM]
	if !r.Reserve.Fits(vm.Size) || !vm.Committed.Add(change).Fits(vm.Size) {
		return refuseItem(jaygw.RefusedCapacity, "task %s does not fit on VM %s with its new size", task.ID, task.VM)
	}
	team := m.state.Teams[ownerKey(task.Environment, task.Team)]
	if !shrinks && (team == nil || !team.Used.Add(change).Fits(team.Quota)) {
		return refuseItem(jaygw.RefusedQuota, "task %s exceeds the quota of team %s with its new size", task.ID, task.Team)
	}
	next := *task
	next.Reserved = r.Reserve
	m.charge(&next, change)
	m.putTask(&next)
	return jaygw.ItemResult{}
}

func (m *Machine) evictTasks(batch jaygw.EvictTasks) jaygw.Result {
	return applyEach(batch.Evictions, m.evict)
}

func (m *Machine) evict(e jaygw.Eviction) jaygw.ItemResult {
	task, refused := m.taskOfAttempt(e.Attempt)
	if task == nil {
		return refused
	}
	if task.State != jaygw.Granted && task.State != jaygw.Running {
		return refuseItem(jaygw.RefusedState, "task %s is %s", task.ID, task.State)
	}
	next := *task
	next.State = jaygw.Stopping
	next.Since = m.state.Time
	next.Evictions++
	next.Reason = truncateText(e.Reason)
	m.putTask(&next)
	return jaygw.ItemResult{}
}

// taskOfAttempt returns the task of an attempt, or a refusal if the attempt is not the
// latest one of the task.
func (m *Machine) taskOfAttempt(a jaygw.Attempt) (*jaygw.Task, jaygw.ItemResult) {
	task, ok := m.state.Tasks[a.Task]
	if !ok {
		return nil, refuseItem(jaygw.RefusedUnknown, "task %s is not known", a.Task)
	}
	if task.Epoch != a.Epoch {
		return nil, refuseItem(jaygw.RefusedEpoch, "task %s has epoch %d, not %d", a.Task, task.Epoch, a.Epoch)
	}
	return task, jaygw.ItemResult{}
}

// releaseAttempt ends the latest attempt without completing the task, which then waits again
// or is canceled.
func (m *Machine) releaseAttempt(task *jaygw.Task, checkpoint *jaygw.Checkpoint, reason string) {
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
	next.Reason = truncateText(reason)
	if checkpoint != nil {
		next.Checkpoint = newerCheckpoint(task.Checkpoint, *checkpoint)
	}
	m.storeTask(&next)
}

// storeTask stores a task after a change of its state. A batch task that has ended is counted
// in its job; a replica of a service that has ended is removed.
func (m *Machine) storeTask(task *jaygw.Task) {
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
		m.storeTask(&next)
	}
}

// newerCheckpoint returns the checkpoint with more progress. At equal progress, the new
// checkpoint replaces the old one only if the new one has a token.
func newerCheckpoint(old, checkpoint jaygw.Checkpoint) jaygw.Checkpoint {
	if checkpoint.Progress < old.Progress {
		return old
	}
	if checkpoint.Progress == old.Progress && checkpoint.Token == "" {
		return old
	}
	return checkpoint
}

// charge adds an amount to the committed resources of the task's VM and to the usage of its
// team.
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

// dropUnusedTeam removes a team that the document in force no longer declares, once it holds
// no resources.
func (m *Machine) dropUnusedTeam(key string) {
	if team := m.state.Teams[key]; team.Removed && team.Used.IsZero() {
		delete(m.state.Teams, key)
	}
}

func (m *Machine) putTask(task *jaygw.Task) {
	old := m.state.Tasks[task.ID]
	if old != nil {
		m.index.removeTask(old)
	}
	m.index.addTask(task)
	m.state.Tasks[task.ID] = task
	for _, observer := range m.observers {
		observer.TaskChanged(old, task)
	}
}

// dropTask removes a task. A later task with the same id starts above its epoch, so that
// late reports of the old task's attempts never count for the new one.
func (m *Machine) dropTask(id jaygw.TaskID) {
	old := m.state.Tasks[id]
	if old.LastVM != "" {
		m.state.EpochFloor = max(m.state.EpochFloor, old.Epoch)
	}
	m.index.removeTask(old)
	delete(m.state.Tasks, id)
	for _, observer := range m.observers {
		observer.TaskChanged(old, nil)
	}
}

// applyEach applies the items of a batched command in order; each succeeds or fails
// independently of the others.
func applyEach[T any](items []T, apply func(T) jaygw.ItemResult) jaygw.Result {
	results := make([]jaygw.ItemResult, len(items))
	for i, item := range items {
		results[i] = apply(item)
	}
	return jaygw.Result{Results: results}
}

// refuseItem returns the result of a refused item of a batched command.
func refuseItem(code jaygw.RefusalCode, format string, args ...any) jaygw.ItemResult {
	return jaygw.ItemResult{Code: code, Detail: truncateText(fmt.Sprintf(format, args...))}
}
