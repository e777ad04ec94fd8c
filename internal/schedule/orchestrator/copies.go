package orchestrator

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
	"github.com/jaygw/jaygw/internal/schedule/speculator"
)

// copyTable is the soft state from which the copies of runs are decided.
type copyTable struct {
	durations map[jaygw.StepTask][]time.Duration // of done runs, by step that allows copies
	late      map[string]float64                 // learned speculator.Run.LateFactor, by queue
	lastPrune time.Time
	planned   map[jaygw.Run]speculator.Candidate // of the latest plan
	started   map[jaygw.StepTask]startedCopy     // the latest one of each task
	granted   map[jaygw.Run]time.Time            // decisions of this leadership, for runs of steps that allow copies
}

const (
	// copyValidity is how long after a response an agent may carry out a start from it while the task has another run.
	// With the 300 ms that its worker then has for the order, no run starts a second after the other one is recorded as done.
	copyValidity = 600 * time.Millisecond

	// maxCopyPollAge is the time since the last poll after which a VM gets no copies. An agent polls about once a second;
	// a copy on a VM that is cut off saves no time.
	maxCopyPollAge = 1200 * time.Millisecond

	// startWindow is how long a worker has to carry out an order after its agent has admitted it.
	startWindow = 1500 * time.Millisecond

	// newLeaderTime is how long after a change of leader an agent may need until it polls the new one: a poll to the
	// earlier one lasts up to 1.9 s.
	newLeaderTime = 2200 * time.Millisecond

	// maxStepDurations bounds the durations that are kept for a step.
	maxStepDurations = 64

	// maxLateQueues bounds the queues of which the time of late runs is learned.
	maxLateQueues = 1024

	// copyPruneInterval is the time between two removals of durations of ended workflows.
	copyPruneInterval = 10 * time.Second
)

func newCopyTable() *copyTable {
	return &copyTable{durations: map[jaygw.StepTask][]time.Duration{}, late: map[string]float64{}, started: map[jaygw.StepTask]startedCopy{}, granted: map[jaygw.Run]time.Time{}}
}

// WithCopies sets whether late runs of steps that allow it get a copy. The default is true.
func WithCopies(enabled bool) Option { return func(o *Orchestrator) { o.withoutCopies = !enabled } }

// observe learns from the duration of a run that is done, or was stopped because its copy was done first.
func (c *copyTable) observe(task jaygw.StepTask, step *jaygw.Step, queue string, took time.Duration, stopped bool) {
	if !step.AllowsCopies() {
		return
	}
	key := stepKey(task)
	if expected, known := speculator.Expected(forecaster.Estimate{}, c.durations[key]); known && speculator.IsLate(took, expected) {
		if _, ok := c.late[queue]; ok || len(c.late) < maxLateQueues {
			c.late[queue] = speculator.LearnLateFactor(c.late[queue], took, expected.Median, stopped)
		}
	}
	if !stopped && len(c.durations[key]) < maxStepDurations {
		c.durations[key] = append(c.durations[key], took)
	}
}

// prune removes the durations of workflows that have ended.
func (c *copyTable) prune(state *registrar.Registrar, now time.Time) {
	if now.Sub(c.lastPrune) < copyPruneInterval {
		return
	}
	c.lastPrune = now
	for key := range c.durations {
		if w := state.Workflow(key.Workflow); w == nil || w.State.Ended() {
			delete(c.durations, key)
		}
	}
	for run, at := range c.granted {
		placed := slices.ContainsFunc(state.RunsOf(run.Task), func(p *registrar.Placement) bool { return p.Run == run })
		if !placed && now.Sub(at) > copyPruneInterval {
			delete(c.granted, run)
		}
	}
	c.pruneStarted(state)
}

// recordGrants records when runs of steps that allow copies were granted: no response before that has ordered them.
func (c *copyTable) recordGrants(grants []jaygw.RunGrant, state *registrar.Registrar, now time.Time) {
	for _, g := range grants {
		if step := stepSpec(state, g.Run); step != nil && step.AllowsCopies() {
			c.granted[g.Run] = now
		}
	}
}

