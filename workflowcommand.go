package jaygw

type (
	// PutCatalog puts a catalog in force if its number is higher than that of the one in
	// force.
	PutCatalog struct {
		Catalog Catalog `cbor:"1,keyasint"`
	}

	// SubmitWorkflow accepts a workflow into the queue that the host and the path lead to.
	SubmitWorkflow struct {
		Spec WorkflowSpec `cbor:"1,keyasint"`
		Host string       `cbor:"2,keyasint"`
		// Path is the queue's prefix followed by the workflow's id.
		Path string `cbor:"3,keyasint"`
		// CatalogLimit is the number of the newest catalog by which the workflow may be accepted; nil sets no limit.
		// Under a newer one, the submission is refused as stale unless it is a resend of an accepted workflow.
		CatalogLimit *uint64 `cbor:"4,keyasint,omitempty"`
	}

	// CancelWorkflow cancels the workflow that the host and the path lead to.
	CancelWorkflow struct {
		Host string `cbor:"1,keyasint"`
		Path string `cbor:"2,keyasint"`
	}

	// OpenSession records a new agent process on a VM, or a new incarnation of its worker.
	// Runs of an earlier incarnation have ended, or are to be stopped if RunsUnknown is set. The
	// index of the result is the number of the session.
	OpenSession struct {
		VM string `cbor:"1,keyasint"`
		// Process is the random number of the agent process.
		Process     uint64            `cbor:"2,keyasint"`
		Incarnation WorkerIncarnation `cbor:"3,keyasint"`
		// Domain is the failure domain that the worker reports.
		Domain string `cbor:"4,keyasint,omitempty"`
		// Sequence is the sequence number of the poll that opens the session.
		Sequence uint64 `cbor:"5,keyasint,omitempty"`
		// RunsUnknown is set if the process does not know all runs of the worker. An incarnation may
		// then run what an earlier process has ordered to an earlier incarnation with its name.
		RunsUnknown bool `cbor:"8,keyasint,omitempty"`
		// Profile is that of the worker; nil in commands of earlier builds. A session whose process and incarnation
		// are the same takes over a changed profile and domain.
		Profile *WorkerProfile `cbor:"9,keyasint,omitempty"`
	}

	// StartRuns is a batch of grants of runs. The grants of a gang succeed or fail together, each other grant
	// by itself.
	StartRuns struct {
		Grants []RunGrant `cbor:"1,keyasint"`
	}

	// StoppedRun is a run to stop, so that its task continues on another VM.
	StoppedRun struct {
		Run    Run    `cbor:"1,keyasint"`
		VM     string `cbor:"2,keyasint"`
		Reason string `cbor:"3,keyasint,omitempty"`
		// OutDomain is the failure domain for which the run is withdrawn: the stop is refused if the domain is not
		// out when it is committed. Empty for other reasons, and in entries of earlier builds.
		OutDomain string `cbor:"4,keyasint,omitempty"`
	}

	// StopRuns makes agents stop runs. A task waits again once the end of its run is
	// recorded.
	StopRuns struct {
		Stops []StoppedRun `cbor:"1,keyasint"`
	}

	// LearnEffects records the leader's estimates of the interference between images, so
	// that the next leader starts with them.
	LearnEffects struct {
		Estimates []EffectEstimate `cbor:"1,keyasint"`
	}

	// BeginWorkflows records that workers have begun tasks of workflows. Workflows that have begun
	// before are skipped.
	BeginWorkflows struct {
		IDs []string `cbor:"1,keyasint"`
	}

	// EndRuns records the ends of runs on a VM.
	EndRuns struct {
		VM    string     `cbor:"1,keyasint"`
		Ended []EndedRun `cbor:"2,keyasint"`
	}
)
