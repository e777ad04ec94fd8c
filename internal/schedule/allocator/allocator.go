// Package allocator decides which tasks of workflows start next, and on which VMs. It
// performs no I/O and reads no clock.
package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
	"github.com/jaygw/jaygw/internal/schedule/speculator"
)

type (
	// VM is a VM whose worker can start tasks.
	VM struct {
		Name            string
		Session         uint64            // number of the VM's session
		Worker          *jaygw.PoolWorker // with its size, labels and service
		Runs            []jaygw.PlacedRun // runs that hold resources on the VM
		ExtraSpareShare float64           // processor time for spare tasks beyond the estimate, as a share of the VM
		NoCopies        bool              // whether copies start elsewhere, because the VM may be cut off
	}

	// View is the input of a decision.
	View struct {
		Catalog   *jaygw.Catalog
		Workflows []*registrar.Workflow
		VMs       []VM // VMs with recent contact that do not drain and whose failure domain is not out
		// Effect returns how much tasks of a spare image slow co-located tasks of a serving
		// image: the drop of their inverse latency (target divided by tail latency) for each
		// VM's worth of processor time that the spare tasks use.
		Effect func(spare, serving string) float64
		// Ticket returns the ticket with which an incarnation of a worker may run a step of an
		// advised queue, or an empty string if there is none.
		Ticket func(step jaygw.StepTask, worker jaygw.WorkerIncarnation) string
		// Estimate returns the expected duration of a run of a queue's step; nil stands for the declared one.
		Estimate func(queue string, step int, declared time.Duration) forecaster.Estimate
		// LookAhead makes large tasks hold claims on the VMs where they can start earliest.
		LookAhead bool
		// Copies are the runs that should get a copy on capacity that nothing else waits for.
		Copies speculator.Plan
	}

	// node is the state of a VM during one decision.
	node struct {
		VM
		free     jaygw.Resources  // not committed to tasks
		spareCPU jaygw.MilliCores // expected to be left for spare tasks
		serving  []servingTask    // tasks with a latency target
		effect   func(spare, serving string) float64
		steps    map[stepKey]int // number of tasks on the VM, by step
		demand   spareDemand
		claim    *nodeClaim // nil if nothing claims capacity on the VM
	}

	// servingTask is a task with a latency target. Its inverse latency is the target
	// divided by the tail latency that is expected once all started tasks have their effect.
	servingTask struct {
		image          string
		inverseLatency float64
	}

	// stepKey identifies a step in one occurrence of a workflow.
	stepKey struct {
		workflow         string
		occurrence, step int
	}

	// pendingStep is a step with waiting tasks.
	pendingStep struct {
		workflow   *registrar.Workflow
		queue      *jaygw.Queue
		occurrence int
		step       int
		urgency    urgency
		// mayWaitUntil is the time until which claims may delay the step; zero if it is not computed yet.
		mayWaitUntil jaygw.Time
	}

	// decision is the state of one call of Decide or AdvisedSteps.
	decision struct {
		view        View
		now         jaygw.Time
		nodes       map[string][]*node // by service of the worker
		busy        map[string]bool    // pools that are busy, by service
		unplaceable unplaceable
		grants      []jaygw.RunGrant
		plan        *claimPlan // nil without look-ahead
	}
)

const (
	// maxGrants limits the size of one command. A gang that starts below the limit may exceed it.
	maxGrants = 256

	// servingUsePercent is the mean CPU use of a serving task, in percent of its size.
	servingUsePercent = 50

	// starvationThreshold is the time without a run after which a workflow's next task
	// starts even where it may slow serving tasks, unless its pool is busy: then it waits until
	// the serving tasks leave enough capacity.
	starvationThreshold = 1500 * time.Millisecond

	// busyPoolPercent is the share of a pool's CPU, in percent, from which the pool is busy.
	busyPoolPercent = 60

	// assumedInverseLatency is the inverse latency that is assumed for a serving task under low
	// load: a tail latency of 40% of its target.
	assumedInverseLatency = 2.5
	// minInverseLatency is the inverse latency down to which spare tasks may slow a serving
	// task: a tail latency of two thirds of its target. The rest is for a load that rises while
	// the spare task runs.
	minInverseLatency = 1.5

	// minSparePercent is the spare CPU that a VM must have before a spare task starts
	// there, in percent of the task's size.
	minSparePercent = 90
)

// Decide returns the runs to start, the most urgent first.
func Decide(view View, now jaygw.Time) []jaygw.RunGrant { return DecideWithClaims(view, now).Grants }

