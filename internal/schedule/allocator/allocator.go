// Package allocator decides which tasks of workflows start next, and on which VMs. It
// does no I/O and reads no clock.
package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// VM is a VM with a worker that may take tasks.
	VM struct {
		Name    string
		Session uint64
		Worker  *jaygw.PoolWorker
		Runs    []jaygw.PlacedRun // that hold resources
		Room    float64           // share of its processor time left to spare tasks beyond the estimate
	}

	// View is what a decision is made from.
	View struct {
		Catalog   *jaygw.Catalog
		Workflows []*registrar.Workflow
		VMs       []VM // that are in touch, do not drain, and whose domain is in
		// Effect returns how much a spare image slows a serving one beside it: by how
		// much the inverse of its latency falls, as a multiple of that of its target, per
		// share of a VM's processor time.
		Effect func(spare, serving string) float64
		// Ticket returns the ticket with which a worker may run a step of an advised
		// queue, or nothing.
		Ticket func(step jaygw.StepTask, worker string) string
	}

	// node is a VM in one decision.
	node struct {
		VM
		free   jaygw.Resources  // not committed
		spare  jaygw.MilliCores // left to spare tasks
		served []served         // the serving tasks
		effect func(spare, serving string) float64
		steps  map[stepKey]int // tasks of a step
		demand demand
	}

	// served is a serving task: its image, and the inverse of its tail latency as a
	// multiple of that of its target, once all that was started shows.
	served struct {
		image   string
		inverse float64
	}

	stepKey struct {
		workflow         string
		occurrence, step int
	}

	// batch is the waiting tasks of one step.
	batch struct {
		workflow   *registrar.Workflow
		queue      *jaygw.Queue
		occurrence int
		step       int
		urgency    urgency
	}

	decision struct {
		view   View
		now    jaygw.Time
		nodes  map[string][]*node // by service
		full   full
		grants []jaygw.RunGrant
	}
)

const (
	// maxGrants bounds one command.
	maxGrants = 256

	// servingUse is the share of its size, in percent, that a serving task uses in the
	// mean.
	servingUse = 50

	// starvation is the time without a run after which a workflow's next task starts
	// where it may press on others.
	starvation = 1500 * time.Millisecond

	// usualInverse is the inverse of the latency that a serving task with little load
	// is taken for: 40% of its target.
	usualInverse = 2.5
	// leastInverse is the inverse of the latency up to which spare tasks may press a
	// serving one: 80% of its target.
	leastInverse = 1.25

	// spareShare is the part of its size, in percent, that a spare task needs to be
	// left on a VM before it starts there.
	spareShare = 90
)

// Decide returns the runs to start.
func Decide(view View, now jaygw.Time) []jaygw.RunGrant {
	d := &decision{view: view, now: now, nodes: map[string][]*node{}, full: full{}}
	waiting := d.batches()
	if len(waiting) == 0 {
		return nil
	}
	work := demandOf(&view)
	for i := range view.VMs {
		n := newNode(view.VMs[i], view.Effect, work)
		d.nodes[n.Worker.Service] = append(d.nodes[n.Worker.Service], n)
	}
	for _, b := range waiting {
		if len(d.grants) >= maxGrants {
			break
		}
		d.place(b)
	}
	return d.grants
}

// Waits reports whether any task waits for a VM.
func Waits(workflows []*registrar.Workflow, now jaygw.Time) bool {
	for _, w := range workflows {
		for i := range w.Occurrences {
			if w.Spec.Due(i) > now {
				continue
			}
			for j := range w.Occurrences[i].Steps {
				if waits(w, i, j) {
					return true
				}
			}
		}
	}
	return false
}

// waits reports whether a step that is due has tasks to start.
func waits(w *registrar.Workflow, occurrence, step int) bool {
	s := w.Occurrences[occurrence].Steps[step]
	return s.Done+s.Held < len(s.Tasks) && w.Ready(occurrence, step)
}

// Advised returns the steps of advised queues with tasks that wait, the most urgent
// first.
func Advised(view View, now jaygw.Time) []jaygw.StepTask {
	if !slices.ContainsFunc(view.Catalog.Queues, func(q jaygw.Queue) bool { return q.Advised }) {
		return nil
	}
	d := &decision{view: view, now: now}
	var steps []jaygw.StepTask
	for _, b := range d.batches() {
		if b.queue.Advised {
			steps = append(steps, b.id())
		}
	}
	return steps
}

// batches returns the steps with waiting tasks, the most urgent first.
func (d *decision) batches() []*batch {
	var waiting []*batch
	for _, w := range d.view.Workflows {
		queue := d.view.Catalog.QueueAt(w.Queue.Host, w.Queue.Prefix)
		if queue == nil {
			queue = &w.Queue
		}
		for i, o := range w.Occurrences {
			if o.Done == len(o.Steps) || w.Spec.Due(i) > d.now {
				continue
			}
			for j := range o.Steps {
				if waits(w, i, j) {
					waiting = append(waiting, &batch{
						workflow: w, queue: queue, occurrence: i, step: j, urgency: urgencyOf(w, queue, i, d.now),
					})
				}
			}
		}
	}
	slices.SortStableFunc(waiting, func(a, b *batch) int {
		return cmp.Or(a.urgency.compare(b.urgency), cmp.Compare(a.workflow.Order, b.workflow.Order),
			cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step))
	})
	return waiting
}

