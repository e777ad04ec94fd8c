package applier

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// index holds what can be derived from the state and is not part of
	// snapshots.
	index struct {
		byVM     map[string]map[jaygw.TaskID]struct{}
		byOwner  map[string]map[jaygw.TaskID]struct{}
		expiries expiryHeap
		keyBytes int

		resultBytes   int
		payloadBytes  int
		documentBytes int
	}

	// expiry is the time at which an entry of a table is dropped.
	expiry struct {
		at    jaygw.Time
		table table
		key   string
	}

	table      int
	expiryHeap []expiry
)

const (
	clientTable table = iota
	keyTable
	jobTable
)

func newIndex(s *State) *index {
	ix := &index{
		byVM:    map[string]map[jaygw.TaskID]struct{}{},
		byOwner: map[string]map[jaygw.TaskID]struct{}{},
	}
	for _, task := range s.Tasks {
		ix.add(task)
	}
	for name, c := range s.Clients {
		ix.expireAt(c.LastUse.Add(clientRetention), clientTable, name)
		for _, result := range c.Results {
			ix.resultBytes += resultBytes(result)
		}
	}
	for key, record := range s.Keys {
		ix.keyBytes += recordBytes(record)
		ix.expireAt(record.Claim.Expires, keyTable, key)
	}
	for key, job := range s.Jobs {
		if job.State != jaygw.JobActive {
			ix.expireAt(job.Finished.Add(jobRetention), jobTable, key)
		}
	}
	for _, e := range s.Environments {
		for _, submitted := range e.submitted() {
			ix.documentBytes += documentBytes(submitted.Document)
		}
	}
	return ix
}

func (ix *index) add(task *jaygw.Task) {
	ix.payloadBytes += len(task.Payload)
	insert(ix.byOwner, ownerKey(task.Environment, task.Owner), task.ID)
	if task.State.Holds() {
		insert(ix.byVM, task.VM, task.ID)
	}
}

func (ix *index) drop(task *jaygw.Task) {
	ix.payloadBytes -= len(task.Payload)
	remove(ix.byOwner, ownerKey(task.Environment, task.Owner), task.ID)
	if task.State.Holds() {
		remove(ix.byVM, task.VM, task.ID)
	}
}

func (ix *index) tasksOn(vm string) []jaygw.TaskID { return sorted(ix.byVM[vm]) }

func (ix *index) tasksOf(owner string) []jaygw.TaskID { return sorted(ix.byOwner[owner]) }

func (ix *index) expireAt(at jaygw.Time, t table, key string) {
	heap.Push(&ix.expiries, expiry{at, t, key})
}

func ownerKey(environment, owner string) string { return environment + "/" + owner }

func insert[K comparable](m map[K]map[jaygw.TaskID]struct{}, key K, id jaygw.TaskID) {
	set, ok := m[key]
	if !ok {
		set = map[jaygw.TaskID]struct{}{}
		m[key] = set
	}
	set[id] = struct{}{}
}

func remove[K comparable](m map[K]map[jaygw.TaskID]struct{}, key K, id jaygw.TaskID) {
	delete(m[key], id)
	if len(m[key]) == 0 {
		delete(m, key)
	}
}

func sorted(set map[jaygw.TaskID]struct{}) []jaygw.TaskID {
	ids := make([]jaygw.TaskID, 0, len(set))
	for id := range set {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.table, b.table), cmp.Compare(a.key, b.key)) < 0
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop is for container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
