package launcher

import (
	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
)

// counterObserver derives metrics from applied changes: counts of task events, the number
// of waiting tasks and of those that hold resources, and the promotions of documents.
type counterObserver struct {
	granted   metrics.Counter // new epochs of tasks
	completed metrics.Counter // tasks that became done
	failed    metrics.Counter // failed attempts
	evicted   metrics.Counter // evictions of tasks
	waiting   metrics.Counter // tasks that wait now
	holding   metrics.Counter // tasks that hold resources of a VM now
	promoted  metrics.Counter // promotions of documents to production
	index     metrics.Gauge   // log index of the last promotion
}

func newCounterObserver(registry metrics.Registry) *counterObserver {
	return &counterObserver{
		granted:   metrics.GetOrRegisterCounter("tasks.granted", registry),
		completed: metrics.GetOrRegisterCounter("tasks.completed", registry),
		failed:    metrics.GetOrRegisterCounter("tasks.failed-attempts", registry),
		evicted:   metrics.GetOrRegisterCounter("tasks.evicted", registry),
		waiting:   metrics.GetOrRegisterCounter("tasks.waiting", registry),
		holding:   metrics.GetOrRegisterCounter("tasks.holding", registry),
		promoted:  metrics.GetOrRegisterCounter("documents.promoted", registry),
		index:     metrics.GetOrRegisterGauge("documents.index", registry),
	}
}

// TaskChanged counts changes of tasks.
func (o *counterObserver) TaskChanged(before, after *jaygw.Task) {
	o.count(before, -1)
	o.count(after, 1)
	if before == nil || after == nil {
		return
	}
	if after.Epoch > before.Epoch {
		o.granted.Inc(1)
	}
	if after.State == jaygw.Done && before.State != jaygw.Done {
		o.completed.Inc(1)
	}
	o.failed.Inc(int64(max(0, after.Failures-before.Failures)))
	o.evicted.Inc(int64(max(0, after.Evictions-before.Evictions)))
}

// count adds change to the number of tasks in the state of this one.
func (o *counterObserver) count(task *jaygw.Task, change int64) {
	switch {
	case task == nil:
	case task.State == jaygw.Waiting:
		o.waiting.Inc(change)
	case task.State.Holds():
		o.holding.Inc(change)
	}
}

// VMChanged counts nothing.
func (o *counterObserver) VMChanged(_, _ *jaygw.VM) {}

// DomainChanged counts nothing.
func (o *counterObserver) DomainChanged(*jaygw.FailureDomain) {}

// DocumentChanged counts promotions.
func (o *counterObserver) DocumentChanged(after *jaygw.Submitted) {
	if after.State == jaygw.Production {
		o.promoted.Inc(1)
		o.index.Update(int64(after.Index))
	}
}

// Reset clears the numbers of waiting and holding tasks. The changes that led to a snapshot
// are not observed.
func (o *counterObserver) Reset() {
	o.waiting.Clear()
	o.holding.Clear()
}
