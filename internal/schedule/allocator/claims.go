package allocator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
	"github.com/jaygw/jaygw/internal/schedule/planner"
)

type (
	// Claim is capacity that a decision holds for waiting tasks of a step on a VM.
	Claim struct {
		Step  jaygw.StepTask
		VM    string
		Start jaygw.Time // expected start
		Until jaygw.Time // time until which the step may hold claims
		Tasks int
	}

	// Decision is the outcome of a decision with the claims behind it.
	Decision struct {
		Grants []jaygw.RunGrant
		// Claims are those that are still held after the grants.
		Claims []Claim
		// Backfilled is the number of grants of other work on VMs with claims.
		Backfilled int
	}

	// nodeClaim is the claim on a VM during one decision.
	nodeClaim struct {
		planner.Claim
		owner    jaygw.StepTask
		priority int
		until    jaygw.Time
		left     int   // claimed tasks that have not been granted
		beside   *node // what is free at the start, beside the claimed tasks
	}

	// claimCapacity is the capacity of a VM for tasks of one step.
	claimCapacity struct {
		node *node
		step *jaygw.Step
		id   jaygw.StepTask
		// reliefs holds the relief of each run on the VM.
		reliefs [][]float64
	}

	// claimPlan holds what is computed once for all claims of a decision.
	claimPlan struct {
		queues map[string]string // names of queues by workflow
		ends   map[*node][]planner.End
		// reliefs holds the relief of each run on a VM. Looking up the effects for each claim took most of a decision.
		reliefs map[*node][][]float64
		held    int // number of claims
		owners  map[jaygw.StepTask]bool
		denied  map[deniedShape][]deniedTask
		// backfilled is the number of grants of other work on VMs with claims.
		backfilled int
	}

	// deniedShape holds the properties that decide, besides size and run time, whether claims deny the
	// start of a task.
	deniedShape struct {
		taskShape
		priority int
	}

	// deniedTask is a task that claims keep from all VMs on which it fits. A task of the same shape that is at least
	// as large, runs at least as long and may wait at least as long is denied too.
	deniedTask struct {
		size              jaygw.Resources
		end, mayWaitUntil jaygw.Time
	}
)

const (
	// largePercent is the share of a VM's mean size from which a task counts as large.
	largePercent = 15

	// claimedPercent is the largest share of a pool's VMs, in percent, that claims cover. The other VMs
	// serve other work whatever the estimates are. A pool of fewer than four VMs has no claims.
	claimedPercent = 25

	// maxClaimants bounds the steps of a pool for which a decision looks for claims.
	maxClaimants = 8

	// maxClaimAge bounds the time for which a step holds claims, from when it began to wait. Runs in such
	// pools take a few seconds: a claim that has not led to a start after several of them rests on
	// estimates that do not hold.
	maxClaimAge = 30 * time.Second

	// minSlack is how long before its latest start in time a workflow passes claims. Capacity that comes free
	// later than expected would otherwise make it late.
	minSlack = time.Second

	// stopTime is how long a run is expected to hold its resources after it was ordered to stop.
	stopTime = 500 * time.Millisecond
)

// hold makes the claims of the waiting steps.
func (d *decision) hold(waiting []*pendingStep) {
	d.plan = &claimPlan{ends: map[*node][]planner.End{}, reliefs: map[*node][][]float64{}, denied: map[deniedShape][]deniedTask{}, owners: map[jaygw.StepTask]bool{}}
	for service, nodes := range d.nodes {
		d.holdInPool(nodes, d.claimants(waiting, service, nodes))
	}
}

// claimants returns the steps of a pool that may hold claims, those that have to start first
// at the front.
func (d *decision) claimants(waiting []*pendingStep, service string, nodes []*node) []*pendingStep {
	var size jaygw.Resources
	for _, n := range nodes {
		size = size.Add(n.Worker.Size)
	}
	var found []*pendingStep
	for _, p := range waiting {
		if p.queue.Service == service && !p.queue.Advised && d.isLarge(p, size, len(nodes)) && d.latestStart(p) >= d.now {
			found = append(found, p)
		}
	}
	slices.SortStableFunc(found, func(a, b *pendingStep) int {
		return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), cmp.Compare(d.latestStart(a), d.latestStart(b)))
	})
	return found[:min(len(found), maxClaimants)]
}

// isLarge reports whether a task of the step, or its gang, takes a large share of a VM of mean size.
func (d *decision) isLarge(p *pendingStep, pool jaygw.Resources, vms int) bool {
	step := &p.workflow.Spec.Steps[p.step]
	if step.Gang && step.Tasks > 1 {
		return true
	}
	large := func(size, total int64) bool { return size > 0 && size*int64(vms)*100 >= total*largePercent }
	return large(int64(step.Size.CPU), int64(pool.CPU)) || large(int64(step.Size.Memory), int64(pool.Memory)) ||
		large(step.Size.Accelerators, pool.Accelerators)
}

