package foreman

import "github.com/jaygw/jaygw"

// siblings finds the reported runs of a step on all VMs. Comparing a run with the others
// of its step then costs as much as the step is wide, however many VMs there are.
type siblings map[jaygw.StepTask]map[jaygw.Run]string // VM by run, by step

// replace takes what a VM reports in place of what it has reported before.
func (s siblings) replace(vm string, before, after map[jaygw.Run]jaygw.KnownRun) {
	for run := range before {
		if _, ok := after[run]; ok {
			continue
		}
		step := stepOf(run.Task)
		if s[step][run] == vm {
			delete(s[step], run)
		}
		if len(s[step]) == 0 {
			delete(s, step)
		}
	}
	for run := range after {
		step := stepOf(run.Task)
		if s[step] == nil {
			s[step] = map[jaygw.Run]string{}
		}
		s[step][run] = vm
	}
}

// stepOf names the step of a task.
func stepOf(task jaygw.StepTask) jaygw.StepTask {
	task.Index = 0
	return task
}
