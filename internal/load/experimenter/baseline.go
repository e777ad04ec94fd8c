package experimenter

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Baseline is a simple policy: it places by declared sizes, evicts any bulk batch
// work for urgent work, and empties a domain that is out at once.
type Baseline struct {
	// LeastLoaded takes the VM with the most free CPU, else the first that fits.
	LeastLoaded bool

	decided jaygw.Index // the state of the last decision
	delayed bool        // some tasks waited for their backoff
}

var _ Policy = (*Baseline)(nil)

// TaskChanged is ignored.
func (b *Baseline) TaskChanged(_, _ *jaygw.Task) {}

// VMChanged is ignored.
func (b *Baseline) VMChanged(_, _ *jaygw.VM) {}

// DomainChanged is ignored.
func (b *Baseline) DomainChanged(*jaygw.FailureDomain) {}

// DocumentChanged is ignored.
func (b *Baseline) DocumentChanged(*jaygw.Submitted) {}

// Reset is ignored.
func (b *Baseline) Reset() {}

// Observe is ignored.
func (b *Baseline) Observe(*applier.Machine, string, []jaygw.Usage, jaygw.Time) {}

// Orders returns nothing.
func (b *Baseline) Orders(string, jaygw.Time) []jaygw.Order { return nil }

// Decide looks at every task and every VM.
func (b *Baseline) Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command {
	state := machine.State()
	if state.Index == b.decided && !b.delayed {
		return nil
	}
	b.decided, b.delayed = state.Index, false
	var waiting []*jaygw.Task
	var evictions []jaygw.Eviction
	for _, task := range state.Tasks {
		switch {
		case task.State == jaygw.Waiting && task.NotBefore <= now:
			waiting = append(waiting, task)
		case task.State == jaygw.Waiting:
			b.delayed = true
		case (task.State == jaygw.Running || task.State == jaygw.Granted) && state.Domains[state.VMs[task.VM].Domain].Out:
			evictions = append(evictions, jaygw.Eviction{Attempt: task.Attempt(), Reason: "domain out"})
		}
	}
	slices.SortFunc(evictions, func(a, b jaygw.Eviction) int { return cmp.Compare(a.Attempt.Task, b.Attempt.Task) })
	slices.SortFunc(waiting, func(a, b *jaygw.Task) int {
		return cmp.Or(cmp.Compare(a.Class.Priority(), b.Class.Priority()),
			cmp.Compare(a.Submitted, b.Submitted), cmp.Compare(a.ID, b.ID))
	})
	free, names := map[string]jaygw.Resources{}, []string{}
	for name, vm := range state.VMs {
		if !state.Domains[vm.Domain].Out {
			free[name] = vm.Size.Sub(vm.Committed)
			names = append(names, name)
		}
	}
	slices.Sort(names)
	used := map[string]jaygw.Resources{}
	for key, team := range state.Teams {
		used[key] = team.Used
	}
	var grants []jaygw.Grant
	for _, task := range waiting {
		key := task.Environment + "/" + task.Team
		if !used[key].Add(task.Declared).Fits(state.Teams[key].Quota) {
			continue
		}
		best := ""
		for _, name := range names {
			if task.Declared.Fits(free[name]) && (best == "" || b.LeastLoaded && free[name].CPU > free[best].CPU) {
				best = name
			}
		}
		if best == "" {
			if task.Class == jaygw.Urgent {
				evictions = append(evictions, b.makeRoom(machine, task, names, free)...)
			}
			continue
		}
		free[best] = free[best].Sub(task.Declared)
		used[key] = used[key].Add(task.Declared)
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

// makeRoom evicts bulk batch tasks on the VM with the most free CPU, in the order
// of their ids.
func (b *Baseline) makeRoom(
	machine *applier.Machine, task *jaygw.Task, names []string, free map[string]jaygw.Resources,
) (evictions []jaygw.Eviction) {
	byFree := slices.SortedStableFunc(slices.Values(names), func(a, b string) int { return cmp.Compare(free[b].CPU, free[a].CPU) })
	for _, name := range byFree {
		room := free[name]
		evictions = evictions[:0]
		for _, id := range machine.TasksOn(name) {
			other := machine.State().Tasks[id]
			if other.Class == jaygw.Bulk && other.Kind == jaygw.BatchTask && !task.Declared.Fits(room) {
				room = room.Add(other.Reserved)
				if other.State == jaygw.Running {
					evictions = append(evictions, jaygw.Eviction{Attempt: other.Attempt(), Reason: "urgent"})
				}
			}
		}
		if task.Declared.Fits(room) {
			free[name] = room.Sub(task.Declared)
			return evictions
		}
	}
	return nil
}
