package registrar

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
)

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

// OpenSession records a new agent process or a new incarnation of a worker. It ends the runs
// of an earlier incarnation, since the worker that ran them no longer exists. If a later incarnation with the
// same name may have them, they are to be stopped instead and remain until their ends are reported.
func (r *Registrar) OpenSession(open jaygw.OpenSession, index jaygw.Index, now jaygw.Time) jaygw.Result {
	old := r.state.Sessions[open.VM]
	if old != nil && old.Process == open.Process && old.Life == open.Incarnation {
		return r.updateSession(old, open)
	}
	if open.VM == "" || old == nil && len(r.state.Sessions) >= r.limits.Sessions {
		return jaygw.Refuse(jaygw.RefusedTableFull, "the table of sessions holds its limit of %d", r.limits.Sessions)
	}
	r.state.Sessions[open.VM] = &Session{
		Number: uint64(index), Process: open.Process, Life: open.Incarnation, Domain: open.Domain,
		Profile: open.Profile, Sequence: open.Sequence, Superseded: superseded(old, open.Process),
	}
	switch {
	case old == nil || old.Life == open.Incarnation:
	case open.RunsUnknown && old.Life.Name == open.Incarnation.Name:
		r.stopAll(open.VM)
	default:
		var ended []jaygw.EndedRun
		r.ForEachPlacement(open.VM, func(p *Placement) {
			ended = append(ended, jaygw.EndedRun{Run: p.Run, Outcome: jaygw.RunWorkerLost, Reason: "the worker has started again"})
		})
		slices.SortFunc(ended, func(a, b jaygw.EndedRun) int { return CompareRuns(a.Run, b.Run) })
		for _, e := range ended {
			r.endRun(open.VM, e, now)
		}
	}
	r.onChange(open.VM)
	return jaygw.Result{}
}

// updateSession records a changed profile or failure domain. The session keeps its number, so that replicas of earlier
// builds, which skip the change, agree on it.
func (r *Registrar) updateSession(old *Session, open jaygw.OpenSession) jaygw.Result {
	if open.Profile == nil || old.Profile.Equal(open.Profile) && old.Domain == open.Domain {
		return jaygw.Result{AlreadyApplied: true}
	}
	next := *old
	next.Profile, next.Domain, next.Sequence = open.Profile, open.Domain, open.Sequence
	r.state.Sessions[open.VM] = &next
	r.onChange("")
	return jaygw.Result{}
}

// stopAll marks all runs on a VM to be stopped.
func (r *Registrar) stopAll(vm string) {
	var stops []jaygw.StoppedRun
	r.ForEachPlacement(vm, func(p *Placement) { stops = append(stops, jaygw.StoppedRun{Run: p.Run, VM: vm}) })
	slices.SortFunc(stops, func(a, b jaygw.StoppedRun) int { return CompareRuns(a.Run, b.Run) })
	r.StopRuns(jaygw.StopRuns{Stops: stops})
}

// superseded returns the latest agent processes before a process that opens a session.
func superseded(old *Session, process uint64) []uint64 {
	if old == nil {
		return nil
	}
	earlier := slices.DeleteFunc(slices.Concat(old.Superseded, []uint64{old.Process}), func(p uint64) bool { return p == process })
	return earlier[max(0, len(earlier)-maxSuperseded):]
}

// StartRuns records grants. It checks each rule that depends on the state again, so that a
// decision made from an older state starts nothing twice, too early or beyond the limits of a VM.
func (r *Registrar) StartRuns(start jaygw.StartRuns, now jaygw.Time) jaygw.Result {
	results := make([]jaygw.ItemResult, len(start.Grants))
	for first := 0; first < len(start.Grants); {
		group := r.groupOf(start.Grants[first:])
		refusal := r.groupRefusal(group, now)
		for i, g := range group {
			if refusal == "" {
				r.startRun(g, now)
			} else {
				results[first+i] = jaygw.ItemResult{Code: jaygw.RefusedState, Detail: refusal}
			}
		}
		first += len(group)
	}
	return jaygw.Result{Results: results}
}

