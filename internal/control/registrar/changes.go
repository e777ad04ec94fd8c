package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
)

// QueueChange is the number of the catalog that last added, removed or redirected the queue at a host and a prefix.
type QueueChange struct {
	Queue  string // host in lower case, then the prefix
	Number uint64
}

func changeKey(host, prefix string) string { return strings.ToLower(host) + prefix }

// recordChanges records the queues in which a catalog differs from the one in force.
func (r *Registrar) recordChanges(next *jaygw.Catalog) {
	services := map[string]string{} // by queue, of the catalog in force
	if r.state.Catalog != nil {
		for _, q := range r.state.Catalog.Queues {
			services[changeKey(q.Host, q.Prefix)] = q.Service
		}
	}
	declared := make(map[string]bool, len(next.Queues))
	for _, q := range next.Queues {
		key := changeKey(q.Host, q.Prefix)
		declared[key] = true
		if service, ok := services[key]; !ok || service != q.Service {
			r.setChange(key, next.Number)
		}
	}
	for key := range services {
		if !declared[key] {
			r.setChange(key, next.Number)
		}
	}
	if surplus := len(r.changes) - len(next.Queues) - r.limits.RemovedQueues; surplus > 0 {
		removed := slices.DeleteFunc(r.queueChanges(), func(c QueueChange) bool { return declared[c.Queue] })
		slices.SortStableFunc(removed, func(a, b QueueChange) int { return cmp.Compare(a.Number, b.Number) })
		for _, c := range removed[:min(surplus, len(removed))] {
			delete(r.changes, c.Queue)
		}
	}
}

func (r *Registrar) setChange(key string, number uint64) {
	r.changes[key] = number
	r.longestChange = max(r.longestChange, len(key))
}

// queueChanges returns the changes of all queues, sorted.
func (r *Registrar) queueChanges() []QueueChange {
	var changes []QueueChange
	for _, key := range slices.Sorted(maps.Keys(r.changes)) {
		changes = append(changes, QueueChange{Queue: key, Number: r.changes[key]})
	}
	return changes
}

// changedAt returns the number of the catalog since which a path leads to the queue to which it leads now, or
// to none. It is zero if no change is known.
func (r *Registrar) changedAt(host, path string) uint64 {
	shortest := 0
	if queue, _ := r.state.Catalog.FindQueue(host, path); queue != nil {
		shortest = len(queue.Prefix) // changes of shorter prefixes have no effect
	}
	key, number := changeKey(host, path), uint64(0)
	shortest += len(key) - len(path)
	for end := min(len(key), r.longestChange); end >= shortest; end-- {
		number = max(number, r.changes[key[:end]])
	}
	return number
}
