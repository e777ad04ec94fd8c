package jaygw

type (
	// Clock is a hybrid logical clock reading: it orders events of all
	// processes consistently with cause and effect.
	Clock struct {
		Wall    Time   `json:"wall"`
		Logical uint32 `json:"logical"`
	}

	// EventKind names what happened.
	EventKind string

	// Event is one entry of the time line.
	Event struct {
		Clock    Clock     `json:"clock"`
		Process  string    `json:"process"`
		Domain   string    `json:"domain"`
		Sequence uint64    `json:"sequence"` // per process
		Kind     EventKind `json:"kind"`
		Subjects []string  `json:"subjects,omitempty"` // such as task:..., vm:..., request:...
		Cause    string    `json:"cause,omitempty"`
	}

	// Recorder records events.
	Recorder interface {
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
