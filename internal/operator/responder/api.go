package responder

import "github.com/jaygw/jaygw"

type (
	// SubmitRequest is the body of POST /v1/documents and POST /v1/plan.
	SubmitRequest struct {
		Document jaygw.Document `json:"document"`
		Author   string         `json:"author,omitempty"`
	}

	// PromoteRequest is the body of POST /v1/documents/promote.
	PromoteRequest struct {
		Environment string `json:"environment"`
		Digest      string `json:"digest"`
		Author      string `json:"author,omitempty"`
	}

	// ChangeResponse is the response to a change of the control state.
	ChangeResponse struct {
		Index          jaygw.Index    `json:"index"`             // of the command in the replicated log
		Digest         string         `json:"digest,omitempty"`  // of the document that was submitted or promoted
		AlreadyApplied bool           `json:"already,omitempty"` // the state was already as requested
		Refusal        *jaygw.Refusal `json:"refusal,omitempty"` // why the change was not made
	}

	// ErrorResponse is the response to a request that could not be handled.
	ErrorResponse struct {
		Error    string          `json:"error"`
		Findings []jaygw.Finding `json:"findings,omitempty"` // faults of the request's body
	}

	// PlanResponse lists what a document would change.
	PlanResponse struct {
		Environment string   `json:"environment"`
		InForce     string   `json:"in-force,omitempty"` // digest of the document in force
		Digest      string   `json:"digest"`             // of the compared document
		Changes     []string `json:"changes"`            // differences from the document in force

		InForceNumber uint64   `json:"in-force-number,omitempty"` // number of the document in force
		Effects       []string `json:"effects"`                   // of the changes on running work
	}

	// StatusResponse describes the estate as the replica's control state has it.
	StatusResponse struct {
		Replica      jaygw.ReplicaStatus   `json:"replica"`
		Index        jaygw.Index           `json:"index"` // of the last applied command
		Environments []EnvironmentStatus   `json:"environments"`
		Domains      []jaygw.FailureDomain `json:"domains"`
		VMs          []jaygw.VM            `json:"vms"`
		Teams        []TeamStatus          `json:"teams"`
		Jobs         []JobStatus           `json:"jobs"`            // active ones
		Tasks        map[string]int        `json:"tasks"`           // number of tasks by state
		Nodes        []jaygw.NodeStatus    `json:"nodes,omitempty"` // reported by the leader only
	}

	// EnvironmentStatus lists an environment's documents.
	EnvironmentStatus struct {
		Name    string           `json:"name"`
		InForce *DocumentStatus  `json:"in-force,omitempty"`
		Trials  []DocumentStatus `json:"trials,omitempty"`
	}

	// DocumentStatus names a document.
	DocumentStatus struct {
		Number uint64      `json:"number"`
		Digest string      `json:"digest"`
		Author string      `json:"author,omitempty"`
		Index  jaygw.Index `json:"index"` // of the command that last changed its state
	}

	// TeamStatus is a team's quota and its use of it.
	TeamStatus struct {
		Environment string          `json:"environment"`
		Name        string          `json:"name"`
		Quota       jaygw.Resources `json:"quota"`
		Used        jaygw.Resources `json:"used"`
	}

	// JobStatus is a job with the number of its tasks by outcome. The status of the estate counts its
	// waiting tasks; the request for one job lists its open tasks instead.
	JobStatus struct {
		Environment   string         `json:"environment"`
		Name          string         `json:"name"`
		State         jaygw.JobState `json:"state"`
		Tasks         int            `json:"tasks"` // in total
		Done          int            `json:"done"`
		Failed        int            `json:"failed"`
		Canceled      int            `json:"canceled"`
		Reason        string         `json:"reason,omitempty"`  // why the job is blocked, or its last failure
		Open          []OpenTask     `json:"open,omitempty"`    // tasks that have not ended
		Waiting       int            `json:"waiting,omitempty"` // number of waiting tasks
		WaitingReason string         `json:"why,omitempty"`     // reason why the first waiting task waits
	}

	// OpenTask is a task that has not ended.
	OpenTask struct {
		jaygw.Task
		NotRunningReason string `json:"why,omitempty"` // reason why it does not run; empty if it does
	}
)

const (
	// HeaderClient is the request header with the client's id. Together with HeaderSequence it
	// identifies a change, so that a resent one is applied once.
	HeaderClient = "jaygw-client"
	// HeaderSequence is the request header with the sequence number of a client's change.
	HeaderSequence = "jaygw-sequence"
)
