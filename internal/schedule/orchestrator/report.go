package orchestrator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// origin identifies the state from which a decision was made.
	origin struct {
		index jaygw.Index // last command in the state
		term  uint64
		at    time.Time
	}

	// stepGrants counts the tasks of one step that one decision has granted.
	stepGrants struct {
		tasks    int
		restarts int // tasks that had an earlier run
		vms      map[string]bool
	}
)

// maxLoggedTasks bounds the tasks that one log line names.
const maxLoggedTasks = 8

// fields returns the fields of a log line about a decision: what it was made from, and how old that is.
func (from origin) fields() logrus.Fields {
	return logrus.Fields{"decided-from": from.index, "term": from.term, "took": time.Since(from.at).String()}
}

// commandFields returns the fields of a log line about a command whose outcome is unknown.
func commandFields(command jaygw.Command) logrus.Fields {
	var tasks []string
	add := func(run jaygw.Run, vm string) {
		if len(tasks) < maxLoggedTasks {
			tasks = append(tasks, fmt.Sprintf("%s run %d on %s", run.Task, run.Number, vm))
		}
	}
	fields := logrus.Fields{}
	switch {
	case command.StartRuns != nil:
		fields["command"], fields["runs"] = "start", len(command.StartRuns.Grants)
		for _, g := range command.StartRuns.Grants {
			add(g.Run, g.VM)
		}
	case command.StopRuns != nil:
		fields["command"], fields["runs"] = "stop", len(command.StopRuns.Stops)
		for _, s := range command.StopRuns.Stops {
			add(s.Run, s.VM)
		}
	case command.EndRuns != nil:
		fields["command"], fields["runs"], fields["vm"] = "end", len(command.EndRuns.Ended), command.EndRuns.VM
	case command.LearnEffects != nil:
		fields["command"] = "effects"
	case command.BeginWorkflows != nil:
		fields["command"], fields["count"] = "begin", len(command.BeginWorkflows.IDs)
	}
	fields["tasks"] = strings.Join(tasks, ", ")
	return fields
}

// reportCommand logs and counts what a command has decided.
func (o *Orchestrator) reportCommand(command jaygw.Command, result jaygw.Result, from origin) {
	switch {
	case command.StartRuns != nil:
		o.reportStarts(*command.StartRuns, result, from)
	case command.StopRuns != nil:
		o.reportStops(*command.StopRuns, result, from)
	case command.LearnEffects != nil:
		o.log.WithFields(logrus.Fields{
			"pairs": len(command.LearnEffects.Estimates), "index": result.Index,
		}).Info("scheduler: effects of spare images recorded")
	case command.BeginWorkflows != nil:
		ids := command.BeginWorkflows.IDs
		o.log.WithFields(from.fields()).WithFields(logrus.Fields{
			"count": len(ids), "workflows": strings.Join(ids[:min(len(ids), maxLoggedTasks)], " "), "index": result.Index,
		}).Info("scheduler: workflows begun")
	case command.EndRuns != nil:
		o.incrementCounter("scheduler.leases-over")
		o.log.WithFields(logrus.Fields{
			"vm": command.EndRuns.VM, "runs": len(command.EndRuns.Ended), "index": result.Index, "took": time.Since(from.at).String(),
		}).Warn("scheduler: the lease of a VM is over, its runs are free")
	}
}

// reportEnds logs the failed runs that a poll has reported, and the ends without an effect on their
// task.
func (o *Orchestrator) reportEnds(request jaygw.PollRequest, result jaygw.Result) {
	for i, e := range request.Ended {
		ignored := ""
		if i < len(result.Results) {
			ignored = result.Results[i].Detail
		}
		o.reportCopyEnd(e, request.VM, ignored == "")
		if e.Outcome != jaygw.RunFailed && ignored == "" {
			continue
		}
		o.log.WithFields(logrus.Fields{
			"task": e.Run.Task.String(), "run": e.Run.Number, "vm": request.VM, "outcome": string(e.Outcome), "reason": e.Reason,
			"process": request.Process, "sequence": request.Sequence, "index": result.Index, "ignored": ignored,
		}).Info("scheduler: end recorded")
	}
}

