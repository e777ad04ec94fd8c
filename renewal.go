package jaygw

import "time"

type (
	// Action is what an agent is ordered to do with an attempt.
	Action string

	// Order tells an agent what to do with an attempt.
	Order struct {
		Attempt Attempt
		Action  Action
		Percent int // for ActionThrottle: the share of its size left to the attempt
	}

	// SequencedReport is a report with its number in the agent's incarnation.
	SequencedReport struct {
		Sequence uint64
		Report   Report
	}

	// Renewal asks for a renewal of a VM's lease and reports what runs there.
	Renewal struct {
		Group       string
		VM          string
		Incarnation Incarnation
		Sequence    uint64
		Announce    *VM // set until the first answer and after each change
		Reports     []SequencedReport
		Usage       []Usage
		Known       []Attempt     // starting, running or stopping on the VM
		Served      uint64        // assignment revision of the last response
		Hold        time.Duration // longest time the leader may hold the response
	}

	// RenewalResult is the leader's response to a Renewal.
	RenewalResult struct {
		Incarnation  Incarnation
		Sequence     uint64
		BatchLease   time.Duration // from the time the renewal was sent
		ServiceLease time.Duration // from the time the renewal was sent
		Permits      []Permit
		Orders       []Order
		Acknowledged uint64 // highest report sequence that is committed
		DomainOut    bool
		Index        Index
		Revision     uint64   // of the VM's assignments
		Members      []string // addresses of the control group's replicas
	}
)

const (
	// ActionStop checkpoints the attempt, then stops it.
	ActionStop Action = "stop"
	// ActionKill stops the attempt without a checkpoint.
	ActionKill Action = "kill"
	// ActionCheckpoint makes the attempt write a checkpoint.
	ActionCheckpoint Action = "checkpoint"
	// ActionThrottle limits the attempt to a share of its size.
	ActionThrottle Action = "throttle"

	// RenewalInterval is the time between an agent's renewals.
	RenewalInterval = time.Second

	// BatchLease is how long batch tasks may run after the renewal was sent. It
	// is short, so that the work of a lost VM resumes soon.
	BatchLease = 10 * time.Second

	// ServiceLease is how long service tasks may run after the renewal was sent.
	// It outlives a change of leader and a short loss of the quorum.
	ServiceLease = 60 * time.Second

	// PermitValidity is how long a start permit is valid after the agent asked
	// for it. It keeps starts out of a failure domain that was taken out while
	// the permit was on its way.
	PermitValidity = 2 * time.Second

	// ClockRateMargin is the share by which the leader waits longer than the
	// lease, in parts per hundred, for clocks that run at different rates.
	ClockRateMargin = 5

	// SilenceLimit is the time without a renewal after which an upstream gets no
	// new requests.
	SilenceLimit = 2500 * time.Millisecond
)
