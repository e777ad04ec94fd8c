package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Seen is what a watcher already has.
type Seen struct {
	Term     uint64
	Revision uint64
	Hold     time.Duration
}

// Watch returns the present view, confirmed by a quorum, once it differs from
// what the watcher has seen or the watcher's time is over.
func (d *Dispatcher) Watch(ctx context.Context, seen Seen) (*jaygw.View, error) {
	d.holdWatch(ctx, seen)
	if _, err := d.replica.Confirm(ctx); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.leads {
		return nil, jaygw.ErrNotLeader
	}
	revision, _ := d.notes.ofView()
	view := &jaygw.View{Term: d.term, Revision: revision}
	d.replica.Read(func(machine *applier.Machine) { d.fillView(view, machine.State()) })
	return view, nil
}

func (d *Dispatcher) holdWatch(ctx context.Context, seen Seen) {
	timer := time.NewTimer(seen.Hold)
	defer timer.Stop()
	for {
		revision, changed := d.notes.ofView()
		if revision != seen.Revision || d.currentTerm() != seen.Term {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (d *Dispatcher) currentTerm() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term
}

func (d *Dispatcher) fillView(view *jaygw.View, state *applier.State) {
	view.Index = state.Index
	view.Contracts = map[string]jaygw.Contract{}
	view.Domains = map[string]jaygw.FailureDomain{}
	view.Upstreams = map[string][]jaygw.Upstream{}
	for _, environment := range state.Environments {
		if environment.InForce == nil {
			continue
		}
		for _, service := range environment.InForce.Document.Services {
			view.Contracts[service.Name] = service.Contract(environment.Name)
		}
	}
	for name, domain := range state.Domains {
		view.Domains[name] = *domain
	}
	serving := map[string]map[string]bool{} // VMs by service
	for _, task := range state.Tasks {
		if task.Kind == jaygw.ServiceTask && task.State == jaygw.Running {
			addServing(serving, task.Owner, task.VM)
		}
	}
	for name, vm := range state.VMs {
		for _, service := range vm.Services {
			addServing(serving, service, name)
		}
	}
	for service, names := range serving {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			vm := state.VMs[name]
			if vm.Leaving || state.Domains[vm.Domain].Out || d.silent[name] {
				continue
			}
			view.Upstreams[service] = append(view.Upstreams[service], jaygw.Upstream{
				VM: name, Domain: vm.Domain, Address: vm.Address, Incarnation: vm.Incarnation, Since: vm.Since,
			})
		}
	}
}

func addServing(serving map[string]map[string]bool, service, vm string) {
	if serving[service] == nil {
		serving[service] = map[string]bool{}
	}
	serving[service][vm] = true
}
