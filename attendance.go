package jaygw

import (
	"context"
	"time"
)

type (
	// PoolWorker is the worker beside an agent, as it describes itself.
	PoolWorker struct {
		Life     WorkerLife `cbor:"1,keyasint"`
		Service  string     `cbor:"2,keyasint"`
		Domain   string     `cbor:"3,keyasint"`
		Size     Resources  `cbor:"4,keyasint"`
		Labels   []string   `cbor:"5,keyasint,omitempty"`
		Machine  string     `cbor:"6,keyasint,omitempty"`
		Draining bool       `cbor:"7,keyasint,omitempty"`
		// Remaining is the least time until a draining worker leaves.
		Remaining time.Duration `cbor:"8,keyasint,omitempty"`
		Address   string        `cbor:"9,keyasint,omitempty"`
	}

	// WorkerLife names one life of a worker. A worker that starts again may keep its
	// name; it then has another time of birth and knows nothing of its last life.
	WorkerLife struct {
		Name string `cbor:"1,keyasint"`
		Born Time   `cbor:"2,keyasint,omitempty"`
	}

	// KnownRun is a run that an agent holds: being started, at work, being stopped, or
	// ended with an end that is not committed yet.
	KnownRun struct {
		Run        Run    `cbor:"1,keyasint"`
		Percent    int    `cbor:"2,keyasint,omitempty"` // of its work
		Checkpoint string `cbor:"3,keyasint,omitempty"` // the latest
		Bare       bool   `cbor:"4,keyasint,omitempty"` // the agent does not know its traits
		Paced      int    `cbor:"5,keyasint,omitempty"` // by how many percent it is slowed
		// Tail is the tail latency of a run that serves, over the last half second.
		Tail time.Duration `cbor:"6,keyasint,omitempty"`
		// Used is the processor time that a spare run gets.
		Used MilliCores `cbor:"8,keyasint,omitempty"`
		// Resumed is set if the run has begun from a checkpoint.
		Resumed bool `cbor:"7,keyasint,omitempty"`
	}

	// Attendance is an agent's call to the leader: what its worker runs and what has
	// ended there.
	Attendance struct {
		VM        string        `cbor:"1,keyasint"`
		Process   uint64        `cbor:"2,keyasint"` // drawn at random by each agent process
		Sequence  uint64        `cbor:"4,keyasint"`
		Worker    *PoolWorker   `cbor:"5,keyasint,omitempty"` // nil until it has reported
		Known     []KnownRun    `cbor:"6,keyasint,omitempty"`
		Ended     []EndedRun    `cbor:"7,keyasint,omitempty"`
		Served    uint64        `cbor:"8,keyasint,omitempty"` // revision of the last response
		Hold      time.Duration `cbor:"9,keyasint,omitempty"`
		Unhealthy string        `cbor:"10,keyasint,omitempty"` // why the worker should get nothing
	}

	// StartOrder tells an agent to start a run.
	StartOrder struct {
		Run        Run           `cbor:"1,keyasint"`
		Payload    string        `cbor:"2,keyasint,omitempty"`
		Checkpoint string        `cbor:"3,keyasint,omitempty"`
		Valid      time.Duration `cbor:"4,keyasint"` // from when the attendance was sent
		Ticket     string        `cbor:"5,keyasint,omitempty"`
		Traits     RunTraits     `cbor:"7,keyasint"`
	}

	// RunTraits is what an agent has to know of a run at work.
	RunTraits struct {
		Image   string        `cbor:"1,keyasint,omitempty"`
		Spare   bool          `cbor:"2,keyasint,omitempty"`
		Target  time.Duration `cbor:"3,keyasint,omitempty"` // of the tail latency
		Lasting bool          `cbor:"4,keyasint,omitempty"`
		CPU     MilliCores    `cbor:"5,keyasint,omitempty"`
	}

	// ImagePair is a spare image beside a serving one.
	ImagePair struct {
		Spare   string `cbor:"1,keyasint"`
		Serving string `cbor:"2,keyasint"`
	}

	// ImageEffect is by how much the inverse of the latency of a serving image falls, as
	// a multiple of that of its target, per share of a VM that a spare image uses.
	ImageEffect struct {
		Pair   ImagePair `cbor:"1,keyasint"`
		Effect float64   `cbor:"2,keyasint"`
	}

	// EffectEstimate is what is known of an effect.
	EffectEstimate struct {
		Pair     ImagePair `cbor:"1,keyasint"`
		Effect   float64   `cbor:"2,keyasint"`
		Variance float64   `cbor:"3,keyasint"`
	}

	// TraitsOf names the traits of a run that is at work.
	TraitsOf struct {
		Run    Run       `cbor:"1,keyasint"`
		Traits RunTraits `cbor:"2,keyasint"`
	}

	// AttendanceResult is the leader's response.
	AttendanceResult struct {
		Session  uint64        `cbor:"1,keyasint"` // rises with each new agent process and worker's life; the fencing token
		Sequence uint64        `cbor:"2,keyasint"`
		Lease    time.Duration `cbor:"3,keyasint"` // from when the attendance was sent
		Starts   []StartOrder  `cbor:"4,keyasint,omitempty"`
		Stops    []Run         `cbor:"5,keyasint,omitempty"`
		Revision uint64        `cbor:"6,keyasint"`
		Recorded []Run         `cbor:"7,keyasint,omitempty"` // ended runs of the attendance that are committed
		Traits   []TraitsOf    `cbor:"8,keyasint,omitempty"`
		Effects  []ImageEffect `cbor:"9,keyasint,omitempty"` // of the images on the VM
	}

	// WorkflowQuery asks for a confirmed reading of the control state. Exactly one of
	// Workflow, Catalog and Waiting is set.
	WorkflowQuery struct {
		Host     string `cbor:"1,keyasint,omitempty"`
		Path     string `cbor:"2,keyasint,omitempty"`
		Workflow bool   `cbor:"3,keyasint,omitempty"` // the state of the workflow at Path
		Catalog  bool   `cbor:"4,keyasint,omitempty"`
	}

	// WorkflowAnswer answers a WorkflowQuery.
	WorkflowAnswer struct {
		NoCatalog bool          `cbor:"1,keyasint,omitempty"`
		NoQueue   bool          `cbor:"2,keyasint,omitempty"`
		Queue     bool          `cbor:"3,keyasint,omitempty"` // the path names the queue itself
		Waiting   int           `cbor:"4,keyasint,omitempty"`
		State     WorkflowState `cbor:"5,keyasint,omitempty"` // empty: not known
		Number    uint64        `cbor:"6,keyasint,omitempty"`
		Source    []byte        `cbor:"7,keyasint,omitempty"`
	}
)