// latestStart returns the time until which a step may hold claims: the latest start with which the workflow
// can meet its objective, or maxClaimAge.
func (d *decision) latestStart(p *pendingStep) jaygw.Time {
	since := waitsSince(p)
	aged := since.Add(maxClaimAge)
	if p.workflow.Spec.Steps[p.step].Lasting {
		return aged
	}
	return min(aged, p.urgency.objective.Add(-remainingCriticalPath(p.workflow, p.occurrence)))
}

// waitsSince returns the time from which a step waits: the end of the latest run of its own tasks and of
// those that it follows.
func waitsSince(p *pendingStep) jaygw.Time {
	since := max(p.workflow.Accepted, p.workflow.Spec.ScheduledTime(p.occurrence))
	steps := p.workflow.Occurrences[p.occurrence].Steps
	for _, before := range append([]int{p.step}, p.workflow.Spec.Steps[p.step].After...) {
		for i := range steps[before].Tasks {
			since = max(since, steps[before].Tasks[i].Released)
		}
	}
	return since
}

// holdInPool makes the claims in one pool.
func (d *decision) holdInPool(nodes []*node, claimants []*pendingStep) {
	left := len(nodes) * claimedPercent / 100
	for _, p := range claimants {
		if left == 0 {
			return
		}
		step, waits := &p.workflow.Spec.Steps[p.step], 0
		for _, task := range p.workflow.Occurrences[p.occurrence].Steps[p.step].Tasks {
			if !task.Done && task.Runs == 0 {
				waits++
			}
		}
		if step.Gang && waits < step.Tasks {
			continue
		}
		var free []*node
		var vms []planner.VM
		for _, n := range nodes {
			if n.claim == nil {
				free = append(free, n)
				vms = append(vms, planner.VM{Ends: d.expectedEnds(n), Capacity: &claimCapacity{
					node: n.shadow(p.id()), step: step, id: p.id(), reliefs: d.plan.reliefs[n],
				}})
			}
		}
		claims := planner.Claims(vms, planner.Request{
			Tasks: waits, Gang: step.Gang, MaxVMs: left, Now: d.now, Latest: d.latestStart(p),
		})
		for _, c := range claims {
			d.claim(free[c.VM], p, c)
		}
		left -= len(claims)
	}
}

// claim sets the claim of a VM.
func (d *decision) claim(n *node, p *pendingStep, c planner.Claim) {
	beside := n.clone()
	step := &p.workflow.Spec.Steps[p.step]
	for _, end := range d.expectedEnds(n) {
		if end.At > c.Start {
			break
		}
		beside.release(&n.Runs[end.Run], d.plan.reliefs[n][end.Run])
	}
	for range c.Tasks {
		beside.add(p.id(), step)
	}
	n.claim = &nodeClaim{Claim: c, owner: p.id(), priority: p.queue.Priority, until: d.latestStart(p), left: c.Tasks, beside: beside}
	d.plan.held++
	d.plan.owners[p.id()] = true
}

// expectedEnds returns the expected ends of the runs on a VM, by time.
func (d *decision) expectedEnds(n *node) []planner.End {
	if ends, ok := d.plan.ends[n]; ok {
		return ends
	}
	ends := make([]planner.End, 0, len(n.Runs))
	for i := range n.Runs {
		run := &n.Runs[i]
		switch {
		case run.WorkflowEnded:
			ends = append(ends, planner.End{At: d.now.Add(stopTime), Run: i})
		case !run.Step.Lasting:
			estimate := d.estimate(d.queueOf(run.Run.Task.Workflow), run.Run.Task.Step, run.Step.RunTime)
			ends = append(ends, planner.End{At: forecaster.ExpectedEnd(run.Since, d.now, estimate), Run: i})
		}
	}
	slices.SortStableFunc(ends, func(a, b planner.End) int { return cmp.Compare(a.At, b.At) })
	reliefs := make([][]float64, len(n.Runs))
	for _, end := range ends {
		reliefs[end.Run] = n.relief(&n.Runs[end.Run])
	}
	d.plan.ends[n], d.plan.reliefs[n] = ends, reliefs
	return ends
}

// queueOf returns the name of a workflow's queue.
func (d *decision) queueOf(workflow string) string {
	if d.plan.queues == nil {
		d.plan.queues = make(map[string]string, len(d.view.Workflows))
		for _, w := range d.view.Workflows {
			d.plan.queues[w.Spec.ID] = w.Queue.Name
		}
	}
	return d.plan.queues[workflow]
}

func (d *decision) estimate(queue string, step int, declared time.Duration) forecaster.Estimate {
	if d.view.Estimate == nil {
		return forecaster.Estimate{Median: declared, High: declared}
	}
	return d.view.Estimate(queue, step, declared)
}

