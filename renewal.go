package jaygw

import "time"

type (
	// Action is what an agent is ordered to do with an attempt.
	Action string

	// Order orders an agent to act on an attempt.
	Order struct {
		Attempt Attempt
		Action  Action
		// Percent is the share of its size that ActionThrottle leaves to the attempt; other
		// actions ignore it.
		Percent int
	}

	// SequencedReport is a report with its number within the agent's incarnation.
	SequencedReport struct {
		Sequence uint64
		Report   Report
	}

	// Renewal asks for a renewal of a VM's lease and reports what runs there.
	Renewal struct {
		// Group is the name of the control group.
		Group       string
		VM          string
		Incarnation Incarnation
		// Sequence numbers the renewals of one incarnation.
		Sequence uint64
		// Announce describes the VM. It is set until the first response and after each
		// change, and nil otherwise.
		Announce *VM
		// Reports lists the reports that are not acknowledged yet.
		Reports []SequencedReport
		Usage   []Usage
		// Attempts lists the attempts that are starting, running or stopping on the VM.
		Attempts []Attempt
		// LastRevision is the revision of the last response, zero before the first one.
		LastRevision uint64
		// Hold is the longest time that the leader may hold the response; zero asks for an
		// immediate one.
		Hold time.Duration
	}

	// RenewalResult is the leader's response to a Renewal.
	RenewalResult struct {
		// Incarnation and Sequence are those of the renewal.
		Incarnation Incarnation
		Sequence    uint64
		// BatchLease is how long batch tasks may run, counted from when the agent sent the
		// renewal.
		BatchLease time.Duration
		// ServiceLease is how long service tasks may run, counted in the same way.
		ServiceLease time.Duration
		// Permits lists the attempts to start.
		Permits []Permit
		// Orders lists what to do with other attempts.
		Orders []Order
		// Acknowledged is the highest sequence number of a committed report.
		Acknowledged uint64
		// DomainOut is set if the VM's failure domain is taken out.
		DomainOut bool
		// Index is the position in the log that the response reflects.
		Index Index
		// Revision is the revision of the attempts assigned to the VM; the next renewal
		// returns it.
		Revision uint64
		// Members holds the addresses of the control group's replicas.
		Members []string
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
	// is short, so that the work of a lost VM soon resumes on another one.
	BatchLease = 10 * time.Second

	// ServiceLease is how long service tasks may run after the renewal was sent.
	// It is longer than a change of leader or a short loss of the quorum takes.
	ServiceLease = 60 * time.Second

	// PermitValidity is how long a permit is valid after the agent sent the renewal. It
	// prevents starts in a failure domain that was taken out while the permit was in
	// transit.
	PermitValidity = 2 * time.Second

	// ClockRateMargin is by how many percent the leader waits longer than the lease, since
	// clocks run at different rates.
	ClockRateMargin = 5

	// MaxRenewalAge is the time without a renewal after which an upstream gets no
	// new requests.
	MaxRenewalAge = 2500 * time.Millisecond
)
