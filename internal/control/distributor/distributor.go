// Package distributor hands the confirmed view to the nodes that watch it, as
// what has changed since the revision that each has acknowledged.
package distributor

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Distributor holds the view of one leadership. It is not safe for
	// concurrent use.
	Distributor struct {
		first   uint64 // revision before the first published one
		head    jaygw.View
		changed map[string]uint64 // revision of each entry's last change, also of removed ones
		nodes   map[string]node
	}

	node struct {
		index    jaygw.Index
		revision uint64
		heard    time.Time
	}
)

const (
	contracts = "contracts/"
	domains   = "domains/"
	upstreams = "upstreams/"

	// maxNodes bounds the table of nodes; further nodes are served without
	// being listed.
	maxNodes = 4096

	// nodeRetention is how long a silent node is listed as behind.
	nodeRetention = 10 * time.Minute

	// maxRemoved bounds the removed entries that are kept for deltas. Once they
	// are dropped, nodes that have not seen them get the complete view.
	maxRemoved = 4096
)

// New returns the distributor of a leadership that began at now. Its revisions
// start there, so that a revision of another leadership is never taken for one
// of its own.
func New(term uint64, now time.Time) *Distributor {
	first := uint64(now.UnixNano())
	return &Distributor{
		first: first, head: jaygw.View{Term: term, Revision: first},
		changed: map[string]uint64{}, nodes: map[string]node{},
	}
}

// Head returns the view that was published last.
func (d *Distributor) Head() jaygw.View { return d.head }

// Publish replaces the view. Its term and revision are set here.
func (d *Distributor) Publish(view jaygw.View) {
	view.Term = d.head.Term
	view.Revision = d.head.Revision + 1
	before, after := flatten(d.head), flatten(view)
	for key, value := range after {
		if old, known := before[key]; !known || !reflect.DeepEqual(old, value) {
			d.changed[key] = view.Revision
		}
	}
	for key := range before {
		if _, kept := after[key]; !kept {
			d.changed[key] = view.Revision
		}
	}
	d.head = view
	if len(d.changed) > len(after)+maxRemoved {
		d.forgetRemoved(after)
	}
}

func (d *Distributor) forgetRemoved(present map[string]any) {
	maps.DeleteFunc(d.changed, func(key string, revision uint64) bool {
		if _, ok := present[key]; ok {
			return false
		}
		d.first = max(d.first, revision)
		return true
	})
}

// Advance notes that the view is unchanged up to an index.
func (d *Distributor) Advance(index jaygw.Index) { d.head.Index = max(d.head.Index, index) }

// Since returns what has changed since a node's revision, or the complete view
// if that is not known here.
func (d *Distributor) Since(term, revision uint64) jaygw.ViewDelta {
	if term != d.head.Term || revision <= d.first || revision > d.head.Revision {
		return jaygw.ViewDelta{View: d.head}
	}
	delta := jaygw.ViewDelta{View: d.head, Base: revision}
	delta.Contracts = map[string]jaygw.Contract{}
	delta.Domains = map[string]jaygw.FailureDomain{}
	delta.Upstreams = map[string][]jaygw.Upstream{}
	present := flatten(d.head)
	for key, at := range d.changed {
		if at <= revision {
			continue
		}
		switch value := present[key].(type) {
		case jaygw.Contract:
			delta.Contracts[key[len(contracts):]] = value
		case jaygw.FailureDomain:
			delta.Domains[key[len(domains):]] = value
		case []jaygw.Upstream:
			delta.Upstreams[key[len(upstreams):]] = value
		default:
			delta.Removed = append(delta.Removed, key)
		}
	}
	slices.Sort(delta.Removed)
	return delta
}

// Acknowledge notes what a node has applied.
func (d *Distributor) Acknowledge(name string, term uint64, index jaygw.Index, revision uint64, now time.Time) {
	if name == "" {
		return
	}
	if _, known := d.nodes[name]; !known && len(d.nodes) >= maxNodes {
		maps.DeleteFunc(d.nodes, func(_ string, n node) bool { return now.Sub(n.heard) > nodeRetention })
		if len(d.nodes) >= maxNodes {
			return
		}
	}
	if term != d.head.Term {
		revision = 0
	}
	d.nodes[name] = node{index: index, revision: revision, heard: now}
}

// Nodes lists the watching nodes by name.
func (d *Distributor) Nodes(now time.Time) []jaygw.NodeStatus {
	list := make([]jaygw.NodeStatus, 0, len(d.nodes))
	for name, n := range d.nodes {
		if now.Sub(n.heard) > nodeRetention {
			delete(d.nodes, name)
			continue
		}
		list = append(list, jaygw.NodeStatus{
			Name: name, Index: n.index, Revision: n.revision,
			Behind: n.revision != d.head.Revision, Silent: jaygw.Duration(now.Sub(n.heard)),
		})
	}
	slices.SortFunc(list, func(a, b jaygw.NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func flatten(view jaygw.View) map[string]any {
	entries := map[string]any{}
	for name, contract := range view.Contracts {
		entries[contracts+name] = contract
	}
	for name, domain := range view.Domains {
		entries[domains+name] = domain
	}
	for name, list := range view.Upstreams {
		entries[upstreams+name] = list
	}
	return entries
}
