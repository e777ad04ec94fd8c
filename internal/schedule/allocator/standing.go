package allocator

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// Standing is the place of an accepted workflow in the order in which Decide serves a queue.
	Standing struct {
		// Started is set once a run has been granted; the tasks of started workflows go first.
		Started bool
		// Late is set if the workflow can no longer meet its objective, and Useless if its end is of no use.
		Late, Useless bool
		// Waiting is the declared work of the tasks that are neither done nor running, in core-seconds.
		Waiting float64
	}

	// Prospect is what a workflow needs and what its queue promises, before it is accepted.
	Prospect struct {
		// Objective is the time within which the workflow should end, and Useful that after which its end is of no use.
		Objective, Useful time.Duration
		// CriticalPath is the declared run time of the longest chain of steps.
		CriticalPath time.Duration
		// Work is the declared work of its tasks, in core-seconds.
		Work float64
	}
)

// StandingOf returns the standing of a workflow without repetitions.
func StandingOf(w *registrar.Workflow, queue *jaygw.Queue, now jaygw.Time) Standing {
	u := urgencyOf(w, queue, 0, now)
	s := Standing{Started: u.unstarted == 0, Late: u.lateness != inTime, Useless: u.lateness == useless}
	for i := range w.Spec.Steps {
		state := w.Occurrences[0].Steps[i]
		s.Waiting += float64(len(state.Tasks)-state.Done-state.Held) * TaskWork(&w.Spec.Steps[i])
	}
	return s
}

// ProspectOf returns the prospect of a workflow in a queue.
func ProspectOf(spec *jaygw.WorkflowSpec, queue *jaygw.Queue) Prospect {
	p := Prospect{Objective: objectiveOf(spec, queue), CriticalPath: criticalPath(spec)}
	p.Useful = maxUsefulMultiple * p.Objective
	for i := range spec.Steps {
		p.Work += float64(spec.Steps[i].Tasks) * TaskWork(&spec.Steps[i])
	}
	return p
}

// TaskWork returns the declared work of one task of a step, in core-seconds.
func TaskWork(step *jaygw.Step) float64 { return cores(step) * step.RunTime.Seconds() }
