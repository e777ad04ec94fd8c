package jaygw

import "time"

type (
	// Command is one change of the control state. Exactly one of the pointer
	// fields is set. Client and Sequence identify it, so that a resend gets the
	// first result.
	Command struct {
		Group    string `cbor:"1,keyasint,omitempty"`
		Client   string `cbor:"2,keyasint,omitempty"`
		Sequence uint64 `cbor:"3,keyasint,omitempty"`
		Time     Time   `cbor:"4,keyasint,omitempty"` // set by the leader

		Submit     *SubmitDocument  `cbor:"10,keyasint,omitempty"`
		Promote    *PromoteDocument `cbor:"11,keyasint,omitempty"`
		SetDomain  *SetDomain       `cbor:"12,keyasint,omitempty"`
		AnnounceVM *AnnounceVM      `cbor:"13,keyasint,omitempty"`
		ExpireVM   *ExpireVM        `cbor:"14,keyasint,omitempty"`
		SubmitJob  *SubmitJob       `cbor:"15,keyasint,omitempty"`
		CancelJob  *CancelJob       `cbor:"16,keyasint,omitempty"`
		Grant      *GrantTasks      `cbor:"17,keyasint,omitempty"`
		Report     *ReportTasks     `cbor:"18,keyasint,omitempty"`
		Evict      *EvictTasks      `cbor:"19,keyasint,omitempty"`
		Claim      *ClaimKeys       `cbor:"20,keyasint,omitempty"`
		Settle     *SettleKeys      `cbor:"21,keyasint,omitempty"`
		RemoveVM   *RemoveVM        `cbor:"22,keyasint,omitempty"`
		Resize     *ResizeTasks     `cbor:"23,keyasint,omitempty"`
		Members    *ChangeMembers   `cbor:"24,keyasint,omitempty"`
		Note       *NoteJobs        `cbor:"30,keyasint,omitempty"`

		Catalog        *PutCatalog     `cbor:"31,keyasint,omitempty"`
		SubmitWorkflow *SubmitWorkflow `cbor:"32,keyasint,omitempty"`
		CancelWorkflow *CancelWorkflow `cbor:"33,keyasint,omitempty"`
		OpenSession    *OpenSession    `cbor:"34,keyasint,omitempty"`
		StartRuns      *StartRuns      `cbor:"35,keyasint,omitempty"`
		EndRuns        *EndRuns        `cbor:"36,keyasint,omitempty"`
		StopRuns       *StopRuns       `cbor:"37,keyasint,omitempty"`
		LearnEffects   *LearnEffects   `cbor:"38,keyasint,omitempty"`
	}

	// PutCatalog puts a catalog in force if its number is higher than that in force.
	PutCatalog struct {
		Catalog Catalog `cbor:"1,keyasint"`
	}

	// SubmitWorkflow accepts a workflow into the queue that the host and the path
	// lead to. The path ends with the workflow's id.
	SubmitWorkflow struct {
		Spec WorkflowSpec `cbor:"1,keyasint"`
		Host string       `cbor:"2,keyasint"`
		Path string       `cbor:"3,keyasint"`
	}

	// CancelWorkflow cancels the workflow that the host and the path lead to.
	CancelWorkflow struct {
		Host string `cbor:"1,keyasint"`
		Path string `cbor:"2,keyasint"`
	}

	// OpenSession records a new agent process on a VM, or a new life of its worker.
	// Runs of an earlier life are over. The result's index is the session's number.
	OpenSession struct {
		VM      string     `cbor:"1,keyasint"`
		Process uint64     `cbor:"2,keyasint"`
		Life    WorkerLife `cbor:"3,keyasint"`
		Domain  string     `cbor:"4,keyasint,omitempty"`
	}

	// StartRuns is a batch of grants; each succeeds or fails alone.
	StartRuns struct {
		Grants []RunGrant `cbor:"1,keyasint"`
	}

	// StoppedRun is a run to stop, so that its task goes on elsewhere.
	StoppedRun struct {
		Run    Run    `cbor:"1,keyasint"`
		VM     string `cbor:"2,keyasint"`
		Reason string `cbor:"3,keyasint,omitempty"`
	}

	// StopRuns has runs stopped by their agents. A task waits again once the end of its
	// run is recorded.
	StopRuns struct {
		Stops []StoppedRun `cbor:"1,keyasint"`
	}

	// LearnEffects records what the leader has learned of pairs of images, for the next
	// one.
	LearnEffects struct {
		Estimates []EffectEstimate `cbor:"1,keyasint"`
	}

	// EndRuns records ends of runs on a VM.
	EndRuns struct {
		VM    string     `cbor:"1,keyasint"`
		Ended []EndedRun `cbor:"2,keyasint"`
	}

	// ChangeMembers adds a replica to the control group or removes one. It changes
	// the replicated log itself, not the state machine.
	ChangeMembers struct {
		Add    *Member `cbor:"1,keyasint,omitempty" json:"add,omitempty"`
		Remove uint64  `cbor:"2,keyasint,omitempty" json:"remove,omitempty"`
		// ReplaceSilent lets an added member that names nobody replace a voter that does
		// not answer.
		ReplaceSilent bool `cbor:"3,keyasint,omitempty" json:"replace-silent,omitempty"`
	}

	// SubmitDocument puts a document on trial.
	SubmitDocument struct {
		Document Document `cbor:"1,keyasint"`
		Digest   string   `cbor:"2,keyasint"`
		Author   string   `cbor:"3,keyasint,omitempty"`
	}

	// PromoteDocument puts the document with the reviewed digest in force.
	PromoteDocument struct {
		Environment string `cbor:"1,keyasint"`
		Digest      string `cbor:"2,keyasint"`
		Author      string `cbor:"3,keyasint,omitempty"`
	}

	// SetDomain takes a failure domain out or returns it.
	SetDomain struct {
		Name string `cbor:"1,keyasint"`
		Out  bool   `cbor:"2,keyasint"`
		// Declare adds a domain that is not known. The caller has checked the name.
		Declare bool `cbor:"3,keyasint,omitempty"`
	}

	// AnnounceVM records a VM, a new incarnation of its agent, or that it is
	// leaving.
	AnnounceVM struct {
		VM VM `cbor:"1,keyasint"`
	}

	// ExpireVM ends every attempt of a VM whose lease is over. Kinds limits it to
	// tasks whose lease has ended: batch leases end before service leases.
	ExpireVM struct {
		Name        string      `cbor:"1,keyasint"`
		Incarnation Incarnation `cbor:"2,keyasint"`
		Kinds       []TaskKind  `cbor:"3,keyasint,omitempty"` // empty: all
	}

	// RemoveVM forgets a VM that holds no attempts.
	RemoveVM struct {
		Name string `cbor:"1,keyasint"`
	}

	// SubmitJob adds a batch job.
	SubmitJob struct {
		Spec JobSpec `cbor:"1,keyasint"`
	}

	// CancelJob cancels every task of a job that has not ended.
	CancelJob struct {
		Environment string `cbor:"1,keyasint"`
		Name        string `cbor:"2,keyasint"`
	}

	// Grant starts a new attempt of one task on a VM.
	Grant struct {
		Task        TaskID      `cbor:"1,keyasint"`
		After       Epoch       `cbor:"2,keyasint"` // the task's epoch when the grant was decided
		VM          string      `cbor:"3,keyasint"`
		Incarnation Incarnation `cbor:"4,keyasint"`
		Reserve     Resources   `cbor:"5,keyasint"`
	}

	// GrantTasks is a batch of grants; each succeeds or fails alone.
	GrantTasks struct {
		Grants []Grant `cbor:"1,keyasint"`
	}

	// ReportKind says what happened to an attempt.
	ReportKind string

	// Report is an agent's report of one attempt.
	Report struct {
		Attempt    Attempt    `cbor:"1,keyasint"`
		Kind       ReportKind `cbor:"2,keyasint"`
		Checkpoint Checkpoint `cbor:"3,keyasint,omitempty"`
		Reason     string     `cbor:"4,keyasint,omitempty"`
		NotBefore  Time       `cbor:"5,keyasint,omitempty"` // set by the leader for failures
	}

	// ReportTasks records the reports of one incarnation of an agent.
	ReportTasks struct {
		VM          string      `cbor:"1,keyasint"`
		Incarnation Incarnation `cbor:"2,keyasint"`
		Reports     []Report    `cbor:"3,keyasint"`
	}

	// Eviction stops one attempt.
	Eviction struct {
		Attempt Attempt `cbor:"1,keyasint"`
		Reason  string  `cbor:"2,keyasint"`
	}

	// EvictTasks stops attempts; their tasks wait again once the stop is
	// acknowledged or the lease is over.
	EvictTasks struct {
		Evictions []Eviction `cbor:"1,keyasint"`
	}

	// Resize changes the reservation of a running attempt.
	Resize struct {
		Attempt Attempt   `cbor:"1,keyasint"`
		Reserve Resources `cbor:"2,keyasint"`
	}

	// ResizeTasks is a batch of resizes; each succeeds or fails alone.
	ResizeTasks struct {
		Resizes []Resize `cbor:"1,keyasint"`
	}

	// JobNote says why a job cannot run at present; an empty reason withdraws it.
	JobNote struct {
		Environment string `cbor:"1,keyasint"`
		Name        string `cbor:"2,keyasint"`
		Reason      string `cbor:"3,keyasint,omitempty"`
	}

	// NoteJobs sets the reasons of active jobs.
	NoteJobs struct {
		Notes []JobNote `cbor:"1,keyasint"`
	}

	// KeyClaim claims one idempotency key for one request.
	KeyClaim struct {
		Key     string `cbor:"1,keyasint"` // environment, service, caller's key
		Digest  string `cbor:"2,keyasint"` // of method, target and body
		Entry   string `cbor:"3,keyasint"`
		Request string `cbor:"4,keyasint"` // the claiming request's id
		Expires Time   `cbor:"5,keyasint"` // set when applied if Retention is

		// Patience is how long after the claim the request may still be running;
		// after that, a claim that was not settled counts as KeyUnknown.
		Patience time.Duration `cbor:"6,keyasint,omitempty"`
		// Retention is how long after the claim the key is kept.
		Retention time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// ClaimKeys is a batch of key claims.
	ClaimKeys struct {
		Claims []KeyClaim `cbor:"1,keyasint"`
	}

	// KeyOutcome is what is known of a claimed request.
	KeyOutcome string

	// Settlement records the outcome of a claimed request.
	Settlement struct {
		Key      string          `cbor:"1,keyasint"`
		Request  string          `cbor:"2,keyasint"`
		Outcome  KeyOutcome      `cbor:"3,keyasint"`
		Response *StoredResponse `cbor:"4,keyasint,omitempty"`
	}

	// SettleKeys is a batch of settlements.
	SettleKeys struct {
		Settlements []Settlement `cbor:"1,keyasint"`
	}

	// StoredResponse is a response stored for resends.
	StoredResponse struct {
		Status int         `cbor:"1,keyasint"`
		Header [][2]string `cbor:"2,keyasint"`
		Body   []byte      `cbor:"3,keyasint"`
	}

	// Result is the result of a command.
	Result struct {
		Index   Index    `cbor:"1,keyasint"`
		Refusal *Refusal `cbor:"2,keyasint,omitempty"`
		Digest  string   `cbor:"3,keyasint,omitempty"`
		// Results has one entry per item of a batched command; an empty code is
		// success.
		Results []ItemResult `cbor:"4,keyasint,omitempty"`
		// Already is set when the command had no effect because the state was
		// already as asked.
		Already bool `cbor:"5,keyasint,omitempty"`
	}

	// ItemResult is the result of one item of a batched command.
	ItemResult struct {
		Code   RefusalCode `cbor:"1,keyasint,omitempty"`
		Detail string      `cbor:"2,keyasint,omitempty"`
		Epoch  Epoch       `cbor:"3,keyasint,omitempty"` // of a grant
		Key    *KeyRecord  `cbor:"4,keyasint,omitempty"` // of a claim that was not new
	}

	// KeyRecord is the control state's record of a claimed key.
	KeyRecord struct {
		Claim    KeyClaim        `cbor:"1,keyasint"`
		Outcome  KeyOutcome      `cbor:"2,keyasint"`
		Response *StoredResponse `cbor:"3,keyasint,omitempty"`
		Settled  Time            `cbor:"4,keyasint,omitempty"`
		Claimed  Time            `cbor:"5,keyasint,omitempty"`
	}
)

const (
	// Started reports that the worker has started the attempt.
	Started ReportKind = "started"
	// Checkpointed reports a new checkpoint of a running attempt.
	Checkpointed ReportKind = "checkpointed"
	// Completed reports that the task has finished its work.
	Completed ReportKind = "completed"
	// AttemptFailed reports that the attempt ended without finishing.
	AttemptFailed ReportKind = "failed"
	// Stopped reports that the attempt was stopped and no longer runs.
	Stopped ReportKind = "stopped"
	// NotStarted reports that a permit was refused and the attempt never ran.
	NotStarted ReportKind = "not-started"

	// KeyPending means that the request may still be running.
	KeyPending KeyOutcome = "pending"
	// KeyCompleted means that a response is stored.
	KeyCompleted KeyOutcome = "completed"
	// KeyUnknown means that the request may have run and its response is lost.
	KeyUnknown KeyOutcome = "unknown"
	// KeyNotExecuted means that the request did not run; the key may be claimed
	// again.
	KeyNotExecuted KeyOutcome = "not-executed"
)
