package scheduler

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// tokenBucket limits the rate of service moves.
type tokenBucket struct {
	tokens  float64
	updated jaygw.Time
}

const (
	// defaultRampUp is the ramp-up time if no document in force sets one.
	defaultRampUp = 10 * time.Second

	// maxDrainTime is how long batch tasks may go on in a domain that is out, if they are
	// expected to end by then. Stopping them would cost an eviction and move the remaining
	// minutes of work to other VMs.
	maxDrainTime = 3 * time.Minute

	// checkpointInterval bounds the work that is lost if the domain fails while it is drained.
	checkpointInterval = 30 * time.Second

	// leavingCheckInterval is the time between two checks of the VMs that are leaving. It bounds
	// the cost of the check when a large domain is out.
	leavingCheckInterval = 100 * time.Millisecond

	// rampSteps is the number of steps in which a returned VM is opened to new tasks.
	rampSteps = 10
)

// drainLeavingVMs moves tasks off VMs that are leaving or in a domain that is out. Replicas of
// services move first, each once capacity is reserved for it; batch tasks are evicted, or write
// a checkpoint and go on if they are likely to end soon.
func (d *decision) drainLeavingVMs() {
	if d.now.Sub(d.lastLeavingCheck) < leavingCheckInterval {
		return
	}
	d.lastLeavingCheck = d.now
	leaving := d.index.Leaving()
	if len(leaving) == 0 {
		return
	}
	var batch []*jaygw.Task
	for _, n := range leaving {
		for _, id := range d.machine.TasksOn(n.VM.Name) {
			task := d.state.Tasks[id]
			if task.State != jaygw.Granted && task.State != jaygw.Running {
				continue
			}
			if task.Kind == jaygw.BatchTask {
				batch = append(batch, task)
				continue
			}
			d.moveService(task, n)
		}
	}
	for _, task := range batch {
		n := d.index.Node(task.VM)
		if d.mayFinish(task, n) {
			d.orderCheckpoint(task)
		} else {
			d.evict(task, leavingReason(n))
		}
	}
}

// mayFinish reports whether the task is likely to end while its domain is drained. It is false on
// a VM that is itself leaving, which does not wait.
func (d *decision) mayFinish(task *jaygw.Task, n *placer.Node) bool {
	if n.VM.Leaving || task.State != jaygw.Running {
		return false
	}
	done := d.progressAtStart[task.ID].Std() + d.now.Sub(task.Since)
	left := d.usage.RunTime(placer.OwnerKey(task), task.RunTime.Std()) - done
	return d.now.Add(left).Sub(n.Domain.Since) <= maxDrainTime && d.now.Sub(n.Domain.Since) < maxDrainTime
}

// orderCheckpoint orders a checkpoint every checkpointInterval, so that little work is lost if
// the domain fails before the task has ended.
func (d *decision) orderCheckpoint(task *jaygw.Task) {
	c := d.vmControl(task.VM)
	if at, ok := c.checkpoints[task.Attempt()]; !ok || d.now.Sub(at) >= checkpointInterval {
		c.checkpoints[task.Attempt()] = d.now
		d.changedOrders[task.VM] = true
	}
}

// moveService reserves capacity for the replica on another VM, and evicts it from VM n when the
// rate of moves allows. It keeps running on n until capacity is reserved.
func (d *decision) moveService(task *jaygw.Task, n *placer.Node) {
	team := d.state.Teams[placer.TeamKey(task)]
	if team == nil {
		return
	}
	r := d.reservations[task.ID]
	if r != nil && (!r.node.AcceptsTasks() || d.index.Node(r.node.VM.Name) != r.node) {
		d.cancelReservation(task.ID)
		r = nil
	}
	if r == nil {
		shape := &placer.Shape{Size: d.sizeToCommit(task), Domains: task.Domains, MayStart: team.MayStart}
		if node := d.index.Find(d.request(task, shape)); node != nil {
			d.addReservation(task.ID, &reservation{node: node, size: shape.Size, since: d.now})
		} else if !mayPreempt(task) || !d.preempt(task, shape, false) {
			return
		}
	}
	if d.takeMoveToken(task.Environment) {
		d.evict(task, leavingReason(n))
		d.reservations[task.ID].since = d.now
	}
}

// leavingReason returns the reason for evictions from a VM that is leaving or in a domain that
// is out.
func leavingReason(n *placer.Node) string {
	if n.VM.Leaving {
		return "VM " + n.VM.Name + " is leaving"
	}
	return "failure domain " + n.Domain.Name + " is out"
}

// takeMoveToken takes a token from the environment's bucket of service moves, and reports whether
// there was one.
func (d *decision) takeMoveToken(environment string) bool {
	perSecond := float64(d.limits(environment).MoveRate())
	bucket, ok := d.moveBuckets[environment]
	if !ok {
		bucket = &tokenBucket{tokens: perSecond, updated: d.now}
		d.moveBuckets[environment] = bucket
	}
	bucket.tokens = min(perSecond, bucket.tokens+perSecond*d.now.Sub(bucket.updated).Seconds())
	bucket.updated = d.now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// updateRampUp opens returned VMs to new tasks in steps.
func (d *decision) updateRampUp() {
	if !d.ramping {
		return
	}
	length := d.longestRampUp()
	d.ramping = false
	d.index.Domains(func(domain *placer.Domain) {
		domain.Members(func(n *placer.Node) {
			returned := max(n.Returned, domain.Returned)
			percent := 100
			if since := d.now.Sub(returned); returned != 0 && since < length && !n.MustMove() {
				percent = 100 / rampSteps * min(rampSteps, 1+int(rampSteps*since/length))
				d.ramping = true
			}
			d.index.SetRampPercent(n, percent)
		})
	})
}

// longestRampUp returns the longest ramp-up time of the documents in force.
func (d *decision) longestRampUp() time.Duration {
	longest := time.Duration(0)
	for _, e := range d.state.Environments {
		if e.InForce != nil {
			longest = max(longest, e.InForce.Document.Limits.RampUp.Std())
		}
	}
	if longest == 0 {
		return defaultRampUp
	}
	return longest
}
