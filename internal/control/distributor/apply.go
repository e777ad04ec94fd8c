package distributor

import (
	"maps"
	"strings"

	"github.com/jaygw/jaygw"
)

// Apply returns the view that follows from one that a node has and a delta. It
// reports false, and the node keeps its view, if the delta is not newer or does
// not follow from that view: a late response never brings an earlier state back.
func Apply(view jaygw.View, delta jaygw.ViewDelta) (jaygw.View, bool) {
	if !delta.Newer(view) || delta.Base != 0 && (delta.Base != view.Revision || delta.Term != view.Term) {
		return view, false
	}
	if delta.Base == 0 {
		return delta.View, true
	}
	next := delta.View
	next.Contracts = merged(view.Contracts, delta.Contracts, delta.Removed, contracts)
	next.Domains = merged(view.Domains, delta.Domains, delta.Removed, domains)
	next.Upstreams = merged(view.Upstreams, delta.Upstreams, delta.Removed, upstreams)
	return next, true
}

// merged leaves the old map as it is: readers may still use it.
func merged[V any](old, changed map[string]V, removed []string, prefix string) map[string]V {
	next := make(map[string]V, len(old)+len(changed))
	maps.Copy(next, old)
	maps.Copy(next, changed)
	for _, key := range removed {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			delete(next, name)
		}
	}
	return next
}
