package orchestrator

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/speculator"
	"github.com/sirupsen/logrus"
)

// startedCopy is a copy that this leader has started and whose end is not known.
type startedCopy struct {
	number uint64
	copied speculator.Candidate
}

// recordPlan remembers why runs should get a copy, for the log lines of those that start.
func (c *copyTable) recordPlan(plan speculator.Plan) {
	c.planned = make(map[jaygw.Run]speculator.Candidate, len(plan.Candidates))
	for _, candidate := range plan.Candidates {
		c.planned[candidate.Run] = candidate
	}
}

// start records that a copy has started, and returns what it is a copy of.
func (c *copyTable) start(g jaygw.RunGrant) speculator.Candidate {
	copied := c.planned[jaygw.Run{Task: g.Run.Task, Number: g.CopyOf}]
	c.started[g.Run.Task] = startedCopy{number: g.Run.Number, copied: copied}
	return copied
}

// end handles the end of a run. It returns the copy if the run was one, and whether there was one.
func (c *copyTable) end(run jaygw.Run) (startedCopy, bool) {
	started, ok := c.started[run.Task]
	if !ok || started.number != run.Number {
		return startedCopy{}, false
	}
	delete(c.started, run.Task)
	return started, true
}

// pruneStarted removes the copies of tasks without a run. The end of a copy with the lease of its VM
// is reported by no agent.
func (c *copyTable) pruneStarted(state *registrar.Registrar) {
	for task := range c.started {
		if len(state.RunsOf(task)) == 0 {
			delete(c.started, task)
		}
	}
}

// reportCopy counts and logs a copy that has started.
func (o *Orchestrator) reportCopy(g jaygw.RunGrant, index jaygw.Index, from origin) {
	o.mu.Lock()
	copied := o.copies.start(g)
	o.mu.Unlock()
	o.incrementCounter("scheduler.copies-started")
	o.log.WithFields(from.fields()).WithFields(logrus.Fields{
		"task": g.Run.Task.String(), "run": g.Run.Number, "vm": g.VM, "copy-of": g.CopyOf, "copied-vm": copied.VM,
		"reason": copied.Reason, "gain": copied.Gain.String(), "index": index,
	}).Info("scheduler: copy started")
}

// reportCopyEnd counts and logs the end of a run if that is a copy which was the first to be done, or was stopped.
func (o *Orchestrator) reportCopyEnd(e jaygw.EndedRun, vm string, counts bool) {
	o.mu.Lock()
	ended, ok := o.copies.end(e.Run)
	o.mu.Unlock()
	if !ok {
		return
	}
	fields := logrus.Fields{
		"task": e.Run.Task.String(), "run": e.Run.Number, "vm": vm, "copied-vm": ended.copied.VM, "outcome": string(e.Outcome),
	}
	switch {
	case e.Outcome == jaygw.RunDone && counts:
		o.incrementCounter("scheduler.copies-won")
		o.log.WithFields(fields).Info("scheduler: copy won")
	case e.Outcome != jaygw.RunFailed:
		o.incrementCounter("scheduler.copies-stopped")
		o.log.WithFields(fields).Info("scheduler: copy stopped")
	}
}