// place grants as many tasks of a batch as have room.
func (d *decision) place(b *batch) {
	step := &b.workflow.Spec.Steps[b.step]
	nodes := d.approved(b)
	tasks := b.workflow.Occurrences[b.occurrence].Steps[b.step].Tasks
	if step.Gang {
		d.placeGang(b, step, nodes, tasks)
		return
	}
	for i := range tasks {
		if tasks[i].Done || tasks[i].Runs > 0 || len(d.grants) >= maxGrants {
			continue
		}
		id := jaygw.StepTask{Workflow: b.workflow.Spec.ID, Occurrence: b.occurrence, Step: b.step, Index: i}
		n := d.best(b, nodes, step, id, &tasks[i])
		if n == nil {
			return // the other tasks are of the same size
		}
		d.grant(b, n, id, step, tasks[i].Number+1)
	}
}

// best returns the VM that suits a task of a batch best, or nil.
func (d *decision) best(b *batch, nodes []*node, step *jaygw.Step, id jaygw.StepTask, task *registrar.TaskState) *node {
	starves := d.starves(b)
	if b.queue.Advised {
		return best(nodes, step, id, task, starves)
	}
	s := shapeOf(b.queue.Service, step, starves)
	if d.full.has(s, step.Size) {
		return nil
	}
	n := best(nodes, step, id, task, starves)
	if n == nil {
		d.full.note(s, step)
	}
	return n
}

// approved returns the VMs that may run a batch: those of its pool, and on an advised
// queue those with a ticket.
func (d *decision) approved(b *batch) []*node {
	nodes := d.nodes[b.queue.Service]
	if !b.queue.Advised {
		return nodes
	}
	var approved []*node
	for _, n := range nodes {
		if d.ticket(b, n) != "" {
			approved = append(approved, n)
		}
	}
	return approved
}

func (d *decision) ticket(b *batch, n *node) string {
	if !b.queue.Advised || d.view.Ticket == nil {
		return ""
	}
	return d.view.Ticket(b.id(), n.Worker.Life.Name)
}

// id names the step of a batch.
func (b *batch) id() jaygw.StepTask {
	return jaygw.StepTask{Workflow: b.workflow.Spec.ID, Occurrence: b.occurrence, Step: b.step}
}

// placeGang grants all tasks of a gang, or none.
func (d *decision) placeGang(b *batch, step *jaygw.Step, nodes []*node, tasks []registrar.TaskState) {
	number := uint64(0)
	for i := range tasks {
		if tasks[i].Done || tasks[i].Runs > 0 {
			return // members of the last run have not ended everywhere
		}
		number = max(number, tasks[i].Number+1)
	}
	if d.best(b, nodes, step, b.id(), &tasks[0]) == nil {
		return // not even one of them fits
	}
	copies := make([]*node, len(nodes))
	for i, n := range nodes {
		copies[i] = n.clone()
	}
	var placed []*node
	for i := range tasks {
		id := jaygw.StepTask{Workflow: b.workflow.Spec.ID, Occurrence: b.occurrence, Step: b.step, Index: i}
		n := best(copies, step, id, &tasks[i], d.starves(b))
		if n == nil {
			return
		}
		n.add(id, step)
		placed = append(placed, n)
	}
	for i, n := range nodes {
		*n = *copies[i]
	}
	for i, n := range placed {
		id := jaygw.StepTask{Workflow: b.workflow.Spec.ID, Occurrence: b.occurrence, Step: b.step, Index: i}
		d.grants = append(d.grants, jaygw.RunGrant{
			Run: jaygw.Run{Task: id, Number: number}, VM: n.Name, Session: n.Session,
			Ticket: d.ticket(b, n),
		})
	}
}

// starves reports whether a workflow has had nothing at work for long. Load pattern:
// spare tasks of an image that presses every serving one find no place while all VMs
// serve. One task then starts all the same, and the pace of its VM protects the others.
func (d *decision) starves(b *batch) bool {
	w := b.workflow
	return w.Runs == 0 && d.now.Sub(max(w.Idle, w.Spec.Due(b.occurrence))) > starvation &&
		!slices.ContainsFunc(d.grants, func(g jaygw.RunGrant) bool { return g.Run.Task.Workflow == w.Spec.ID })
}

func (d *decision) grant(b *batch, n *node, id jaygw.StepTask, step *jaygw.Step, number uint64) {
	n.add(id, step)
	d.grants = append(d.grants, jaygw.RunGrant{
		Run: jaygw.Run{Task: id, Number: number}, VM: n.Name, Session: n.Session,
		Ticket: d.ticket(b, n),
	})
}
