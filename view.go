package jaygw

import (
	"hash/fnv"
	"time"
)

type (
	// Incarnation identifies one agent process. The upper half is derived from the VM's
	// instance, the lower half is drawn at random when the process starts.
	Incarnation uint64

	// VM is a worker VM that an agent has announced.
	VM struct {
		Name string `json:"name"`
		// Group is the name of the control group.
		Group  string `json:"group"`
		Region string `json:"region"`
		// Domain is the failure domain.
		Domain string `json:"domain"`
		Rack   string `json:"rack"`
		// Size is the capacity of the VM for tasks.
		Size Resources `json:"size"`
		// Slots is how many requests the worker handles at the same time.
		Slots int `json:"slots"`
		// Address is where entries reach the agent, in drpc.
		Address string `json:"address"`
		// Services lists services that run on the VM without being scheduled.
		Services []string `json:"services,omitempty"`
		// Incarnation is that of the agent that has announced the VM last.
		Incarnation Incarnation `json:"incarnation"`
		// Replaced is the incarnation before this one; zero if there was none.
		Replaced Incarnation `json:"replaced,omitempty"`
		// Leaving is set once the VM is about to leave; it then gets no new tasks.
		Leaving bool `json:"leaving,omitempty"`
		// Since is when the VM was first announced, or last came back: with a new
		// incarnation, in another failure domain, or after it was leaving.
		Since Time `json:"since"`

		// Committed is the sum of the reservations of all attempts that may
		// still run on the VM.
		Committed Resources `json:"committed"`
	}

	// FailureDomain is a set of VMs that may fail, or be taken out, together.
	FailureDomain struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		// Out is set while the domain is taken out: nothing starts there and its upstreams
		// get no requests.
		Out bool `json:"out"`
		// Since is when Out last changed.
		Since Time `json:"since"`
		// Order identifies the latest order to take the domain out or return it, also if that
		// changed nothing.
		Order uint64 `json:"order,omitempty"`
	}

	// Link is the network path between two failure domains.
	Link struct {
		From string `json:"from"`
		To   string `json:"to"`
		// OneWay is the latency in one direction, in nanoseconds in JSON.
		OneWay time.Duration `json:"one-way"`
	}

	// Contract is what callers of a service are entitled to and bound by. It is
	// derived from the document in force.
	Contract struct {
		Environment string
		Service     string
		Class       Class
		// Timeout is the longest time for a request, retries included; zero leaves it to the
		// entry.
		Timeout time.Duration
		// LatencyTarget is the latency that the service should keep to; zero declares none.
		LatencyTarget time.Duration
		// MaxBody bounds the body of a request; zero leaves it to the entry.
		MaxBody Bytes
		// IdempotentMethods lists methods that may be sent more than once besides those that
		// HTTP defines as idempotent.
		IdempotentMethods []string
		// RetryPercent is how many retries are allowed per hundred first attempts.
		RetryPercent int
		// Hedge allows a second attempt of a slow request while the first is in progress.
		Hedge bool
	}

	// Upstream is a VM that can serve requests for a service.
	Upstream struct {
		VM string `json:"vm"`
		// Domain is the failure domain.
		Domain string `json:"domain"`
		// Address is where entries reach the agent, in drpc.
		Address     string      `json:"address"`
		Incarnation Incarnation `json:"incarnation"`
		// Since is that of the VM.
		Since Time `json:"since"`
	}

	// Caller is the origin of a request.
	Caller struct {
		Address string
		Class   Class
	}

	// View is the part of the control state that entries use: the contracts of the
	// documents in force, the failure domains and the upstreams of each service.
	View struct {
		// Group is the name of the control group.
		Group string `json:"group"`
		// Index is the position in the log that the view reflects.
		Index Index `json:"index"`
		// Revision rises with each change of the view within one term, also with a change
		// of which upstreams are responsive.
		Revision uint64 `json:"revision"`
		// Term is that of the leader that has made the view.
		Term uint64 `json:"term"`
		// Contracts holds the contracts by service.
		Contracts map[string]Contract `json:"contracts"`
		// Domains holds the failure domains by name.
		Domains map[string]FailureDomain `json:"domains"`
		// Upstreams holds the upstreams by service.
		Upstreams map[string][]Upstream `json:"upstreams"`
	}

	// ViewDelta is what has changed in a View since one that a node has applied.
	// The maps of View hold the changed entries only.
	ViewDelta struct {
		View
		// Base is the revision that the changes follow; zero if the view is complete.
		Base uint64
		// Removed lists the removed entries with the name of their map, such as
		// upstreams/booking.
		Removed []string
	}

	// NodeStatus is the status of a node that watches the view.
	NodeStatus struct {
		Name string `json:"name"`
		// Index is the position in the log of the view that the node has acknowledged.
		Index Index `json:"index"`
		// Behind is set while the node has not acknowledged the last change.
		Behind bool `json:"behind"`
		// SilentFor is the time since the node's last request.
		SilentFor Duration `json:"silent"`
		// Revision is that of the view that the node has acknowledged.
		Revision uint64 `json:"revision"`
	}
)

// processBits is the number of bits of an Incarnation that identify the process.
const processBits = 32

// NewIncarnation returns the incarnation of an agent process on a VM's instance.
func NewIncarnation(instance string, process uint32) Incarnation {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return Incarnation(h.Sum32())<<processBits | Incarnation(process)
}

// SameInstance reports whether both processes belong to the same instance of a VM. Both
// then have the same worker, which still runs what it was started with.
func (i Incarnation) SameInstance(o Incarnation) bool { return i>>processBits == o>>processBits }

// Newer reports whether a view may replace another one. A state that a quorum has
// confirmed must never be replaced by an earlier one.
func (v View) Newer(o View) bool {
	if v.Term != o.Term {
		return v.Term > o.Term
	}
	if v.Index != o.Index {
		return v.Index > o.Index
	}
	return v.Revision > o.Revision
}

// Idempotent reports whether the contract lets a request with this method be
// sent more than once.
func (c Contract) Idempotent(method string) bool {
	for _, m := range c.IdempotentMethods {
		if m == method {
			return true
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
