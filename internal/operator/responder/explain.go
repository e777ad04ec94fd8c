package responder

import (
	"fmt"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// explain returns the reason why a task does not run, or an empty text if it runs or has ended.
func explain(state *applier.State, task *jaygw.Task) string {
	switch task.State {
	case jaygw.Granted:
		return fmt.Sprintf("granted to VM %s, which has not reported the start", task.VM)
	case jaygw.Stopping:
		return fmt.Sprintf("stopping on VM %s: %s", task.VM, task.Reason)
	case jaygw.Waiting:
		return explainWaiting(state, task)
	default:
		return ""
	}
}

// explainWaiting returns the first of these reasons that applies to a waiting task: its next retry
// is scheduled for later, its team is not declared or has too little quota, or no VM can take it.
func explainWaiting(state *applier.State, task *jaygw.Task) string {
	if task.NotBefore > state.Time {
		return fmt.Sprintf("retried in %s after %d failures, the last one: %s",
			task.NotBefore.Sub(state.Time), task.Failures, task.Reason)
	}
	team := state.Teams[task.Environment+"/"+task.Team]
	if team == nil || team.Removed {
		return fmt.Sprintf("team %s is not declared in the document in force", task.Team)
	}
	if !task.Declared.Fits(team.Quota) {
		return fmt.Sprintf("larger than the quota of team %s", task.Team)
	}
	if !team.Used.Add(task.Declared).Fits(team.Quota) {
		return fmt.Sprintf("team %s has no quota left for it", task.Team)
	}
	return explainVMs(state, task, team)
}

// explainVMs returns the number of VMs that have free capacity for a waiting task or, if there are
// none, the numbers of VMs that cannot take it, by reason.
func explainVMs(state *applier.State, task *jaygw.Task, team *jaygw.Team) string {
	var closed, out, small, full int
	for _, vm := range state.VMs {
		switch {
		case !allows(task.Domains, vm.Domain) || !allows(team.MayStart, vm.Domain):
			closed++
		case vm.Leaving || state.Domains[vm.Domain].Out:
			out++
		case !task.Declared.Fits(vm.Size):
			small++
		case !vm.Committed.Add(task.Declared).Fits(vm.Size):
			full++
		}
	}
	if fitting := len(state.VMs) - closed - out - small - full; fitting > 0 {
		return fmt.Sprintf("%d of %d VMs have room by its declared size; it waits for its turn or for the scheduler's limits",
			fitting, len(state.VMs))
	}
	return fmt.Sprintf("no place on %d VMs: %d in failure domains closed to it, %d leaving or out, %d too small, %d without room now",
		len(state.VMs), closed, out, small, full)
}

// allows reports whether a list of failure domains includes one. An empty list includes all.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
