package registrar

import (
	"fmt"
	"slices"

	"github.com/jaygw/jaygw"
)

// vmRuns holds the placed runs of a VM and what they take.
type vmRuns struct {
	placed map[jaygw.Run]*Placement
	taken  jaygw.Resources
	steps  map[jaygw.StepTask]int // runs by step
}

// placed returns the placed runs of a VM.
func (r *Registrar) placed(vm string) map[jaygw.Run]*Placement {
	if runs := r.runsByVM[vm]; runs != nil {
		return runs.placed
	}
	return nil
}

// addPlaced adds a placed run to the index, or replaces it there.
func (r *Registrar) addPlaced(p *Placement) {
	runs := r.runsByVM[p.VM]
	if runs == nil {
		runs = &vmRuns{placed: map[jaygw.Run]*Placement{}, steps: map[jaygw.StepTask]int{}}
		r.runsByVM[p.VM] = runs
	}
	if runs.placed[p.Run] == nil {
		runs.taken = runs.taken.Add(r.reserved(p.Run.Task))
		runs.steps[stepOf(p.Run.Task)]++
	}
	runs.placed[p.Run] = p
}

// removePlaced removes a placed run from the index.
func (r *Registrar) removePlaced(p *Placement) {
	runs := r.runsByVM[p.VM]
	delete(runs.placed, p.Run)
	if len(runs.placed) == 0 {
		delete(r.runsByVM, p.VM)
		return
	}
	runs.taken = runs.taken.Sub(r.reserved(p.Run.Task))
	if step := stepOf(p.Run.Task); runs.steps[step] > 1 {
		runs.steps[step]--
	} else {
		delete(runs.steps, step)
	}
}

// reserved returns what a task takes from its VM. A workflow is kept while it has placed runs.
func (r *Registrar) reserved(task jaygw.StepTask) jaygw.Resources {
	w := r.state.Workflows[task.Workflow]
	if w == nil || task.Step >= len(w.Spec.Steps) {
		return jaygw.Resources{}
	}
	return w.Spec.Steps[task.Step].Reserved()
}

// stepOf returns the key of a task's step: its first task.
func stepOf(task jaygw.StepTask) jaygw.StepTask {
	task.Index = 0
	return task
}

// groupOf returns the first grants that succeed or fail together: those of a gang, or one.
func (r *Registrar) groupOf(grants []jaygw.RunGrant) []jaygw.RunGrant {
	first := grants[0].Run.Task
	w := r.state.Workflows[first.Workflow]
	if w == nil || first.Step < 0 || first.Step >= len(w.Spec.Steps) || !w.Spec.Steps[first.Step].Gang {
		return grants[:1]
	}
	others := slices.IndexFunc(grants, func(g jaygw.RunGrant) bool { return stepOf(g.Run.Task) != stepOf(first) })
	if others < 0 {
		return grants
	}
	return grants[:others]
}

// groupRefusal returns why grants that succeed or fail together are refused, or an empty string.
func (r *Registrar) groupRefusal(group []jaygw.RunGrant, now jaygw.Time) string {
	earlier, members := map[string]int{}, map[int]bool{} // by VM, by task
	for _, g := range group {
		refusal := r.startRefusal(g, now)
		switch {
		case refusal != "":
		case members[g.Run.Task.Index]:
			refusal = "the task has a run already"
		default:
			refusal = r.limitRefusal(g, earlier[g.VM])
		}
		earlier[g.VM]++
		members[g.Run.Task.Index] = true
		if refusal != "" && len(group) > 1 {
			return fmt.Sprintf("member %d of the gang is refused: %s", g.Run.Task.Index, refusal)
		}
		if refusal != "" {
			return refusal
		}
	}
	return ""
}

// startRefusal returns why a task must not start, or an empty string.
func (r *Registrar) startRefusal(g jaygw.RunGrant, now jaygw.Time) string {
	id := g.Run.Task
	w := r.state.Workflows[id.Workflow]
	if w == nil || w.State.Ended() {
		return "the workflow has ended"
	}
	task, session := w.task(id), r.state.Sessions[g.VM]
	switch {
	case task == nil:
		return "there is no such task"
	case session == nil || session.Number != g.Session:
		return "the VM has a newer session"
	case r.domainOut(session.Domain):
		return "the failure domain is out"
	case task.Done:
		return "the task is done"
	case g.CopyOf == 0 && task.Runs > 0:
		return "the task has a run already"
	case g.CopyOf > 0 && r.copyRefusal(&w.Spec.Steps[id.Step], task, g) != "":
		return r.copyRefusal(&w.Spec.Steps[id.Step], task, g)
	case g.Run.Number <= task.Number:
		return "the task has had a later run"
	case !w.Ready(id.Occurrence, id.Step):
		return "an earlier step is not done"
	case w.Spec.ScheduledTime(id.Occurrence) > now:
		return "the occurrence is not due"
	}
	return ""
}

// limitRefusal returns why a run must not be placed on its VM beside the runs there and earlier runs of its step that
// are granted with it, or an empty string. A session of an earlier build has no profile and sets no limits.
func (r *Registrar) limitRefusal(g jaygw.RunGrant, earlier int) string {
	id, profile := g.Run.Task, r.state.Sessions[g.VM].Profile
	w := r.state.Workflows[id.Workflow]
	step := &w.Spec.Steps[id.Step]
	taken, sameStep := step.Reserved().Times(earlier), earlier
	if runs := r.runsByVM[g.VM]; runs != nil {
		taken, sameStep = taken.Add(runs.taken), sameStep+runs.steps[stepOf(id)]
	}
	switch {
	case step.MaxPerVM > 0 && sameStep >= step.MaxPerVM:
		return fmt.Sprintf("the VM has %d tasks of the step, which allows %d", sameStep, step.MaxPerVM)
	case profile == nil:
		return ""
	case profile.Service != r.queueOf(w).Service:
		return fmt.Sprintf("the VM is in the pool of %q, the queue uses %q", profile.Service, r.queueOf(w).Service)
	case step.Label != "" && !slices.Contains(profile.Labels, step.Label):
		return fmt.Sprintf("the VM does not have the label %q", step.Label)
	case !step.Reserved().Fits(profile.Size.Sub(taken)):
		return fmt.Sprintf("the task takes %v; the VM has %v, of which %v is taken", step.Reserved(), profile.Size, taken)
	}
	return ""
}

// queueOf returns the queue of a workflow as the catalog in force declares it, or else as it was at the acceptance.
func (r *Registrar) queueOf(w *Workflow) *jaygw.Queue {
	if queue := r.state.Catalog.QueueAt(w.Queue.Host, w.Queue.Prefix); queue != nil {
		return queue
	}
	return &w.Queue
}
