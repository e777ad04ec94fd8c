package jaygw

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

type (
	// WorkflowSpec is a workflow as its caller submits it: a job whose tasks form steps. A
	// step starts once all tasks of the steps that it follows are done.
	WorkflowSpec struct {
		// ID is chosen by the caller; a resend has the same one.
		ID string `cbor:"1,keyasint" json:"id"`
		// Payload is passed to the worker with each run.
		Payload string `cbor:"2,keyasint,omitempty" json:"payload,omitempty"`
		Steps   []Step `cbor:"3,keyasint" json:"steps"`

		// Repetitions is how often the steps run. Zero stands for one occurrence without a
		// scheduled time.
		Repetitions int `cbor:"4,keyasint,omitempty" json:"repetitions,omitempty"`
		// FirstRun is the scheduled time of the first occurrence. It is ignored if
		// Repetitions is zero.
		FirstRun Time `cbor:"5,keyasint,omitempty" json:"first-run,omitempty"`
		// Interval is the time between the scheduled times of two occurrences.
		Interval time.Duration `cbor:"6,keyasint,omitempty" json:"interval,omitempty"`
	}

	// Step is a set of equal tasks. A step with a latency target serves: its tasks respond
	// to requests.
	Step struct {
		// Tasks is the number of tasks.
		Tasks int `cbor:"1,keyasint" json:"tasks"`
		// Size is the declared size of one task.
		Size Resources `cbor:"2,keyasint" json:"resources"`
		// RunTime is the estimated run time of one task; zero if it is not known.
		RunTime time.Duration `cbor:"3,keyasint,omitempty" json:"run-time,omitempty"`
		// After lists the positions of the earlier steps that this one follows.
		After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
		// Label is one that the VM must have; empty if any VM will do.
		Label string `cbor:"5,keyasint,omitempty" json:"label,omitempty"`
		// DataRack is the rack that holds the input. VMs whose labels include it are
		// preferred; empty if there is no preference.
		DataRack string `cbor:"6,keyasint,omitempty" json:"data-rack,omitempty"`
		// MaxPerVM is the largest number of tasks of the step on one VM; zero sets no limit.
		MaxPerVM int `cbor:"7,keyasint,omitempty" json:"per-vm,omitempty"`
		// Lasting tasks have no end of their own: a run that ends is always replaced, and
		// counts neither as done nor as a failed attempt.
		Lasting bool `cbor:"8,keyasint,omitempty" json:"lasting,omitempty"`
		// Gang means that all tasks run at the same time or none does.
		Gang bool `cbor:"9,keyasint,omitempty" json:"gang,omitempty"`
		// OneRack asks for all tasks in one rack. The scheduler does not enforce it.
		OneRack bool `cbor:"10,keyasint,omitempty" json:"one-rack,omitempty"`
		// Copies means that a task may have two runs at the same time. The second one starts only
		// if the first is expected to end late.
		Copies bool `cbor:"11,keyasint,omitempty" json:"copies,omitempty"`
		// Resumable tasks can continue from a checkpoint on another VM.
		Resumable bool `cbor:"12,keyasint,omitempty" json:"resumable,omitempty"`
		// Image names the program of the tasks. Estimates of interference are held per pair
		// of images.
		Image string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
		// Spare tasks use the processor time that the other tasks of their VM
		// leave; their CPU is not committed.
		Spare bool `cbor:"14,keyasint,omitempty" json:"spare,omitempty"`
		// LatencyTarget bounds the tail latency of a serving task; zero if the step does not
		// serve.
		LatencyTarget time.Duration `cbor:"15,keyasint,omitempty" json:"latency-target,omitempty"`
		// MaxUnavailable is how many tasks jaygw may stop at the same time, if HasMaxUnavailable is
		// set. The scheduler does not enforce it.
		MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"max-unavailable,omitempty"`
		// HasMaxUnavailable is set if the caller has set MaxUnavailable, which may be zero.
		HasMaxUnavailable bool `cbor:"17,keyasint,omitempty" json:"guarded,omitempty"`
	}

	// WorkflowState is the state of a workflow.
	WorkflowState string

	// StepTask names one task of a workflow.
	StepTask struct {
		// Workflow is the id of the workflow.
		Workflow string `cbor:"1,keyasint"`
		// Occurrence counts the repetitions of the steps, from zero.
		Occurrence int `cbor:"2,keyasint,omitempty"`
		// Step is the position of the step in the workflow, from zero.
		Step int `cbor:"3,keyasint,omitempty"`
		// Index is the position of the task in the step, from zero.
		Index int `cbor:"4,keyasint,omitempty"`
	}

	// Run names one run of a task.
	Run struct {
		Task StepTask `cbor:"1,keyasint"`
		// Number rises with each run of the task; the first is 1.
		Number uint64 `cbor:"2,keyasint"`
	}

	// RunOutcome says how a run has ended.
	RunOutcome string

	// EndedRun is the end of one run.
	EndedRun struct {
		Run Run `cbor:"1,keyasint"`
		// Outcome is the outcome.
		Outcome RunOutcome `cbor:"2,keyasint"`
		// Checkpoint is the latest one; empty if there is none.
		Checkpoint string `cbor:"3,keyasint,omitempty"`
		// Reason says in words why the run ended; empty if nothing is known.
		Reason string `cbor:"4,keyasint,omitempty"`
		// Late is set if the order to start the run got no answer and was stopped. Only a later incarnation of the
		// same worker, which does not know of the stop, may still carry it out.
		Late bool `cbor:"5,keyasint,omitempty"`
	}

	// RunGrant starts a run on a VM.
	RunGrant struct {
		Run Run    `cbor:"1,keyasint"`
		VM  string `cbor:"2,keyasint"`
		// Session is the VM's session number when the grant was decided. The grant is refused
		// if the VM has a newer session.
		Session uint64 `cbor:"3,keyasint"`
		// Ticket permits the start on an advised queue; empty on other queues.
		Ticket string `cbor:"5,keyasint,omitempty"`
		// CopyOf is the number of the run of the same task that this run is a copy of. The grant is refused
		// unless that run is the only one of the task. Zero for a run that is no copy.
		CopyOf uint64 `cbor:"6,keyasint,omitempty"`
	}

	// PlacedRun is a run that has been granted on a VM and has not ended.
	PlacedRun struct {
		Run Run
		VM  string
		// Since is when the run was granted.
		Since Time
		Step  *Step
		// Payload is that of the workflow.
		Payload string
		// Checkpoint is where the run starts; empty to start from the beginning.
		Checkpoint string
		// WorkflowEnded is set if the run is to be stopped: its workflow has ended, its task is done
		// or the leader has decided to stop it.
		WorkflowEnded bool
		// Doubled is set while the task has another run.
		Doubled bool

		// TailLatency is the tail latency of a serving run; zero if it was not measured.
		TailLatency time.Duration
		// UsedCPU is the processor time that a spare run got while the tail latencies on its VM were
		// measured; zero if the agent has not reported the run.
		UsedCPU MilliCores
	}
)

const (
	// WorkflowQueued means that no worker is known to have begun a task.
	WorkflowQueued WorkflowState = "queued"
	// WorkflowRunning means that a worker has begun a task.
	WorkflowRunning WorkflowState = "running"
	// WorkflowCompleted means that all tasks are done.
	WorkflowCompleted WorkflowState = "completed"
	// WorkflowFailed means that a task or a gang has used up its attempts.
	WorkflowFailed WorkflowState = "failed"
	// WorkflowCanceled means that the caller has canceled the workflow.
	WorkflowCanceled WorkflowState = "canceled"

	// RunDone means that the run has finished the work of its task.
	RunDone RunOutcome = "done"
	// RunFailed means that the run has failed by itself. Only this end counts as a failed
	// attempt.
	RunFailed RunOutcome = "failed"
	// RunStopped means that the worker has stopped the run as ordered.
	RunStopped RunOutcome = "stopped"
	// RunLeaseExpired means that the worker has ended the run because its lease expired.
	RunLeaseExpired RunOutcome = "lapsed"
	// RunGangBroken means that the worker has ended the run because another member of its gang
	// ended.
	RunGangBroken RunOutcome = "broken"
	// RunGangIncomplete means that the worker has ended the run because the other members of its
	// gang did not start.
	RunGangIncomplete RunOutcome = "alone"
	// RunNotStarted means that the worker has never started the run and will not do so.
	RunNotStarted RunOutcome = "not-started"
	// RunWorkerLost means that the worker or its VM is lost, or that the worker no longer lists
	// the run.
	RunWorkerLost RunOutcome = "gone"
)

// Ended reports whether the state is final.
func (s WorkflowState) Ended() bool {
	return s == WorkflowCompleted || s == WorkflowFailed || s == WorkflowCanceled
}

// HasBegun reports whether a run with this outcome was begun by its worker. Of a lost worker that is not known.
func (o RunOutcome) HasBegun() bool { return o != RunNotStarted && o != RunWorkerLost }

// String returns the task's name: workflow, occurrence, step and index, joined by
// dots.
func (t StepTask) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Workflow, t.Occurrence, t.Step, t.Index)
}

// ParseStepTask reads the form that String writes. It reports false for any other form.
func ParseStepTask(name string) (StepTask, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return StepTask{}, false
	}
	numbers := [3]int{}
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return StepTask{}, false
		}
		numbers[i] = n
	}
	return StepTask{parts[0], numbers[0], numbers[1], numbers[2]}, true
}

// Reserved returns the resources that a task of the step takes from its VM. Spare tasks only use processor time
// that is left.
func (s *Step) Reserved() Resources {
	reserved := s.Size
	if s.Spare {
		reserved.CPU = 0
	}
	return reserved
}

// AllowsCopies reports whether a task of the step may have two runs at the same time. Members of a gang may
// not, since a gang starts as a whole, nor may lasting tasks, which have no end that could stop the other run.
func (s *Step) AllowsCopies() bool { return s.Copies && !s.Gang && !s.Lasting }

// Occurrences returns how often the steps run.
func (w WorkflowSpec) Occurrences() int { return max(1, w.Repetitions) }

// ScheduledTime returns the scheduled time of an occurrence, before which it may not start. Without
// one it returns zero.
func (w WorkflowSpec) ScheduledTime(occurrence int) Time {
	if w.Repetitions == 0 {
		return 0
	}
	return w.FirstRun.Add(time.Duration(occurrence) * w.Interval)
}

// Check returns the faults of a workflow, which may have at most maxTasks tasks in all its
// occurrences.
func (w WorkflowSpec) Check(maxTasks int) Findings {
	var findings Findings
	add := func(path, format string, args ...any) {
		findings = append(findings, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if len(w.Steps) == 0 {
		add("steps", "a workflow needs a step")
	}
	if w.Repetitions < 0 || w.Repetitions > maxTasks || w.Interval < 0 {
		add("repetitions", "must be from 0 to %d, with an interval that is not negative", maxTasks)
		return findings
	}
	if last := int64(w.Occurrences() - 1); last > 0 && int64(w.Interval) > (math.MaxInt64-max(0, int64(w.FirstRun)))/last {
		add("interval", "the last occurrence is out of the range of times")
		return findings
	}
	tasks := 0
	for i, s := range w.Steps {
		path := fmt.Sprintf("steps[%d]", i)
		if s.Tasks < 1 || s.Tasks > maxTasks {
			add(path+".tasks", "must be from 1 to %d", maxTasks)
			continue
		}
		tasks += s.Tasks * w.Occurrences()
		if s.Size.Negative() {
			add(path+".resources", "must not be negative")
		}
		if s.MaxPerVM < 0 || s.MaxUnavailable < 0 || s.RunTime < 0 {
			add(path, "numbers must not be negative")
		}
		for _, before := range s.After {
			if before < 0 || before >= i {
				add(path+".after", "%d is no earlier step", before)
			}
		}
	}
	if tasks > maxTasks {
		add("steps", "%d tasks are more than %d", tasks, maxTasks)
	}
	return findings
}
