package jaygw

import (
	"context"
	"time"
)

type (
	// Proposer commits commands.
	Proposer interface {
		// Propose commits a command and returns its result. A refusal is a
		// result, not an error. ErrOutcomeUnknown asks for a resend.
		Propose(ctx context.Context, command Command) (Result, error)
	}

	// Claimer claims idempotency keys for an entry.
	Claimer interface {
		// Claim returns the control state's decision. After an error the request
		// must not be executed; the claimer gives the claim up by itself.
		Claim(ctx context.Context, claim KeyClaim) (ItemResult, error)
		// Settle records the outcome of a claimed request in the background.
		Settle(settlement Settlement)
	}

	// Control is the replicated control state as the rest of a process sees it.
	Control interface {
		Proposer

		// Confirm returns once a quorum has confirmed, after the call began, that
		// this replica's applied state is current, and returns its index.
		Confirm(ctx context.Context) (Index, error)

		// Status describes the replica.
		Status() ReplicaStatus
	}

	// StateMachine applies committed commands. Apply is deterministic.
	StateMachine interface {
		Apply(index Index, command Command) Result
		// Snapshot returns a function that encodes the state as it is now; the
		// function may run while later commands are applied.
		Snapshot() (encode func() ([]byte, error))
		Restore(snapshot []byte) error
	}

	// Member is one replica of a control group.
	Member struct {
		ID      uint64 `json:"id"`
		Name    string `json:"name"`
		Address string `json:"address"`
		Domain  string `json:"domain"`
		Voter   bool   `json:"voter"`
		// Replaces is the member that leaves once this one votes.
		Replaces uint64 `json:"replaces,omitempty"`
	}

	// ReplicaStatus describes one replica.
	ReplicaStatus struct {
		Group   string   `json:"group"`
		ID      uint64   `json:"id"`
		Leader  uint64   `json:"leader"` // zero if unknown
		Term    uint64   `json:"term"`
		Commit  Index    `json:"commit"`
		Applied Index    `json:"applied"`
		Members []Member `json:"members"`
	}

	// Observer is told of each applied change, in log order.
	Observer interface {
		TaskChanged(before, after *Task) // nil before: added; nil after: removed
		VMChanged(before, after *VM)
		DomainChanged(after *FailureDomain)
		DocumentChanged(after *Submitted)
		// Reset announces that the whole state was replaced by a snapshot.
		Reset()
	}

	// Worker is the platform's worker on one VM. Times are readings of the
	// agent's monotonic clock.
	Worker interface {
		// Start runs an attempt, from a checkpoint if there is one, until it ends
		// or the lease does. An error tells nothing about whether the attempt
		// runs; Stop does.
		Start(ctx context.Context, permit Permit, window StartWindow) error
		// Extend moves the lease end of every attempt of the kind; it never moves
		// one to an earlier time.
		Extend(ctx context.Context, kind TaskKind, leaseEnd time.Time) error
		// Checkpoint makes the attempt write a checkpoint and returns it.
		Checkpoint(ctx context.Context, attempt Attempt) (Checkpoint, error)
		// Throttle limits the attempt to a share of its size, in percent.
		Throttle(ctx context.Context, attempt Attempt, percent int) error
		// Stop ends an attempt and returns how it ended, with its last checkpoint:
		// the attempt may have completed or failed before the stop arrived.
		// Stopping an attempt that does not run is no error. The attempt never
		// starts afterwards.
		Stop(ctx context.Context, attempt Attempt) (WorkerTask, error)
		// List returns all attempts that run or have ended since the last call
		// of Forget, once the revision differs from the one seen or the wait is
		// over.
		List(ctx context.Context, seen uint64, wait time.Duration) (WorkerList, error)
		// Forget drops the record of an ended attempt.
		Forget(ctx context.Context, attempt Attempt) error
		// Usage returns the observed use, which lags behind.
		Usage(ctx context.Context) ([]Usage, error)
	}

	// StartWindow bounds a start: the worker refuses it from By on and ends the
	// attempt at LeaseEnd.
	StartWindow struct {
		By       time.Time
		LeaseEnd time.Time
	}

	// WorkerList is what a worker holds.
	WorkerList struct {
		// Instance names the life of the VM. It changes when the VM is replaced or
		// restarted, and stays when only the worker's or the agent's process
		// restarts.
		Instance string `json:"instance"`
		// Revision changes with each change of the list, and never returns to an
		// earlier value. It is not zero.
		Revision uint64       `json:"revision"`
		Tasks    []WorkerTask `json:"tasks"` // empty if the revision is the one seen
	}

	// WorkerTaskState is the state of an attempt on a worker.
	WorkerTaskState string

	// WorkerTask is one attempt as the worker sees it.
	WorkerTask struct {
		Attempt    Attempt         `json:"attempt"`
		Kind       TaskKind        `json:"kind"`
		Service    string          `json:"service,omitempty"`
		State      WorkerTaskState `json:"state"`
		Checkpoint Checkpoint      `json:"checkpoint"`
		Reason     string          `json:"reason,omitempty"`
	}

	// Usage is the observed use of one attempt.
	Usage struct {
		Attempt  Attempt       `json:"attempt"`
		Used     Resources     `json:"used"`
		Lag      time.Duration `json:"lag"`
		Latency  time.Duration `json:"latency,omitempty"`  // p99 of a service over the sample
		Requests int64         `json:"requests,omitempty"` // over the sample
	}
)

// termKey carries the term of a decision in a context.
type termKey struct{}

// InTerm returns a context whose proposals are committed by the leader of one
// term or not at all. A decision from the soft state of a leader, such as the end
// of a lease, must not reach a later leader.
func InTerm(ctx context.Context, term uint64) context.Context {
	return context.WithValue(ctx, termKey{}, term)
}

// TermOf returns the term of InTerm, or zero.
func TermOf(ctx context.Context) uint64 {
	term, _ := ctx.Value(termKey{}).(uint64)
	return term
}

const (
	// WorkerRunning attempts run.
	WorkerRunning WorkerTaskState = "running"
	// WorkerCompleted attempts have finished their work.
	WorkerCompleted WorkerTaskState = "completed"
	// WorkerFailed attempts ended without finishing.
	WorkerFailed WorkerTaskState = "failed"
	// WorkerStopped attempts were stopped, or their lease ended.
	WorkerStopped WorkerTaskState = "stopped"
)
