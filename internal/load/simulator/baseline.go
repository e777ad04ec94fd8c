package simulator

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Baseline is a simple policy to compare with. It places tasks by declared size, evicts any bulk
// batch task for an urgent task, and immediately evicts all tasks from a failure domain that is out.
type Baseline struct {
	// LeastLoaded selects the VM with the most free CPU instead of the first one that fits.
	LeastLoaded bool

	decidedIndex   jaygw.Index // index of the state at the last decision
	backoffPending bool        // some tasks could not start yet because of their backoff
}

var _ Policy = (*Baseline)(nil)

// TaskChanged does nothing.
func (b *Baseline) TaskChanged(_, _ *jaygw.Task) {}

// VMChanged does nothing.
func (b *Baseline) VMChanged(_, _ *jaygw.VM) {}

// DomainChanged does nothing.
func (b *Baseline) DomainChanged(*jaygw.FailureDomain) {}

// DocumentChanged does nothing.
func (b *Baseline) DocumentChanged(*jaygw.Submitted) {}

// Reset does nothing.
func (b *Baseline) Reset() {}

// Observe does nothing: the baseline ignores usage reports.
func (b *Baseline) Observe(*applier.Machine, string, []jaygw.Usage, jaygw.Time) {}

// Orders returns no orders.
func (b *Baseline) Orders(string, jaygw.Time) []jaygw.Order { return nil }

// Decide examines every task and every VM, unless nothing has changed since the last decision.
func (b *Baseline) Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command {
	state := machine.State()
	if state.Index == b.decidedIndex && !b.backoffPending {
		return nil
	}
	b.decidedIndex, b.backoffPending = state.Index, false
	var waiting []*jaygw.Task
	var evictions []jaygw.Eviction
	for _, task := range state.Tasks {
		switch {
		case task.State == jaygw.Waiting && task.NotBefore <= now:
			waiting = append(waiting, task)
		case task.State == jaygw.Waiting:
			b.backoffPending = true
		case (task.State == jaygw.Running || task.State == jaygw.Granted) && state.Domains[state.VMs[task.VM].Domain].Out:
			evictions = append(evictions, jaygw.Eviction{Attempt: task.Attempt(), Reason: "domain out"})
		}
	}
	slices.SortFunc(evictions, func(a, b jaygw.Eviction) int { return cmp.Compare(a.Attempt.Task, b.Attempt.Task) })
	slices.SortFunc(waiting, func(a, b *jaygw.Task) int {
		return cmp.Or(cmp.Compare(a.Class.Priority(), b.Class.Priority()),
			cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	free, vmNames := map[string]jaygw.Resources{}, []string{}
	for name, vm := range state.VMs {
		if !state.Domains[vm.Domain].Out {
			free[name] = vm.Size.Sub(vm.Committed)
			vmNames = append(vmNames, name)
		}
	}
	slices.Sort(vmNames)
	usedByTeam := map[string]jaygw.Resources{}
	for teamKey, team := range state.Teams {
		usedByTeam[teamKey] = team.Used
	}
	var grants []jaygw.Grant
	for _, task := range waiting {
		teamKey := task.Environment + "/" + task.Team
		if !usedByTeam[teamKey].Add(task.Declared).Fits(state.Teams[teamKey].Quota) {
			continue
		}
		best := ""
		for _, name := range vmNames {
			if task.Declared.Fits(free[name]) && (best == "" || b.LeastLoaded && free[name].CPU > free[best].CPU) {
				best = name
			}
		}
		if best == "" {
			if task.Class == jaygw.Urgent {
				evictions = append(evictions, b.evictForUrgent(machine, task, vmNames, free)...)
			}
			continue
		}
		free[best] = free[best].Sub(task.Declared)
		usedByTeam[teamKey] = usedByTeam[teamKey].Add(task.Declared)
		grants = append(grants, jaygw.Grant{Task: task.ID, After: task.Epoch, VM: best, Incarnation: 1, Reserve: task.Declared})
	}
	var commands []jaygw.Command
	if len(evictions) > 0 {
		commands = append(commands, jaygw.Command{Evict: &jaygw.EvictTasks{Evictions: evictions}})
	}
	if len(grants) > 0 {
		commands = append(commands, jaygw.Command{Grant: &jaygw.GrantTasks{Grants: grants}})
	}
	return commands
}

// evictForUrgent returns the evictions of bulk batch tasks that free enough capacity for an urgent
// task. It tries the VMs in the order of their free CPU, and on each one the tasks in the order of
// their ids.
func (b *Baseline) evictForUrgent(
	machine *applier.Machine, task *jaygw.Task, vmNames []string, free map[string]jaygw.Resources,
) (evictions []jaygw.Eviction) {
	byFree := slices.SortedStableFunc(slices.Values(vmNames), func(a, b string) int { return cmp.Compare(free[b].CPU, free[a].CPU) })
	for _, name := range byFree {
		available := free[name]
		evictions = evictions[:0]
		for _, id := range machine.TasksOn(name) {
			candidate := machine.State().Tasks[id]
			if candidate.Class == jaygw.Bulk && candidate.Kind == jaygw.BatchTask && !task.Declared.Fits(available) {
				available = available.Add(candidate.Reserved)
				if candidate.State == jaygw.Running {
					evictions = append(evictions, jaygw.Eviction{Attempt: candidate.Attempt(), Reason: "urgent"})
				}
			}
		}
		if task.Declared.Fits(available) {
			free[name] = available.Sub(task.Declared)
			return evictions
		}
	}
	return nil
}
