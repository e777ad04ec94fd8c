package dispatcher_test

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/platform/emulator"
)

// oracle checks the invariants by what the workers really run. Something can
// only break them when a worker starts an attempt or a completion is recorded.
type oracle struct {
	w         *world
	out       map[string]time.Time // failure domains, since
	resumes   map[jaygw.Attempt]time.Duration
	starts    map[jaygw.Attempt]bool
	recorded  map[jaygw.TaskID]bool // as done
	runs      int
	completed int
}

var _ jaygw.Observer = (*oracle)(nil)

func newOracle(w *world) oracle {
	return oracle{
		w: w, out: map[string]time.Time{}, resumes: map[jaygw.Attempt]time.Duration{},
		starts: map[jaygw.Attempt]bool{}, recorded: map[jaygw.TaskID]bool{},
	}
}

// started checks a start that a worker has just made.
func (o *oracle) started(n *node, run emulator.Run) {
	o.runs++
	id := run.Attempt
	if o.starts[id] {
		o.w.failf("attempt %v started twice", id)
	}
	o.starts[id] = true
	if since, out := o.out[n.domain]; out && o.w.now.Sub(since) > 3*time.Second {
		o.w.failf("attempt %v started in domain %s, out for %v", id, n.domain, o.w.now.Sub(since))
	}
	if want, granted := o.resumes[id]; !granted || want != run.From {
		o.w.failf("attempt %v started from %v, the acknowledged checkpoint was %v", id, run.From, want)
	}
	if o.recorded[id.Task] {
		o.w.failf("attempt %v started after its task was recorded as done", id)
	}
	places := map[jaygw.TaskID]string{}
	for _, other := range o.w.all {
		var used jaygw.Resources
		for _, r := range other.worker.Running() {
			used = used.Add(r.Size)
			if place, twice := places[r.Attempt.Task]; twice {
				o.w.failf("task %s runs on %s and %s", r.Attempt.Task, place, other.name)
			}
			places[r.Attempt.Task] = other.name
		}
		if !used.Fits(other.size) {
			o.w.failf("VM %s of size %v runs %v", other.name, other.size, used)
		}
	}
}

// TaskChanged notes the checkpoint of a grant, and checks a completion.
func (o *oracle) TaskChanged(before, after *jaygw.Task) {
	if after == nil {
		return
	}
	if after.State == jaygw.Granted {
		o.resumes[after.Attempt()] = after.Checkpoint.Progress.Std()
	}
	if after.State != jaygw.Done || before != nil && before.State == jaygw.Done {
		return
	}
	if o.recorded[after.ID] {
		o.w.failf("task %s was recorded as done twice", after.ID)
	}
	o.recorded[after.ID] = true
	o.completed++
	for _, n := range o.w.all {
		for _, run := range n.worker.History() {
			if run.Attempt == after.Attempt() && run.Complete {
				return
			}
		}
	}
	o.w.failf("task %s was recorded as done, and attempt %d has not completed", after.ID, after.Epoch)
}

func (o *oracle) VMChanged(*jaygw.VM, *jaygw.VM)   {}
func (o *oracle) DocumentChanged(*jaygw.Submitted) {}
func (o *oracle) Reset()                           {}
func (o *oracle) DomainChanged(d *jaygw.FailureDomain) {
	if !d.Out {
		delete(o.out, d.Name)
	} else if _, known := o.out[d.Name]; !known {
		o.out[d.Name] = o.w.now
	}
}
