package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// Reset drops everything that was derived from the state. Changes are ignored until the next
// decision, which rebuilds the index.
func (s *Scheduler) Reset() {
	s.index = placer.NewIndex()
	s.queue = placer.NewQueue()
	s.usage = estimator.NewUsage()
	s.interference = estimator.NewInterference()
	s.health = newHealth()
	s.shapes = map[shapeKey]*placer.Shape{}
	s.reservations = map[jaygw.TaskID]*reservation{}
	s.progressAtStart = map[jaygw.TaskID]jaygw.Duration{}
	s.moveBuckets = map[string]*tokenBucket{}
	s.vmControls = map[string]*vmControl{}
	s.latencyReported = map[string]bool{}
	s.replicaEnded = map[string]bool{}
	s.missingReplicas = map[string]int{}
	s.completeSince = map[string]jaygw.Time{}
	s.changedOrders = map[string]bool{}
	s.unresponsive = map[string]bool{}
	s.reportedBlocked = map[string]string{}
	s.pendingResizes = map[string]bool{}
	s.quarantinePercent = 20
	s.updateSlots, s.lastLeavingCheck = [periodicUpdates]jaygw.Time{}, 0
	s.indexStale = true
}

// rebuild builds the index and the queue from the whole state.
func (s *Scheduler) rebuild(state *applier.State) {
	s.index = placer.NewIndex()
	s.queue = placer.NewQueue()
	s.reservations = map[jaygw.TaskID]*reservation{}
	s.missingReplicas = map[string]int{}
	s.indexStale = false
	for _, domain := range state.Domains {
		s.index.SetDomain(domain)
	}
	for _, name := range sortedKeys(state.VMs) {
		s.addVM(state.VMs[name])
	}
	for _, task := range state.Tasks {
		s.countMissing(nil, task)
		switch {
		case task.State == jaygw.Waiting:
			s.queue.Add(task)
		case task.State.Holds():
			s.index.AddTask(task)
			if task.State == jaygw.Running {
				s.recordStart(task)
			}
		}
	}
}

// TaskChanged updates the index, the queue and the records of attempts after a change of a task.
// A nil before stands for a new task, a nil after for a removed one.
func (s *Scheduler) TaskChanged(before, after *jaygw.Task) {
	if s.indexStale {
		return
	}
	s.countMissing(before, after)
	held := before != nil && before.State.Holds()
	holds := after != nil && after.State.Holds()
	if held {
		s.index.RemoveTask(before)
	}
	if holds {
		s.index.AddTask(after)
	}
	switch {
	case after != nil && after.State == jaygw.Waiting:
		s.queue.Add(after)
	case before != nil && before.State == jaygw.Waiting:
		s.queue.Remove(before.ID)
	}
	if after == nil || after.State.Ended() || after.State == jaygw.Granted {
		s.cancelReservation(taskID(before, after))
	}
	if holds && after.State == jaygw.Running && (before == nil || before.State != jaygw.Running) {
		s.recordStart(after)
	}
	if held && !holds {
		s.recordEnd(before, after)
	}
}

// countMissing counts the declared replicas of services that are not running. While some are
// missing, the others serve their load and are slower.
func (s *Scheduler) countMissing(before, after *jaygw.Task) {
	missing := func(t *jaygw.Task) bool {
		return t != nil && t.Kind == jaygw.ServiceTask && !t.State.Ended() && !t.Canceling && t.State != jaygw.Running
	}
	if missing(before) {
		owner := placer.OwnerKey(before)
		if s.missingReplicas[owner]--; s.missingReplicas[owner] == 0 {
			delete(s.missingReplicas, owner)
			if after != nil {
				s.completeSince[owner] = after.Since
			}
		}
	}
	if missing(after) {
		s.missingReplicas[placer.OwnerKey(after)]++
	}
}

// taskID returns the ID of a task of which one state may be nil.
func taskID(before, after *jaygw.Task) jaygw.TaskID {
	if after != nil {
		return after.ID
	}
	return before.ID
}

// recordStart records that an attempt has started to run.
func (s *Scheduler) recordStart(task *jaygw.Task) {
	if task.Checkpoint.Epoch != task.Epoch {
		s.progressAtStart[task.ID] = task.Checkpoint.Progress
	}
	if task.Kind == jaygw.BatchTask {
		s.interference.TaskStarted(task.VM, task.ID, placer.OwnerKey(task), task.Since)
	}
}

// recordEnd records the end of an attempt, and updates the health of its VM and the estimates of
// its owner.
func (s *Scheduler) recordEnd(before, after *jaygw.Task) {
	startProgress := s.progressAtStart[before.ID]
	delete(s.progressAtStart, before.ID)
	if after == nil {
		return
	}
	owner := placer.OwnerKey(before)
	s.interference.TaskEnded(before.VM, before.ID, after.Since)
	if c, ok := s.vmControls[before.VM]; ok {
		c.removeAttempt(before.Attempt())
		if before.Kind == jaygw.ServiceTask {
			s.replicaEnded[before.VM] = true
		}
	}
	ran := after.Since.Sub(before.Since)
	switch {
	case after.Failures > before.Failures:
		s.health.recordFailure(before.VM, owner, before.ID, after.Since)
	case after.State == jaygw.Done:
		s.health.recordSuccess(before.VM, owner, before.Since, after.Since)
		if before.State == jaygw.Running {
			s.usage.Completed(owner, startProgress.Std()+ran)
		}
	case before.State == jaygw.Running && ran >= minSuccessRun:
		s.health.recordSuccess(before.VM, owner, before.Since, after.Since)
	}
	s.updateVMHealth(before.VM, after.Since)
}

// VMChanged updates the index after a change of a VM. A nil before stands for a new VM, a nil
// after for a removed one.
func (s *Scheduler) VMChanged(before, after *jaygw.VM) {
	switch {
	case s.indexStale:
	case after == nil:
		s.index.RemoveVM(before.Name)
		s.health.removeVM(before.Name)
		delete(s.vmControls, before.Name)
	case before == nil:
		s.addVM(after)
	case before.Domain != after.Domain:
		s.Reset()
	default:
		s.index.SetVM(after)
		if before.Leaving != after.Leaving {
			s.ramping = true
			s.updateSlots, s.lastLeavingCheck = [periodicUpdates]jaygw.Time{}, 0
		}
	}
}

func (s *Scheduler) addVM(vm *jaygw.VM) {
	s.index.SetVM(vm)
	s.index.SetUnresponsive(vm.Name, s.unresponsive[vm.Name])
	s.index.SetQuarantined(vm.Name, s.health.closed(vm.Name))
}

// DomainChanged updates the index after a change of a failure domain.
func (s *Scheduler) DomainChanged(after *jaygw.FailureDomain) {
	if s.indexStale {
		return
	}
	s.index.SetDomain(after)
	s.ramping = true
	s.updateSlots, s.lastLeavingCheck = [periodicUpdates]jaygw.Time{}, 0
}

// DocumentChanged records that sizes, quotas and rights may have changed. The next decision takes
// them into account.
func (s *Scheduler) DocumentChanged(after *jaygw.Submitted) {
	s.documentsChanged = s.documentsChanged || after.State == jaygw.Production
	s.blockedCheckVersion = -1
}

// SetUnresponsive excludes a VM without contact from new tasks, or admits new tasks again.
func (s *Scheduler) SetUnresponsive(vm string, unresponsive bool) {
	if unresponsive {
		s.unresponsive[vm] = true
	} else {
		delete(s.unresponsive, vm)
	}
	s.index.SetUnresponsive(vm, unresponsive)
}
