package orchestrator

import (
	"context"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/admitter"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// admission refuses submissions under overload while the replica leads. Its methods do nothing if it is nil. Its
// mutex is taken while the state is locked, so the state must not be locked while it is held.
type admission struct {
	mu        sync.Mutex
	admitter  *admitter.Admitter // nil while the replica does not lead
	refreshed time.Time
	gauges    map[string]bool // queues with a gauge

	logSecond  int64 // second of the latest log line
	logLines   int   // lines in that second
	suppressed int   // refusals without a line
}

const (
	// admissionInterval is the least time between two updates of the summary, each of which reads all workflows.
	admissionInterval = 100 * time.Millisecond

	// maxRefusalLines bounds the log lines of refusals in one second.
	maxRefusalLines = 20
)

// WithAdmission sets whether submissions are refused under overload. The default is not to.
func WithAdmission(enabled bool) Option {
	return func(o *Orchestrator) {
		o.admission = nil
		if enabled {
			o.admission = &admission{gauges: map[string]bool{}}
		}
	}
}

// reset starts the warm-up of a new leadership, or ends one.
func (a *admission) reset(leads bool, now jaygw.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitter, a.refreshed = nil, time.Time{}
	if leads {
		a.admitter = admitter.New(now)
	}
}

// recordEnd records the end of a workflow. It is called while the state is locked.
func (a *admission) recordEnd(w *registrar.Workflow, now jaygw.Time) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitter != nil {
		a.admitter.RecordEnd(w, now)
	}
}

// decide decides on a submission. It reports false while the replica does not lead.
func (a *admission) decide(s admitter.Submission, now jaygw.Time) (admitter.Decision, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitter == nil {
		return admitter.Decision{}, false
	}
	return a.admitter.Decide(s, now), true
}

// countLine reports whether a refusal gets a log line, and for how many earlier ones there was none.
func (a *admission) countLine(now time.Time) (suppressed int, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if second := now.Unix(); second != a.logSecond {
		a.logSecond, a.logLines = second, 0
	}
	if a.logLines >= maxRefusalLines {
		a.suppressed++
		return 0, false
	}
	a.logLines++
	suppressed, a.suppressed = a.suppressed, 0
	return suppressed, true
}

// refreshAdmission updates the summary of the work by queue if it is due. The VM table and the state must be locked.
func (o *Orchestrator) refreshAdmission(state *registrar.Registrar, out map[string]bool, now time.Time) {
	a := o.admission
	if a == nil || state.Catalog() == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admitter == nil || now.Sub(a.refreshed) < admissionInterval {
		return
	}
	a.refreshed = now
	cores, largest := o.usableSizes(out, now)
	a.admitter.Refresh(admitter.View{
		Catalog: state.Catalog(), Workflows: state.Active(), Cores: cores, Largest: largest, Estimate: o.estimate,
		Known: func(id string) bool { return state.Workflow(id) != nil },
	}, jaygw.TimeOf(now))
	expected := a.admitter.Expected()
	for queue := range expected {
		a.gauges[queue] = true
	}
	for queue := range a.gauges {
		metrics.GetOrRegisterGauge("admission.expected-ms."+queue, o.registry).Update(expected[queue].Milliseconds())
	}
}

// usableSizes returns the CPU of the VMs that can take runs and the size that fits on one of them, by service.
func (t *vmTable) usableSizes(out map[string]bool, now time.Time) (cores map[string]float64, largest map[string]jaygw.Resources) {
	cores, largest = map[string]float64{}, map[string]jaygw.Resources{}
	for _, vm := range t.vms {
		if vm.worker == nil || vm.worker.Draining || out[vm.worker.Domain] || vm.unhealthy != "" || now.Sub(vm.lastPoll) > maxPollAge {
			continue
		}
		service, size := vm.worker.Service, vm.worker.Size
		cores[service] += float64(size.CPU) / float64(jaygw.Core)
		largest[service] = largest[service].Max(size)
	}
	return cores, largest
}

