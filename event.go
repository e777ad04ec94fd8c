package jaygw

type (
	// Clock is a reading of a hybrid logical clock. It orders the events of all
	// processes so that an effect never comes before its cause.
	Clock struct {
		// Wall is the highest wall time seen so far, by this process or in its messages.
		Wall Time `json:"wall"`
		// Logical orders readings with the same Wall.
		Logical uint32 `json:"logical"`
	}

	// EventKind names what happened.
	EventKind string

	// Event is one entry of the time line.
	Event struct {
		Clock Clock `json:"clock"`
		// Process is the name of the process that has recorded the event.
		Process string `json:"process"`
		// Domain is the failure domain of that process.
		Domain string `json:"domain"`
		// Sequence numbers the events of one process.
		Sequence uint64    `json:"sequence"`
		Kind     EventKind `json:"kind"`
		// Subjects names what the event is about, with a prefix such as task:, vm: or
		// request:.
		Subjects []string `json:"subjects,omitempty"`
		// Cause says in words why the event happened.
		Cause string `json:"cause,omitempty"`
	}

	// Recorder records the events of a process.
	Recorder interface {
		// Record stores an event with the present reading of the clock.
		Record(kind EventKind, cause string, subjects ...string)
	}
)

const (
	// EventLeader is recorded when a replica becomes the leader.
	EventLeader EventKind = "leader-elected"
	// EventDocument is recorded when a document changes its state.
	EventDocument EventKind = "document"
	// EventDomain is recorded when a domain is taken out or returned.
	EventDomain EventKind = "domain"
	// EventVM is recorded when a VM is announced, leaves or expires.
	EventVM EventKind = "vm"
	// EventGrant is recorded when an attempt is granted.
	EventGrant EventKind = "grant"
	// EventTask is recorded when an attempt changes its state.
	EventTask EventKind = "task"
	// EventEvict is recorded when an attempt is evicted.
	EventEvict EventKind = "evict"
	// EventRequest is recorded for refused and failed requests.
	EventRequest EventKind = "request"
	// EventMember is recorded when the membership of a group changes.
	EventMember EventKind = "member"
	// EventProcess is recorded when a process starts or stops.
	EventProcess EventKind = "process"
)

// Before reports whether c is earlier than o.
func (c Clock) Before(o Clock) bool {
	return c.Wall < o.Wall || c.Wall == o.Wall && c.Logical < o.Logical
}
