package orchestrator

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	metrics "github.com/rcrowley/go-metrics"
)

// rankTable holds the ranks that the agents of the VMs have been sent, by VM and run. Without it, all runs have rank zero.
type rankTable map[string]map[jaygw.Run]int

// WithPaceByUrgency sets whether the agents slow down the spare runs of late workflows before those of workflows that can
// still meet their objective. The default is false.
func WithPaceByUrgency(on bool) Option { return func(o *Orchestrator) { o.paceByUrgency = on } }

// rankOf returns the rank of a run on its VM.
func (t *vmTable) rankOf(state *registrar.Registrar, run *jaygw.PlacedRun, now jaygw.Time) int {
	w := state.Workflow(run.Run.Task.Workflow)
	if t.ranks == nil || w == nil || !run.Step.Spare {
		return 0
	}
	return allocator.Rank(w, &w.Queue, run.Run.Task, now)
}

// isSent reports whether the agent of a VM has been sent the rank of a run.
func (r rankTable) isSent(vm string, run jaygw.Run, rank int) bool { return r[vm][run] == rank }

// record records the ranks that a response carries and returns how many of them are new for a run that the VM has. The
// table keeps only runs that the VM has reported or is sent. A response that is lost leaves an earlier rank in force
// until the rank changes again.
func (r rankTable) record(response *jaygw.PollResponse, vm string, reported map[jaygw.Run]jaygw.ReportedRun) (changed int) {
	if r == nil {
		return 0
	}
	ranks := make(map[jaygw.Run]int, len(reported))
	for run := range reported {
		if rank := r[vm][run]; rank != 0 {
			ranks[run] = rank
		}
	}
	for _, t := range response.Traits {
		ranks[t.Run] = t.Traits.Rank
		changed++
	}
	for _, s := range response.Starts {
		if s.Traits.Rank != 0 {
			ranks[s.Run] = s.Traits.Rank
		}
	}
	r[vm] = ranks
	return changed
}

// countRanks counts the changed ranks that a response carries.
func (o *Orchestrator) countRanks(changed int) {
	if changed > 0 {
		metrics.GetOrRegisterCounter("scheduler.ranks-changed", o.registry).Inc(int64(changed))
	}
}
