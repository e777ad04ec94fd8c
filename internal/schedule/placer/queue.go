package placer

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// Queue holds the waiting tasks by class, team, owner and age. Removal is
	// lazy: an entry that is gone is dropped when it reaches the head.
	Queue struct {
		classes [classes]map[string]*TeamQueue
		entries map[jaygw.TaskID]*entry
		delayed taskHeap // by NotBefore
		ready   int
	}

	// TeamQueue holds the waiting tasks of one team in one class.
	TeamQueue struct {
		Key    string
		Idle   bool        // nothing could start at the last try and nothing has changed since
		Seen   *jaygw.Team // at the last try
		groups map[string]*Group
		order  []*Group // by the age of the head; stale if unsorted
		sorted bool
		cursor int
	}

	// Group holds the waiting tasks of one service or job. They are of one size.
	Group struct {
		Team  *TeamQueue
		Owner string
		Shape *Shape // nil until it is known
		tasks taskHeap
		size  int
	}

	// Shape is what groups have in common that fit on the same VMs.
	Shape struct {
		Size     jaygw.Resources
		Domains  []string
		MayStart []string
		Noisy    bool // of one owner that is kept away from services
		Blocked  bool // fits nowhere until more is free
		// NextSearch is when to look again for batch work that gives way.
		NextSearch jaygw.Time
	}

	entry struct {
		task  *jaygw.Task
		at    jaygw.Time // order in the heap
		group *Group
		gone  bool
		late  bool // waits for NotBefore
	}

	taskHeap []*entry
)

const classes = 3

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

// Ready returns the number of waiting tasks whose backoff is over.
func (q *Queue) Ready() int { return q.ready }

// Waits reports whether a task is in the queue.
func (q *Queue) Waits(id jaygw.TaskID) bool { return q.entries[id] != nil }

// Add takes a waiting task.
func (q *Queue) Add(task *jaygw.Task) {
	q.Remove(task.ID)
	e := &entry{task: task, at: task.NotBefore, late: true}
	q.entries[task.ID] = e
	heap.Push(&q.delayed, e)
}

// Remove drops a task.
func (q *Queue) Remove(id jaygw.TaskID) {
	e, ok := q.entries[id]
	if !ok {
		return
	}
	e.gone = true
	delete(q.entries, id)
	if e.group != nil {
		q.ready--
		q.shrink(e.group)
	}
}

// shrink drops a group that has no tasks left.
func (q *Queue) shrink(g *Group) {
	g.size--
	if g.size > 0 {
		return
	}
	delete(g.Team.groups, g.Owner)
	g.Team.sorted = false
}

// Advance makes the tasks ready whose backoff is over.
func (q *Queue) Advance(now jaygw.Time) {
	for len(q.delayed) > 0 && (q.delayed[0].gone || q.delayed[0].at <= now) {
		e := heap.Pop(&q.delayed).(*entry)
		if e.gone {
			continue
		}
		g := q.group(e.task)
		e.group, e.at, e.late = g, e.task.Submitted, false
		heap.Push(&g.tasks, e)
		g.size++
		q.ready++
		g.Team.Idle = false
		g.Team.sorted = false
	}
}

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

// Teams returns the teams with ready tasks of a class, in the order of their
// names, and sets each to its first group.
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

// Group returns the team's group at hand, or nil after the last one.
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

// Skip goes on to the next group.
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

func (t *TeamQueue) sort() {
	t.order = t.order[:0]
	for _, g := range t.groups {
		t.order = append(t.order, g)
	}
	slices.SortFunc(t.order, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(a.age(), b.age()), cmp.Compare(a.Owner, b.Owner))
	})
	t.sorted = true
}

func (g *Group) age() jaygw.Time {
	if head := g.Head(); head != nil {
		return head.Submitted
	}
	return 0
}

// Head returns the group's oldest ready task, or nil.
func (g *Group) Head() *jaygw.Task {
	for len(g.tasks) > 0 && g.tasks[0].gone {
		heap.Pop(&g.tasks)
	}
	if len(g.tasks) == 0 {
		return nil
	}
	return g.tasks[0].task
}

// Taken is a task that was taken out of its group for one decision.
type Taken struct{ e *entry }

// Take takes the head out of the group until PutBack.
func (g *Group) Take() Taken {
	if g.Head() == nil {
		return Taken{}
	}
	return Taken{heap.Pop(&g.tasks).(*entry)}
}

// PutBack returns tasks to their groups at the end of a decision. Those that were
// granted leave the queue when the grant is applied.
func (q *Queue) PutBack(taken []Taken) {
	for _, t := range taken {
		if t.e != nil && !t.e.gone {
			heap.Push(&t.e.group.tasks, t.e)
		}
	}
}

// Size returns the number of ready tasks of the group.
func (g *Group) Size() int { return g.size }

// Refresh forgets the shapes of the groups of an owner, or of all if the owner is
// empty, because their size or their team's rights have changed.
func (q *Queue) Refresh(owner string) {
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

// Wake lets all teams be tried again.
func (q *Queue) Wake() {
	for _, teams := range q.classes {
		for _, team := range teams {
			team.Idle = false
		}
	}
}

func (h taskHeap) Len() int { return len(h) }

func (h taskHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].at, h[j].at), cmp.Compare(h[i].task.ID, h[j].task.ID)) < 0
}

func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop is for container/heap.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return x
}
