package placer

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// Queue holds the waiting tasks by class, team, owner and age. Removal is lazy: a removed
	// entry stays in its heap until it reaches the head.
	Queue struct {
		classes [classCount]map[string]*TeamQueue // by priority of the class, then by team
		entries map[jaygw.TaskID]*entry
		delayed taskHeap // tasks in backoff, by NotBefore
		ready   int      // tasks whose backoff has ended
	}

	// TeamQueue holds the waiting tasks of one team in one class.
	TeamQueue struct {
		Key      string            // as TeamKey returns it
		Idle     bool              // no task could start at the last attempt, and nothing has changed since
		LastTeam *jaygw.Team       // state of the team at the last attempt
		groups   map[string]*Group // by owner
		order    []*Group          // by the age of the head; only valid if sorted is set
		sorted   bool
		cursor   int // index of the current group in order
	}

	// Group holds the waiting tasks of one service or job. All of them have the same size.
	Group struct {
		Team  *TeamQueue
		Owner string   // as OwnerKey returns it
		Shape *Shape   // nil until the scheduler sets it
		tasks taskHeap // by submission; may contain removed tasks
		size  int      // ready tasks
	}

	// Shape is shared by groups whose tasks fit on the same VMs.
	Shape struct {
		Size     jaygw.Resources
		Domains  []string // failure domains that the tasks allow; empty: all
		MayStart []string // failure domains in which the team may start tasks; empty: all
		Noisy    bool     // shape of a single owner that is kept away from services
		Blocked  bool     // fits on no VM until more resources are free
		// NextSearch is the earliest time to search again for tasks to evict.
		NextSearch jaygw.Time
	}

	// entry is a waiting task, in the heap of delayed tasks or in that of its group.
	entry struct {
		task      *jaygw.Task
		orderTime jaygw.Time // order in the heap: NotBefore, later the submission
		group     *Group     // nil while the task is in backoff
		removed   bool
		delayed   bool // in backoff until NotBefore
	}

	taskHeap []*entry
)

// classCount is the number of priorities of classes.
const classCount = 3

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{entries: map[jaygw.TaskID]*entry{}}
	for i := range q.classes {
		q.classes[i] = map[string]*TeamQueue{}
	}
	return q
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.entries) }

// Ready returns the number of waiting tasks whose backoff has ended.
func (q *Queue) Ready() int { return q.ready }

// Contains reports whether a task is in the queue.
func (q *Queue) Contains(id jaygw.TaskID) bool { return q.entries[id] != nil }

// Add adds a waiting task, or replaces it if it is in the queue.
func (q *Queue) Add(task *jaygw.Task) {
	q.Remove(task.ID)
	e := &entry{task: task, orderTime: task.NotBefore, delayed: true}
	q.entries[task.ID] = e
	heap.Push(&q.delayed, e)
}

// Remove removes a task, if it is in the queue.
func (q *Queue) Remove(id jaygw.TaskID) {
	e, ok := q.entries[id]
	if !ok {
		return
	}
	e.removed = true
	delete(q.entries, id)
	if e.group != nil {
		q.ready--
		q.decrement(e.group)
	}
}

// decrement lowers the task count of a group, and removes the group when it is empty.
func (q *Queue) decrement(g *Group) {
	g.size--
	if g.size > 0 {
		return
	}
	delete(g.Team.groups, g.Owner)
	g.Team.sorted = false
}

// Advance makes the tasks ready whose backoff has ended.
func (q *Queue) Advance(now jaygw.Time) {
	for len(q.delayed) > 0 && (q.delayed[0].removed || q.delayed[0].orderTime <= now) {
		e := heap.Pop(&q.delayed).(*entry)
		if e.removed {
			continue
		}
		g := q.group(e.task)
		e.group, e.orderTime, e.delayed = g, e.task.Submitted, false
		heap.Push(&g.tasks, e)
		g.size++
		q.ready++
		g.Team.Idle = false
		g.Team.sorted = false
	}
}