// reportStarts counts the grants and logs one line for each step with granted tasks.
func (o *Orchestrator) reportStarts(start jaygw.StartRuns, result jaygw.Result, from origin) {
	steps := map[jaygw.StepTask]*stepGrants{}
	for i, g := range start.Grants {
		if i >= len(result.Results) {
			break // the outcome is unknown
		}
		if refused := result.Results[i]; refused.Code != "" {
			o.incrementCounter("scheduler.grants-refused")
			o.log.WithFields(from.fields()).WithFields(logrus.Fields{
				"task": g.Run.Task.String(), "run": g.Run.Number, "vm": g.VM, "index": result.Index, "reason": refused.Detail,
			}).Warn("scheduler: grant refused")
			continue
		}
		o.incrementCounter("scheduler.grants")
		if g.CopyOf > 0 {
			o.reportCopy(g, result.Index, from)
			continue
		}
		key := g.Run.Task
		key.Index = 0
		step := steps[key]
		if step == nil {
			step = &stepGrants{vms: map[string]bool{}}
			steps[key] = step
		}
		step.tasks++
		step.vms[g.VM] = true
		if g.Run.Number > 1 {
			step.restarts++
		}
	}
	for key, step := range steps {
		o.log.WithFields(from.fields()).WithFields(logrus.Fields{
			"workflow": key.Workflow, "step": fmt.Sprintf("%d.%d", key.Occurrence, key.Step), "tasks": step.tasks, "again": step.restarts,
			"vms": strings.Join(slices.Sorted(maps.Keys(step.vms)), " "), "index": result.Index,
		}).Info("scheduler: tasks granted")
	}
}

// reportWorkflowEnd logs and counts how a workflow has ended. It is called while the state is
// locked.
func (o *Orchestrator) reportWorkflowEnd(w *registrar.Workflow, now jaygw.Time) {
	if !o.leading.Load() {
		return // only the leader reports it
	}
	o.admission.recordEnd(w, now)
	o.incrementCounter("workflows." + string(w.State))
	metrics.GetOrRegisterTimer("workflows.time", o.registry).Update(now.Sub(w.Accepted))
	var runs, failures int
	var steps []string
	for _, occurrence := range w.Occurrences {
		for _, s := range occurrence.Steps {
			steps = append(steps, fmt.Sprintf("%d/%d", s.Done, len(s.Tasks)))
			for j := range s.Tasks {
				runs += int(s.Tasks[j].Number)
				failures += s.Tasks[j].Failures
			}
		}
	}
	o.log.WithFields(logrus.Fields{
		"workflow": w.Spec.ID, "queue": w.Queue.Name, "state": string(w.State), "reason": w.Reason,
		"took": now.Sub(w.Accepted).String(), "objective": allocator.Objective(w).String(),
		"done": strings.Join(steps, " "), "runs": runs, "failures": failures,
	}).Info("scheduler: workflow ended")
}

// reportStops counts the runs to stop and logs one line for each.
func (o *Orchestrator) reportStops(stop jaygw.StopRuns, result jaygw.Result, from origin) {
	for i, s := range stop.Stops {
		fields := logrus.Fields{
			"task": s.Run.Task.String(), "run": s.Run.Number, "vm": s.VM, "reason": s.Reason, "index": result.Index,
		}
		if i < len(result.Results) && result.Results[i].Code != "" {
			fields["refused"] = result.Results[i].Detail
			o.log.WithFields(from.fields()).WithFields(fields).Info("scheduler: stop refused")
			continue
		}
		o.incrementCounter("scheduler.moves")
		o.log.WithFields(fields).Info("scheduler: run moves")
	}
}

func (o *Orchestrator) incrementCounter(counter string) {
	metrics.GetOrRegisterCounter(counter, o.registry).Inc(1)
}