// expectedEnd returns the time before which a run of a step that starts now most probably ends.
func (d *decision) expectedEnd(p *pendingStep) jaygw.Time {
	step := &p.workflow.Spec.Steps[p.step]
	if step.Lasting || step.RunTime <= 0 {
		return math.MaxInt64
	}
	return d.now.Add(d.estimate(p.workflow.Queue.Name, p.step, step.RunTime).High)
}

// passable returns the VMs whose claims do not deny the start of a step's task.
func (d *decision) passable(p *pendingStep, nodes []*node, id jaygw.StepTask) []*node {
	if d.plan == nil || d.plan.held == 0 {
		return nodes
	}
	passable := make([]*node, 0, len(nodes))
	end, mayWaitUntil := d.expectedEnd(p), d.mayWaitUntil(p)
	for _, n := range nodes {
		if n.claim == nil || n.claim.owner == p.id() || p.queue.Priority < n.claim.priority || mayWaitUntil < n.claim.Start.Add(minSlack) ||
			n.claim.MayPass(end, func() bool { return n.claim.beside.fits(&p.workflow.Spec.Steps[p.step], id, false) }) {
			passable = append(passable, n)
		}
	}
	return passable
}

// mayWaitUntil returns the time until which a step may wait because of claims. Lasting tasks and workflows that
// have started and are in time do not wait, workflows that have not started do until they would be late, and those
// that are late anyway do for maxClaimAge.
func (d *decision) mayWaitUntil(p *pendingStep) jaygw.Time {
	if p.mayWaitUntil == 0 {
		switch {
		case p.workflow.Spec.Steps[p.step].Lasting || p.urgency.lateness == inTime && p.urgency.unstarted == 0:
			p.mayWaitUntil = math.MinInt64
		case p.urgency.lateness == inTime:
			p.mayWaitUntil = d.latestStart(p)
		default:
			p.mayWaitUntil = waitsSince(p).Add(maxClaimAge)
		}
	}
	return p.mayWaitUntil
}

// add reserves resources for a task that starts on a VM, also beside the claim there.
func (d *decision) add(p *pendingStep, n *node, id jaygw.StepTask, step *jaygw.Step) {
	n.add(id, step)
	if n.claim == nil {
		return
	}
	owns := n.claim.owner == p.id()
	if owns && n.claim.left > 0 {
		n.claim.left--
		return
	}
	if !owns {
		d.plan.backfilled++
	}
	if d.expectedEnd(p) > n.claim.Start {
		n.claim.beside.add(id, step)
	}
}

// recordUnplaceable records that a task of a step fits on no VM, or that claims deny all on which it fits.
func (d *decision) recordUnplaceable(s taskShape, p *pendingStep, step *jaygw.Step) {
	if d.plan == nil || d.plan.held == 0 {
		d.unplaceable.record(s, step)
		return
	}
	switch {
	case d.mayWaitUntil(p) == math.MinInt64 && !d.plan.owners[p.id()]:
		d.unplaceable.record(s, step) // claims deny it nothing
		return
	case step.MaxPerVM > 0 || d.plan.owners[p.id()]:
		return
	}
	shape := deniedShape{s, p.queue.Priority}
	d.plan.denied[shape] = append(d.plan.denied[shape], deniedTask{size: step.Size, end: d.expectedEnd(p), mayWaitUntil: d.mayWaitUntil(p)})
}

// isDenied reports whether a task is known to find no VM because of claims. A step that owns a claim is always tried.
func (d *decision) isDenied(s taskShape, p *pendingStep, step *jaygw.Step) bool {
	if d.plan == nil || d.plan.owners[p.id()] {
		return false
	}
	end, mayWaitUntil := d.expectedEnd(p), d.mayWaitUntil(p)
	return slices.ContainsFunc(d.plan.denied[deniedShape{s, p.queue.Priority}], func(t deniedTask) bool {
		return t.size.Fits(step.Size) && t.end <= end && t.mayWaitUntil <= mayWaitUntil
	})
}

// outcome returns the grants and the claims of steps that still wait.
func (d *decision) outcome(waiting []*pendingStep) Decision {
	result := Decision{Grants: d.grants}
	if d.plan == nil || d.plan.held == 0 {
		return result
	}
	result.Backfilled = d.plan.backfilled
	left := map[jaygw.StepTask]int{}
	for _, p := range waiting {
		if d.plan.owners[p.id()] {
			state := p.workflow.Occurrences[p.occurrence].Steps[p.step]
			left[p.id()] = len(state.Tasks) - state.Done - state.Held
		}
	}
	for _, g := range d.grants {
		step := g.Run.Task
		step.Index = 0
		left[step]--
	}
	for _, service := range slices.Sorted(maps.Keys(d.nodes)) {
		for _, n := range d.nodes[service] {
			if n.claim != nil && n.claim.left > 0 && left[n.claim.owner] > 0 {
				result.Claims = append(result.Claims, Claim{
					Step: n.claim.owner, VM: n.Name, Start: n.claim.Start, Until: n.claim.until, Tasks: n.claim.left,
				})
			}
		}
	}
	return result
}
