package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

func newNode(vm VM, effect func(spare, serving string) float64, demand spareDemand) *node {
	n := &node{
		VM: vm, free: vm.Worker.Size, spareCPU: vm.Worker.Size.CPU, steps: map[stepKey]int{}, effect: effect, demand: demand,
	}
	n.spareCPU += jaygw.MilliCores(vm.ExtraSpareShare * float64(vm.Worker.Size.CPU))
	for _, run := range vm.Runs {
		if run.Step.LatencyTarget > 0 {
			n.serving = append(n.serving, servingTask{image: run.Step.Image, inverseLatency: inverseLatencyOf(run)})
		}
	}
	for _, run := range vm.Runs {
		n.reserve(run.Run.Task, run.Step)
		if run.Step.Spare {
			n.addSpareLoad(run.Step, unmeasuredShare(run))
		}
	}
	return n
}

// inverseLatencyOf returns the latency target of a run divided by its tail latency, at most
// assumedInverseLatency: a load that is low now may rise while a spare task runs.
func inverseLatencyOf(run jaygw.PlacedRun) float64 {
	if run.TailLatency <= 0 {
		return assumedInverseLatency
	}
	return min(assumedInverseLatency, float64(run.Step.LatencyTarget)/float64(run.TailLatency))
}

// unmeasuredShare returns the share of a spare run's load, from 0 to 1, that the measured tail
// latencies do not include: a run that has just started or is paced uses less processor time than
// it will use later.
func unmeasuredShare(run jaygw.PlacedRun) float64 {
	return max(0, 1-float64(run.UsedCPU)/float64(max(1, run.Step.Size.CPU)))
}

// cpuShare returns the size of a task's CPU as a share of the VM's.
func (n *node) cpuShare(step *jaygw.Step) float64 {
	return float64(step.Size.CPU) / float64(max(1, n.Worker.Size.CPU))
}

// addSpareLoad lowers the expected inverse latencies by the effect of a share, from 0 to 1, of a
// spare task's load.
func (n *node) addSpareLoad(step *jaygw.Step, share float64) {
	for i := range n.serving {
		n.serving[i].inverseLatency -= n.effect(step.Image, n.serving[i].image) * n.cpuShare(step) * share
	}
}

// expectedInverseLatency returns the lowest inverse latency that is expected, with one more spare
// task on the VM, among the serving tasks that the spare task slows down. Without such tasks it
// returns assumedInverseLatency.
func (n *node) expectedInverseLatency(step *jaygw.Step) float64 {
	lowest := assumedInverseLatency
	for _, s := range n.serving {
		if effect := n.effect(step.Image, s.image); effect >= jaygw.NegligibleEffect {
			lowest = min(lowest, s.inverseLatency-effect*n.cpuShare(step))
		}
	}
	return lowest
}

// reserve deducts the resources of a task from the free resources of the VM. Spare tasks use only
// spare CPU, so their CPU is not deducted from free.
func (n *node) reserve(task jaygw.StepTask, step *jaygw.Step) {
	n.spareCPU -= expectedCPU(step)
	n.free = n.free.Sub(step.Reserved())
	n.steps[stepKey{task.Workflow, task.Occurrence, task.Step}]++
}

// add reserves resources for a task that this decision starts, and counts its effect on the
// latencies.
func (n *node) add(task jaygw.StepTask, step *jaygw.Step) {
	n.reserve(task, step)
	switch {
	case step.Spare:
		n.addSpareLoad(step, 1)
	case step.LatencyTarget > 0:
		n.serving = append(n.serving, servingTask{image: step.Image, inverseLatency: assumedInverseLatency})
	}
}

// expectedCPU returns the CPU that a task is expected to use. Serving tasks use less than
// their size on average, as they are sized for peak load.
func expectedCPU(step *jaygw.Step) jaygw.MilliCores {
	if step.LatencyTarget > 0 {
		return step.Size.CPU * servingUsePercent / 100
	}
	return step.Size.CPU
}

func (n *node) clone() *node {
	c := *n
	c.steps, c.serving = maps.Clone(n.steps), slices.Clone(n.serving)
	c.claim = n.claim.clone()
	return &c
}

// cheapestNode returns the VM with the lowest cost for a task, or nil if it fits on none.
func cheapestNode(nodes []*node, step *jaygw.Step, id jaygw.StepTask, task *registrar.TaskState, starved bool, now jaygw.Time) *node {
	var cheapest *node
	var lowestCost float64
	for _, n := range nodes {
		if !n.fits(step, id, starved) || !n.mayRetry(task, now) || task.LateVM != "" && task.LateVM != n.Name && isReserved(nodes, task, now) {
			continue
		}
		if cost := n.cost(step, task); cheapest == nil || cost < lowestCost {
			cheapest, lowestCost = n, cost
		}
	}
	return cheapest
}