// recordDone records the tasks that the committed ends of a poll complete.
func (o *Orchestrator) recordDone(request jaygw.PollRequest, result jaygw.Result) {
	a := o.admission
	if a == nil || result.Refusal != nil {
		return
	}
	now := jaygw.TimeOf(time.Now())
	o.replica.Read(func(machine *applier.Machine) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for i, e := range request.Ended {
			ignored := i < len(result.Results) && result.Results[i].Detail != ""
			w := machine.Registrar().Workflow(e.Run.Task.Workflow)
			if a.admitter == nil || ignored || w == nil || e.Outcome != jaygw.RunDone {
				continue
			}
			a.admitter.RecordDone(&w.Spec, &w.Queue, e.Run.Task.Step, now)
		}
	})
}

// RefuseSubmission decides on a submission before it is proposed. It returns nil if the submission is to be proposed: if
// it is admitted, its workflow is known or the replica does not lead. A refused submission has not been
// proposed, and its workflow is not in a state that a quorum has confirmed since the call began.
func (o *Orchestrator) RefuseSubmission(ctx context.Context, submit *jaygw.SubmitWorkflow) *jaygw.Refusal {
	a := o.admission
	if a == nil || !o.leading.Load() {
		return nil
	}
	queue, ok := o.queueOf(submit)
	if !ok || len(submit.Spec.Check(registrar.DefaultLimits().Tasks)) > 0 {
		return nil
	}
	now := time.Now()
	d, ok := a.decide(admitter.Submission{Spec: &submit.Spec, Queue: &queue}, jaygw.TimeOf(now))
	if !ok {
		return nil
	}
	if !d.Refused {
		o.incrementCounter("admission.admitted." + queue.Name)
		return nil
	}
	if _, err := o.replica.Confirm(ctx); err != nil {
		o.log.WithError(err).WithField("workflow", submit.Spec.ID).Warn("scheduler: state not confirmed, submission not refused")
		return nil
	}
	if _, ok := o.queueOf(submit); !ok || !o.leading.Load() {
		return nil
	}
	o.reportRefusal(submit, queue.Name, d, now)
	refusal := jaygw.Refuse(jaygw.RefusedOverload, "queue %s is overloaded", queue.Name).Refusal
	refusal.RetryAfter = d.RetryAfter
	return refusal
}

// queueOf returns a copy of the queue that would take a submission. It reports false for one that is not to be
// refused: one of a known workflow, and one that the state machine refuses or answers by itself.
func (o *Orchestrator) queueOf(submit *jaygw.SubmitWorkflow) (found jaygw.Queue, ok bool) {
	o.replica.Read(func(machine *applier.Machine) {
		state := machine.Registrar()
		catalog := state.Catalog()
		queue, id := catalog.FindQueue(submit.Host, submit.Path)
		stale := catalog != nil && submit.CatalogLimit != nil && catalog.Number > *submit.CatalogLimit
		if queue != nil && !stale && id == submit.Spec.ID && state.Workflow(id) == nil {
			found, ok = *queue, true
		}
	})
	return found, ok
}

// reportRefusal logs and counts a refusal.
func (o *Orchestrator) reportRefusal(submit *jaygw.SubmitWorkflow, queue string, d admitter.Decision, now time.Time) {
	o.incrementCounter("admission.refused." + queue)
	suppressed, ok := o.admission.countLine(now)
	if !ok {
		return
	}
	expected := d.Expected.String()
	if d.Expected == admitter.Never {
		expected = "not under this load"
	}
	o.log.WithFields(logrus.Fields{
		"workflow": submit.Spec.ID, "queue": queue, "expected": expected, "objective": d.Objective.String(),
		"retry-after": d.RetryAfter.String(), "again": d.Preferred, "suppressed": suppressed,
	}).Info("scheduler: submission refused")
}
