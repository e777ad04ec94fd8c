package jaygw

import "time"

type (
	// TaskID names a task: environment/owner/number.
	TaskID string

	// Epoch numbers the attempts of a task. It is the fencing token of an
	// attempt.
	Epoch uint64

	// TaskKind tells service replicas from batch tasks.
	TaskKind string

	// TaskState is the state of a task in the control state.
	TaskState string

	// JobState is the state of a batch job.
	JobState string

	// Task is one service replica or one task of a batch job.
	Task struct {
		ID          TaskID    `json:"id"`
		Environment string    `json:"environment"`
		Owner       string    `json:"owner"` // service or job
		Kind        TaskKind  `json:"kind"`
		Team        string    `json:"team"`
		Class       Class     `json:"class"`
		Declared    Resources `json:"declared"`
		RunTime     Duration  `json:"run-time,omitempty"`
		Domains     []string  `json:"domains,omitempty"`
		Payload     string    `json:"payload,omitempty"`

		State       TaskState   `json:"state"`
		Since       Time        `json:"since"` // the last change of State
		Submitted   Time        `json:"submitted"`
		Epoch       Epoch       `json:"epoch"` // of the attempt in force or the last one
		VM          string      `json:"vm,omitempty"`
		LastVM      string      `json:"last-vm,omitempty"` // of the last attempt; empty before the first
		Incarnation Incarnation `json:"incarnation,omitempty"`
		Reserved    Resources   `json:"reserved"`
		Checkpoint  Checkpoint  `json:"checkpoint"`
		Failures    int         `json:"failures,omitempty"`
		Evictions   int         `json:"evictions,omitempty"`
		NotBefore   Time        `json:"not-before,omitempty"` // retry backoff
		Canceling   bool        `json:"canceling,omitempty"`  // ends as canceled once stopped
		Reason      string      `json:"reason,omitempty"`
		Moved       string      `json:"moved,omitempty"` // why the attempt before the latest one ended, and where
	}

	// Checkpoint is work that survives the end of an attempt.
	Checkpoint struct {
		Epoch    Epoch    `json:"epoch,omitempty"` // attempt that wrote it
		Progress Duration `json:"progress,omitempty"`
		Token    string   `json:"token,omitempty"` // opaque to jaygw
	}

	// Job is a batch job in the control state.
	Job struct {
		Spec      JobSpec  `json:"spec"`
		State     JobState `json:"state"`
		Submitted Time     `json:"submitted"`
		Finished  Time     `json:"finished,omitempty"`
		Done      int      `json:"done"`
		Failed    int      `json:"failed"`
		Canceled  int      `json:"canceled"`
		Reason    string   `json:"reason,omitempty"`
	}

	// Team is a team's quota and use.
	Team struct {
		Name     string    `json:"name"`
		Quota    Resources `json:"quota"`
		Weight   int       `json:"weight"`
		MayStart []string  `json:"may-start,omitempty"`
		Used     Resources `json:"used"`
		Removed  bool      `json:"removed,omitempty"` // no longer declared, but still holds resources
	}

	// Attempt identifies one run of a task.
	Attempt struct {
		Task  TaskID `json:"task"`
		Epoch Epoch  `json:"epoch"`
	}

	// Lease lets one VM run its tasks for a time.
	Lease struct {
		VM          string
		Group       string
		Incarnation Incarnation
		Batch       time.Duration // from the agent's request
		Service     time.Duration // from the agent's request
	}

	// Permit lets an agent start one attempt within a short time.
	Permit struct {
		Attempt    Attempt       `json:"attempt"`
		Kind       TaskKind      `json:"kind"`
		Class      Class         `json:"class"`
		Service    string        `json:"service,omitempty"`
		Size       Resources     `json:"size"`
		RunTime    Duration      `json:"run-time,omitempty"`
		Payload    string        `json:"payload,omitempty"`
		Checkpoint Checkpoint    `json:"checkpoint"`
		Valid      time.Duration `json:"-"` // from the agent's request
	}
)

const (
	// ServiceTask is a service replica.
	ServiceTask TaskKind = "service"
	// BatchTask is a task of a job.
	BatchTask TaskKind = "batch"

	// Waiting tasks have no attempt.
	Waiting TaskState = "waiting"
	// Granted tasks have an attempt that may start at any moment.
	Granted TaskState = "granted"
	// Running tasks have been reported as started.
	Running TaskState = "running"
	// Stopping tasks have been told to stop; the attempt may still run.
	Stopping TaskState = "stopping"
	// Done tasks have completed.
	Done TaskState = "done"
	// Failed tasks have used up their failures.
	Failed TaskState = "failed"
	// Canceled tasks will not run again.
	Canceled TaskState = "canceled"

	// JobActive jobs have tasks left.
	JobActive JobState = "active"
	// JobDone jobs have completed every task.
	JobDone JobState = "done"
	// JobFailed jobs have a failed task.
	JobFailed JobState = "failed"
	// JobCanceled jobs were canceled by an operator.
	JobCanceled JobState = "canceled"
)

// Holds reports whether the task holds resources on a VM: its attempt may be
// running.
func (s TaskState) Holds() bool { return s == Granted || s == Running || s == Stopping }

// Ended reports whether the task will not run again.
func (s TaskState) Ended() bool { return s == Done || s == Failed || s == Canceled }

// Attempt returns the attempt in force.
func (t *Task) Attempt() Attempt { return Attempt{t.ID, t.Epoch} }
