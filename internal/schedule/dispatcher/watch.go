package dispatcher

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// AppliedView describes the view that a watching node has applied.
type AppliedView struct {
	Node     string        // name of the watching node
	Term     uint64        // term of the leader that published the view
	Index    jaygw.Index   // log index up to which the view is current
	Revision uint64        // revision of the view within the term
	Hold     time.Duration // longest time to wait for a change
}

// Watch returns the changes of the view since the revision that the watching node has applied.
// It waits for a change until the hold time has expired, and confirms the leadership with a
// quorum before it returns.
func (d *Dispatcher) Watch(ctx context.Context, seen AppliedView) (*jaygw.ViewDelta, error) {
	d.waitForView(ctx, seen)
	if _, err := d.replica.Confirm(ctx); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isLeader {
		return nil, jaygw.ErrNotLeader
	}
	d.replica.Read(func(machine *applier.Machine) { d.publish(machine.State()) })
	delta := d.views.Since(seen.Term, seen.Revision)
	return &delta, nil
}

// publish builds and publishes the view if it has changed since it was last published.
func (d *Dispatcher) publish(state *applier.State) {
	revision, _ := d.notifier.ViewRevision()
	if revision != d.publishedRevision {
		view := jaygw.View{}
		d.fillView(&view, state)
		d.views.Publish(view)
		d.publishedRevision = revision
	}
	d.views.Advance(state.Index)
}

// Nodes returns the nodes that watch the view of this leader, or nil if this replica does not
// lead.
func (d *Dispatcher) Nodes() []jaygw.NodeStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isLeader {
		return nil
	}
	return d.views.Nodes(time.Now())
}

// waitForView waits until the view differs from what the watching node has applied, or until the
// hold time has expired.
func (d *Dispatcher) waitForView(ctx context.Context, seen AppliedView) {
	timer := time.NewTimer(seen.Hold)
	defer timer.Stop()
	for {
		current, changed := d.isCurrent(seen)
		if !current {
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

// isCurrent records what a watching node has applied and reports whether that is the present
// view. The channel is closed at the next change of the view.
func (d *Dispatcher) isCurrent(seen AppliedView) (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision, changed := d.notifier.ViewRevision()
	if !d.isLeader {
		return false, changed
	}
	d.views.Acknowledge(seen.Node, seen.Term, seen.Index, seen.Revision, time.Now())
	head := d.views.Current()
	return revision == d.publishedRevision && seen.Term == head.Term && seen.Revision == head.Revision, changed
}

// fillView fills an empty view from the state. Its upstreams are the VMs that run a task of a
// service or have announced the service, except VMs that leave, are unresponsive or are in a
// failure domain that is out.
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
	vmsByService := map[string]map[string]bool{} // set of VM names by service
	for _, task := range state.Tasks {
		if task.Kind == jaygw.ServiceTask && task.State == jaygw.Running {
			addServingVM(vmsByService, task.Owner, task.VM)
		}
	}
	for name, vm := range state.VMs {
		for _, service := range vm.Services {
			addServingVM(vmsByService, service, name)
		}
	}
	for service, names := range vmsByService {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			vm := state.VMs[name]
			if vm.Leaving || state.Domains[vm.Domain].Out || d.unresponsive[name] {
				continue
			}
			view.Upstreams[service] = append(view.Upstreams[service], jaygw.Upstream{
				VM: name, Domain: vm.Domain, Address: vm.Address, Incarnation: vm.Incarnation, Since: vm.Since,
			})
		}
	}
}

// addServingVM adds a VM to the set of those that serve a service.
func addServingVM(vmsByService map[string]map[string]bool, service, vm string) {
	if vmsByService[service] == nil {
		vmsByService[service] = map[string]bool{}
	}
	vmsByService[service][vm] = true
}
