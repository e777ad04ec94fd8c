package jaygw

import (
	"hash/fnv"
	"time"
)

type (
	// Incarnation identifies one life of an agent process. The upper half is
	// derived from the VM's instance, the lower half is drawn at random when the
	// process starts.
	Incarnation uint64

	// VM is a worker VM that an agent has announced.
	VM struct {
		Name        string      `json:"name"`
		Group       string      `json:"group"`
		Region      string      `json:"region"`
		Domain      string      `json:"domain"`
		Rack        string      `json:"rack"`
		Size        Resources   `json:"size"`
		Slots       int         `json:"slots"`
		Address     string      `json:"address"` // the agent's drpc address
		Services    []string    `json:"services,omitempty"`
		Incarnation Incarnation `json:"incarnation"`
		Replaced    Incarnation `json:"replaced,omitempty"` // the incarnation before this one
		Leaving     bool        `json:"leaving,omitempty"`
		Since       Time        `json:"since"` // announced, or last returned

		// Committed is the sum of the reservations of all attempts that may
		// still run on the VM.
		Committed Resources `json:"committed"`
	}

	// FailureDomain is a set of VMs that may fail, or be taken out, together.
	FailureDomain struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		Out    bool   `json:"out"`
		Since  Time   `json:"since"` // the last change of Out
	}

	// Link is the network path between two failure domains.
	Link struct {
		From   string        `json:"from"`
		To     string        `json:"to"`
		OneWay time.Duration `json:"one-way"`
	}

	// Contract is what callers of a service are entitled to and bound by. It is
	// derived from the document in force.
	Contract struct {
		Environment       string
		Service           string
		Class             Class
		Timeout           time.Duration
		LatencyTarget     time.Duration
		MaxBody           Bytes
		IdempotentMethods []string
		RetryPercent      int // retries allowed per hundred first attempts
		Hedge             bool
	}

	// Upstream is a VM that can serve requests for a service.
	Upstream struct {
		VM          string      `json:"vm"`
		Domain      string      `json:"domain"`
		Address     string      `json:"address"`
		Incarnation Incarnation `json:"incarnation"`
		Since       Time        `json:"since"`
	}

	// Caller is the origin of a request.
	Caller struct {
		Address string
		Class   Class
	}

	// View is what entries need to know: the documents in force, the domains
	// and the upstreams of each service.
	View struct {
		Group     string                   `json:"group"`
		Index     Index                    `json:"index"`
		Revision  uint64                   `json:"revision"` // grows with each change of liveness within one term
		Term      uint64                   `json:"term"`
		Contracts map[string]Contract      `json:"contracts"`
		Domains   map[string]FailureDomain `json:"domains"`
		Upstreams map[string][]Upstream    `json:"upstreams"` // by service
	}

	// ViewDelta is what has changed in a View since one that a node has applied.
	// The maps of View hold the changed entries only.
	ViewDelta struct {
		View
		Base    uint64   // revision that the changes follow; zero: the view is complete
		Removed []string // entries that are gone, such as upstreams/booking
	}

	// NodeStatus is a node that watches the view.
	NodeStatus struct {
		Name     string   `json:"name"`
		Index    Index    `json:"index"`  // acknowledged
		Behind   bool     `json:"behind"` // has not acknowledged the last change
		Silent   Duration `json:"silent"` // since its last request
		Revision uint64   `json:"revision"`
	}
)

const processBits = 32

// NewIncarnation returns the incarnation of an agent process on a VM's instance.
func NewIncarnation(instance string, process uint32) Incarnation {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance))
	return Incarnation(h.Sum32())<<processBits | Incarnation(process)
}

// SameInstance reports whether both processes run on the same instance of a VM,
// so that the one knows what the worker beside the other runs.
func (i Incarnation) SameInstance(o Incarnation) bool { return i>>processBits == o>>processBits }

// Newer reports whether a view may replace another one: nothing that a quorum
// has confirmed ever gives way to an earlier state.
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