// startRun records one grant that is not refused.
func (r *Registrar) startRun(g jaygw.RunGrant, now jaygw.Time) {
	w := r.state.Workflows[g.Run.Task.Workflow]
	s, task := w.step(g.Run.Task), w.task(g.Run.Task)
	task.Runs++
	if task.Runs == 1 {
		s.Held++
	}
	task.setCopied(g)
	task.Number, task.LastVM, task.LateVM = g.Run.Number, g.VM, ""
	w.Runs++
	w.Granted = true
	r.addPlaced(&Placement{Run: g.Run, VM: g.VM, Session: g.Session, Since: now, Ticket: g.Ticket, Checkpoint: task.Checkpoint})
	r.onChange(g.VM)
}

// BeginWorkflows records that workers have begun tasks of workflows.
func (r *Registrar) BeginWorkflows(begin jaygw.BeginWorkflows) jaygw.Result {
	for _, id := range begin.IDs {
		if w := r.state.Workflows[id]; w != nil {
			w.begin()
		}
	}
	return jaygw.Result{}
}

// begin records that a worker has begun a task.
func (w *Workflow) begin() {
	if w.State == jaygw.WorkflowQueued {
		w.State = jaygw.WorkflowRunning
	}
}

// StopRuns marks runs to be stopped by their agents. Runs that have already ended are skipped. The results say
// which stops are refused because the failure domain has returned: the agent may have started the run since.
func (r *Registrar) StopRuns(stop jaygw.StopRuns) jaygw.Result {
	results := make([]jaygw.ItemResult, len(stop.Stops))
	for i, s := range stop.Stops {
		p := r.FindPlacement(s.VM, s.Run)
		switch {
		case p == nil || p.Stopping:
		case s.OutDomain != "" && !r.domainOut(s.OutDomain):
			results[i] = jaygw.ItemResult{Code: jaygw.RefusedState, Detail: "the failure domain is not out"}
		default:
			next := *p
			next.Stopping = true
			r.addPlaced(&next)
			r.onChange(s.VM)
		}
	}
	return jaygw.Result{Results: results}
}

// EndRuns records the ends of runs on one VM. The results say which ends had no effect on their
// task, and why.
func (r *Registrar) EndRuns(end jaygw.EndRuns, now jaygw.Time) jaygw.Result {
	results := make([]jaygw.ItemResult, len(end.Ended))
	for i, e := range end.Ended {
		if ignored := r.endRun(end.VM, e, now); ignored != "" {
			results[i] = jaygw.ItemResult{Code: jaygw.RefusedState, Detail: ignored}
		}
	}
	return jaygw.Result{Results: results}
}

// endRun records the end of a run, whether it is still placed or not. It returns why the end has no
// effect on the task, or an empty string.
func (r *Registrar) endRun(vm string, e jaygw.EndedRun, now jaygw.Time) (ignored string) {
	w := r.state.Workflows[e.Run.Task.Workflow]
	p := r.FindPlacement(vm, e.Run)
	if p != nil {
		r.removePlaced(p)
		r.onChange("") // no VM name: the agent knows of the end, and only capacity was freed
	}
	if w == nil {
		return "the workflow is not known"
	}
	if p != nil {
		w.Runs--
		w.Idle = now
	}
	s, task := w.step(e.Run.Task), w.task(e.Run.Task)
	if task == nil || w.State.Ended() {
		return "the workflow has ended"
	}
	if e.Outcome.HasBegun() && e.Run.Number <= task.Number {
		w.begin()
	}
	step := &w.Spec.Steps[e.Run.Task.Step]
	if p != nil {
		task.Runs--
		if task.Runs == 0 && (!task.Done || !step.AllowsCopies()) {
			s.Held--
		}
		task.Released = now
		if e.Late {
			task.LateVM = vm
		}
	}
	// A failed run has used up an attempt even if it was considered ended before, and a later run was
	// granted. A run may also be reported as done after it was removed because its lease had expired.
	// That counts only if no later run has been granted but a copy, since the work was then done just once.
	switch {
	case task.Done:
		return "the task is done"
	case e.Outcome == jaygw.RunFailed && !step.Lasting && !task.hasFailed(e.Run.Number, p != nil):
		if p != nil && e.Checkpoint != "" {
			r.storeCheckpoint(step, s, task, e.Checkpoint)
		}
		r.recordFailure(w, s, task, step, e.Run.Number, vm, now)
		return ""
	case task.Number != e.Run.Number && !task.isCopied(e.Run.Number):
		return "the task has had a later run"
	case p == nil && e.Outcome != jaygw.RunDone:
		return "the run had ended before"
	}
	if e.Checkpoint != "" {
		r.storeCheckpoint(step, s, task, e.Checkpoint)
	}
	if e.Outcome == jaygw.RunDone && !step.Lasting {
		r.completeTask(w, e.Run, step, now)
	}
	return ""
}