// group returns the group of a task, and adds it if it is new.
func (q *Queue) group(task *jaygw.Task) *Group {
	teams := q.classes[task.Class.Priority()]
	team, ok := teams[TeamKey(task)]
	if !ok {
		team = &TeamQueue{Key: TeamKey(task), groups: map[string]*Group{}}
		teams[team.Key] = team
	}
	g, ok := team.groups[OwnerKey(task)]
	if !ok {
		g = &Group{Team: team, Owner: OwnerKey(task)}
		team.groups[g.Owner] = g
	}
	return g
}

// Teams returns the teams with ready tasks of a class, sorted by key, and sets each of them back to
// its first group.
func (q *Queue) Teams(class int) []*TeamQueue {
	var teams []*TeamQueue
	for key, team := range q.classes[class] {
		if len(team.groups) == 0 {
			delete(q.classes[class], key)
			continue
		}
		team.cursor = 0
		teams = append(teams, team)
	}
	slices.SortFunc(teams, func(a, b *TeamQueue) int { return compareNames(a.Key, b.Key) })
	return teams
}

// Group returns the team's current group, or nil after the last one. It skips groups without
// tasks.
func (t *TeamQueue) Group() *Group {
	if !t.sorted {
		t.sort()
	}
	for t.cursor < len(t.order) {
		if g := t.order[t.cursor]; g.Head() != nil {
			return g
		}
		t.cursor++
	}
	return nil
}

// Skip moves on to the next group.
func (t *TeamQueue) Skip() { t.cursor++ }

// Groups calls the function with each group of the team, oldest first.
func (t *TeamQueue) Groups(visit func(*Group)) {
	if !t.sorted {
		t.sort()
	}
	for _, g := range t.order {
		visit(g)
	}
}

// sort orders the groups by the submission of their oldest tasks.
func (t *TeamQueue) sort() {
	t.order = t.order[:0]
	for _, g := range t.groups {
		t.order = append(t.order, g)
	}
	slices.SortFunc(t.order, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.oldestSubmitted(), b.oldestSubmitted()), cmp.Compare(a.Owner, b.Owner))
	})
	t.sorted = true
}

// oldestSubmitted returns when the oldest ready task was submitted, or zero if there is none.
func (g *Group) oldestSubmitted() jaygw.Time {
	if head := g.Head(); head != nil {
		return head.Submitted
	}
	return 0
}

// Head returns the group's oldest ready task, or nil.
func (g *Group) Head() *jaygw.Task {
	for len(g.tasks) > 0 && g.tasks[0].removed {
		heap.Pop(&g.tasks)
	}
	if len(g.tasks) == 0 {
		return nil
	}
	return g.tasks[0].task
}

// Taken is a task that was taken out of its group for the time of one decision.
type Taken struct{ entry *entry }

// Take removes the head from the group until PutBack.
func (g *Group) Take() Taken {
	if g.Head() == nil {
		return Taken{}
	}
	return Taken{heap.Pop(&g.tasks).(*entry)}
}

// PutBack returns tasks to their groups at the end of a decision. Granted tasks are removed from
// the queue later, when the grant is applied.
func (q *Queue) PutBack(taken []Taken) {
	for _, t := range taken {
		if t.entry != nil && !t.entry.removed {
			heap.Push(&t.entry.group.tasks, t.entry)
		}
	}
}

// Size returns the number of ready tasks of the group.
func (g *Group) Size() int { return g.size }

// ResetShapes resets the shapes of the groups of an owner, or of all groups if the owner is empty. It
// is called when their size or the rights of their team have changed.
func (q *Queue) ResetShapes(owner string) {
	for _, teams := range q.classes {
		for _, team := range teams {
			if owner != "" {
				if g, ok := team.groups[owner]; ok {
					g.Shape = nil
					team.Idle = false
				}
				continue
			}
			team.Idle = false
			for _, g := range team.groups {
				g.Shape = nil
			}
		}
	}
}

// RetryAll makes the next decision consider all teams again.
func (q *Queue) RetryAll() {
	for _, teams := range q.classes {
		for _, team := range teams {
			team.Idle = false
		}
	}
}

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].orderTime, h[j].orderTime), cmp.Compare(h[i].task.ID, h[j].task.ID)) < 0
}

func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
