package jaygw

type (
	// Class orders requests and tasks: urgent before latency-critical before
	// bulk.
	Class string

	// Document declares what should run in one environment, where, and within
	// which limits.
	Document struct {
		Environment string `json:"environment"`
		// Number orders the documents of an environment. Once one is in force, those with a
		// lower number can no longer be promoted.
		Number   uint64        `json:"number"`
		Author   string        `json:"author,omitempty"`
		Domains  []DomainSpec  `json:"domains"`
		Teams    []TeamSpec    `json:"teams"`
		Services []ServiceSpec `json:"services"`
		Jobs     []JobSpec     `json:"jobs,omitempty"`
		Limits   Limits        `json:"limits"`
	}

	// DomainSpec declares a failure domain.
	DomainSpec struct {
		Name   string `json:"name"`
		Region string `json:"region"`
	}

	// TeamSpec declares a team and its quota.
	TeamSpec struct {
		Name string `json:"name"`
		// Quota bounds the sum of the reservations of the team's tasks.
		Quota Resources `json:"quota"`
		// Weight is the team's fair share in relation to those of the other teams; zero
		// stands for 1.
		Weight int `json:"weight,omitempty"`
		// MayStart lists the failure domains in which the team may start tasks; an empty
		// list allows all.
		MayStart []string `json:"may-start,omitempty"`
	}

	// ServiceSpec declares a service and the contract with its callers.
	ServiceSpec struct {
		Name  string `json:"name"`
		Team  string `json:"team"`
		Class Class  `json:"class"`
		// Replicas is the number of replicas to run.
		Replicas int `json:"replicas"`
		// Resources is the declared size of one replica.
		Resources Resources `json:"resources"`
		// Timeout is the longest time for a request, retries included.
		Timeout Duration `json:"timeout"`
		// LatencyTarget is the latency that the service should keep to; zero declares none.
		LatencyTarget Duration `json:"latency-target,omitempty"`
		// MaxBody bounds the body of a request; zero stands for 10 MB.
		MaxBody Bytes `json:"max-body-bytes,omitempty"`
		// IdempotentMethods lists HTTP methods, in upper case, that may be sent more than
		// once besides those that HTTP defines as idempotent.
		IdempotentMethods []string `json:"idempotent-methods,omitempty"`
		// RetryPercent is how many retries are allowed per hundred first attempts; zero
		// stands for 10.
		RetryPercent int `json:"retry-percent,omitempty"`
		// Hedge allows a second attempt of a slow request while the first is in progress.
		Hedge bool `json:"hedge,omitempty"`
		// Domains lists the failure domains in which replicas may run; an empty list
		// allows all.
		Domains []string `json:"domains,omitempty"`
	}

	// JobSpec declares a batch job of one or more equal tasks.
	JobSpec struct {
		Name string `json:"name"`
		// Environment may be empty in a document, whose environment then applies.
		Environment string `json:"environment,omitempty"`
		Team        string `json:"team"`
		// Tasks is the number of tasks.
		Tasks int `json:"tasks"`
		// Resources is the declared size of one task.
		Resources Resources `json:"resources"`
		// RunTime is the declared run time of one task at full speed. It is often wrong.
		RunTime Duration `json:"run-time"`
		// Urgent sets the class to Urgent instead of Bulk.
		Urgent bool `json:"urgent,omitempty"`
		// MaxFailures is how many failed attempts fail a task; zero stands for 5.
		MaxFailures int `json:"max-failures,omitempty"`
		// Domains lists the failure domains in which tasks may run; an empty list allows
		// all.
		Domains []string `json:"domains,omitempty"`
		// Payload is passed to the worker.
		Payload string `json:"payload,omitempty"`
	}

	// Limits bounds what the scheduler may do in an environment.
	Limits struct {
		// MovesPerSecond bounds the moves of service replicas; zero stands for 5.
		MovesPerSecond int `json:"moves-per-second,omitempty"`
		// QuarantinePercent is the largest share of all VMs that may be in quarantine; zero
		// stands for 20.
		QuarantinePercent int `json:"quarantine-percent,omitempty"`
		// CommitBelowDeclared lets the scheduler reserve less than the declared size for
		// batch tasks that use less.
		CommitBelowDeclared bool `json:"commit-below-declared,omitempty"`
		// InterferenceDisabled stops the scheduler from throttling and moving tasks because
		// of interference.
		InterferenceDisabled bool `json:"interference-disabled,omitempty"`
		// RampUp is the time over which a returned failure domain or upstream gets back its
		// full share of the load; zero stands for 10 s.
		RampUp Duration `json:"ramp-up,omitempty"`
	}

	// DocumentState is the stage of a document: draft, on trial or in force.
	DocumentState string

	// DocumentRecord is what remains stored of a document that is no longer on trial.
	DocumentRecord struct {
		Number uint64 `json:"number"`
		Digest string `json:"digest"`
		Author string `json:"author"`
		// Index is the position of its submission in the log.
		Index Index `json:"index"`
		// Time is when the document left the trial state.
		Time Time `json:"time"`
	}

	// Submitted is a document known to the control state.
	Submitted struct {
		Document Document      `json:"document"`
		Digest   string        `json:"digest"`
		State    DocumentState `json:"state"`
		// Author is who has submitted the document, or promoted it if it is in force.
		Author string `json:"author"`
		// Index is the position of the last change of State in the log.
		Index Index `json:"index"`
		// Time is when State last changed.
		Time Time `json:"time"`
	}
)