// hasFailed reports whether the failure of a run has been counted. States of earlier builds have no
// run numbers: a failure in them may be that of any run that is not placed.
func (t *TaskState) hasFailed(number uint64, placed bool) bool {
	return slices.Contains(t.FailedRuns, number) || !placed && len(t.FailedRuns) < t.Failures
}

// storeCheckpoint stores a checkpoint of a task. The checkpoint of one member of a gang is stored
// for all members, since it is valid for the whole gang.
func (r *Registrar) storeCheckpoint(step *jaygw.Step, s *StepState, task *TaskState, checkpoint string) {
	if !step.Gang {
		task.Checkpoint = checkpoint
		return
	}
	for i := range s.Tasks {
		s.Tasks[i].Checkpoint = checkpoint
	}
}

// completeTask marks a task as done, or all tasks of a gang. It ends the workflow once all steps of
// all occurrences are done.
func (r *Registrar) completeTask(w *Workflow, run jaygw.Run, step *jaygw.Step, now jaygw.Time) {
	s := w.step(run.Task)
	for i := range s.Tasks {
		if (i == run.Task.Index || step.Gang) && !s.Tasks[i].Done {
			s.Tasks[i].Done = true
			s.Done++
		}
	}
	r.releaseOther(w, run, step)
	o := w.Occurrences[run.Task.Occurrence]
	if s.Done == len(s.Tasks) {
		o.Done++
	}
	r.onChange("")
	for _, o := range w.Occurrences {
		if o.Done < len(o.Steps) {
			return
		}
	}
	r.endWorkflow(w, jaygw.WorkflowCompleted, "", now)
}

// recordFailure counts a failed run of a task and ends the workflow if the queue allows no further
// attempt.
func (r *Registrar) recordFailure(w *Workflow, s *StepState, task *TaskState, step *jaygw.Step, number uint64, vm string, now jaygw.Time) {
	task.Failures++
	task.FailedRuns = append(slices.Clone(task.FailedRuns), number)
	task.FailedOn = append(slices.Clone(task.FailedOn), vm)
	failures := task.Failures
	if step.Gang {
		failures = s.failedGangRuns()
	}
	if limit := max(1, w.Queue.MaxAttempts); failures >= limit {
		r.endWorkflow(w, jaygw.WorkflowFailed, "a task has used up its attempts", now)
	}
}

// failedGangRuns returns how many runs of a gang have failed. The members of one run share its number,
// so a run in which several members failed is one failed run.
func (s *StepState) failedGangRuns() int {
	failed, unnumbered := map[uint64]bool{}, 0
	for i := range s.Tasks {
		t := &s.Tasks[i]
		unnumbered = max(unnumbered, t.Failures-len(t.FailedRuns)) // of states of earlier builds
		for _, number := range t.FailedRuns {
			failed[number] = true
		}
	}
	return unnumbered + len(failed)
}

// endWorkflow ends a workflow and notifies the VMs that still run tasks of it.
func (r *Registrar) endWorkflow(w *Workflow, state jaygw.WorkflowState, reason string, now jaygw.Time) {
	w.State, w.Reason, w.Finished = state, reason, now
	r.onEnd(w, now)
	w.Occurrences = nil
	r.active = slices.DeleteFunc(r.active, func(o *Workflow) bool { return o == w })
	r.state.Finished = append(r.state.Finished, w.Spec.ID)
	if w.Runs > 0 {
		for _, vm := range r.VMs() {
			for run := range r.placed(vm) {
				if run.Task.Workflow == w.Spec.ID {
					r.onChange(vm)
					break
				}
			}
		}
	}
	r.onChange("")
}

// removeOldWorkflows removes workflows that ended longer ago than the retention time, in the order
// in which they ended.
func (r *Registrar) removeOldWorkflows(now jaygw.Time) {
	expired := r.expiredWorkflows(now)
	for _, id := range r.state.Finished[:expired] {
		if w := r.state.Workflows[id]; w != nil {
			r.bytes -= w.bytes
			delete(r.state.Workflows, id)
		}
	}
	r.state.Finished = r.state.Finished[expired:]
	r.reduced = max(0, r.reduced-expired)
}
