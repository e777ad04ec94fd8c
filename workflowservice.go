package jaygw

import "context"

type (
	// WorkflowQuery asks for a confirmed reading of the control state: of the catalog if
	// Catalog is set, otherwise of the queue or the workflow that Host and Path lead to.
	WorkflowQuery struct {
		Host string `cbor:"1,keyasint,omitempty"`
		// Path is the prefix of a queue, or that prefix followed by a workflow's id.
		Path string `cbor:"2,keyasint,omitempty"`
		// Workflow marks a query by Host and Path. The response does not depend on it.
		Workflow bool `cbor:"3,keyasint,omitempty"`
		// Catalog asks for the catalog in force.
		Catalog bool `cbor:"4,keyasint,omitempty"`
		// Domain asks for the latest order on a failure domain instead.
		Domain string `cbor:"5,keyasint,omitempty"`
		// Limits also asks for the limits of the catalog in force. A replica of an earlier build ignores it.
		Limits bool `cbor:"6,keyasint,omitempty"`
	}

	// WorkflowQueryResult is the response to a WorkflowQuery.
	WorkflowQueryResult struct {
		// NoCatalog is set if no catalog has been put in force yet.
		NoCatalog bool `cbor:"1,keyasint,omitempty"`
		// NoQueue is set if no queue matches the host and the path.
		NoQueue bool `cbor:"2,keyasint,omitempty"`
		// Queue is set if the path is exactly the prefix of a queue.
		Queue bool `cbor:"3,keyasint,omitempty"`
		// Waiting is the number of workflows in that queue of which no task has started.
		Waiting int `cbor:"4,keyasint,omitempty"`
		// State is the state of the workflow; empty if the workflow is not known.
		State WorkflowState `cbor:"5,keyasint,omitempty"`
		// Number is the number of the catalog in force in the state that was read; zero if Domain was asked for.
		Number uint64 `cbor:"6,keyasint,omitempty"`
		// Source is the catalog in force as the operator sent it.
		Source []byte `cbor:"7,keyasint,omitempty"`
		// Order identifies the latest order on the failure domain; zero for none.
		Order uint64 `cbor:"8,keyasint,omitempty"`
		// Index is the position in the log of the state that was read.
		Index Index `cbor:"9,keyasint,omitempty"`
		// Replica is the id of the replica that read it.
		Replica uint64 `cbor:"10,keyasint,omitempty"`
		// ChangedAt is the number of the catalog since which the path leads to the queue to which it leads in
		// that state, or to none; zero if no change is known. It is that of the catalog if Catalog was asked for.
		ChangedAt uint64 `cbor:"11,keyasint,omitempty"`
		// Limits holds the limits of the catalog in force if they were asked for.
		Limits *CatalogLimits `cbor:"12,keyasint,omitempty"`
		// Attempts is the number of calls that the query took.
		Attempts int `cbor:"-"`
	}
)

// WorkflowService is the workflow service: it takes the requests of callers and operators
// about workflows, catalogs and failure domains.
type WorkflowService interface {
	// Arrive registers a call for the order in which Submit and Query answer. They take its place from the returned
	// context; without one, a call arrives when it is made. Leave must be called when the call has ended.
	Arrive(ctx context.Context) (arrived context.Context, leave func())
	// Submit accepts a workflow. After ErrNotLeader and ErrOvertaken it was not accepted and never
	// will be; after any other error its outcome is unknown.
	Submit(ctx context.Context, submit SubmitWorkflow) (Result, error)
	// Cancel ends a workflow. Errors have the same meaning as those of Submit.
	Cancel(ctx context.Context, cancel CancelWorkflow) (Result, error)
	// Query reads from a state that a quorum has confirmed after the call began. ErrOvertaken means that a
	// call that arrived later was answered from an older catalog.
	Query(ctx context.Context, query WorkflowQuery) (WorkflowQueryResult, error)
	// PutCatalog puts a catalog in force.
	PutCatalog(ctx context.Context, catalog Catalog) (Result, error)
	// SetDomain takes a failure domain out or returns it. After ErrOutdated the order was not
	// carried out and never will be.
	SetDomain(ctx context.Context, set SetDomain) (Result, error)
}