// DecideWithClaims returns the runs to start, the most urgent first, and the claims that are held for others.
func DecideWithClaims(view View, now jaygw.Time) Decision {
	d := &decision{view: view, now: now, nodes: map[string][]*node{}, busy: map[string]bool{}, unplaceable: unplaceable{}}
	waiting := d.pendingSteps()
	if len(waiting) == 0 && len(view.Copies.Candidates) == 0 {
		return Decision{}
	}
	demand := spareDemandOf(&view)
	for i := range view.VMs {
		n := newNode(view.VMs[i], view.Effect, demand)
		d.nodes[n.Worker.Service] = append(d.nodes[n.Worker.Service], n)
	}
	for service, nodes := range d.nodes {
		d.busy[service] = isBusy(nodes)
	}
	if view.LookAhead {
		d.hold(waiting)
	}
	for _, p := range waiting {
		if len(d.grants) >= maxGrants {
			break
		}
		d.place(p)
	}
	d.placeCopies(waiting)
	return d.outcome(waiting)
}

// HasWaitingTasks reports whether any task is ready to start and waits for a VM.
func HasWaitingTasks(workflows []*registrar.Workflow, now jaygw.Time) bool {
	for _, w := range workflows {
		for i := range w.Occurrences {
			if w.Spec.ScheduledTime(i) > now {
				continue
			}
			for j := range w.Occurrences[i].Steps {
				if hasWaitingTasks(w, i, j) {
					return true
				}
			}
		}
	}
	return false
}

// hasWaitingTasks reports whether a step whose scheduled time has come has tasks to start.
func hasWaitingTasks(w *registrar.Workflow, occurrence, step int) bool {
	s := w.Occurrences[occurrence].Steps[step]
	return s.Done+s.Held < len(s.Tasks) && w.Ready(occurrence, step)
}

// AdvisedSteps returns the steps of advised queues that have waiting tasks, the most urgent
// first.
func AdvisedSteps(view View, now jaygw.Time) []jaygw.StepTask {
	if !slices.ContainsFunc(view.Catalog.Queues, func(q jaygw.Queue) bool { return q.Advised }) {
		return nil
	}
	d := &decision{view: view, now: now}
	var steps []jaygw.StepTask
	for _, p := range d.pendingSteps() {
		if p.queue.Advised {
			steps = append(steps, p.id())
		}
	}
	return steps
}

