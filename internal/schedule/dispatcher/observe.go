package dispatcher

import "github.com/jaygw/jaygw"

var _ jaygw.Observer = (*stateObserver)(nil)

// stateObserver passes applied changes on to a dispatcher. It runs while the replica's state is
// locked, so it only marks what has changed and keeps the scheduler's index current.
type stateObserver struct {
	d *Dispatcher
}

// Observer returns the observer that has to be added to the replica's state machine.
func (d *Dispatcher) Observer() jaygw.Observer { return &stateObserver{d: d} }

// TaskChanged notifies the VMs whose assignments have changed, and the watchers of the view if a
// service task has started or stopped running.
func (o *stateObserver) TaskChanged(before, after *jaygw.Task) {
	o.d.scheduler.TaskChanged(before, after)
	for _, task := range []*jaygw.Task{before, after} {
		if task != nil && task.VM != "" {
			o.d.notifier.NotifyVM(task.VM)
		}
	}
	if viewChanged(before, after) {
		o.d.notifier.NotifyView()
	}
	o.d.wakeUp()
}

// VMChanged notifies the watchers of the view if the change is visible there.
func (o *stateObserver) VMChanged(before, after *jaygw.VM) {
	o.d.scheduler.VMChanged(before, after)
	if before == nil || after == nil || before.Incarnation != after.Incarnation ||
		before.Leaving != after.Leaving || before.Address != after.Address {
		o.d.notifier.NotifyView()
		o.d.wakeUp()
	}
	if after == nil {
		o.d.notifier.RemoveVM(before.Name)
	}
}

// DomainChanged notifies the watchers of the view.
func (o *stateObserver) DomainChanged(after *jaygw.FailureDomain) {
	o.d.scheduler.DomainChanged(after)
	o.d.notifier.NotifyView()
	o.d.wakeUp()
}

// DocumentChanged notifies the watchers of the view.
func (o *stateObserver) DocumentChanged(after *jaygw.Submitted) {
	o.d.scheduler.DocumentChanged(after)
	o.d.notifier.NotifyView()
	o.d.wakeUp()
}

// Reset notifies all VMs and watchers: any part of the state may have changed.
func (o *stateObserver) Reset() {
	o.d.scheduler.Reset()
	o.d.notifier.NotifyAll()
	o.d.wakeUp()
}

// viewChanged reports whether a change of a task adds an upstream to the view or removes one.
func viewChanged(before, after *jaygw.Task) bool {
	isUpstream := func(t *jaygw.Task) bool {
		return t != nil && t.Kind == jaygw.ServiceTask && t.State == jaygw.Running
	}
	return isUpstream(before) != isUpstream(after)
}
