package orchestrator

import "github.com/jaygw/jaygw"

// siblings maps each step to its reported runs on all VMs. The cost of comparing a run with the
// others of its step then depends on the width of the step and not on the number of VMs.
type siblings map[jaygw.StepTask]map[jaygw.Run]string // step to run to VM

// replace replaces the runs that a VM has reported before by those that it reports now.
func (s siblings) replace(vm string, before, after map[jaygw.Run]jaygw.ReportedRun) {
	for run := range before {
		if _, ok := after[run]; ok {
			continue
		}
		step := stepKey(run.Task)
		if s[step][run] == vm {
			delete(s[step], run)
		}
		if len(s[step]) == 0 {
			delete(s, step)
		}
	}
	for run := range after {
		step := stepKey(run.Task)
		if s[step] == nil {
			s[step] = map[jaygw.Run]string{}
		}
		s[step][run] = vm
	}
}

// stepKey returns the key that all tasks of a step share: the task with index 0.
func stepKey(task jaygw.StepTask) jaygw.StepTask {
	task.Index = 0
	return task
}