const (
	// Urgent work goes before all other work.
	Urgent Class = "urgent"
	// LatencyCritical work responds to callers who wait.
	LatencyCritical Class = "latency-critical"
	// Bulk work yields to the other classes.
	Bulk Class = "bulk"

	// Draft documents have been checked but not submitted.
	Draft DocumentState = "draft"
	// Trial documents are submitted and under review.
	Trial DocumentState = "trial"
	// Production documents are in force, or were until a later one replaced them.
	Production DocumentState = "production"

	defaultMaxFailures       = 5 // attempts of one task
	defaultMovesPerSecond    = 5
	defaultQuarantinePercent = 20 // of all VMs
	defaultRetryPercent      = 10 // of first attempts
	defaultMaxBody           = 10 * MB
)

// Priority returns the rank of the class; lower goes first.
func (c Class) Priority() int {
	switch c {
	case Urgent:
		return 0
	case LatencyCritical:
		return 1
	default:
		return 2
	}
}

// FailureLimit returns how many failed attempts fail a task of the job.
func (j JobSpec) FailureLimit() int {
	if j.MaxFailures > 0 {
		return j.MaxFailures
	}
	return defaultMaxFailures
}

// Class returns the class of the job's tasks.
func (j JobSpec) Class() Class {
	if j.Urgent {
		return Urgent
	}
	return Bulk
}

// MoveRate returns the largest number of moves of service replicas per second.
func (l Limits) MoveRate() int {
	if l.MovesPerSecond > 0 {
		return l.MovesPerSecond
	}
	return defaultMovesPerSecond
}

// QuarantineLimitPercent returns the largest share of quarantined VMs, in percent.
func (l Limits) QuarantineLimitPercent() int {
	if l.QuarantinePercent > 0 {
		return l.QuarantinePercent
	}
	return defaultQuarantinePercent
}

// Contract returns the contract that the document makes with callers of the
// service.
func (s ServiceSpec) Contract(environment string) Contract {
	c := Contract{
		Environment:       environment,
		Service:           s.Name,
		Class:             s.Class,
		Timeout:           s.Timeout.Std(),
		LatencyTarget:     s.LatencyTarget.Std(),
		MaxBody:           s.MaxBody,
		IdempotentMethods: s.IdempotentMethods,
		RetryPercent:      s.RetryPercent,
		Hedge:             s.Hedge,
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.RetryPercent == 0 {
		c.RetryPercent = defaultRetryPercent
	}
	return c
}
