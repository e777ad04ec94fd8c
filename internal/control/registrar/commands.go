package registrar

import (
	"cmp"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
)

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

// PutCatalog puts a catalog in force. One that is not newer changes nothing, so that
// a resend and an order that was overtaken are acknowledged.
func (r *Registrar) PutCatalog(put jaygw.PutCatalog) jaygw.Result {
	if findings := put.Catalog.Check(); len(findings) > 0 {
		return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings.Error())
	}
	if r.state.Catalog != nil && put.Catalog.Number <= r.state.Catalog.Number {
		return jaygw.Result{Already: true}
	}
	catalog := put.Catalog
	r.state.Catalog = &catalog
	r.notify("")
	return jaygw.Result{}
}

// Submit accepts a workflow.
func (r *Registrar) Submit(submit jaygw.SubmitWorkflow, now jaygw.Time) jaygw.Result {
	r.forget(now)
	if r.state.Catalog == nil {
		return jaygw.Refuse(jaygw.RefusedState, "no catalog is in force yet")
	}
	queue, id := r.state.Catalog.FindQueue(submit.Host, submit.Path)
	if queue == nil {
		return jaygw.Refuse(jaygw.RefusedUnknown, "no queue takes %s%s", submit.Host, submit.Path)
	}
	if id == "" || id != submit.Spec.ID || strings.Contains(id, "/") || strings.Contains(id, ".") {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the path has to end with the workflow's id")
	}
	if r.state.Workflows[id] != nil {
		return jaygw.Result{Already: true}
	}
	if findings := submit.Spec.Check(r.limits.Tasks); len(findings) > 0 {
		return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings.Error())
	}
	if len(r.state.Workflows) >= r.limits.Workflows {
		return jaygw.Refuse(jaygw.RefusedFull, "the table of workflows holds its limit of %d", r.limits.Workflows)
	}
	r.state.Order++
	w := &Workflow{Spec: submit.Spec, Queue: *queue, Accepted: now, Idle: now, Order: r.state.Order, State: jaygw.WorkflowQueued}
	for range w.Spec.Occurrences() {
		o := &Occurrence{}
		for _, step := range w.Spec.Steps {
			o.Steps = append(o.Steps, &StepState{Tasks: make([]TaskState, step.Tasks)})
		}
		w.Occurrences = append(w.Occurrences, o)
	}
	r.state.Workflows[id] = w
	r.active = append(r.active, w)
	r.notify("")
	return jaygw.Result{}
}

// Cancel ends a workflow. Its runs are stopped by their agents.
func (r *Registrar) Cancel(cancel jaygw.CancelWorkflow, now jaygw.Time) jaygw.Result {
	w := r.find(cancel.Host, cancel.Path)
	if w == nil {
		return jaygw.Refuse(jaygw.RefusedUnknown, "there is no workflow at %s%s", cancel.Host, cancel.Path)
	}
	if w.State.Ended() {
		return jaygw.Result{Already: true}
	}
	r.end(w, jaygw.WorkflowCanceled, "canceled by its caller", now)
	return jaygw.Result{}
}

// find returns the workflow that a host and a path lead to, or nil. A workflow stays
// with the place of its queue, also after the catalog has dropped the queue.
func (r *Registrar) find(host, path string) *Workflow {
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return nil
	}
	w := r.state.Workflows[path[cut+1:]]
	if w == nil || w.Queue.Prefix+w.Spec.ID != path || !strings.EqualFold(w.Queue.Host, host) {
		return nil
	}
	return w
}

// Answer reads what a query asks for.
func (r *Registrar) Answer(query jaygw.WorkflowQuery) jaygw.WorkflowAnswer {
	catalog := r.state.Catalog
	if catalog == nil {
		return jaygw.WorkflowAnswer{NoCatalog: true}
	}
	if query.Catalog {
		return jaygw.WorkflowAnswer{Number: catalog.Number, Source: catalog.Source}
	}
	queue, rest := catalog.FindQueue(query.Host, query.Path)
	if queue == nil {
		return jaygw.WorkflowAnswer{NoQueue: true}
	}
	if rest == "" {
		return jaygw.WorkflowAnswer{Queue: true, Waiting: r.Waiting(queue.Host, queue.Prefix)}
	}
	if w := r.find(query.Host, query.Path); w != nil {
		return jaygw.WorkflowAnswer{State: w.State}
	}
	return jaygw.WorkflowAnswer{}
}

