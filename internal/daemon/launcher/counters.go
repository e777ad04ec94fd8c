package launcher

import (
	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
)

// counterObserver counts applied changes: batch throughput, evictions, and how far the
// documents are.
type counterObserver struct {
	granted   metrics.Counter
	completed metrics.Counter
	failed    metrics.Counter
	evicted   metrics.Counter
	waiting   metrics.Counter
	holding   metrics.Counter
	promoted  metrics.Counter
	index     metrics.Gauge
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
func (t *counterObserver) TaskChanged(before, after *jaygw.Task) {
	t.level(before, -1)
	t.level(after, 1)
	if before == nil || after == nil {
		return
	}
	if after.Epoch > before.Epoch {
		t.granted.Inc(1)
	}
	if after.State == jaygw.Done && before.State != jaygw.Done {
		t.completed.Inc(1)
	}
	t.failed.Inc(int64(max(0, after.Failures-before.Failures)))
	t.evicted.Inc(int64(max(0, after.Evictions-before.Evictions)))
}

func (t *counterObserver) level(task *jaygw.Task, change int64) {
	switch {
	case task == nil:
	case task.State == jaygw.Waiting:
		t.waiting.Inc(change)
	case task.State.Holds():
		t.holding.Inc(change)
	}
}

// VMChanged counts nothing.
func (t *counterObserver) VMChanged(_, _ *jaygw.VM) {}

// DomainChanged counts nothing.
func (t *counterObserver) DomainChanged(*jaygw.FailureDomain) {}

// DocumentChanged counts promotions.
func (t *counterObserver) DocumentChanged(after *jaygw.Submitted) {
	if after.State == jaygw.Production {
		t.promoted.Inc(1)
		t.index.Update(int64(after.Index))
	}
}

// Reset starts the levels again: the changes of a snapshot are not observed.
func (t *counterObserver) Reset() {
	t.waiting.Clear()
	t.holding.Clear()
}
