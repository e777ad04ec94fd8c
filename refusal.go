package jaygw

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

type (
	// RefusalCode is the reason for a refusal.
	RefusalCode string

	// Refusal is a command's negative result. The command had no effect.
	Refusal struct {
		Code   RefusalCode `cbor:"1,keyasint" json:"code"`
		Detail string      `cbor:"2,keyasint" json:"detail"`
		// RetryAfter is the time after which the command should be sent again; zero if it is not known.
		RetryAfter time.Duration `cbor:"3,keyasint,omitempty" json:"retry-after,omitempty"`
	}

	// Finding is one fault in a settings file or a document.
	Finding struct {
		// File is the name of the file; empty if the input was not read from a file.
		File string `json:"file,omitempty"`
		// Path leads to the faulty value, such as services[2].resources.cpu-millicores. It
		// is empty if the whole input is at fault.
		Path    string `json:"path"`
		Message string `json:"message"`
	}

	// Findings are all faults found in one input.
	Findings []Finding
)

const (
	// RefusedConflict means that another document has the same number.
	RefusedConflict RefusalCode = "number-conflict"
	// RefusedStale means that the input is older than the one in force.
	RefusedStale RefusalCode = "stale"
	// RefusedUnknown means that the named object does not exist.
	RefusedUnknown RefusalCode = "unknown-object"
	// RefusedInvalid means that the input is malformed.
	RefusedInvalid RefusalCode = "invalid"
	// RefusedTableFull means that a bounded table is full.
	RefusedTableFull RefusalCode = "table-full"
	// RefusedCapacity means that the VM's size would be exceeded.
	RefusedCapacity RefusalCode = "over-capacity"
	// RefusedQuota means that the team's quota would be exceeded.
	RefusedQuota RefusalCode = "over-quota"
	// RefusedDomainOut means that the failure domain is taken out.
	RefusedDomainOut RefusalCode = "domain-out"
	// RefusedEpoch means that the attempt is not the one in force.
	RefusedEpoch RefusalCode = "old-epoch"
	// RefusedIncarnation means that the agent has a newer incarnation.
	RefusedIncarnation RefusalCode = "old-incarnation"
	// RefusedState means that the object's state does not allow the change.
	RefusedState RefusalCode = "wrong-state"
	// RefusedNeverFits means that the job can never run.
	RefusedNeverFits RefusalCode = "never-fits"
	// RefusedKeyPending means that the key's first request may still be running.
	RefusedKeyPending RefusalCode = "key-pending"
	// RefusedKeySettled means that the key's first request already has an outcome.
	RefusedKeySettled RefusalCode = "key-settled"
	// RefusedKeyReused means that the key was used for a different request.
	RefusedKeyReused RefusalCode = "key-reused"
	// RefusedSequence means that the result of an old command is no longer stored.
	RefusedSequence RefusalCode = "old-sequence"
	// RefusedOverload means that the work that was accepted before leaves the workflow no useful end.
	RefusedOverload RefusalCode = "overload"
)

var (
	// ErrNotLeader is returned by a replica that is not the leader. The command was not
	// committed and may be sent to another replica.
	ErrNotLeader = errors.New("this replica is not the leader")
	// ErrNotConfirmed is returned when a quorum did not confirm the read.
	ErrNotConfirmed = errors.New("the control state could not be confirmed by a quorum")
	// ErrOutcomeUnknown is returned when a command may or may not be committed. It may be
	// sent again with the same client and sequence.
	ErrOutcomeUnknown = errors.New("the outcome of the command is unknown")
	// ErrOutdated is returned for an order that its sender may have given up. It was not carried
	// out and never will be.
	ErrOutdated = errors.New("the order waited too long, and its sender may have given it up")
	// ErrOvertaken is returned for a call that was not carried out and never will be, because a call that arrived
	// later was answered from an older catalog. It may be sent again at once.
	ErrOvertaken = errors.New("a later call was answered from an older catalog")
	// ErrLateReport is returned for a report of a worker that was sent before one received earlier. It changes
	// nothing.
	ErrLateReport = errors.New("a later report of the worker was received before")
	// ErrInvalidMessage is returned for a message that cannot be read.
	ErrInvalidMessage = errors.New("the message is malformed")
	// ErrWrongGroup is returned for a message to another control group.
	ErrWrongGroup = errors.New("the message is for another control group")
	// ErrStopped is returned by a component that has been shut down.
	ErrStopped = errors.New("stopped")
)

// Error returns the code and the detail.
func (r *Refusal) Error() string { return fmt.Sprintf("%s: %s", r.Code, r.Detail) }

// Refuse returns a result that carries a refusal.
func Refuse(code RefusalCode, format string, args ...any) Result {
	return Result{Refusal: &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

// Err returns the refusal as an error, or nil.
func (r Result) Err() error {
	if r.Refusal == nil {
		return nil
	}
	return r.Refusal
}

// String returns the finding with its file and path.
func (f Finding) String() string {
	switch {
	case f.File == "":
		return f.Path + ": " + f.Message
	case f.Path == "":
		return f.File + ": " + f.Message
	default:
		return f.File + ": " + f.Path + ": " + f.Message
	}
}

// Error returns one finding per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}