// fits reports whether a task can start on the VM. It checks the size, the label, the limit per VM
// and, for a spare task that is not starved, the spare CPU and the effect on serving tasks.
func (n *node) fits(step *jaygw.Step, id jaygw.StepTask, starved bool) bool {
	if step.Spare && !starved &&
		(n.spareCPU < step.Size.CPU*minSparePercent/100 || n.expectedInverseLatency(step) < minInverseLatency) {
		return false
	}
	if !step.Reserved().Fits(n.free) || step.Label != "" && !slices.Contains(n.Worker.Labels, step.Label) {
		return false
	}
	return step.MaxPerVM == 0 || n.steps[stepKey{id.Workflow, id.Occurrence, id.Step}] < step.MaxPerVM
}

// mayRetry reports whether a task may start on the VM after its failures there. A worker that fails
// all that it starts would otherwise use up all attempts of a task that fits nowhere else at once.
func (n *node) mayRetry(task *registrar.TaskState, now jaygw.Time) bool {
	delay := time.Duration(0)
	for _, vm := range task.FailedOn {
		if vm == n.Name {
			delay = min(max(retryDelay, 2*delay), maxRetryDelay)
		}
	}
	return !isWithin(delay, task.Released, now)
}

// isWithin reports whether less than a delay has passed since a time. A time ahead of the clock is that of an
// earlier leader, and nothing waits for it.
func isWithin(delay time.Duration, since, now jaygw.Time) bool {
	return now >= since && now.Sub(since) < delay
}

// isReserved reports whether a task should start on the VM whose worker may have an order for its previous run.
// There the order is denied as an old one, but a later incarnation of the worker would carry it out beside a run elsewhere.
func isReserved(nodes []*node, task *registrar.TaskState, now jaygw.Time) bool {
	return isWithin(lateDelay, task.Released, now) && slices.ContainsFunc(nodes, func(n *node) bool { return n.Name == task.LateVM })
}

// gangHistory returns the failures of a gang as those of one task: which member has failed on a VM says
// nothing about the others.
func gangHistory(tasks []registrar.TaskState) registrar.TaskState {
	type failure struct {
		run uint64
		vm  string
	}
	var history registrar.TaskState
	known := map[failure]bool{}
	for i := range tasks {
		t := &tasks[i]
		history.Released = max(history.Released, t.Released)
		for j, vm := range t.FailedOn {
			f := failure{vm: vm}
			if j < len(t.FailedRuns) {
				f.run = t.FailedRuns[j]
			}
			if !known[f] {
				known[f] = true
				history.FailedOn = append(history.FailedOn, vm)
			}
		}
	}
	return history
}

const (
	// retryDelay is the time after the first failure of a task on a VM until it may start there
	// again. It doubles up to maxRetryDelay with each further failure there.
	retryDelay    = time.Second
	maxRetryDelay = 2 * time.Second

	// lateDelay is how long a task waits for room on the VM whose worker may have a late order for it.
	lateDelay = 2 * time.Second
)

const (
	// The unit of the costs is one VM's CPU: a cost of 1 outweighs as much spare CPU as the
	// VM has in total.

	// remoteDataCost is added for VMs outside the rack that holds the task's data.
	remoteDataCost = 0.6
	// failedVMCost keeps a task away from a VM where it has failed: the VM may be the cause,
	// and the next failure may use up the last attempt.
	failedVMCost = 4.0
	// colocationCost keeps spare tasks away from VMs with serving tasks.
	colocationCost = 0.3
	// slowdownCost keeps spare tasks away from serving tasks that they slow down. It is added per
	// unit of expected inverse latency below assumedInverseLatency.
	slowdownCost = 0.5
	// packingBonus makes tasks that are neither spare nor serving prefer VMs with serving tasks,
	// so that the other VMs stay free for spare tasks.
	packingBonus = 1.5
	// lostCompatibilityCost keeps serving tasks away from VMs that would become incompatible
	// with spare work. It is multiplied by the share of the spare work that could no longer run
	// there.
	lostCompatibilityCost = 3.0
)

// cost rates the VM for a task; lower is better.
func (n *node) cost(step *jaygw.Step, task *registrar.TaskState) float64 {
	cost := -float64(n.spareCPU) / float64(max(1, n.Worker.Size.CPU))
	switch {
	case step.Spare && len(n.serving) > 0:
		cost += colocationCost + slowdownCost*(assumedInverseLatency-n.expectedInverseLatency(step))
	case step.LatencyTarget > 0:
		cost += lostCompatibilityCost * n.lostCompatibility(step.Image)
	case !step.Spare && len(n.serving) > 0:
		cost -= packingBonus
	}
	if step.DataRack != "" && !slices.Contains(n.Worker.Labels, step.DataRack) {
		cost += remoteDataCost
	}
	if slices.Contains(task.FailedOn, n.Name) {
		cost += failedVMCost
	}
	return cost
}
