package registrar

import (
	"slices"

	"github.com/jaygw/jaygw"
)

// RunsOf returns the placed runs of a task, the earlier one first.
func (r *Registrar) RunsOf(id jaygw.StepTask) []*Placement {
	w := r.state.Workflows[id.Workflow]
	if w == nil {
		return nil
	}
	task := w.task(id)
	if task == nil {
		return nil
	}
	var runs []*Placement
	if p := r.FindPlacement(task.CopiedVM, jaygw.Run{Task: id, Number: task.Copied}); p != nil {
		runs = append(runs, p)
	}
	if p := r.FindPlacement(task.LastVM, jaygw.Run{Task: id, Number: task.Number}); p != nil {
		runs = append(runs, p)
	}
	return runs
}

// IsDone reports whether a task of a workflow that has not ended is done.
func (r *Registrar) IsDone(id jaygw.StepTask) bool {
	w := r.state.Workflows[id.Workflow]
	if w == nil {
		return false
	}
	task := w.task(id)
	return task != nil && task.Done
}

// copyRefusal returns why a grant must not start a copy of a run, or an empty string.
func (r *Registrar) copyRefusal(step *jaygw.Step, task *TaskState, g jaygw.RunGrant) string {
	copied := r.FindPlacement(task.vmOf(g.CopyOf), jaygw.Run{Task: g.Run.Task, Number: g.CopyOf})
	switch {
	case !step.AllowsCopies():
		return "the step allows no copies"
	case copied == nil:
		return "the run to copy has ended"
	case task.Runs > 1:
		return "the task has two runs already"
	case copied.Stopping:
		return "the run to copy is to be stopped"
	case copied.VM == g.VM:
		return "the run to copy is on the VM"
	case task.hasFailedCopy():
		return "a copy of the run has failed"
	case slices.Contains(task.FailedOn, g.VM):
		return "the task has failed on the VM"
	case task.LateVM != "":
		return "a late order may start another run"
	}
	return ""
}

// vmOf returns the VM of the latest run or of the run that this is a copy of, or an empty string.
func (t *TaskState) vmOf(number uint64) string {
	switch number {
	case t.Number:
		return t.LastVM
	case t.Copied:
		return t.CopiedVM
	}
	return ""
}

// setCopied records which run a granted run is a copy of. It must be called before the grant becomes the latest run.
func (t *TaskState) setCopied(g jaygw.RunGrant) {
	t.CopiedVM, t.Copied = t.vmOf(g.CopyOf), g.CopyOf
	if g.CopyOf == 0 {
		t.CopiedVM = ""
	}
}

// isCopied reports whether the latest run is a copy of a run with a number.
func (t *TaskState) isCopied(number uint64) bool { return t.Copied > 0 && t.Copied == number }

// hasFailedCopy reports whether one of two runs has failed. The other one is then left alone: a third run would use up
// the attempts of a task that may fail everywhere.
func (t *TaskState) hasFailedCopy() bool {
	return slices.Contains(t.FailedRuns, t.Number) || t.Copied > 0 && slices.Contains(t.FailedRuns, t.Copied)
}

// releaseOther is called once a run has completed its task. If the task has another run, that one no longer counts as
// work in progress, and its agent is notified to stop it.
func (r *Registrar) releaseOther(w *Workflow, run jaygw.Run, step *jaygw.Step) {
	if !step.AllowsCopies() {
		return
	}
	others := r.RunsOf(run.Task)
	if len(others) > 0 {
		w.step(run.Task).Held--
	}
	for _, p := range others {
		r.onChange(p.VM)
	}
}
