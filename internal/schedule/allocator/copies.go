package allocator

import (
	"maps"
	"slices"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/speculator"
)

// copyPlacer grants copies of runs on capacity that no waiting task can use.
type copyPlacer struct {
	*decision
	waiting   []*pendingStep // steps with tasks that the decision has not granted
	workflows map[string]*registrar.Workflow
	room      map[string]int          // copies that may start, by pool
	free      map[string]map[int]bool // whether no task waits for a VM, by its name and the priority of the copy
}

// placeCopies grants copies once all waiting tasks that fit have been granted.
func (d *decision) placeCopies(waiting []*pendingStep) {
	if len(d.view.Copies.Candidates) == 0 {
		return
	}
	c := &copyPlacer{decision: d, workflows: map[string]*registrar.Workflow{}, room: maps.Clone(d.view.Copies.Room), free: map[string]map[int]bool{}}
	for _, w := range d.view.Workflows {
		c.workflows[w.Spec.ID] = w
	}
	granted := map[jaygw.StepTask]int{}
	for _, g := range d.grants {
		granted[stepID(g.Run.Task)]++
	}
	for _, p := range waiting {
		if s := p.workflow.Occurrences[p.occurrence].Steps[p.step]; s.Done+s.Held+granted[p.id()] < len(s.Tasks) {
			c.waiting = append(c.waiting, p)
		}
	}
	for _, candidate := range d.view.Copies.Candidates {
		if len(d.grants) >= maxGrants {
			return
		}
		c.place(candidate)
	}
}

// stepID returns the key of a task's step, as pendingStep.id does.
func stepID(task jaygw.StepTask) jaygw.StepTask {
	task.Index = 0
	return task
}

// place grants a copy of a run on the VM with the lowest cost among those where it may run.
func (c *copyPlacer) place(candidate speculator.Candidate) {
	id := candidate.Run.Task
	w := c.workflows[id.Workflow]
	if w == nil || c.room[candidate.Pool] <= 0 {
		return
	}
	p := &pendingStep{workflow: w, queue: queueOf(c.view.Catalog, w), occurrence: id.Occurrence, step: id.Step}
	step, task := &w.Spec.Steps[id.Step], &w.Occurrences[id.Occurrence].Steps[id.Step].Tasks[id.Index]
	if !step.AllowsCopies() || task.Done || task.Runs != 1 || task.LateVM != "" {
		return
	}
	usable := slices.DeleteFunc(slices.Clone(c.usableNodes(p)), func(n *node) bool {
		return n.Name == candidate.VM || n.NoCopies || n.claim != nil || slices.Contains(task.FailedOn, n.Name) || !c.isFree(n, p)
	})
	n := cheapestNode(usable, step, id, task, false, c.now)
	if n == nil {
		return
	}
	c.room[candidate.Pool]--
	c.grant(p, n, id, step, task.Number+1)
	c.grants[len(c.grants)-1].CopyOf = candidate.Run.Number
}

// isFree reports whether no task waits for the capacity of a VM that a copy for a step would take. A lasting task, and one
// that is at least as urgent, waits for each VM that is large enough for it, any other task for those on which it fits now.
func (c *copyPlacer) isFree(n *node, p *pendingStep) bool {
	if free, ok := c.free[n.Name][p.queue.Priority]; ok {
		return free // an earlier copy has only left less to wait for
	}
	free := !slices.ContainsFunc(c.waiting, func(other *pendingStep) bool {
		step := &other.workflow.Spec.Steps[other.step]
		if other.queue.Service != p.queue.Service || other.queue.Advised && c.ticket(other, n) == "" {
			return false
		}
		if other.queue.Priority <= p.queue.Priority || step.Lasting {
			return n.couldFit(step)
		}
		return n.fits(step, other.id(), false)
	})
	if c.free[n.Name] == nil {
		c.free[n.Name] = map[int]bool{}
	}
	c.free[n.Name][p.queue.Priority] = free
	return free
}

// couldFit reports whether a task would fit on the VM if it had no other runs.
func (n *node) couldFit(step *jaygw.Step) bool {
	return step.Reserved().Fits(n.Worker.Size) && (step.Label == "" || slices.Contains(n.Worker.Labels, step.Label))
}

// queueOf returns the queue of a workflow as the catalog in force declares it, or else as it was at the acceptance.
func queueOf(catalog *jaygw.Catalog, w *registrar.Workflow) *jaygw.Queue {
	if queue := catalog.QueueAt(w.Queue.Host, w.Queue.Prefix); queue != nil {
		return queue
	}
	return &w.Queue
}
