package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
)

type (
	// classKey identifies the workflows that wait for the same capacity: those of a queue that need the same label.
	classKey struct{ queue, label string }

	// class is the state of the workflows with one key. Work is counted in declared core-seconds, so that errors of the
	// declared run times cancel out between the backlog and the rates.
	class struct {
		service  string
		priority int
		offered  meter // work of the submitted workflows, whether admitted or not
		done     meter // work of the runs that have ended as done

		backlog     backlog
		lastDelayed jaygw.Time // latest time at which they did
		delayed     jaygw.Time // since when the waiting tasks have taken minBacklog to serve; zero if they have not for overloadEnd
		rate        float64    // work per second that the class is served, or is entitled to
		// crowding is set if other classes get less than their share while this one gets more.
		crowding bool
		// sheltered is the time until which nothing of the class is refused or learned from, because others took its
		// share while it asked for no more than that.
		sheltered jaygw.Time
		// virtual is the admitted work that its share of the pool has not served yet.
		virtual  float64
		reserved float64 // work of refused workflows that are due to return
		refused  float64 // work of refused workflows that are expected to return
		pending  map[string]pendingWorkflow

		predicted map[string]prediction // by id of the admitted workflow
		calm      calibration           // of workflows admitted without overload
		busy      calibration           // of workflows admitted under overload, which wait between their steps
	}

	// backlog is the work of a class that waits.
	backlog struct {
		started   float64     // of started workflows, which go first
		sizes     []float64   // of each unstarted workflow that can meet its objective, sorted
		sums      []float64   // sums[i] is the sum of sizes[:i+1]
		late      float64     // of unstarted workflows that cannot
		running   float64     // work per second of the placed runs by their learned durations
		waits     []readyWork // by workflow
		delayed   float64     // of the tasks that could start now, without those of workflows that are larger than most
		longest   time.Duration
		workflows int
	}

	// readyWork is the work of a workflow and of its tasks that could start now.
	readyWork struct{ total, ready float64 }

	// prediction is the predicted time until the end of a workflow.
	prediction struct {
		took time.Duration
		busy bool // made under overload
	}

	// pendingWorkflow is a workflow that was admitted and is not known to be in the state.
	pendingWorkflow struct {
		work float64
		at   jaygw.Time
	}
)

const (
	// minBacklog is the time that the tasks that could start take at the measured rate from which on a class counts as
	// overloaded. Without overload, a task waits for the next decision and its commit, which take less.
	minBacklog = 500 * time.Millisecond

	// maxTypicalSize is the size of a workflow, as a multiple of the median, up to which its waiting tasks show an
	// overload: larger ones may wait for a VM while the others start at once.
	maxTypicalSize = 2

	// overloadEnd is the time without such a backlog after which an overload is over. The backlog of a class that
	// is limited by admission goes to zero now and then.
	overloadEnd = meterWindow

	// pendingAge is the time after which an admitted workflow that is not in the state counts no longer. It exceeds the
	// time limit of a caller's request.
	pendingAge = 3 * time.Second
)

// updateDelayed updates whether the class is overloaded.
func (c *class) updateDelayed(now jaygw.Time) {
	if c.backlog.delayed > minBacklog.Seconds()*c.measuredRate(now) {
		c.lastDelayed = now
		if c.delayed == 0 {
			c.delayed = now
		}
	} else if now.Sub(c.lastDelayed) >= overloadEnd || now.Sub(c.delayed) < overloadTime {
		c.delayed = 0
	}
}

// isOverloaded reports whether the class has been overloaded for some time.
func (c *class) isOverloaded(now jaygw.Time) bool {
	return c.delayed != 0 && now.Sub(c.delayed) >= overloadTime
}

// correction returns the time that workflows take beyond the prediction.
func (c *class) correction(now jaygw.Time) time.Duration {
	if c.isOverloaded(now) && len(c.busy.errors) >= minCalibration {
		return c.busy.correction()
	}
	return c.calm.correction()
}

func keyOf(queue string, spec *jaygw.WorkflowSpec) classKey {
	for i := range spec.Steps {
		if spec.Steps[i].Label != "" {
			return classKey{queue, spec.Steps[i].Label}
		}
	}
	return classKey{queue, ""}
}

// add adds an active workflow.
func (b *backlog) add(w *registrar.Workflow, queue *jaygw.Queue, estimate estimateFunc, now jaygw.Time) {
	s := allocator.StandingOf(w, queue, now)
	b.workflows++
	wait := readyWork{}
	for i := range w.Spec.Steps {
		step, state := &w.Spec.Steps[i], w.Occurrences[0].Steps[i]
		median := estimate(queue.Name, i, step.RunTime).Median
		b.longest = max(b.longest, median)
		if median > 0 {
			b.running += float64(state.Held) * allocator.TaskWork(step) / median.Seconds()
		}
		if !s.Useless && !step.Gang && w.Ready(0, i) { // a gang may wait for a VM that others need not wait for
			wait.ready += float64(len(state.Tasks)-state.Done-state.Held) * allocator.TaskWork(step)
		}
		wait.total += float64(step.Tasks) * allocator.TaskWork(step)
	}
	b.waits = append(b.waits, wait)
	switch {
	case s.Useless:
	case s.Started:
		b.started += s.Waiting
	case s.Late:
		b.late += s.Waiting
	default:
		b.sizes = append(b.sizes, s.Waiting)
	}
}

// index sorts the workflows by size, and sums up the tasks of those of a typical size that wait.
func (b *backlog) index() {
	slices.SortFunc(b.waits, func(x, y readyWork) int { return cmp.Compare(x.total, y.total) })
	for _, w := range b.waits {
		if w.total <= maxTypicalSize*b.waits[len(b.waits)/2].total {
			b.delayed += w.ready
		}
	}
	slices.Sort(b.sizes)
	b.sums = make([]float64, len(b.sizes))
	sum := 0.0
	for i, size := range b.sizes {
		sum += size
		b.sums[i] = sum
	}
}

// ahead returns the work that is served before a new workflow of a size: that of started workflows and of unstarted
// ones that can meet their objective and need no more work.
func (c *class) ahead(size float64) float64 {
	sum := c.backlog.started
	count, equal := slices.BinarySearch(c.backlog.sizes, size)
	for equal && count < len(c.backlog.sizes) && c.backlog.sizes[count] == size {
		count++
	}
	if count > 0 {
		sum += c.backlog.sums[count-1]
	}
	for _, p := range c.pending {
		if p.work <= size {
			sum += p.work
		}
	}
	return sum
}

// measuredRate returns the work per second that the class is served. While the class has not been overloaded for long,
// the ends of runs show what it was offered, or come from before all of the capacity was used: then the placed runs
// count if they are more.
func (c *class) measuredRate(now jaygw.Time) float64 {
	done := c.done.rate(now)
	if c.delayed != 0 && now.Sub(c.delayed) > meterWindow+c.backlog.longest {
		return done
	}
	return max(done, c.backlog.running)
}
