package scheduler

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// reservation keeps capacity on a VM for one task, until enough of it is free.
	reservation struct {
		node  *placer.Node
		size  jaygw.Resources
		since jaygw.Time
		aged  bool // whether it is for a job that smaller jobs would starve
	}

	// teamHeap is a heap of teams, ordered by resource use in proportion to weight.
	teamHeap []*teamShare

	teamShare struct {
		team  *placer.TeamQueue
		share float64 // the team's share of all resources divided by its weight
	}
)

const (
	// agedAfter is how long a job that fits on no VM waits before it gets a reservation.
	agedAfter = 30 * time.Second

	// maxReservationTime is the age at which a reservation expires, because enough capacity may
	// never become free on its VM.
	maxReservationTime = 10 * time.Minute

	// maxAgedPercent bounds the VMs with reservations for aged jobs, in percent of all VMs. The
	// other VMs go on with jobs that fit.
	maxAgedPercent = 5

	// maxShapes bounds the table of shapes, which is emptied when it is full.
	maxShapes = 4096

	// A job whose use of resources has not been measured may run one task per vmsPerInitialTask
	// VMs of the control group, but at least minInitialTasks.
	vmsPerInitialTask = 2
	minInitialTasks   = 4

	// lastFailedVMCost is added to the cost of the VM on which the task failed last.
	lastFailedVMCost = 2.0

	// interferenceCost is the weight of a rise in a service's latency in the score of a VM. The
	// load of the VM adds at most 1 to the score.
	interferenceCost = 8.0

	// probeBonus is subtracted from the cost of a quarantined VM that takes one task as a probe,
	// so that a task is placed there.
	probeBonus = 4.0
)

// grantReserved starts the tasks with a reservation whose capacity has become free.
func (d *decision) grantReserved() {
	for _, id := range sortedKeys(d.reservations) {
		r := d.reservations[id]
		task := d.state.Tasks[id]
		if task == nil || d.reservationObsolete(r, task) {
			d.cancelReservation(id)
			continue
		}
		if task.State != jaygw.Waiting || task.NotBefore > d.now || len(d.grants) == maxGrants {
			continue
		}
		d.index.Reserve(r.node, jaygw.Resources{}.Sub(r.size))
		if r.size.Fits(r.node.Free()) && d.quotaAllows(task, r.size) {
			delete(d.reservations, id)
			d.grant(task, r.node, r.size)
			continue
		}
		d.index.Reserve(r.node, r.size)
	}
}

// reservationObsolete reports whether a reservation is no longer useful: its VM was removed or
// takes no new tasks, the task no longer has to move, or it has expired.
func (d *decision) reservationObsolete(r *reservation, task *jaygw.Task) bool {
	if d.index.Node(r.node.VM.Name) != r.node || !r.node.AcceptsTasks() || d.now.Sub(r.since) > maxReservationTime {
		return true
	}
	if task.State == jaygw.Granted || task.State == jaygw.Running {
		n := d.index.Node(task.VM)
		return n == nil || !n.MustMove()
	}
	return false
}

// grantClass starts waiting tasks of a class, first those of the team with the smallest use in
// proportion to its weight.
func (d *decision) grantClass(class int) {
	var order teamHeap
	for _, team := range d.queue.Teams(class) {
		if class != 0 && team.Idle && team.LastTeam == d.state.Teams[team.Key] {
			continue
		}
		team.LastTeam = d.state.Teams[team.Key]
		team.Idle = true
		if team.LastTeam != nil {
			order = append(order, &teamShare{team: team, share: d.weightedShare(team.Key)})
		}
	}
	heap.Init(&order)
	for len(order) > 0 && len(d.grants) < maxGrants {
		next := order[0]
		if !d.grantNext(next.team) {
			heap.Pop(&order)
			continue
		}
		next.share = d.weightedShare(next.team.Key)
		heap.Fix(&order, 0)
	}
	for _, remaining := range order {
		remaining.team.Idle = false // maxGrants was reached; the team may have more to start
	}
}

