package dispatcher_test

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/platform/emulator"
)

// oracle checks the invariants against what the emulated workers actually run. It checks when a
// worker starts an attempt and when a completion is recorded, since only these can violate them.
type oracle struct {
	sim             *simulation
	outSince        map[string]time.Time            // when each failure domain that is out was taken out
	checkpoints     map[jaygw.Attempt]time.Duration // progress of the checkpoint that an attempt was granted with
	startedAttempts map[jaygw.Attempt]bool          // attempts that a worker has started
	recordedDone    map[jaygw.TaskID]bool           // tasks recorded as done
	startCount      int                             // starts by all workers
	completedCount  int                             // tasks recorded as done
}

var _ jaygw.Observer = (*oracle)(nil)

func newOracle(sim *simulation) oracle {
	return oracle{
		sim: sim, outSince: map[string]time.Time{}, checkpoints: map[jaygw.Attempt]time.Duration{},
		startedAttempts: map[jaygw.Attempt]bool{}, recordedDone: map[jaygw.TaskID]bool{},
	}
}

// checkStart checks the invariants after a worker has started an attempt.
func (o *oracle) checkStart(n *node, run emulator.AttemptRecord) {
	o.startCount++
	id := run.Attempt
	if o.startedAttempts[id] {
		o.sim.failf("attempt %v started twice", id)
	}
	o.startedAttempts[id] = true
	if since, out := o.outSince[n.domain]; out && o.sim.now.Sub(since) > 3*time.Second {
		o.sim.failf("attempt %v started in failure domain %s, which has been out for %v", id, n.domain, o.sim.now.Sub(since))
	}
	if checkpoint, granted := o.checkpoints[id]; !granted || checkpoint != run.StartProgress {
		o.sim.failf("attempt %v started at progress %v, the acknowledged checkpoint has %v", id, run.StartProgress, checkpoint)
	}
	if o.recordedDone[id.Task] {
		o.sim.failf("attempt %v started after its task was recorded as done", id)
	}
	vms := map[jaygw.TaskID]string{}
	for _, other := range o.sim.allNodes {
		var used jaygw.Resources
		for _, r := range other.worker.Running() {
			used = used.Add(r.Size)
			if vm, twice := vms[r.Attempt.Task]; twice {
				o.sim.failf("task %s runs on %s and %s", r.Attempt.Task, vm, other.name)
			}
			vms[r.Attempt.Task] = other.name
		}
		if !used.Fits(other.size) {
			o.sim.failf("VM %s has size %v and runs attempts of total size %v", other.name, other.size, used)
		}
	}
}

// TaskChanged records the checkpoint of a grant. It checks that a completion is recorded once, and
// only of an attempt that a worker has completed.
func (o *oracle) TaskChanged(before, after *jaygw.Task) {
	if after == nil {
		return
	}
	if after.State == jaygw.Granted {
		o.checkpoints[after.Attempt()] = after.Checkpoint.Progress.Std()
	}
	if after.State != jaygw.Done || before != nil && before.State == jaygw.Done {
		return
	}
	if o.recordedDone[after.ID] {
		o.sim.failf("task %s was recorded as done twice", after.ID)
	}
	o.recordedDone[after.ID] = true
	o.completedCount++
	for _, n := range o.sim.allNodes {
		for _, run := range n.worker.History() {
			if run.Attempt == after.Attempt() && run.Complete {
				return
			}
		}
	}
	o.sim.failf("task %s was recorded as done, but attempt %d has not completed", after.ID, after.Epoch)
}

func (o *oracle) VMChanged(*jaygw.VM, *jaygw.VM)   {}
func (o *oracle) DocumentChanged(*jaygw.Submitted) {}
func (o *oracle) Reset()                           {}
func (o *oracle) DomainChanged(d *jaygw.FailureDomain) {
	if !d.Out {
		delete(o.outSince, d.Name)
	} else if _, alreadyOut := o.outSince[d.Name]; !alreadyOut {
		o.outSince[d.Name] = o.sim.now
	}
}
