package responder

import "github.com/jaygw/jaygw"

type (
	// SubmitRequest is the body of POST /v1/documents.
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

	// ChangeResponse is the response to a change.
	ChangeResponse struct {
		Index   jaygw.Index    `json:"index"`
		Digest  string         `json:"digest,omitempty"`
		Already bool           `json:"already,omitempty"`
		Refusal *jaygw.Refusal `json:"refusal,omitempty"`
	}

	// ErrorResponse is the response to a request that could not be handled.
	ErrorResponse struct {
		Error    string          `json:"error"`
		Findings []jaygw.Finding `json:"findings,omitempty"`
	}

	// PlanResponse lists what a document would change.
	PlanResponse struct {
		Environment string   `json:"environment"`
		InForce     string   `json:"in-force,omitempty"` // digest
		Digest      string   `json:"digest"`
		Changes     []string `json:"changes"`

		InForceNumber uint64   `json:"in-force-number,omitempty"`
		Effects       []string `json:"effects"` // what the changes do to running work
	}

	// StatusResponse describes the estate.
	StatusResponse struct {
		Replica      jaygw.ReplicaStatus   `json:"replica"`
		Index        jaygw.Index           `json:"index"`
		Environments []EnvironmentStatus   `json:"environments"`
		Domains      []jaygw.FailureDomain `json:"domains"`
		VMs          []jaygw.VM            `json:"vms"`
		Teams        []TeamStatus          `json:"teams"`
		Jobs         []JobStatus           `json:"jobs"`
		Tasks        map[string]int        `json:"tasks"`           // by state
		Nodes        []jaygw.NodeStatus    `json:"nodes,omitempty"` // at the leader only
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
		Index  jaygw.Index `json:"index"`
	}

	// TeamStatus is a team's use of its quota.
	TeamStatus struct {
		Environment string          `json:"environment"`
		Name        string          `json:"name"`
		Quota       jaygw.Resources `json:"quota"`
		Used        jaygw.Resources `json:"used"`
	}

	// JobStatus is a job and its tasks that have not ended.
	JobStatus struct {
		Environment string         `json:"environment"`
		Name        string         `json:"name"`
		State       jaygw.JobState `json:"state"`
		Tasks       int            `json:"tasks"`
		Done        int            `json:"done"`
		Failed      int            `json:"failed"`
		Canceled    int            `json:"canceled"`
		Reason      string         `json:"reason,omitempty"`
		Open        []OpenTask     `json:"open,omitempty"`
		Waiting     int            `json:"waiting,omitempty"` // tasks
		Why         string         `json:"why,omitempty"`     // the first of them waits
	}

	// OpenTask is a task that has not ended, and why it does not run.
	OpenTask struct {
		jaygw.Task
		Why string `json:"why,omitempty"`
	}
)

const (
	// HeaderClient and HeaderSequence identify a change for resends.
	HeaderClient = "jaygw-client"
	// HeaderSequence numbers a client's changes.
	HeaderSequence = "jaygw-sequence"
)
