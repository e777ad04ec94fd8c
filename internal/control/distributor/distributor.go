// Package distributor sends the confirmed view to the nodes that watch it, as a delta from
// the revision that each node has acknowledged.
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
	// Distributor holds the view during one leadership, and the revisions of its changes, from
	// which deltas are made. It is not safe for concurrent use.
	Distributor struct {
		oldestRevision uint64 // nodes at this or an earlier revision get the complete view
		head           jaygw.View
		lastChanges    map[string]uint64 // revision of last change by key, also of removed keys
		nodes          map[string]node
	}

	// node is the state that a watching node last acknowledged.
	node struct {
		index       jaygw.Index
		revision    uint64
		lastContact time.Time
	}
)

const (
	// Prefixes of the keys of lastChanges and of jaygw.ViewDelta.Removed.
	contractPrefix = "contracts/"
	domainPrefix   = "domains/"
	upstreamPrefix = "upstreams/"

	// maxNodes limits the table of nodes. Further nodes are served, but not listed.
	maxNodes = 4096

	// nodeRetention is how long a node without contact stays in the list.
	nodeRetention = 10 * time.Minute

	// maxRemoved limits the removed entries that are retained for deltas. Once they are
	// dropped, nodes that have not received them get the complete view.
	maxRemoved = 4096
)

// New returns the distributor of a leadership that started at the given time. Its revisions
// start at that time in nanoseconds, so that they do not coincide with the revisions of
// another leadership.
func New(term uint64, now time.Time) *Distributor {
	first := uint64(now.UnixNano())
	return &Distributor{
		oldestRevision: first, head: jaygw.View{Term: term, Revision: first},
		lastChanges: map[string]uint64{}, nodes: map[string]node{},
	}
}

// Current returns the view that was published last, with its term and revision.
func (d *Distributor) Current() jaygw.View { return d.head }

// Publish replaces the view and sets its term and next revision.
func (d *Distributor) Publish(view jaygw.View) {
	view.Term = d.head.Term
	view.Revision = d.head.Revision + 1
	before, after := flatten(d.head), flatten(view)
	for key, value := range after {
		if old, known := before[key]; !known || !reflect.DeepEqual(old, value) {
			d.lastChanges[key] = view.Revision
		}
	}
	for key := range before {
		if _, present := after[key]; !present {
			d.lastChanges[key] = view.Revision
		}
	}
	d.head = view
	if len(d.lastChanges) > len(after)+maxRemoved {
		d.dropRemoved(after)
	}
}

// dropRemoved drops the changes of entries that are no longer present.
func (d *Distributor) dropRemoved(present map[string]any) {
	maps.DeleteFunc(d.lastChanges, func(key string, revision uint64) bool {
		if _, ok := present[key]; ok {
			return false
		}
		d.oldestRevision = max(d.oldestRevision, revision)
		return true
	})
}

// Advance records that the view is unchanged up to a log index.
func (d *Distributor) Advance(index jaygw.Index) { d.head.Index = max(d.head.Index, index) }

// Since returns the changes since the revision of a node, or the complete view if the changes
// since that revision are not available.
func (d *Distributor) Since(term, revision uint64) jaygw.ViewDelta {
	if term != d.head.Term || revision <= d.oldestRevision || revision > d.head.Revision {
		return jaygw.ViewDelta{View: d.head}
	}
	delta := jaygw.ViewDelta{View: d.head, Base: revision}
	delta.Contracts = map[string]jaygw.Contract{}
	delta.Domains = map[string]jaygw.FailureDomain{}
	delta.Upstreams = map[string][]jaygw.Upstream{}
	present := flatten(d.head)
	for key, changedAt := range d.lastChanges {
		if changedAt <= revision {
			continue
		}
		switch value := present[key].(type) {
		case jaygw.Contract:
			delta.Contracts[key[len(contractPrefix):]] = value
		case jaygw.FailureDomain:
			delta.Domains[key[len(domainPrefix):]] = value
		case []jaygw.Upstream:
			delta.Upstreams[key[len(upstreamPrefix):]] = value
		default:
			delta.Removed = append(delta.Removed, key)
		}
	}
	slices.Sort(delta.Removed)
	return delta
}

// Acknowledge records the index and revision of the view that a node has applied. A revision
// of another term is recorded as zero, so that the node counts as behind.
func (d *Distributor) Acknowledge(name string, term uint64, index jaygw.Index, revision uint64, now time.Time) {
	if name == "" {
		return
	}
	if _, known := d.nodes[name]; !known && len(d.nodes) >= maxNodes {
		maps.DeleteFunc(d.nodes, func(_ string, n node) bool { return now.Sub(n.lastContact) > nodeRetention })
		if len(d.nodes) >= maxNodes {
			return
		}
	}
	if term != d.head.Term {
		revision = 0
	}
	d.nodes[name] = node{index: index, revision: revision, lastContact: now}
}

// Nodes returns the status of the watching nodes, ordered by name.
func (d *Distributor) Nodes(now time.Time) []jaygw.NodeStatus {
	list := make([]jaygw.NodeStatus, 0, len(d.nodes))
	for name, n := range d.nodes {
		if now.Sub(n.lastContact) > nodeRetention {
			delete(d.nodes, name)
			continue
		}
		list = append(list, jaygw.NodeStatus{
			Name: name, Index: n.index, Revision: n.revision,
			Behind: n.revision != d.head.Revision, SilentFor: jaygw.Duration(now.Sub(n.lastContact)),
		})
	}
	slices.SortFunc(list, func(a, b jaygw.NodeStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// flatten returns the entries of a view by key, which is the prefix of their kind and their name.
func flatten(view jaygw.View) map[string]any {
	entries := map[string]any{}
	for name, contract := range view.Contracts {
		entries[contractPrefix+name] = contract
	}
	for name, domain := range view.Domains {
		entries[domainPrefix+name] = domain
	}
	for name, list := range view.Upstreams {
		entries[upstreamPrefix+name] = list
	}
	return entries
}
