package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// plan is the state with the grants of one decision added.
type plan struct {
	state *applier.State
	vms   []*jaygw.VM
	free  map[string]jaygw.Resources
	used  map[string]jaygw.Resources // by team
	peers map[string]int             // by owner and VM
}

func newPlan(state *applier.State, healthy func(string) bool) *plan {
	p := &plan{
		state: state,
		free:  map[string]jaygw.Resources{},
		used:  map[string]jaygw.Resources{},
		peers: map[string]int{},
	}
	for _, name := range slices.Sorted(maps.Keys(state.VMs)) {
		vm := state.VMs[name]
		if vm.Leaving || state.Domains[vm.Domain].Out || !healthy(name) {
			continue
		}
		p.vms = append(p.vms, vm)
		p.free[name] = vm.Size.Sub(vm.Committed)
	}
	for key, team := range state.Teams {
		p.used[key] = team.Used
	}
	for _, task := range state.Tasks {
		if task.State.Holds() {
			p.peers[task.Owner+"@"+task.VM]++
		}
	}
	return p
}

// place reserves the VM with the fewest tasks of the same owner, then the most
// free processors, or returns nil.
func (p *plan) place(task *jaygw.Task) *jaygw.VM {
	key := task.Environment + "/" + task.Team
	team := p.state.Teams[key]
	if team == nil || !p.used[key].Add(task.Declared).Fits(team.Quota) {
		return nil
	}
	var best *jaygw.VM
	for _, vm := range p.vms {
		if !task.Declared.Fits(p.free[vm.Name]) || !allows(task.Domains, vm.Domain) || !allows(team.MayStart, vm.Domain) {
			continue
		}
		if best == nil || p.better(task, vm, best) {
			best = vm
		}
	}
	if best != nil {
		p.free[best.Name] = p.free[best.Name].Sub(task.Declared)
		p.used[key] = p.used[key].Add(task.Declared)
		p.peers[task.Owner+"@"+best.Name]++
	}
	return best
}

func (p *plan) better(task *jaygw.Task, a, b *jaygw.VM) bool {
	return cmp.Or(
		cmp.Compare(p.peers[task.Owner+"@"+a.Name], p.peers[task.Owner+"@"+b.Name]),
		cmp.Compare(p.free[b.Name].CPU, p.free[a.Name].CPU),
	) < 0
}

func allows(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
