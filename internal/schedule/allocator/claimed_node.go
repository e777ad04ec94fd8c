package allocator

import (
	"slices"

	"github.com/jaygw/jaygw"
)

func (c *nodeClaim) clone() *nodeClaim {
	if c == nil {
		return nil
	}
	copied := *c
	copied.beside = c.beside.clone()
	return &copied
}

// shadow returns a copy of a VM to which tasks of one step can be added.
func (n *node) shadow(step jaygw.StepTask) *node {
	c := *n
	key := stepKey{step.Workflow, step.Occurrence, step.Step}
	c.steps, c.serving = map[stepKey]int{key: n.steps[key]}, slices.Clone(n.serving)
	return &c
}

// release returns the resources of a run that ends, with its relief for the serving tasks.
func (n *node) release(run *jaygw.PlacedRun, relief []float64) {
	n.spareCPU += expectedCPU(run.Step)
	n.free = n.free.Add(run.Step.Reserved())
	if run.Step.MaxPerVM > 0 {
		task := run.Run.Task
		n.steps[stepKey{task.Workflow, task.Occurrence, task.Step}]--
	}
	for i, r := range relief {
		n.serving[i].inverseLatency = min(n.serving[i].inverseLatency+r, assumedInverseLatency)
	}
}

// relief returns by how much the inverse latency of each serving task on the VM rises with the end of a run. A serving
// run that ends counts as one without load.
func (n *node) relief(run *jaygw.PlacedRun) []float64 {
	if len(n.serving) == 0 || !run.Step.Spare {
		return nil
	}
	relief := make([]float64, len(n.serving))
	for i := range n.serving {
		relief[i] = n.effect(run.Step.Image, n.serving[i].image) * n.cpuShare(run.Step)
	}
	return relief
}

func (c *claimCapacity) Fits() bool      { return c.node.fits(c.step, c.id, false) }
func (c *claimCapacity) Take()           { c.node.add(c.id, c.step) }
func (c *claimCapacity) Release(run int) { c.node.release(&c.node.Runs[run], c.reliefs[run]) }