// OpenSession records a new agent process or a new life of a worker. The runs of an
// earlier life are over: the worker that had them is gone.
func (r *Registrar) OpenSession(open jaygw.OpenSession, index jaygw.Index, now jaygw.Time) jaygw.Result {
	old := r.state.Sessions[open.VM]
	if old != nil && old.Process == open.Process && old.Life == open.Life {
		return jaygw.Result{Already: true}
	}
	if open.VM == "" || old == nil && len(r.state.Sessions) >= r.limits.Sessions {
		return jaygw.Refuse(jaygw.RefusedFull, "the table of sessions holds its limit of %d", r.limits.Sessions)
	}
	r.state.Sessions[open.VM] = &Session{Number: uint64(index), Process: open.Process, Life: open.Life, Domain: open.Domain}
	if old != nil && old.Life != open.Life {
		var ended []jaygw.EndedRun
		r.PlacedOn(open.VM, func(p *Placed) {
			ended = append(ended, jaygw.EndedRun{Run: p.Run, How: jaygw.RunGone, Reason: "the worker has started again"})
		})
		slices.SortFunc(ended, func(a, b jaygw.EndedRun) int { return CompareRuns(a.Run, b.Run) })
		for _, e := range ended {
			r.endRun(open.VM, e, now)
		}
	}
	r.notify(open.VM)
	return jaygw.Result{}
}

// StartRuns records grants. Each rule that the state can decide is checked again, so
// that a decision from an older state starts nothing twice or too early.
func (r *Registrar) StartRuns(start jaygw.StartRuns, now jaygw.Time) jaygw.Result {
	results := make([]jaygw.ItemResult, len(start.Grants))
	for i, g := range start.Grants {
		if refusal := r.start(g, now); refusal != "" {
			results[i] = jaygw.ItemResult{Code: jaygw.RefusedState, Detail: refusal}
		}
	}
	return jaygw.Result{Results: results}
}

func (r *Registrar) start(g jaygw.RunGrant, now jaygw.Time) (refusal string) {
	id := g.Run.Task
	w := r.state.Workflows[id.Workflow]
	if w == nil || w.State.Ended() {
		return "the workflow has ended"
	}
	s, task := w.step(id), w.task(id)
	session := r.state.Sessions[g.VM]
	switch {
	case task == nil:
		return "there is no such task"
	case session == nil || session.Number != g.Session:
		return "the VM has a newer session"
	case r.domains(session.Domain):
		return "the failure domain is out"
	case task.Done:
		return "the task is done"
	case task.Runs > 0:
		return "the task has a run already"
	case g.Run.Number <= task.Number:
		return "the task has had a later run"
	case !w.Ready(id.Occurrence, id.Step):
		return "an earlier step is not done"
	case w.Spec.Due(id.Occurrence) > now:
		return "the occurrence is not due"
	}
	task.Number = g.Run.Number
	task.Runs++
	task.LastVM = g.VM
	s.Held++
	w.Runs++
	w.State = jaygw.WorkflowRunning
	r.hold(&Placed{Run: g.Run, VM: g.VM, Session: g.Session, Since: now, Ticket: g.Ticket})
	r.notify(g.VM)
	return ""
}

// StopRuns has runs stopped. Those that are over already stay as they are.
func (r *Registrar) StopRuns(stop jaygw.StopRuns) jaygw.Result {
	for _, s := range stop.Stops {
		if p := r.byVM[s.VM][s.Run]; p != nil && !p.Stopping {
			next := *p
			next.Stopping = true
			r.hold(&next)
			r.notify(s.VM)
		}
	}
	return jaygw.Result{}
}

// EndRuns records ends of runs.
func (r *Registrar) EndRuns(end jaygw.EndRuns, now jaygw.Time) jaygw.Result {
	for _, e := range end.Ended {
		r.endRun(end.VM, e, now)
	}
	return jaygw.Result{}
}

