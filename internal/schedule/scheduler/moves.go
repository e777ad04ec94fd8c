package scheduler

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// rate is a token bucket for service moves.
type rate struct {
	tokens float64
	at     jaygw.Time
}

const (
	defaultRampUp = 10 * time.Second

	// drainTime is how long batch work may go on in a domain that is out, if it is
	// expected to end by then. Stopping it would cost an eviction and give its
	// last minutes to the other VMs.
	drainTime = 3 * time.Minute

	// checkpointInterval bounds the work that is lost if the domain goes while it
	// is drained.
	checkpointInterval = 30 * time.Second

	// drainInterval bounds the cost of looking at a large domain that leaves.
	drainInterval = 100 * time.Millisecond

	// rampSteps is in how many steps a returning VM is opened.
	rampSteps = 10
)

// leave moves what runs on VMs that are leaving or in a domain that is out:
// services first, each once it has a place, and batch work, which writes a
// checkpoint and is stopped unless it ends soon.
func (d *decision) leave() {
	if d.now.Sub(d.drained) < drainInterval {
		return
	}
	d.drained = d.now
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

// mayFinish reports whether the task is likely to end while its domain is
// drained. A VM that is leaving by itself has no time for that.
func (d *decision) mayFinish(task *jaygw.Task, n *placer.Node) bool {
	if n.VM.Leaving || task.State != jaygw.Running {
		return false
	}
	done := d.bases[task.ID].Std() + d.now.Sub(task.Since)
	left := d.usage.RunTime(placer.OwnerKey(task), task.RunTime.Std()) - done
	return d.now.Add(left).Sub(n.Domain.Since) <= drainTime && d.now.Sub(n.Domain.Since) < drainTime
}

// orderCheckpoint asks for a checkpoint now and then, so that little is lost if
// the domain goes before the task has ended.
func (d *decision) orderCheckpoint(task *jaygw.Task) {
	c := d.control(task.VM)
	if at, ok := c.checkpoints[task.Attempt()]; !ok || d.now.Sub(at) >= checkpointInterval {
		c.checkpoints[task.Attempt()] = d.now
		d.ordersFor[task.VM] = true
	}
}

// moveService holds a place for the replica and stops it here when the rate of
// moves allows. Without a place it goes on running here.
func (d *decision) moveService(task *jaygw.Task, n *placer.Node) {
	team := d.state.Teams[placer.TeamKey(task)]
	if team == nil {
		return
	}
	h := d.holds[task.ID]
	if h != nil && (!h.node.Open() || d.index.Node(h.node.VM.Name) != h.node) {
		d.dropHold(task.ID)
		h = nil
	}
	if h == nil {
		shape := &placer.Shape{Size: d.reserve(task), Domains: task.Domains, MayStart: team.MayStart}
		if place := d.index.Find(d.request(task, shape)); place != nil {
			d.hold(task.ID, &hold{node: place, size: shape.Size, since: d.now})
		} else if !outranksBatch(task) || !d.makeRoom(task, shape, false) {
			return
		}
	}
	if d.mayMove(task.Environment) {
		d.evict(task, leavingReason(n))
		d.holds[task.ID].since = d.now
	}
}

func leavingReason(n *placer.Node) string {
	if n.VM.Leaving {
		return "VM " + n.VM.Name + " is leaving"
	}
	return "failure domain " + n.Domain.Name + " is out"
}

// mayMove takes a token from the environment's rate of service moves.
func (d *decision) mayMove(environment string) bool {
	perSecond := float64(d.limits(environment).MoveRate())
	r, ok := d.rates[environment]
	if !ok {
		r = &rate{tokens: perSecond, at: d.now}
		d.rates[environment] = r
	}
	r.tokens = min(perSecond, r.tokens+perSecond*d.now.Sub(r.at).Seconds())
	r.at = d.now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// ramp opens VMs that have returned, in steps.
func (d *decision) ramp() {
	if !d.ramping {
		return
	}
	length := d.rampUp()
	d.ramping = false
	d.index.Domains(func(domain *placer.Domain) {
		domain.Members(func(n *placer.Node) {
			returned := max(n.Returned, domain.Returned)
			percent := 100
			if since := d.now.Sub(returned); returned != 0 && since < length && !n.Leaves() {
				percent = 100 / rampSteps * min(rampSteps, 1+int(rampSteps*since/length))
				d.ramping = true
			}
			d.index.SetRamp(n, percent)
		})
	})
}

// rampUp returns the longest ramp-up of the documents in force.
func (d *decision) rampUp() time.Duration {
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
