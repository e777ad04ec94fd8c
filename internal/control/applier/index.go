package applier

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// index holds lookup tables and totals that are derived from the state. It is not part of
	// snapshots.
	index struct {
		tasksByVM    map[string]map[jaygw.TaskID]struct{} // tasks that hold resources of a VM
		tasksByOwner map[string]map[jaygw.TaskID]struct{} // by environment/owner
		expiries     expiryHeap
		keyBytes     int // estimated bytes of all key records

		resultBytes   int // estimated bytes of all stored results
		payloadBytes  int // payload bytes of all tasks
		documentBytes int // encoded bytes of all documents in force and on trial
	}

	// expiry is the time at which a table entry is checked and removed if it has expired.
	expiry struct {
		at    jaygw.Time
		table tableKind
		key   string
	}

	tableKind  int
	expiryHeap []expiry
)

const (
	clientTable tableKind = iota
	keyTable
	jobTable
)

func newIndex(s *State) *index {
	ix := &index{
		tasksByVM:    map[string]map[jaygw.TaskID]struct{}{},
		tasksByOwner: map[string]map[jaygw.TaskID]struct{}{},
	}
	for _, task := range s.Tasks {
		ix.addTask(task)
	}
	for name, c := range s.Clients {
		ix.scheduleExpiry(c.LastUse.Add(clientRetention), clientTable, name)
		for _, result := range c.Results {
			ix.resultBytes += resultBytes(result)
		}
	}
	for key, record := range s.Keys {
		ix.keyBytes += keyRecordBytes(record)
		ix.scheduleExpiry(record.Claim.Expires, keyTable, key)
	}
	for key, job := range s.Jobs {
		if job.State != jaygw.JobActive {
			ix.scheduleExpiry(job.Finished.Add(jobRetention), jobTable, key)
		}
	}
	for _, e := range s.Environments {
		for _, submitted := range e.storedDocuments() {
			ix.documentBytes += documentBytes(submitted.Document)
		}
	}
	return ix
}

func (ix *index) addTask(task *jaygw.Task) {
	ix.payloadBytes += len(task.Payload)
	insert(ix.tasksByOwner, ownerKey(task.Environment, task.Owner), task.ID)
	if task.State.Holds() {
		insert(ix.tasksByVM, task.VM, task.ID)
	}
}

func (ix *index) removeTask(task *jaygw.Task) {
	ix.payloadBytes -= len(task.Payload)
	remove(ix.tasksByOwner, ownerKey(task.Environment, task.Owner), task.ID)
	if task.State.Holds() {
		remove(ix.tasksByVM, task.VM, task.ID)
	}
}

func (ix *index) tasksOn(vm string) []jaygw.TaskID { return sortedTaskIDs(ix.tasksByVM[vm]) }

func (ix *index) tasksOf(owner string) []jaygw.TaskID { return sortedTaskIDs(ix.tasksByOwner[owner]) }

func (ix *index) scheduleExpiry(at jaygw.Time, table tableKind, key string) {
	heap.Push(&ix.expiries, expiry{at, table, key})
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

func sortedTaskIDs(set map[jaygw.TaskID]struct{}) []jaygw.TaskID {
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

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