// pendingSteps returns the steps with waiting tasks, the most urgent first.
func (d *decision) pendingSteps() []*pendingStep {
	var waiting []*pendingStep
	for _, w := range d.view.Workflows {
		queue := queueOf(d.view.Catalog, w)
		for i, o := range w.Occurrences {
			if o.Done == len(o.Steps) || w.Spec.ScheduledTime(i) > d.now {
				continue
			}
			for j := range o.Steps {
				if hasWaitingTasks(w, i, j) {
					waiting = append(waiting, &pendingStep{
						workflow: w, queue: queue, occurrence: i, step: j, urgency: urgencyOf(w, queue, i, d.now),
					})
				}
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *pendingStep) int {
		return cmp.Or(a.urgency.compare(b.urgency), cmp.Compare(a.workflow.Order, b.workflow.Order),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	return waiting
}

// place grants as many tasks of a step as fit on the VMs.
func (d *decision) place(p *pendingStep) {
	step := &p.workflow.Spec.Steps[p.step]
	nodes := d.usableNodes(p)
	tasks := p.workflow.Occurrences[p.occurrence].Steps[p.step].Tasks
	if step.Gang {
		d.placeGang(p, step, nodes, tasks)
		return
	}
	for i := range tasks {
		if tasks[i].Done || tasks[i].Runs > 0 || len(d.grants) >= maxGrants {
			continue
		}
		id := jaygw.StepTask{Workflow: p.workflow.Spec.ID, Occurrence: p.occurrence, Step: p.step, Index: i}
		n := d.chooseNode(p, nodes, step, id, &tasks[i])
		if n == nil && (isBound(&tasks[i]) || takesRest(step)) {
			continue // it may wait for what the others need not wait for
		}
		if n == nil {
			return // the other tasks have the same size
		}
		d.grant(p, n, id, step, tasks[i].Number+1)
	}
}

// chooseNode returns the VM with the lowest cost for a task of a step, or nil if it fits on none.
func (d *decision) chooseNode(p *pendingStep, nodes []*node, step *jaygw.Step, id jaygw.StepTask, task *registrar.TaskState) *node {
	starved := d.isStarved(p)
	if n := d.nodeFor(p, nodes, step, id, task, starved); n != nil || starved || !d.isOverdue(p, step, task) {
		return n
	}
	return d.nodeFor(p, nodes, step, id, task, true)
}

// nodeFor returns the VM with the lowest cost for a task that is starved or not, or nil if it fits on none.
func (d *decision) nodeFor(p *pendingStep, nodes []*node, step *jaygw.Step, id jaygw.StepTask, task *registrar.TaskState, starved bool) *node {
	if p.queue.Advised {
		return cheapestNode(d.passable(p, nodes, id), step, id, task, starved, d.now)
	}
	s := shapeOf(p.queue.Service, step, starved)
	if d.unplaceable.contains(s, step.Size) || d.isDenied(s, p, step) {
		return nil
	}
	n := cheapestNode(d.passable(p, nodes, id), step, id, task, starved, d.now)
	if n == nil && !isBound(task) {
		d.recordUnplaceable(s, p, step)
	}
	return n
}

// isBound reports whether earlier runs of a task limit the VMs on which it may start.
func isBound(task *registrar.TaskState) bool { return len(task.FailedOn) > 0 || task.LateVM != "" }

// usableNodes returns the VMs that may run a step: those of its pool and, for an advised
// queue, only those with a ticket.
func (d *decision) usableNodes(p *pendingStep) []*node {
	nodes := d.nodes[p.queue.Service]
	if !p.queue.Advised {
		return nodes
	}
	var usable []*node
	for _, n := range nodes {
		if d.ticket(p, n) != "" {
			usable = append(usable, n)
		}
	}
	return usable
}

// ticket returns the ticket for a step of an advised queue on a VM, or an empty string.
func (d *decision) ticket(p *pendingStep, n *node) string {
	if !p.queue.Advised || d.view.Ticket == nil {
		return ""
	}
	return d.view.Ticket(p.id(), n.Worker.Incarnation)
}

// id returns the key of the step.
func (p *pendingStep) id() jaygw.StepTask {
	return jaygw.StepTask{Workflow: p.workflow.Spec.ID, Occurrence: p.occurrence, Step: p.step}
}

// placeGang grants all tasks of a gang or none of them.
func (d *decision) placeGang(p *pendingStep, step *jaygw.Step, nodes []*node, tasks []registrar.TaskState) {
	number := uint64(0)
	for i := range tasks {
		if tasks[i].Done || tasks[i].Runs > 0 {
			return // some members of the previous run have not ended yet
		}
		number = max(number, tasks[i].Number+1)
	}
	history := gangHistory(tasks)
	if d.chooseNode(p, nodes, step, p.id(), &history) == nil {
		return // not even one member fits
	}
	copies := make([]*node, len(nodes))
	for i, n := range nodes {
		copies[i] = n.clone()
	}
	var placed []*node
	for i := range tasks {
		id := jaygw.StepTask{Workflow: p.workflow.Spec.ID, Occurrence: p.occurrence, Step: p.step, Index: i}
		history.LateVM = tasks[i].LateVM
		starved, passable := d.isStarved(p), d.passable(p, copies, id)
		n := cheapestNode(passable, step, id, &history, starved, d.now)
		if n == nil && !starved && d.isOverdue(p, step, &history) {
			n = cheapestNode(passable, step, id, &history, true, d.now)
		}
		if n == nil {
			return
		}
		d.add(p, n, id, step)
		placed = append(placed, n)
	}
	for i, n := range nodes {
		*n = *copies[i]
	}
	for i, n := range placed {
		id := jaygw.StepTask{Workflow: p.workflow.Spec.ID, Occurrence: p.occurrence, Step: p.step, Index: i}
		d.grants = append(d.grants, jaygw.RunGrant{
			Run: jaygw.Run{Task: id, Number: number}, VM: n.Name, Session: n.Session,
			Ticket: d.ticket(p, n),
		})
	}
}

// isStarved reports whether a workflow has had no run for longer than starvationThreshold although
// its pool is not busy. Spare tasks of an image that slows every serving image would find no VM
// while all VMs have serving tasks; one of them then starts anyway, and the pace control on its VM
// protects the serving tasks.
func (d *decision) isStarved(p *pendingStep) bool {
	w := p.workflow
	return w.Runs == 0 && !d.busy[p.queue.Service] && d.now.Sub(max(w.Idle, w.Spec.ScheduledTime(p.occurrence))) > starvationThreshold &&
		!slices.ContainsFunc(d.grants, func(g jaygw.RunGrant) bool { return g.Run.Task.Workflow == w.Spec.ID })
}

// isBusy reports whether tasks other than spare ones have reserved most of the CPU of a pool's VMs.
func isBusy(nodes []*node) bool {
	var size, free jaygw.MilliCores
	for _, n := range nodes {
		size += n.Worker.Size.CPU
		free += n.free.CPU
	}
	return (size-free)*100 >= size*busyPoolPercent
}

func (d *decision) grant(p *pendingStep, n *node, id jaygw.StepTask, step *jaygw.Step, number uint64) {
	d.add(p, n, id, step)
	d.grants = append(d.grants, jaygw.RunGrant{
		Run: jaygw.Run{Task: id, Number: number}, VM: n.Name, Session: n.Session,
		Ticket: d.ticket(p, n),
	})
}