// grantNext starts one task of the team and reports whether it could.
func (d *decision) grantNext(team *placer.TeamQueue) bool {
	for {
		g := team.Group()
		if g == nil {
			return false
		}
		task := g.Head()
		if d.granted[task.ID] {
			d.taken = append(d.taken, g.Take())
			continue
		}
		shape := d.shape(g, task)
		preempts := mayPreempt(task)
		if d.atStartLimit(task, g.Owner) {
			team.Idle = false
			team.Skip()
			continue
		}
		if !d.quotaAllows(task, shape.Size) {
			if task.Class != jaygw.Urgent || d.reservations[task.ID] == nil && !d.preempt(task, shape, true) {
				team.Skip()
				continue
			}
			d.taken = append(d.taken, g.Take())
			continue
		}
		if shape.Blocked && !preempts {
			team.Skip()
			continue
		}
		if node := d.index.Find(d.request(task, shape)); node != nil {
			d.cancelReservation(task.ID)
			d.grant(task, node, shape.Size)
			d.taken = append(d.taken, g.Take())
			return true
		}
		shape.Blocked = true
		if !preempts {
			team.Skip()
			continue
		}
		team.Idle = false
		if d.reservations[task.ID] == nil && !d.preempt(task, shape, false) {
			team.Skip()
			continue
		}
		d.taken = append(d.taken, g.Take())
	}
}

// atStartLimit reports whether no more tasks of a job may start until its use of resources has
// been measured.
func (d *decision) atStartLimit(task *jaygw.Task, owner string) bool {
	if !isBulkBatch(task) || d.withoutEstimates {
		return false
	}
	initial := max(minInitialTasks, d.index.Nodes()/vmsPerInitialTask)
	return d.index.Running(owner)+d.grantsByOwner[owner] >= d.usage.MaxRunning(owner, initial, d.now)
}

// mayPreempt reports whether bulk batch tasks may be evicted for the task.
func mayPreempt(task *jaygw.Task) bool {
	return task.Class == jaygw.Urgent || task.Kind == jaygw.ServiceTask && task.Class == jaygw.LatencyCritical
}

// grant adds the start of the task on the VM to this decision.
func (d *decision) grant(task *jaygw.Task, node *placer.Node, size jaygw.Resources) {
	d.index.Plan(node, size)
	d.chargeTeam(placer.TeamKey(task), size)
	d.granted[task.ID] = true
	d.grantsByOwner[placer.OwnerKey(task)]++
	d.usage.Granted(placer.OwnerKey(task), d.now)
	d.grants = append(d.grants, jaygw.Grant{
		Task: task.ID, After: task.Epoch, VM: node.VM.Name, Incarnation: node.VM.Incarnation, Reserve: size,
	})
	if d.health.recordGrant(node.VM.Name, task.ID, d.now) {
		d.index.SetQuarantined(node.VM.Name, true)
	}
}

// chargeTeam adds a size to what the team uses in this decision.
func (d *decision) chargeTeam(team string, size jaygw.Resources) {
	d.used[team] = d.teamUsed(team).Add(size)
}

// teamUsed returns what a team uses, including the grants and resizes of this decision.
func (d *decision) teamUsed(key string) jaygw.Resources {
	if used, ok := d.used[key]; ok {
		return used
	}
	if team := d.state.Teams[key]; team != nil {
		return team.Used
	}
	return jaygw.Resources{}
}

func (d *decision) quotaAllows(task *jaygw.Task, size jaygw.Resources) bool {
	key := placer.TeamKey(task)
	team := d.state.Teams[key]
	return team != nil && d.teamUsed(key).Add(size).Fits(team.Quota)
}

// weightedShare returns the share of all resources that a team uses, divided by its weight.
func (d *decision) weightedShare(key string) float64 {
	return placer.LargestShare(d.teamUsed(key), d.index.Total()) / float64(max(1, d.state.Teams[key].Weight))
}