// planCopies returns the runs that should get a copy.
func (t *vmTable) planCopies(state *registrar.Registrar, now time.Time, wall jaygw.Time) speculator.Plan {
	t.copies.prune(state, now)
	if !t.copiesEnabled {
		return speculator.Plan{}
	}
	var runs []speculator.Run
	copies := map[string]int{} // tasks with two runs, by pool
	for _, w := range state.Active() {
		for i, o := range w.Occurrences {
			for j, s := range o.Steps {
				if s.Held == 0 || !w.Spec.Steps[j].AllowsCopies() {
					continue
				}
				runs = t.appendCopyable(runs, copies, w, jaygw.StepTask{Workflow: w.Spec.ID, Occurrence: i, Step: j}, state, now)
			}
		}
	}
	if len(runs) == 0 {
		t.copies.recordPlan(speculator.Plan{})
		return speculator.Plan{}
	}
	pools := map[string]speculator.Pool{}
	for _, vm := range t.vms {
		if vm.worker != nil && now.Sub(vm.lastPoll) <= maxPollAge {
			pool := pools[vm.worker.Service]
			pool.VMs, pool.Copies = pool.VMs+1, copies[vm.worker.Service]
			pools[vm.worker.Service] = pool
		}
	}
	plan := speculator.Decide(runs, pools, wall)
	t.copies.recordPlan(plan)
	return plan
}

// appendCopyable appends the runs of a step's last tasks that have no copy, and counts those that have one.
func (t *vmTable) appendCopyable(
	runs []speculator.Run, copies map[string]int, w *registrar.Workflow, id jaygw.StepTask, state *registrar.Registrar, now time.Time,
) []speculator.Run {
	step, s := &w.Spec.Steps[id.Step], w.Occurrences[id.Occurrence].Steps[id.Step]
	queue := &w.Queue
	if current := state.Catalog().QueueAt(queue.Host, queue.Prefix); current != nil {
		queue = current
	}
	for i := range s.Tasks {
		if s.Tasks[i].Runs > 1 {
			copies[queue.Service]++
		}
	}
	// The other tasks of the step go first: copies would take their capacity.
	if s.Done+s.Held < len(s.Tasks) || !speculator.MayBeLast(len(s.Tasks), len(s.Tasks)-s.Done) {
		return runs
	}
	start := max(w.Accepted, w.Spec.ScheduledTime(id.Occurrence))
	common := speculator.Run{
		Pool: queue.Service, Estimate: t.runTimes.Estimate(forecaster.Key{Queue: w.Queue.Name, Step: id.Step}, step.RunTime),
		Siblings: t.copies.durations[id], LateFactor: t.copies.late[w.Queue.Name], Tasks: len(s.Tasks), Open: len(s.Tasks) - s.Done, MaxAttempts: w.Queue.MaxAttempts,
		UsefulBefore: start.Add(allocator.UsefulTime(w)),
	}
	for i := range s.Tasks {
		task := &s.Tasks[i]
		id.Index = i
		if placed := state.RunsOf(id); !task.Done && len(placed) == 1 && !placed[0].Stopping {
			run := common
			run.Failures, run.Copies = task.Failures, int(task.Number-placed[0].Run.Number)
			if t.describeCopyable(&run, placed[0], now) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// describeCopyable completes the description of a run with what its VM has reported. It returns false if the run is
// about to end.
func (t *vmTable) describeCopyable(run *speculator.Run, p *registrar.Placement, now time.Time) bool {
	run.Run, run.VM, run.Since = p.Run, p.VM, p.Since
	vm := t.vms[p.VM]
	if vm == nil {
		vm = &vmState{leaseEnd: t.latestLeaseEnd(t.leaderSince)}
	}
	if vm.expiring {
		return false
	}
	report := vm.reported[p.Run]
	run.Begun = report.HasBegun()
	if !report.Resumed {
		run.Percent = report.Percent
	}
	lastContact := vm.lastPoll
	if lastContact.Before(t.leaderSince) {
		lastContact = t.leaderSince.Add(newLeaderTime)
	}
	run.Silence = max(0, now.Sub(lastContact))
	latestOrder := later(vm.lastResponse, t.leaderSince)
	run.OrderExpired = now.Sub(latestOrder) > permitValidity+startWindow || t.copies.granted[p.Run].After(latestOrder)
	run.LeaseLeft = max(0, vm.leaseEnd.Sub(now))
	return true
}

// isDoubled reports whether the task of a run has another run, or will have one once the latest decision is committed.
func (c *copyTable) isDoubled(run *jaygw.PlacedRun) bool {
	_, planned := c.planned[run.Run]
	return planned || run.Doubled
}
