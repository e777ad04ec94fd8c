package registrar

import (
	"time"

	"github.com/jaygw/jaygw"
)

const (
	// reduceAfter is the time after its end at which a workflow is reduced to its id and its state. Late reports of
	// its runs have arrived by then.
	reduceAfter = 10 * time.Second

	// cancelBytes is what the cancel of an unknown workflow takes in memory, without its texts.
	cancelBytes = 256
)

// CancelBytes estimates the memory that the cancel of an unknown workflow takes.
func CancelBytes(host, path string) int64 { return int64(cancelBytes + len(host) + len(path)) }

// Bytes estimates the memory of the workflows, and of the cancels of unknown ones, after a submission at the given time has
// removed what is not retained any longer.
func (r *Registrar) Bytes(now jaygw.Time) int64 {
	bytes := r.bytes
	expired := r.expiredWorkflows(now)
	for _, id := range r.state.Finished[:expired] {
		if w := r.state.Workflows[id]; w != nil {
			bytes -= w.bytes
		}
	}
	for i := max(expired, r.reduced); i < len(r.state.Finished); i++ {
		w := r.state.Workflows[r.state.Finished[i]]
		if !w.isReducible(now) {
			break
		}
		if w != nil {
			bytes -= w.bytes - w.reducedSpec().StateBytes()
		}
	}
	for _, c := range r.state.Canceled[:r.expiredCancels(now)] {
		bytes -= CancelBytes(c.Host, c.Path)
	}
	return bytes
}

// StaysKnown reports whether the workflow at a host and a path is known, and is so for a good part of the retention time.
func (r *Registrar) StaysKnown(host, path string, now jaygw.Time) bool {
	w := r.findWorkflow(host, path)
	return w != nil && (!w.State.Ended() || w.Finished.Add(retention/2) > now)
}

// IsKnown reports whether the workflow at a host and a path is known, also if its queue has been removed from the catalog.
func (r *Registrar) IsKnown(host, path string) bool { return r.findWorkflow(host, path) != nil }

// charge accounts for the memory of a new or reduced workflow.
func (r *Registrar) charge(w *Workflow) {
	bytes := w.Spec.StateBytes()
	r.bytes += bytes - w.bytes
	w.bytes = bytes
}

// expiredWorkflows returns how many workflows, from the first that ended, are not retained any longer. It stops at the first
// one that is still retained or still has placed runs.
func (r *Registrar) expiredWorkflows(now jaygw.Time) int {
	for i, id := range r.state.Finished {
		if w := r.state.Workflows[id]; w != nil && (w.Finished.Add(retention) > now || w.Runs > 0) {
			return i
		}
	}
	return len(r.state.Finished)
}

// reduceEndedWorkflows drops what workflows that ended some time ago do not need to answer queries and resends.
func (r *Registrar) reduceEndedWorkflows(now jaygw.Time) {
	for r.reduced < len(r.state.Finished) {
		w := r.state.Workflows[r.state.Finished[r.reduced]]
		if !w.isReducible(now) {
			return
		}
		if w != nil {
			w.Spec = w.reducedSpec()
			r.charge(w)
		}
		r.reduced++
	}
}

// isReducible reports whether no report of a run can refer to the steps of a workflow any more. A workflow that is
// not known is reducible.
func (w *Workflow) isReducible(now jaygw.Time) bool {
	return w == nil || w.Runs == 0 && w.Finished.Add(reduceAfter) <= now
}

func (w *Workflow) reducedSpec() jaygw.WorkflowSpec { return jaygw.WorkflowSpec{ID: w.Spec.ID} }
