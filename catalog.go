package jaygw

import (
	"strings"
	"time"
)

type (
	// Catalog is a numbered document that declares the queues of workflows and the
	// services whose workers run them. The one with the highest number is in force.
	Catalog struct {
		Number   uint64        `cbor:"1,keyasint" json:"number"`
		Queues   []Queue       `cbor:"2,keyasint,omitempty" json:"queues"`
		Services []PoolSpec    `cbor:"3,keyasint,omitempty" json:"services"`
		Limits   CatalogLimits `cbor:"4,keyasint,omitempty" json:"limits"`
		// Source is the document as the operator sent it.
		Source []byte `cbor:"5,keyasint,omitempty" json:"-"`
		// queueIndex maps queueKey to the position in Queues; nil until the first look-up.
		queueIndex map[string]int
		// longestPrefix is the length of the longest prefix of a queue, once queueIndex is built.
		longestPrefix int
	}

	// Queue takes the workflows that callers send to a host and a path prefix.
	Queue struct {
		Name string `cbor:"1,keyasint" json:"name"`
		// Host is compared without case.
		Host string `cbor:"2,keyasint" json:"host"`
		// Prefix begins with a slash. The queue with the longest matching prefix takes a
		// workflow.
		Prefix string `cbor:"3,keyasint" json:"prefix"`
		// Service names the pool of workers that runs the tasks.
		Service string `cbor:"4,keyasint" json:"service"`
		// Priority orders the queues; lower numbers go first, zero before all others.
		Priority int `cbor:"5,keyasint,omitempty" json:"priority"`
		// MaxAttempts is how many failed runs of one task, or of one gang, fail the workflow.
		// Zero counts as one.
		MaxAttempts int `cbor:"6,keyasint,omitempty" json:"attempts"`
		// Stretch is the factor between the run time of a workflow's longest chain of steps
		// and its objective: the time from its acceptance within which it should end.
		// Values below one count as one.
		Stretch float64 `cbor:"7,keyasint,omitempty" json:"stretch"`
		// LatencyTarget is added to the objective, whatever the run time.
		LatencyTarget time.Duration `cbor:"8,keyasint,omitempty" json:"latency-target"`
		// Timeout is the declared time limit of the queue. It must be positive; the
		// scheduler does not enforce it.
		Timeout time.Duration `cbor:"9,keyasint,omitempty" json:"timeout"`
		// Advised means that a start needs a ticket of the adviser.
		Advised bool `cbor:"10,keyasint,omitempty" json:"advised,omitempty"`
	}

	// PoolSpec declares the workers of one service.
	PoolSpec struct {
		Name string `cbor:"1,keyasint" json:"name"`
		// Guarded workers refuse a run that exceeds their free capacity. The scheduler does
		// not depend on it.
		Guarded bool `cbor:"2,keyasint,omitempty" json:"guarded,omitempty"`
		// Off means that the VMs of the pool are not in use. The scheduler does not depend
		// on it.
		Off bool `cbor:"3,keyasint,omitempty" json:"off,omitempty"`
	}

	// CatalogLimits declares limits of callers' requests, which the entries enforce. Zero stands for
	// the default.
	CatalogLimits struct {
		HeaderBytes int `cbor:"1,keyasint,omitempty" json:"header-bytes,omitempty"`
		BodyBytes   int `cbor:"2,keyasint,omitempty" json:"body-bytes,omitempty"`
		// HeaderTimeout bounds the time in which the headers of a request arrive.
		HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty" json:"header-timeout,omitempty"`
		// IdleTimeout bounds the time between two requests on a connection.
		IdleTimeout time.Duration `cbor:"4,keyasint,omitempty" json:"idle-timeout,omitempty"`
	}
)

// FindQueue returns the queue of a host whose prefix is the longest that matches the path,
// and the rest of the path after that prefix. Without such a queue it returns nil.
func (c *Catalog) FindQueue(host, path string) (queue *Queue, rest string) {
	if c == nil {
		return nil, ""
	}
	if c.queueIndex == nil {
		c.index()
	}
	for length := min(len(path), c.longestPrefix); length >= 0; length-- {
		if i, ok := c.queueIndex[queueKey(host, path[:length])]; ok {
			return &c.Queues[i], path[length:]
		}
	}
	return nil, ""
}

// index builds queueIndex.
func (c *Catalog) index() {
	c.queueIndex = make(map[string]int, len(c.Queues))
	for i, q := range c.Queues {
		c.queueIndex[queueKey(q.Host, q.Prefix)] = i
		c.longestPrefix = max(c.longestPrefix, len(q.Prefix))
	}
}

// QueueAt returns the queue with exactly this host and prefix, or nil.
func (c *Catalog) QueueAt(host, prefix string) *Queue {
	if queue, rest := c.FindQueue(host, prefix); queue != nil && rest == "" {
		return queue
	}
	return nil
}

// Pool returns the service with this name, or nil.
func (c *Catalog) Pool(name string) *PoolSpec {
	if c == nil {
		return nil
	}
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Check returns the faults of a catalog, each with the path of the faulty value.
func (c *Catalog) Check() Findings {
	var findings Findings
	add := func(path, message string) { findings = append(findings, Finding{Path: path, Message: message}) }
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" {
			add("services", "a service needs a name")
		}
		if services[s.Name] {
			add("services."+s.Name, "the name is used twice")
		}
		services[s.Name] = true
	}
	names := map[string]string{} // of queues, by queueKey
	for _, q := range c.Queues {
		path := "queues." + q.Name
		if !services[q.Service] {
			add(path+".service", "there is no service "+q.Service)
		}
		if q.Host == "" || !strings.HasPrefix(q.Prefix, "/") {
			add(path, "a queue needs a host and a prefix that begins with /")
		}
		if other, taken := names[queueKey(q.Host, q.Prefix)]; taken {
			add(path+".prefix", "queue "+other+" has the same host and prefix")
		}
		names[queueKey(q.Host, q.Prefix)] = q.Name
		if q.Timeout <= 0 {
			add(path+".timeout", "must be more than zero")
		}
	}
	return findings
}

// queueKey returns the key of a queue: the host, in lower case since hosts are compared
// without case, and the prefix.
func queueKey(host, prefix string) string { return strings.ToLower(host) + prefix }