// shape returns the size and the constraints that decide on which VMs the group's tasks fit.
func (d *decision) shape(g *placer.Group, task *jaygw.Task) *placer.Shape {
	if g.Shape != nil && (g.Shape.Noisy || !d.interference.Noisy(g.Owner)) {
		return g.Shape
	}
	team := d.state.Teams[g.Team.Key]
	size := d.sizeToCommit(task)
	request := placer.Request{Size: size, Domains: task.Domains, MayStart: team.MayStart}
	if size != task.Declared && (!size.Fits(team.Quota) || !d.index.CouldFit(request)) {
		size = task.Declared
	}
	key := shapeKey{"", size, strings.Join(task.Domains, "\n"), strings.Join(team.MayStart, "\n")}
	if d.interference.Noisy(g.Owner) {
		key.noisyOwner = g.Owner // noisy tasks fit on fewer VMs than others of their size
	}
	shape, ok := d.shapes[key]
	if !ok {
		if len(d.shapes) >= maxShapes {
			d.shapes = map[shapeKey]*placer.Shape{}
		}
		shape = &placer.Shape{Size: size, Domains: task.Domains, MayStart: team.MayStart, Noisy: key.noisyOwner != ""}
		d.shapes[key] = shape
	}
	g.Shape = shape
	return shape
}

// unblockShapes clears the mark of blocked shapes that fit on a VM with more free capacity than
// before, so that their tasks are tried again.
func (d *decision) unblockShapes() {
	freed := d.index.TakeFreed()
	if len(freed) == 0 {
		return
	}
	unblocked := false
	for _, shape := range d.shapes {
		if !shape.Blocked {
			continue
		}
		for _, n := range freed {
			if shape.Size.Fits(n.Free()) && placer.Allows(shape.Domains, n.Domain.Name) &&
				placer.Allows(shape.MayStart, n.Domain.Name) {
				shape.Blocked = false
				unblocked = true
				break
			}
		}
	}
	if unblocked {
		d.queue.RetryAll()
	}
}

func (d *decision) request(task *jaygw.Task, shape *placer.Shape) placer.Request {
	owner := placer.OwnerKey(task)
	return placer.Request{
		Owner: owner, Size: shape.Size, Domains: shape.Domains, MayStart: shape.MayStart,
		Spread: task.Kind == jaygw.ServiceTask,
		Seed:   placer.Seed(task.ID, task.Epoch),
		Cost:   func(n *placer.Node) float64 { return d.cost(task, owner, n) },
	}
}

// cost returns the part of the cost of placing the task on the VM that does not depend on the
// task's size: quarantine probes, earlier failures and interference.
func (d *decision) cost(task *jaygw.Task, owner string, n *placer.Node) float64 {
	cost := 0.0
	if d.health.awaitsProbe(n.VM.Name) {
		if !isBulkBatch(task) {
			return placer.ExcludingCost
		}
		cost -= probeBonus
	}
	if task.Failures > 0 && d.health.lastFailure(task.ID) == n.VM.Name {
		cost += lastFailedVMCost
	}
	if d.withoutInterference {
		return cost
	}
	if task.Kind == jaygw.ServiceTask {
		return cost + interferenceCost*d.latencyRise(owner, n, "")
	}
	if !d.interference.Noisy(owner) {
		return cost
	}
	for service := range n.Owners() {
		if d.interference.Effect(service, owner, d.now) == 0 {
			continue
		}
		rise := d.latencyRise(service, n, owner)
		if rise > allowedRise && task.Class == jaygw.Bulk &&
			(d.index.Running(owner) > 0 || d.now.Sub(task.Submitted) < noisyWaitLimit) {
			return placer.ExcludingCost
		}
		cost += interferenceCost * rise
	}
	return cost
}

// latencyRise returns the estimated rise in a service's latency, as a share of its baseline, due
// to the tasks of other owners on the VM and one more task of extraOwner. An empty extraOwner
// adds none.
func (d *decision) latencyRise(service string, n *placer.Node, extraOwner string) float64 {
	rise := 0.0
	for owner, tasks := range n.Owners() {
		if owner != service {
			rise += float64(tasks) * d.interference.Effect(service, owner, d.now)
		}
	}
	if extraOwner != "" {
		rise += d.interference.Effect(service, extraOwner, d.now)
	}
	return rise
}

func isBulkBatch(task *jaygw.Task) bool {
	return task.Kind == jaygw.BatchTask && task.Class == jaygw.Bulk
}

func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}

func (h teamHeap) Len() int { return len(h) }

func (h teamHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].share, h[j].share), cmp.Compare(h[i].team.Key, h[j].team.Key)) < 0
}

func (h teamHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds x at the end, as container/heap requires.
func (h *teamHeap) Push(x any) { *h = append(*h, x.(*teamShare)) }

// Pop removes and returns the last element, as container/heap requires.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
