package jaygw

import "time"

type (
	// Command is one change of the control state. Exactly one of the pointer fields is
	// set; it names the change.
	Command struct {
		// Group is the name of the control group that the command is for.
		Group string `cbor:"1,keyasint,omitempty"`
		// Client and Sequence identify the command, so that a resend gets the first result.
		// A command without a client is not recognized when it is sent again.
		Client   string `cbor:"2,keyasint,omitempty"`
		Sequence uint64 `cbor:"3,keyasint,omitempty"`
		// Time is set by the leader when it appends the command to the log.
		Time Time `cbor:"4,keyasint,omitempty"`

		// The changes of environments, VMs, services and batch jobs follow.

		Submit      *SubmitDocument    `cbor:"10,keyasint,omitempty"`
		Promote     *PromoteDocument   `cbor:"11,keyasint,omitempty"`
		SetDomain   *SetDomain         `cbor:"12,keyasint,omitempty"`
		AnnounceVM  *AnnounceVM        `cbor:"13,keyasint,omitempty"`
		ExpireVM    *ExpireVM          `cbor:"14,keyasint,omitempty"`
		SubmitJob   *SubmitJob         `cbor:"15,keyasint,omitempty"`
		CancelJob   *CancelJob         `cbor:"16,keyasint,omitempty"`
		Grant       *GrantTasks        `cbor:"17,keyasint,omitempty"`
		Report      *ReportTasks       `cbor:"18,keyasint,omitempty"`
		Evict       *EvictTasks        `cbor:"19,keyasint,omitempty"`
		Claim       *ClaimKeys         `cbor:"20,keyasint,omitempty"`
		Settle      *SettleKeys        `cbor:"21,keyasint,omitempty"`
		RemoveVM    *RemoveVM          `cbor:"22,keyasint,omitempty"`
		Resize      *ResizeTasks       `cbor:"23,keyasint,omitempty"`
		Members     *ChangeMembers     `cbor:"24,keyasint,omitempty"`
		BlockedJobs *ReportBlockedJobs `cbor:"30,keyasint,omitempty"`

		// The changes of catalogs and workflows follow.

		Catalog        *PutCatalog     `cbor:"31,keyasint,omitempty"`
		SubmitWorkflow *SubmitWorkflow `cbor:"32,keyasint,omitempty"`
		CancelWorkflow *CancelWorkflow `cbor:"33,keyasint,omitempty"`
		OpenSession    *OpenSession    `cbor:"34,keyasint,omitempty"`
		StartRuns      *StartRuns      `cbor:"35,keyasint,omitempty"`
		EndRuns        *EndRuns        `cbor:"36,keyasint,omitempty"`
		StopRuns       *StopRuns       `cbor:"37,keyasint,omitempty"`
		LearnEffects   *LearnEffects   `cbor:"38,keyasint,omitempty"`
		BeginWorkflows *BeginWorkflows `cbor:"39,keyasint,omitempty"`
	}

	// ChangeMembers adds a replica to the control group, removes one, or lets one leave that is about
	// to stop. It changes the replicated log itself, not the state machine.
	ChangeMembers struct {
		// Add is the member to add; nil to remove one.
		Add *Member `cbor:"1,keyasint,omitempty" json:"add,omitempty"`
		// Remove is the id of the member to remove; ignored if Add is set.
		Remove uint64 `cbor:"2,keyasint,omitempty" json:"remove,omitempty"`
		// ReplaceUnresponsive lets an added member whose Replaces is zero replace the voter that
		// has been unresponsive for longest, if there is one.
		ReplaceUnresponsive bool `cbor:"3,keyasint,omitempty" json:"replace-silent,omitempty"`
		// Leave is the id of a member that is about to stop, which a learner that has caught up
		// replaces; ignored if Add or Remove is set.
		Leave uint64 `cbor:"4,keyasint,omitempty" json:"-"`
	}

	// SubmitDocument puts a document on trial.
	SubmitDocument struct {
		Document Document `cbor:"1,keyasint"`
		// Digest is the digest of the document.
		Digest string `cbor:"2,keyasint"`
		// Author is who submits the document.
		Author string `cbor:"3,keyasint,omitempty"`
	}

	// PromoteDocument puts the document with the reviewed digest in force.
	PromoteDocument struct {
		Environment string `cbor:"1,keyasint"`
		Digest      string `cbor:"2,keyasint"`
		// Author is who promotes the document.
		Author string `cbor:"3,keyasint,omitempty"`
	}

	// SetDomain takes a failure domain out or returns it.
	SetDomain struct {
		Name string `cbor:"1,keyasint"`
		// Out is true to take the domain out, false to return it.
		Out bool `cbor:"2,keyasint"`
		// Order identifies the order, so that it takes effect once; zero for an order that takes
		// effect whenever it is committed.
		Order uint64 `cbor:"4,keyasint,omitempty"`
		// Previous is the latest order on the domain when this one was given. After any other one
		// this order is refused, since its sender did not know of that.
		Previous uint64 `cbor:"5,keyasint,omitempty"`
		// Declare adds the domain if it is not known; whoever sets it has checked the name.
		Declare bool `cbor:"3,keyasint,omitempty"`
	}

	// AnnounceVM records a VM, a new incarnation of its agent, or that it is
	// leaving.
	AnnounceVM struct {
		VM VM `cbor:"1,keyasint"`
	}

	// ExpireVM ends the attempts of a VM whose lease has expired.
	ExpireVM struct {
		Name        string      `cbor:"1,keyasint"`
		Incarnation Incarnation `cbor:"2,keyasint"`
		// Kinds limits the command to tasks of these kinds, since batch leases expire before
		// service leases; empty means all kinds.
		Kinds []TaskKind `cbor:"3,keyasint,omitempty"`
	}

	// RemoveVM removes a VM that holds no attempts from the control state.
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
		Task TaskID `cbor:"1,keyasint"`
		// After is the task's epoch when the grant was decided. The grant is refused if the
		// task has another one by now.
		After Epoch  `cbor:"2,keyasint"`
		VM    string `cbor:"3,keyasint"`
		// Incarnation is that of the VM's agent when the grant was decided.
		Incarnation Incarnation `cbor:"4,keyasint"`
		// Reserve is the reservation of the attempt on the VM.
		Reserve Resources `cbor:"5,keyasint"`
	}

	// GrantTasks is a batch of grants of attempts; each succeeds or fails by itself.
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
		// Reason says why the attempt failed, was stopped or was not started.
		Reason string `cbor:"4,keyasint,omitempty"`
		// NotBefore is the end of the retry backoff. The leader sets it for failures;
		// otherwise it is zero.
		NotBefore Time `cbor:"5,keyasint,omitempty"`
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
	// acknowledged or the lease has expired.
	EvictTasks struct {
		Evictions []Eviction `cbor:"1,keyasint"`
	}

	// Resize changes the reservation of a running attempt.
	Resize struct {
		Attempt Attempt `cbor:"1,keyasint"`
		// Reserve is the new reservation.
		Reserve Resources `cbor:"2,keyasint"`
	}

	// ResizeTasks is a batch of resizes; each succeeds or fails by itself.
	ResizeTasks struct {
		Resizes []Resize `cbor:"1,keyasint"`
	}

	// BlockedJob is a blocked job: one that cannot run at present.
	BlockedJob struct {
		Environment string `cbor:"1,keyasint"`
		Name        string `cbor:"2,keyasint"`
		// Reason says why the job cannot run; empty means that it is no longer blocked.
		Reason string `cbor:"3,keyasint,omitempty"`
	}

	// ReportBlockedJobs records which active jobs are blocked and why.
	ReportBlockedJobs struct {
		Jobs []BlockedJob `cbor:"1,keyasint"`
	}

	// KeyClaim claims one idempotency key for one request.
	KeyClaim struct {
		// Key is made of the environment, the service and the caller's key.
		Key string `cbor:"1,keyasint"`
		// Digest is that of the request's method, target and body.
		Digest string `cbor:"2,keyasint"`
		// Entry is the name of the entry that claims the key.
		Entry string `cbor:"3,keyasint"`
		// Request is the id of the claiming request.
		Request string `cbor:"4,keyasint"`
		// Expires is when the key leaves the control state. It is computed when the command
		// is applied if Retention is set.
		Expires Time `cbor:"5,keyasint"`

		// MaxRunTime is the maximum run time of the request, counted from the claim; after
		// that, a claim that was not settled counts as KeyUnknown. Zero sets no maximum.
		MaxRunTime time.Duration `cbor:"6,keyasint,omitempty"`
		// Retention is how long the key is stored, counted from the claim; zero leaves
		// Expires as it is.
		Retention time.Duration `cbor:"7,keyasint,omitempty"`
	}

	// ClaimKeys is a batch of key claims.
	ClaimKeys struct {
		Claims []KeyClaim `cbor:"1,keyasint"`
	}

	// KeyOutcome is what the control state knows about the outcome of a claimed request.
	KeyOutcome string

	// Settlement records the outcome of a claimed request.
	Settlement struct {
		Key string `cbor:"1,keyasint"`
		// Request is the id of the request that claimed the key.
		Request string     `cbor:"2,keyasint"`
		Outcome KeyOutcome `cbor:"3,keyasint"`
		// Response is stored for resends if the outcome is KeyCompleted; nil otherwise.
		Response *StoredResponse `cbor:"4,keyasint,omitempty"`
	}

	// SettleKeys is a batch of settlements.
	SettleKeys struct {
		Settlements []Settlement `cbor:"1,keyasint"`
	}

	// StoredResponse is a response stored for resends.
	StoredResponse struct {
		// Status is the HTTP status.
		Status int `cbor:"1,keyasint"`
		// Header holds pairs of name and value.
		Header [][2]string `cbor:"2,keyasint"`
		Body   []byte      `cbor:"3,keyasint"`
	}

	// Result is the result of a command.
	Result struct {
		// Index is the position of the command in the log.
		Index Index `cbor:"1,keyasint"`
		// Refusal is nil if the command was applied.
		Refusal *Refusal `cbor:"2,keyasint,omitempty"`
		// Digest is that of the submitted or promoted document; empty for other commands.
		Digest string `cbor:"3,keyasint,omitempty"`
		// Results has one entry for each item of a batched command, in the same order.
		Results []ItemResult `cbor:"4,keyasint,omitempty"`
		// AlreadyApplied is set if the command had no effect because the state was already as
		// requested.
		AlreadyApplied bool `cbor:"5,keyasint,omitempty"`
		// Catalog is the number of the catalog in force at the command, if it submits a workflow or puts a catalog
		// in force.
		Catalog uint64 `cbor:"6,keyasint,omitempty"`
		// ChangedAt is the number of the catalog since which the path of a submission leads to the queue to which
		// it leads now, or to none; zero if no change is known.
		ChangedAt uint64 `cbor:"7,keyasint,omitempty"`
	}

	// ItemResult is the result of one item of a batched command.
	ItemResult struct {
		// Code says why the item was refused; empty if it was applied.
		Code   RefusalCode `cbor:"1,keyasint,omitempty"`
		Detail string      `cbor:"2,keyasint,omitempty"`
		// Epoch is the epoch of the granted attempt; zero for other items.
		Epoch Epoch `cbor:"3,keyasint,omitempty"`
		// Key is the record of a key that was claimed before; nil for other items.
		Key *KeyRecord `cbor:"4,keyasint,omitempty"`
	}

	// KeyRecord is the control state's record of a claimed key.
	KeyRecord struct {
		Claim   KeyClaim   `cbor:"1,keyasint"`
		Outcome KeyOutcome `cbor:"2,keyasint"`
		// Response is nil unless the outcome is KeyCompleted.
		Response *StoredResponse `cbor:"3,keyasint,omitempty"`
		// Settled is when the outcome was recorded; zero while the claim is pending.
		Settled Time `cbor:"4,keyasint,omitempty"`
		// Claimed is when the claim was recorded.
		Claimed Time `cbor:"5,keyasint,omitempty"`
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
	// KeyUnknown means that the request may have run and no response is stored.
	KeyUnknown KeyOutcome = "unknown"
	// KeyNotExecuted means that the request did not run; the key may be claimed
	// again.
	KeyNotExecuted KeyOutcome = "not-executed"
)