func (r *Registrar) endRun(vm string, e jaygw.EndedRun, now jaygw.Time) {
	w := r.state.Workflows[e.Run.Task.Workflow]
	p := r.byVM[vm][e.Run]
	if p != nil {
		r.release(p)
		r.notify("") // room for others; the VM's agent knows of the end
	}
	if w == nil {
		return
	}
	if p != nil {
		w.Runs--
		w.Idle = now
	}
	s, task := w.step(e.Run.Task), w.task(e.Run.Task)
	if task == nil || w.State.Ended() {
		return
	}
	if p != nil {
		task.Runs--
		s.Held--
		task.Released = now
	}
	// A run that is no longer placed may still be reported as done after its lease was
	// taken for over. The work has been done once if no later run has been granted.
	if task.Done || task.Number != e.Run.Number || p == nil && e.How != jaygw.RunDone {
		return
	}
	step := &w.Spec.Steps[e.Run.Task.Step]
	if e.Checkpoint != "" {
		r.keepCheckpoint(step, s, task, e.Checkpoint)
	}
	switch {
	case e.How == jaygw.RunDone && !step.Lasting:
		r.done(w, e.Run, step, now)
	case e.How == jaygw.RunFailed && !step.Lasting:
		r.failed(w, s, task, step, vm, now)
	}
}

// keepCheckpoint stores a checkpoint. One member's is valid for its whole gang.
func (r *Registrar) keepCheckpoint(step *jaygw.Step, s *StepState, task *TaskState, checkpoint string) {
	if !step.Gang {
		task.Checkpoint = checkpoint
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].Checkpoint = checkpoint
	}
}

// done ends a task, or all tasks of a gang.
func (r *Registrar) done(w *Workflow, run jaygw.Run, step *jaygw.Step, now jaygw.Time) {
	s := w.step(run.Task)
	for i := range s.Tasks {
		if (i == run.Task.Index || step.Gang) && !s.Tasks[i].Done {
			s.Tasks[i].Done = true
			s.Done++
		}
	}
	o := w.Occurrences[run.Task.Occurrence]
	if s.Done == len(s.Tasks) {
		o.Done++
	}
	r.notify("")
	for _, o := range w.Occurrences {
		if o.Done < len(o.Steps) {
			return
		}
	}
	r.end(w, jaygw.WorkflowCompleted, "", now)
}

// failed counts an attempt: of the task, or once for a whole gang.
func (r *Registrar) failed(w *Workflow, s *StepState, task *TaskState, step *jaygw.Step, vm string, now jaygw.Time) {
	task.Failures++
	task.FailedOn = append(slices.Clone(task.FailedOn), vm)
	failures := task.Failures
	if step.Gang {
		failures = 0
		for i := range s.Tasks {
			failures += s.Tasks[i].Failures
		}
	}
	if limit := max(1, w.Queue.Attempts); failures >= limit {
		r.end(w, jaygw.WorkflowFailed, "a task has used up its attempts", now)
	}
}

func (r *Registrar) end(w *Workflow, state jaygw.WorkflowState, reason string, now jaygw.Time) {
	w.State, w.Reason, w.Finished = state, reason, now
	r.ended(w, now)
	w.Occurrences = nil
	r.active = slices.DeleteFunc(r.active, func(o *Workflow) bool { return o == w })
	r.state.Finished = append(r.state.Finished, w.Spec.ID)
	if w.Runs > 0 {
		for _, vm := range r.VMs() {
			for run := range r.byVM[vm] {
				if run.Task.Workflow == w.Spec.ID {
					r.notify(vm)
					break
				}
			}
		}
	}
	r.notify("")
}

// forget drops workflows that ended long ago.
func (r *Registrar) forget(now jaygw.Time) {
	for len(r.state.Finished) > 0 {
		w := r.state.Workflows[r.state.Finished[0]]
		if w != nil && (w.Finished.Add(retention) > now || w.Runs > 0) {
			return
		}
		delete(r.state.Workflows, r.state.Finished[0])
		r.state.Finished = r.state.Finished[1:]
	}
}
