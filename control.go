package jaygw

import (
	"context"
	"slices"
	"time"
)

type (
	// Proposer commits commands to the replicated log.
	Proposer interface {
		// Propose commits a command and returns its result. A refusal is a
		// result, not an error. After ErrOutcomeUnknown the command may be sent again.
		Propose(ctx context.Context, command Command) (Result, error)
	}

	// Claimer claims idempotency keys for an entry.
	Claimer interface {
		// Claim returns the control state's decision. After an error the request
		// must not be executed; the claimer withdraws the claim by itself.
		Claim(ctx context.Context, claim KeyClaim) (ItemResult, error)
		// Settle records the outcome of a claimed request in the background.
		Settle(settlement Settlement)
	}

	// Control is the interface of the replicated control state to the rest of a process.
	Control interface {
		Proposer

		// Confirm returns once a quorum has confirmed, after the call began, that
		// this replica's applied state is current, and returns its index.
		Confirm(ctx context.Context) (Index, error)

		// Status describes the replica.
		Status() ReplicaStatus
	}

	// StateMachine applies committed commands.
	StateMachine interface {
		// Apply applies the command at a position of the log. It is deterministic: all
		// replicas reach the same state and the same result.
		Apply(index Index, command Command) Result
		// Snapshot returns a function that encodes the state as it is now; the
		// function may run while later commands are applied.
		Snapshot() (encode func() ([]byte, error))
		// Restore replaces the state by a snapshot.
		Restore(snapshot []byte) error
	}

	// Member is one replica of a control group.
	Member struct {
		// ID is unique in the group and never zero. A replica that has lost its log gets a
		// new one.
		ID   uint64 `json:"id"`
		Name string `json:"name"`
		// Address is the IP address and port at which other processes reach the replica.
		Address string `json:"address"`
		// Domain is the failure domain.
		Domain string `json:"domain"`
		// Voter is false while the replica only receives the log.
		Voter bool `json:"voter"`
		// Replaces is the id of the member that leaves once this one is a voter; zero if
		// none does.
		Replaces uint64 `json:"replaces,omitempty"`
	}

	// ReplicaStatus describes one replica.
	ReplicaStatus struct {
		Group string `json:"group"`
		ID    uint64 `json:"id"`
		// Leader is the id of the leader; zero if it is not known.
		Leader uint64 `json:"leader"`
		Term   uint64 `json:"term"`
		// Last is the position of the last entry that the replica has stored.
		Last Index `json:"last"`
		// Commit is the position of the last entry that is known to be committed.
		Commit Index `json:"commit"`
		// Applied is the position of the last entry that is applied here.
		Applied Index    `json:"applied"`
		Members []Member `json:"members"`
		// Spread describes how the votes of Members are spread over the failure domains.
		Spread VoterSpread `json:"voter-spread"`
	}

	// VoterSpread describes which losses of a failure domain a control group withstands.
	VoterSpread struct {
		// Critical names the failure domains whose loss leaves no majority of the voters.
		Critical []string `json:"critical-domains,omitempty"`
		// Possible is set if as many of the members, in other failure domains, would withstand the loss of
		// any one domain.
		Possible bool `json:"possible"`
	}

	// GroupView is what a process knows about the replicas of a control group.
	GroupView struct {
		// Commit is the position of the last entry that the source of the view knew to be
		// committed; of two views, the one with the higher position is newer. It is zero if
		// no replica is known.
		Commit Index `cbor:"1,keyasint,omitempty"`
		// Leader is the process address of the leader; empty if it is not known.
		Leader string `cbor:"2,keyasint,omitempty"`
		// Members holds the process addresses of the members.
		Members []string `cbor:"3,keyasint,omitempty"`
		// Term is the term of the source; of two views with the same position that name different
		// leaders, the one with the higher term is newer.
		Term uint64 `cbor:"4,keyasint,omitempty"`
	}

	// LocateRequest sends what a process knows about a control group, and asks for what the
	// receiver knows.
	LocateRequest struct {
		View GroupView `cbor:"1,keyasint"`
		// Address is the process address of the sender if it is a control process, which
		// can be asked as well; otherwise it is empty.
		Address string `cbor:"2,keyasint,omitempty"`
	}

	// LocateResponse is the response to a LocateRequest.
	LocateResponse struct {
		View GroupView `cbor:"1,keyasint"`
		// Peers holds the process addresses of control processes that have been in contact
		// with the responder lately. They need not have a replica.
		Peers []string `cbor:"2,keyasint,omitempty"`
		// Replica is set if the responder has a replica that is an initial member of the group, or will
		// be one.
		Replica bool `cbor:"3,keyasint,omitempty"`
	}

	// Observer is notified of each applied change, in log order.
	Observer interface {
		// TaskChanged reports a change of a task. Before is nil if the task was added, after
		// is nil if it was removed.
		TaskChanged(before, after *Task)
		// VMChanged reports a change of a VM, with nil as in TaskChanged.
		VMChanged(before, after *VM)
		// DomainChanged reports that a failure domain was added, taken out or returned.
		DomainChanged(after *FailureDomain)
		// DocumentChanged reports that a document has changed its state.
		DocumentChanged(after *Submitted)
		// Reset reports that the whole state was replaced by a snapshot.
		Reset()
	}

	// Worker is the platform's worker on one VM, which runs attempts under leases. Times
	// are readings of the agent's monotonic clock.
	Worker interface {
		// Start runs an attempt, from a checkpoint if there is one, until it ends
		// or its lease expires. An error leaves open whether the attempt runs; the
		// result of Stop shows it.
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
		// of Forget, once the revision differs from the one seen or the wait has
		// expired. A seen revision of zero returns the list at once.
		List(ctx context.Context, seen uint64, wait time.Duration) (WorkerList, error)
		// Forget drops the record of an ended attempt.
		Forget(ctx context.Context, attempt Attempt) error
		// Usage returns the latest samples of what the running attempts use. They are of
		// the past: see Usage.Lag.
		Usage(ctx context.Context) ([]Usage, error)
	}

	// StartWindow bounds a start in time.
	StartWindow struct {
		// StartBy is when the worker begins to refuse the start.
		StartBy time.Time
		// LeaseEnd is when the worker ends the attempt unless its lease is extended.
		LeaseEnd time.Time
	}

	// WorkerList lists the attempts that a worker holds.
	WorkerList struct {
		// Instance identifies the instance of the VM. It changes when the VM is replaced or
		// restarted, and stays when only the worker's or the agent's process
		// restarts.
		Instance string `json:"instance"`
		// Revision changes with each change of the list, and never returns to an
		// earlier value. It is not zero.
		Revision uint64 `json:"revision"`
		// Tasks is empty if the revision is the one that the caller has seen.
		Tasks []WorkerTask `json:"tasks"`
	}

	// WorkerTaskState is the state of an attempt on a worker.
	WorkerTaskState string

	// WorkerTask is one attempt as the worker reports it.
	WorkerTask struct {
		Attempt Attempt  `json:"attempt"`
		Kind    TaskKind `json:"kind"`
		// Service is the service of a replica; empty for batch tasks.
		Service string          `json:"service,omitempty"`
		State   WorkerTaskState `json:"state"`
		// Checkpoint is the latest one; zero if there is none.
		Checkpoint Checkpoint `json:"checkpoint"`
		// Reason says why the attempt failed; empty if the worker gives none.
		Reason string `json:"reason,omitempty"`
	}

	// Usage is a sample of what one attempt uses.
	Usage struct {
		Attempt Attempt `json:"attempt"`
		// Used is the amount of resources in use; zero if it was not measured.
		Used Resources `json:"used"`
		// Lag is the age of the sample, in nanoseconds in JSON.
		Lag time.Duration `json:"lag"`
		// Latency is the 99th percentile of a service's latency over the sample, in
		// nanoseconds in JSON; zero if it was not measured.
		Latency time.Duration `json:"latency,omitempty"`
		// Requests is the number of requests that the sample covers.
		Requests int64 `json:"requests,omitempty"`
	}
)

// termKey is the key of the term in a context.
type termKey struct{}

// InTerm returns a context whose proposals are committed by the leader of this term or
// not at all. A decision that depends on state which only the leader has, such as the
// end of a lease, must not be committed by a later leader.
func InTerm(ctx context.Context, term uint64) context.Context {
	return context.WithValue(ctx, termKey{}, term)
}

// TermOf returns the term that InTerm has set, or zero for any term.
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
	// WorkerStopped attempts were stopped, or their lease expired.
	WorkerStopped WorkerTaskState = "stopped"
)

// IsMember reports whether the replica is a member of its group.
func (s ReplicaStatus) IsMember() bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == s.ID })
}

// View returns what the replica knows about its group.
func (s ReplicaStatus) View() GroupView {
	view := GroupView{Commit: s.Commit, Term: s.Term}
	for _, m := range s.Members {
		view.Members = append(view.Members, m.Address)
		if m.ID == s.Leader {
			view.Leader = m.Address
		}
	}
	return view
}