type (
	// RunWorker is a worker that runs tasks under a lease on its own clock.
	RunWorker interface {
		// Start begins a run. An error tells nothing about whether it runs now or
		// later; a list does.
		Start(ctx context.Context, life WorkerLife, start WorkerStart) (WorkerReply, error)
		// Stop ends a run. One that is not there yet never starts afterwards.
		Stop(ctx context.Context, life WorkerLife, run Run, fence uint64) (WorkerReply, error)
		// Hold extends the lease of all runs and lists them.
		Hold(ctx context.Context, life WorkerLife, hold WorkerHold) (RunList, error)
		// Pace lets a run work at a share of its speed, in percent.
		Pace(ctx context.Context, life WorkerLife, run Run, percent int, fence uint64) (WorkerReply, error)
	}

	// WorkerStart is an order to start a run.
	WorkerStart struct {
		Run        Run
		Payload    string
		Checkpoint string
		Ticket     string
		Deadline   time.Duration // on the worker's clock; also of the order itself
		Fence      uint64
	}

	// WorkerHold asks for a longer lease and a list of runs.
	WorkerHold struct {
		Deadline time.Duration // on the worker's clock; zero leaves the lease as it is
		Fence    uint64
		Seen     uint64        // number of the last end that is recorded; earlier ones are forgotten
		Wait     time.Duration // for an end
	}

	// WorkerReply is a worker's answer to an order.
	WorkerReply struct {
		Clock  time.Duration // reading of the worker's clock
		Denied OrderDenial   // empty: carried out
		Detail string
	}

	// OrderDenial says why a worker has not carried out an order.
	OrderDenial string

	// RunList is what a worker runs and what has ended there.
	RunList struct {
		WorkerReply
		Life    WorkerLife
		Running []RunningRow
		Ended   []EndedRow
	}

	// RunningRow is one run at work.
	RunningRow struct {
		Run        Run
		Checkpoint string
		Percent    int
		Tail       time.Duration // tail latency of a task that serves
		Used       MilliCores    // processor time in use by any other task
	}

	// EndedRow is one end, with its number in the worker's life.
	EndedRow struct {
		Number uint64
		End    EndedRun
	}
)

const (
	// DeniedFence means that a newer session has given orders.
	DeniedFence OrderDenial = "fence"
	// DeniedOld means that the run, or a later one, was stopped or has ended.
	DeniedOld OrderDenial = "old"
	// DeniedLate means that the order's deadline was over.
	DeniedLate OrderDenial = "late"
	// DeniedRoom means that the run does not fit.
	DeniedRoom OrderDenial = "room"
	// DeniedTicket means that the run needs a valid ticket.
	DeniedTicket OrderDenial = "ticket"
	// DeniedBusy means that the worker is not healthy.
	DeniedBusy OrderDenial = "busy"
	// DeniedLife means that another life of the worker was meant.
	DeniedLife OrderDenial = "life"
	// DeniedInvalid means that the worker could not read the order.
	DeniedInvalid OrderDenial = "invalid"
)

type (
	// Adviser knows which workers may run a step of an advised queue.
	Adviser interface {
		// Advise returns the tickets by worker's name of those that may. It may take
		// long, and answers one question at a time.
		Advise(ctx context.Context, question AdviceQuestion) (Advice, error)
	}

	// AdviceQuestion asks for a step and some workers, at most MaxAdvised.
	AdviceQuestion struct {
		Step    StepTask // its index counts nothing
		Workers []string
	}

	// Advice is the answer to a question.
	Advice struct {
		Tickets map[string]string // by worker's name
		Valid   time.Duration
	}
)

// MaxAdvised is the most workers of one question.
const MaxAdvised = 100

// WorkflowDesk takes the requests of callers and operators about workflows.
type WorkflowDesk interface {
	// Submit accepts a workflow. After ErrNotLeader it was not accepted and never
	// will be; after any other error its outcome is unknown.
	Submit(ctx context.Context, submit SubmitWorkflow) (Result, error)
	Cancel(ctx context.Context, cancel CancelWorkflow) (Result, error)
	// Query reads from a state that is confirmed after the call began.
	Query(ctx context.Context, query WorkflowQuery) (WorkflowAnswer, error)
	PutCatalog(ctx context.Context, catalog Catalog) (Result, error)
	SetDomain(ctx context.Context, set SetDomain) (Result, error)
}

// LightEffect is the effect below which a pair of images counts as one without an
// effect. The estimates of such pairs are above zero by the spread of the figures, and a
// serving task near its target by itself would keep all spare work away.
const LightEffect = 3.0
