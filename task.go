package jaygw

import (
	"strings"
	"time"
)

type (
	// TaskID names a task as environment/owner/number, where the owner is its service or
	// job.
	TaskID string

	// Epoch numbers the attempts of a task; it rises with each one. It is the fencing token
	// of an attempt.
	Epoch uint64

	// TaskKind distinguishes service replicas from batch tasks.
	TaskKind string

	// TaskState is the state of a task in the control state.
	TaskState string

	// JobState is the state of a batch job.
	JobState string

	// Task is one service replica or one task of a batch job.
	Task struct {
		ID          TaskID `json:"id"`
		Environment string `json:"environment"`
		// Owner is the name of the service or the job.
		Owner string   `json:"owner"`
		Kind  TaskKind `json:"kind"`
		Team  string   `json:"team"`
		Class Class    `json:"class"`
		// Declared is the size that the document or the job declares.
		Declared Resources `json:"declared"`
		// RunTime is the declared run time at full speed; zero for service replicas.
		RunTime Duration `json:"run-time,omitempty"`
		// Domains lists the failure domains in which the task may run; an empty list allows
		// all.
		Domains []string `json:"domains,omitempty"`
		// Payload is passed to the worker.
		Payload string `json:"payload,omitempty"`

		State TaskState `json:"state"`
		// Since is when State last changed.
		Since     Time `json:"since"`
		Submitted Time `json:"submitted"`
		// Epoch is that of the attempt in force or, without one, of the last attempt.
		Epoch Epoch `json:"epoch"`
		// VM is the VM of the attempt in force; empty without one.
		VM string `json:"vm,omitempty"`
		// LastVM is the VM of the last attempt; empty before the first.
		LastVM string `json:"last-vm,omitempty"`
		// Incarnation is that of the agent to which the attempt in force was granted; zero
		// without one.
		Incarnation Incarnation `json:"incarnation,omitempty"`
		// Reserved is the reservation of the attempt in force; zero without one.
		Reserved Resources `json:"reserved"`
		// Checkpoint is the latest one; zero if there is none.
		Checkpoint Checkpoint `json:"checkpoint"`
		// Failures and Evictions count the attempts that failed and those that the scheduler
		// stopped.
		Failures  int `json:"failures,omitempty"`
		Evictions int `json:"evictions,omitempty"`
		// NotBefore is the end of the retry backoff; zero if no attempt has failed.
		NotBefore Time `json:"not-before,omitempty"`
		// Canceling is set if the task ends as canceled once its attempt has stopped.
		Canceling bool `json:"canceling,omitempty"`
		// Reason says why the last attempt ended or is being stopped; empty if there is
		// nothing to say.
		Reason string `json:"reason,omitempty"`
		// Moved says why and on which VM the attempt before the latest one ended.
		Moved string `json:"moved,omitempty"`
	}

	// Checkpoint is work that survives the end of an attempt.
	Checkpoint struct {
		// Epoch is that of the attempt that wrote the checkpoint; zero if there is none.
		Epoch Epoch `json:"epoch,omitempty"`
		// Progress is the work that is done, as run time at full speed.
		Progress Duration `json:"progress,omitempty"`
		// Token is how the worker finds the checkpoint; jaygw does not interpret it.
		Token string `json:"token,omitempty"`
	}

	// Job is a batch job in the control state.
	Job struct {
		Spec      JobSpec  `json:"spec"`
		State     JobState `json:"state"`
		Submitted Time     `json:"submitted"`
		// Finished is when the last task ended; zero while the job is active.
		Finished Time `json:"finished,omitempty"`
		// Done, Failed and Canceled count the tasks that have ended in these states.
		Done     int `json:"done"`
		Failed   int `json:"failed"`
		Canceled int `json:"canceled"`
		// Reason says why the job is blocked or has failed; empty otherwise.
		Reason string `json:"reason,omitempty"`
	}

	// Team is a team's quota and what its tasks have reserved of it.
	Team struct {
		Name  string    `json:"name"`
		Quota Resources `json:"quota"`
		// Weight is the team's fair share in relation to those of the other teams; it is at
		// least 1.
		Weight int `json:"weight"`
		// MayStart lists the failure domains in which the team may start tasks; an empty
		// list allows all.
		MayStart []string `json:"may-start,omitempty"`
		// Used is the sum of the reservations of the team's attempts.
		Used Resources `json:"used"`
		// Removed is set if the team is no longer declared but still holds resources.
		Removed bool `json:"removed,omitempty"`
	}

	// Attempt identifies one attempt to run a task.
	Attempt struct {
		Task  TaskID `json:"task"`
		Epoch Epoch  `json:"epoch"`
	}

	// Lease permits one VM to run its tasks for a limited time.
	Lease struct {
		VM string
		// Group is the name of the control group.
		Group       string
		Incarnation Incarnation
		// Batch is how long batch tasks may run, counted from when the agent sent its
		// request.
		Batch time.Duration
		// Service is how long service tasks may run, counted in the same way.
		Service time.Duration
	}

	// Permit lets an agent start one attempt within a short time.
	Permit struct {
		Attempt Attempt  `json:"attempt"`
		Kind    TaskKind `json:"kind"`
		Class   Class    `json:"class"`
		// Service is the service of a replica; empty for batch tasks.
		Service string `json:"service,omitempty"`
		// Size is the declared size of the task.
		Size Resources `json:"size"`
		// RunTime is the declared run time at full speed; zero for service replicas.
		RunTime Duration `json:"run-time,omitempty"`
		// Payload is passed to the worker.
		Payload string `json:"payload,omitempty"`
		// Checkpoint is where the attempt continues; zero to start from the beginning.
		Checkpoint Checkpoint `json:"checkpoint"`
		// ValidFor is how long the permit is valid, counted from when the agent sent its
		// renewal.
		ValidFor time.Duration `json:"-"`
	}
)

const (
	// ServiceTask is a service replica.
	ServiceTask TaskKind = "service"
	// BatchTask is a task of a job.
	BatchTask TaskKind = "batch"

	// Waiting tasks have no attempt in force.
	Waiting TaskState = "waiting"
	// Granted tasks have an attempt that may start at any moment.
	Granted TaskState = "granted"
	// Running tasks have been reported as started.
	Running TaskState = "running"
	// Stopping tasks have an attempt that was ordered to stop and may still run.
	Stopping TaskState = "stopping"
	// Done tasks have completed.
	Done TaskState = "done"
	// Failed tasks have had as many failed attempts as their job allows.
	Failed TaskState = "failed"
	// Canceled tasks will not run again.
	Canceled TaskState = "canceled"

	// JobActive jobs have tasks that have not ended.
	JobActive JobState = "active"
	// JobDone jobs have ended and every task has completed.
	JobDone JobState = "done"
	// JobFailed jobs have ended with a failed task.
	JobFailed JobState = "failed"
	// JobCanceled jobs have ended with a canceled task and no failed one.
	JobCanceled JobState = "canceled"
)

// Holds reports whether the task holds resources on a VM: its attempt may be
// running.
func (s TaskState) Holds() bool { return s == Granted || s == Running || s == Stopping }

// Ended reports whether the task will not run again.
func (s TaskState) Ended() bool { return s == Done || s == Failed || s == Canceled }

// Owner returns the name of the service or job that the task belongs to.
func (id TaskID) Owner() string {
	_, rest, _ := strings.Cut(string(id), "/")
	owner, _, _ := strings.Cut(rest, "/")
	return owner
}

// Attempt returns the attempt in force or, without one, the last attempt.
func (t *Task) Attempt() Attempt { return Attempt{t.ID, t.Epoch} }
