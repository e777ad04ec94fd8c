package allocator

import (
	"cmp"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// urgency orders waiting steps. Work that is too late to be of use goes last; then the priority
	// of the queue decides.
	//
	// Within a queue, started workflows go first: under overload, all of them would end late if new
	// ones took their capacity. Next come workflows that can still meet their objective, judged by
	// the run times of their remaining steps, and those with the least remaining work: the capacity
	// then serves the most callers in time. Ordered by the time of the objective, it would go to the
	// workflows that are most likely to miss it.
	urgency struct {
		lateness      lateness
		priority      int
		unstarted     int // 0: a run of it has been granted; 1: none has
		remainingWork time.Duration
		objective     jaygw.Time
	}

	// lateness tells whether a workflow can meet its objective.
	lateness int
)

const (
	inTime lateness = iota
	late
	useless // a result would be of no use to the caller
)

// maxUsefulMultiple is the multiple of the objective after which a result is of no use to
// the caller.
const maxUsefulMultiple = 3

func urgencyOf(w *registrar.Workflow, queue *jaygw.Queue, occurrence int, now jaygw.Time) urgency {
	start := max(w.Accepted, w.Spec.ScheduledTime(occurrence))
	objective := objectiveOf(&w.Spec, queue)
	u := urgency{priority: queue.Priority, objective: start.Add(objective)}
	if hasLastingStep(&w.Spec) {
		return u
	}
	if !w.HasGrants() {
		u.unstarted = 1
	}
	u.remainingWork = remainingWork(w, occurrence)
	switch expected := now.Sub(start) + remainingCriticalPath(w, occurrence); {
	case expected > maxUsefulMultiple*objective:
		u.lateness = useless
	case expected > objective:
		u.lateness = late
	}
	return u
}

// remainingWork returns the declared processor time of the tasks that are not done.
func remainingWork(w *registrar.Workflow, occurrence int) time.Duration {
	work := 0.0
	for i := range w.Spec.Steps {
		step, state := &w.Spec.Steps[i], w.Occurrences[occurrence].Steps[i]
		work += float64(len(state.Tasks)-state.Done) * cores(step) * float64(step.RunTime)
	}
	return time.Duration(work)
}

// remainingCriticalPath returns the run time of the longest chain of steps that are not
// done. Running tasks count half, as they are half done on average.
func remainingCriticalPath(w *registrar.Workflow, occurrence int) time.Duration {
	ends := make([]time.Duration, len(w.Spec.Steps))
	longest := time.Duration(0)
	for i, s := range w.Spec.Steps {
		state := w.Occurrences[occurrence].Steps[i]
		left := s.RunTime
		switch {
		case state.Done == len(state.Tasks):
			left = 0
		case state.Done+state.Held == len(state.Tasks):
			left /= 2
		}
		for _, predecessor := range s.After {
			ends[i] = max(ends[i], ends[predecessor])
		}
		ends[i] += left
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time from its acceptance within which a workflow should end. It
// follows from the declared run times of the steps and from the stretch and latency target
// of the queue.
func Objective(w *registrar.Workflow) time.Duration { return objectiveOf(&w.Spec, &w.Queue) }

// UsefulTime returns the time from its acceptance after which the result of a workflow is of no use to its caller.
func UsefulTime(w *registrar.Workflow) time.Duration { return maxUsefulMultiple * Objective(w) }

func objectiveOf(spec *jaygw.WorkflowSpec, queue *jaygw.Queue) time.Duration {
	return time.Duration(max(1, queue.Stretch)*float64(criticalPath(spec))) + queue.LatencyTarget
}

func hasLastingStep(spec *jaygw.WorkflowSpec) bool {
	for _, s := range spec.Steps {
		if s.Lasting {
			return true
		}
	}
	return false
}

// compare returns a negative number if u is more urgent than o.
func (u urgency) compare(o urgency) int {
	return cmp.Or(compareBool(u.lateness == useless, o.lateness == useless), cmp.Compare(u.priority, o.priority),
		cmp.Compare(u.unstarted, o.unstarted), cmp.Compare(u.lateness, o.lateness),
		cmp.Compare(u.remainingWork, o.remainingWork), cmp.Compare(u.objective, o.objective))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// criticalPath returns the declared run time of a workflow's longest chain of steps.
func criticalPath(spec *jaygw.WorkflowSpec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i, s := range spec.Steps {
		start := time.Duration(0)
		for _, predecessor := range s.After {
			start = max(start, ends[predecessor])
		}
		ends[i] = start + s.RunTime
		longest = max(longest, ends[i])
	}
	return longest
}
