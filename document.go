package jaygw

type (
	// Class orders requests and tasks: urgent before latency-critical before
	// bulk.
	Class string

	// Document declares what should run in one environment, where, and within
	// which limits.
	Document struct {
		Environment string        `json:"environment"`
		Number      uint64        `json:"number"`
		Author      string        `json:"author,omitempty"`
		Domains     []DomainSpec  `json:"domains"`
		Teams       []TeamSpec    `json:"teams"`
		Services    []ServiceSpec `json:"services"`
		Jobs        []JobSpec     `json:"jobs,omitempty"`
		Limits      Limits        `json:"limits"`
	}

	// DomainSpec declares a failure domain.
	DomainSpec struct {
		Name   string `json:"name"`
		Region string `json:"region"`
	}

	// TeamSpec declares a team, its quota and the failure domains in which it
	// may start tasks; an empty list allows all.
	TeamSpec struct {
		Name     string    `json:"name"`
		Quota    Resources `json:"quota"`
		Weight   int       `json:"weight,omitempty"` // fair share, default 1
		MayStart []string  `json:"may-start,omitempty"`
	}

	// ServiceSpec declares a latency-critical or bulk service.
	ServiceSpec struct {
		Name              string    `json:"name"`
		Team              string    `json:"team"`
		Class             Class     `json:"class"`
		Replicas          int       `json:"replicas"`
		Resources         Resources `json:"resources"`
		Timeout           Duration  `json:"timeout"`
		LatencyTarget     Duration  `json:"latency-target,omitempty"`
		MaxBody           Bytes     `json:"max-body-bytes,omitempty"`
		IdempotentMethods []string  `json:"idempotent-methods,omitempty"`
		RetryPercent      int       `json:"retry-percent,omitempty"`
		Hedge             bool      `json:"hedge,omitempty"`
		Domains           []string  `json:"domains,omitempty"`
	}

	// JobSpec declares a batch job of one or more equal tasks.
	JobSpec struct {
		Name        string    `json:"name"`
		Environment string    `json:"environment,omitempty"`
		Team        string    `json:"team"`
		Tasks       int       `json:"tasks"`
		Resources   Resources `json:"resources"`
		RunTime     Duration  `json:"run-time"` // declared; often wrong
		Urgent      bool      `json:"urgent,omitempty"`
		MaxFailures int       `json:"max-failures,omitempty"` // per task, default 5
		Domains     []string  `json:"domains,omitempty"`
		Payload     string    `json:"payload,omitempty"` // passed to the worker
	}

	// Limits bounds what the scheduler may do in an environment.
	Limits struct {
		MovesPerSecond       int      `json:"moves-per-second,omitempty"`      // service moves, default 5
		QuarantinePercent    int      `json:"quarantine-percent,omitempty"`    // of all VMs, default 20
		CommitBelowDeclared  bool     `json:"commit-below-declared,omitempty"` // batch may count below its declared size
		InterferenceDisabled bool     `json:"interference-disabled,omitempty"` // no throttling or moves for interference
		RampUp               Duration `json:"ramp-up,omitempty"`               // of returning domains and upstreams, default 10s
	}

	// DocumentState is where a document is on its way into force.
	DocumentState string

	// DocumentRecord is what is kept of a document that is no longer on trial.
	DocumentRecord struct {
		Number uint64 `json:"number"`
		Digest string `json:"digest"`
		Author string `json:"author"`
		Index  Index  `json:"index"` // of its submission
		Time   Time   `json:"time"`  // when it left the trials
	}

	// Submitted is a document known to the control state.
	Submitted struct {
		Document Document      `json:"document"`
		Digest   string        `json:"digest"`
		State    DocumentState `json:"state"`
		Author   string        `json:"author"`
		Index    Index         `json:"index"` // of the last change of State
		Time     Time          `json:"time"`
	}
)

const (
	// Urgent work passes everything else.
	Urgent Class = "urgent"
	// LatencyCritical work answers callers.
	LatencyCritical Class = "latency-critical"
	// Bulk work gives way to the other classes.
	Bulk Class = "bulk"

	// Draft documents have been checked but not submitted.
	Draft DocumentState = "draft"
	// Trial documents are submitted and under review.
	Trial DocumentState = "trial"
	// Production documents are in force, or were until a later one.
	Production DocumentState = "production"

	defaultMaxFailures    = 5
	defaultMovesPerSecond = 5
	defaultQuarantine     = 20
	defaultRetryPercent   = 10
	defaultMaxBody        = 10 * MB
)

// Priority returns the order of the class; lower goes first.
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

// FailureLimit returns how often one task of the job may fail.
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

// MoveRate returns the bound on service moves per second.
func (l Limits) MoveRate() int {
	if l.MovesPerSecond > 0 {
		return l.MovesPerSecond
	}
	return defaultMovesPerSecond
}

// QuarantineShare returns the largest share of quarantined VMs, in percent.
func (l Limits) QuarantineShare() int {
	if l.QuarantinePercent > 0 {
		return l.QuarantinePercent
	}
	return defaultQuarantine
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
