package registrar

import (
	"strings"

	"github.com/jaygw/jaygw"
)

// PutCatalog puts a catalog in force if its number is higher than that of the catalog in force. A
// catalog with an equal or lower number is a resend or outdated: it is acknowledged and changes
// nothing.
func (r *Registrar) PutCatalog(put jaygw.PutCatalog) jaygw.Result {
	if findings := put.Catalog.Check(); len(findings) > 0 {
		return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings.Error())
	}
	if r.state.Catalog != nil && put.Catalog.Number <= r.state.Catalog.Number {
		return jaygw.Result{AlreadyApplied: true, Catalog: r.state.Catalog.Number}
	}
	catalog := put.Catalog
	r.recordChanges(&catalog)
	r.state.Catalog = &catalog
	r.onChange("")
	return jaygw.Result{Catalog: catalog.Number}
}

// Submit accepts a workflow into the queue at the command's host and path. A resend of a retained
// workflow is acknowledged and changes nothing.
func (r *Registrar) Submit(submit jaygw.SubmitWorkflow, now jaygw.Time) jaygw.Result {
	r.removeOldWorkflows(now)
	r.reduceEndedWorkflows(now)
	r.removeOldCancels(now)
	if r.state.Catalog == nil {
		return jaygw.Refuse(jaygw.RefusedState, "no catalog is in force yet")
	}
	number := r.state.Catalog.Number
	var result jaygw.Result
	if limit := submit.CatalogLimit; limit != nil && number > *limit && r.findWorkflow(submit.Host, submit.Path) == nil {
		result = jaygw.Refuse(jaygw.RefusedStale, "catalog %d is in force, the submission allows catalog %d", number, *limit)
	} else {
		result = r.accept(submit, now)
	}
	result.Catalog, result.ChangedAt = number, r.changedAt(submit.Host, submit.Path)
	return result
}

func (r *Registrar) accept(submit jaygw.SubmitWorkflow, now jaygw.Time) jaygw.Result {
	queue, id := r.state.Catalog.FindQueue(submit.Host, submit.Path)
	if queue == nil {
		return jaygw.Refuse(jaygw.RefusedUnknown, "no queue takes %s%s", submit.Host, submit.Path)
	}
	if id == "" || id != submit.Spec.ID || strings.Contains(id, "/") || strings.Contains(id, ".") {
		return jaygw.Refuse(jaygw.RefusedInvalid, "the path has to end with the workflow's id")
	}
	if r.state.Workflows[id] != nil {
		return jaygw.Result{AlreadyApplied: true}
	}
	if findings := submit.Spec.Check(r.limits.Tasks); len(findings) > 0 {
		return jaygw.Refuse(jaygw.RefusedInvalid, "%s", findings.Error())
	}
	if len(r.state.Workflows) >= r.limits.Workflows {
		return jaygw.Refuse(jaygw.RefusedTableFull, "the table of workflows holds its limit of %d", r.limits.Workflows)
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
	r.charge(w)
	r.active = append(r.active, w)
	if r.canceled[keyOfCancel(submit.Host, submit.Path)] {
		r.endWorkflow(w, jaygw.WorkflowCanceled, "canceled by its caller before it was submitted", now)
	}
	r.onChange("")
	return jaygw.Result{}
}

// Cancel ends a workflow. Its runs hold their resources until their agents have stopped them. The cancel of an
// unknown workflow is refused, but ends the workflow once its submission arrives.
func (r *Registrar) Cancel(cancel jaygw.CancelWorkflow, now jaygw.Time) jaygw.Result {
	w := r.findWorkflow(cancel.Host, cancel.Path)
	if w == nil {
		if full := r.retainCancel(cancel, now); full != nil {
			return *full
		}
		return jaygw.Refuse(jaygw.RefusedUnknown, "there is no workflow at %s%s", cancel.Host, cancel.Path)
	}
	if w.State.Ended() {
		return jaygw.Result{AlreadyApplied: true}
	}
	r.endWorkflow(w, jaygw.WorkflowCanceled, "canceled by its caller", now)
	return jaygw.Result{}
}

// findWorkflow returns the workflow at a host and a path, or nil. It compares with the copy of the
// queue that was stored when the workflow was accepted, so that a workflow is found after its
// queue has been removed from the catalog.
func (r *Registrar) findWorkflow(host, path string) *Workflow {
	slash := strings.LastIndexByte(path, '/')
	if slash < 0 {
		return nil
	}
	w := r.state.Workflows[path[slash+1:]]
	if w == nil || w.Queue.Prefix+w.Spec.ID != path || !strings.EqualFold(w.Queue.Host, host) {
		return nil
	}
	return w
}

// Query returns the response to a query.
func (r *Registrar) Query(query jaygw.WorkflowQuery) jaygw.WorkflowQueryResult {
	catalog := r.state.Catalog
	if catalog == nil {
		return jaygw.WorkflowQueryResult{NoCatalog: true}
	}
	if query.Catalog {
		return jaygw.WorkflowQueryResult{Number: catalog.Number, ChangedAt: catalog.Number, Source: catalog.Source}
	}
	result := jaygw.WorkflowQueryResult{Number: catalog.Number, ChangedAt: r.changedAt(query.Host, query.Path)}
	if query.Limits {
		result.Limits = &catalog.Limits
	}
	if queue, rest := catalog.FindQueue(query.Host, query.Path); queue == nil {
		result.NoQueue = true
	} else if rest == "" {
		result.Queue, result.Waiting = true, r.CountQueued(queue.Host, queue.Prefix)
	} else if w := r.findWorkflow(query.Host, query.Path); w != nil {
		result.State = w.State
	}
	return result
}
