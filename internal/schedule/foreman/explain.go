package foreman

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

// granted is the grants of one step in one decision.
type granted struct {
	tasks int
	again int // after an earlier run
	vms   map[string]bool
}

// explain logs and counts what a command has decided. The decision was made at decided.
func (f *Foreman) explain(command jaygw.Command, result jaygw.Result, decided time.Time) {
	switch {
	case command.StartRuns != nil:
		f.explainStarts(*command.StartRuns, result)
	case command.StopRuns != nil:
		f.add("scheduler.moves", len(command.StopRuns.Stops))
		for _, s := range command.StopRuns.Stops {
			f.log.WithFields(logrus.Fields{
				"task": s.Run.Task.String(), "run": s.Run.Number, "vm": s.VM, "reason": s.Reason, "index": result.Index,
			}).Info("scheduler: run moves")
		}
	case command.LearnEffects != nil:
		f.log.WithFields(logrus.Fields{
			"pairs": len(command.LearnEffects.Estimates), "index": result.Index,
		}).Info("scheduler: effects of spare images recorded")
	case command.EndRuns != nil:
		f.add("scheduler.leases-over", 1)
		f.log.WithFields(logrus.Fields{
			"vm": command.EndRuns.VM, "runs": len(command.EndRuns.Ended), "index": result.Index, "took": time.Since(decided).String(),
		}).Warn("scheduler: the lease of a VM is over, its runs are free")
	}
}

// explainStarts logs one line for each step of which tasks were granted.
func (f *Foreman) explainStarts(start jaygw.StartRuns, result jaygw.Result) {
	steps := map[jaygw.StepTask]*granted{}
	for i, g := range start.Grants {
		if i >= len(result.Results) {
			break // the outcome is not known
		}
		if refused := result.Results[i]; refused.Code != "" {
			f.add("scheduler.grants-refused", 1)
			f.log.WithFields(logrus.Fields{
				"task": g.Run.Task.String(), "run": g.Run.Number, "vm": g.VM, "index": result.Index, "reason": refused.Detail,
			}).Warn("scheduler: grant refused")
			continue
		}
		f.add("scheduler.grants", 1)
		key := g.Run.Task
		key.Index = 0
		step := steps[key]
		if step == nil {
			step = &granted{vms: map[string]bool{}}
			steps[key] = step
		}
		step.tasks++
		step.vms[g.VM] = true
		if g.Run.Number > 1 {
			step.again++
		}
	}
	for key, step := range steps {
		f.log.WithFields(logrus.Fields{
			"workflow": key.Workflow, "step": fmt.Sprintf("%d.%d", key.Occurrence, key.Step), "tasks": step.tasks, "again": step.again,
			"vms": strings.Join(slices.Sorted(maps.Keys(step.vms)), " "), "index": result.Index,
		}).Info("scheduler: tasks granted")
	}
}

// tell logs how a workflow has ended. It is called while the state is locked.
func (f *Foreman) tell(w *registrar.Workflow, now jaygw.Time) {
	if !f.leading.Load() {
		return // the leader tells
	}
	f.add("workflows."+string(w.State), 1)
	metrics.GetOrRegisterTimer("workflows.time", f.meters).Update(now.Sub(w.Accepted))
	var runs, failures int
	var steps []string
	for _, o := range w.Occurrences {
		for _, s := range o.Steps {
			steps = append(steps, fmt.Sprintf("%d/%d", s.Done, len(s.Tasks)))
			for j := range s.Tasks {
				runs += int(s.Tasks[j].Number)
				failures += s.Tasks[j].Failures
			}
		}
	}
	f.log.WithFields(logrus.Fields{
		"workflow": w.Spec.ID, "queue": w.Queue.Name, "state": string(w.State), "reason": w.Reason,
		"took": now.Sub(w.Accepted).String(), "objective": allocator.Objective(w).String(),
		"done": strings.Join(steps, " "), "runs": runs, "failures": failures,
	}).Info("scheduler: workflow ended")
}

func (f *Foreman) add(counter string, count int) {
	metrics.GetOrRegisterCounter(counter, f.meters).Inc(int64(count))
}
