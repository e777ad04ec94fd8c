package distributor

import (
	"maps"
	"strings"

	"github.com/jaygw/jaygw"
)

// Apply applies a delta to the view that a node has. It returns the unchanged view and false
// if the delta is not newer or is not based on that view, so that a late response never
// restores an earlier state.
func Apply(view jaygw.View, delta jaygw.ViewDelta) (jaygw.View, bool) {
	if !delta.Newer(view) || delta.Base != 0 && (delta.Base != view.Revision || delta.Term != view.Term) {
		return view, false
	}
	if delta.Base == 0 {
		return delta.View, true
	}
	next := delta.View
	next.Contracts = mergeEntries(view.Contracts, delta.Contracts, delta.Removed, contractPrefix)
	next.Domains = mergeEntries(view.Domains, delta.Domains, delta.Removed, domainPrefix)
	next.Upstreams = mergeEntries(view.Upstreams, delta.Upstreams, delta.Removed, upstreamPrefix)
	return next, true
}

// mergeEntries returns a new map with the changed entries and without the removed ones. It
// does not modify the old map, because readers may still use it.
func mergeEntries[V any](old, changed map[string]V, removed []string, prefix string) map[string]V {
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
