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
	// hold keeps room on a VM for one task, until what runs there has ended.
	hold struct {
		node  *placer.Node
		size  jaygw.Resources
		since jaygw.Time
		aged  bool // for a job that small ones would starve
	}

	// turns orders teams by their use in proportion to their weight.
	turns []*turn

	turn struct {
		team  *placer.TeamQueue
		share float64
	}
)

const (
	// agedAfter is the time after which a job that fits nowhere gets a
	// reservation.
	agedAfter = 30 * time.Second

	// holdTime bounds a reservation: the VM chosen may have been a bad choice.
	holdTime = 10 * time.Minute

	// agedShare bounds the VMs with reservations for aged jobs, in percent. The
	// rest of the VMs go on with jobs that fit.
	agedShare = 5

	// maxShapes bounds the table of shapes before it is built again.
	maxShapes = 4096

	// A new job starts with tasks on one of initialShare VMs, and at least
	// minInitial.
	initialShare = 2
	minInitial   = 4

	// sameVMCost keeps a task away from the VM where it has failed last.
	sameVMCost = 2.0

	// interferenceCost weighs the rise of a service's latency against load.
	interferenceCost = 8.0

	// probeBonus makes a VM that waits for a probe attractive to one task.
	probeBonus = 4.0
)

// grantHeld starts the tasks that have a place reserved for them, once it is
// free.
func (d *decision) grantHeld() {
	for _, id := range sortedNames(d.holds) {
		h := d.holds[id]
		task := d.state.Tasks[id]
		if task == nil || d.holdOver(h, task) {
			d.dropHold(id)
			continue
		}
		if task.State != jaygw.Waiting || task.NotBefore > d.now || len(d.grants) == maxGrants {
			continue
		}
		d.index.Hold(h.node, jaygw.Resources{}.Sub(h.size))
		if h.size.Fits(h.node.Free()) && d.quotaAllows(task, h.size) {
			delete(d.holds, id)
			d.grant(task, h.node, h.size)
			continue
		}
		d.index.Hold(h.node, h.size)
	}
}

// holdOver reports whether a reservation is of no more use: its VM is closed, its
// task was to move and no longer has to, or it is too old.
func (d *decision) holdOver(h *hold, task *jaygw.Task) bool {
	if d.index.Node(h.node.VM.Name) != h.node || !h.node.Open() || d.now.Sub(h.since) > holdTime {
		return true
	}
	if task.State == jaygw.Granted || task.State == jaygw.Running {
		n := d.index.Node(task.VM)
		return n == nil || !n.Leaves()
	}
	return false
}

// grantClass starts waiting tasks of a class, the team with the smallest use for
// its weight first.
func (d *decision) grantClass(class int) {
	var order turns
	for _, team := range d.queue.Teams(class) {
		if class != 0 && team.Idle && team.Seen == d.state.Teams[team.Key] {
			continue
		}
		team.Seen = d.state.Teams[team.Key]
		team.Idle = true
		if team.Seen != nil {
			order = append(order, &turn{team: team, share: d.share(team.Key)})
		}
	}
	heap.Init(&order)
	for len(order) > 0 && len(d.grants) < maxGrants {
		next := order[0]
		if !d.serve(next.team) {
			heap.Pop(&order)
			continue
		}
		next.share = d.share(next.team.Key)
		heap.Fix(&order, 0)
	}
	for _, left := range order {
		left.team.Idle = false // stopped by the limit of one decision
	}
}

// serve starts one task of the team and reports whether it could.
func (d *decision) serve(team *placer.TeamQueue) bool {
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
		important := outranksBatch(task)
		if d.tooNew(task, g.Owner) {
			team.Idle = false
			team.Skip()
			continue
		}
		if !d.quotaAllows(task, shape.Size) {
			if task.Class != jaygw.Urgent || d.holds[task.ID] == nil && !d.makeRoom(task, shape, true) {
				team.Skip()
				continue
			}
			d.taken = append(d.taken, g.Take())
			continue
		}
		if shape.Blocked && !important {
			team.Skip()
			continue
		}
		if node := d.index.Find(d.request(task, shape)); node != nil {
			d.dropHold(task.ID)
			d.grant(task, node, shape.Size)
			d.taken = append(d.taken, g.Take())
			return true
		}
		shape.Blocked = true
		if !important {
			team.Skip()
			continue
		}
		team.Idle = false
		if d.holds[task.ID] == nil && !d.makeRoom(task, shape, false) {
			team.Skip()
			continue
		}
		d.taken = append(d.taken, g.Take())
	}
}

// tooNew reports whether a job has to show what it uses and slows before more of
// its tasks start.
func (d *decision) tooNew(task *jaygw.Task, owner string) bool {
	if !bulkBatch(task) || d.withoutEstimates {
		return false
	}
	initial := max(minInitial, d.index.Nodes()/initialShare)
	return d.index.Running(owner)+d.starting[owner] >= d.usage.Allowed(owner, initial, d.now)
}

// outranksBatch reports whether bulk batch work gives way to the task.
func outranksBatch(task *jaygw.Task) bool {
	return task.Class == jaygw.Urgent || task.Kind == jaygw.ServiceTask && task.Class == jaygw.LatencyCritical
}

func (d *decision) grant(task *jaygw.Task, node *placer.Node, size jaygw.Resources) {
	d.index.Plan(node, size)
	d.charge(placer.TeamKey(task), size)
	d.granted[task.ID] = true
	d.starting[placer.OwnerKey(task)]++
	d.usage.Granted(placer.OwnerKey(task), d.now)
	d.grants = append(d.grants, jaygw.Grant{
		Task: task.ID, After: task.Epoch, VM: node.VM.Name, Incarnation: node.VM.Incarnation, Reserve: size,
	})
	if d.health.probed(node.VM.Name, task.ID, d.now) {
		d.index.SetBarred(node.VM.Name, true)
	}
}

func (d *decision) charge(team string, size jaygw.Resources) {
	d.used[team] = d.teamUse(team).Add(size)
}

func (d *decision) teamUse(key string) jaygw.Resources {
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
	return team != nil && d.teamUse(key).Add(size).Fits(team.Quota)
}

// share returns a team's use in proportion to its weight.
func (d *decision) share(key string) float64 {
	return placer.Share(d.teamUse(key), d.index.Total()) / float64(max(1, d.state.Teams[key].Weight))
}

// shape returns what decides where the group's tasks fit.
func (d *decision) shape(g *placer.Group, task *jaygw.Task) *placer.Shape {
	if g.Shape != nil && (g.Shape.Noisy || !d.interference.Noisy(g.Owner)) {
		return g.Shape
	}
	team := d.state.Teams[g.Team.Key]
	size := d.reserve(task)
	wanted := placer.Request{Size: size, Domains: task.Domains, MayStart: team.MayStart}
	if size != task.Declared && (!size.Fits(team.Quota) || !d.index.CouldFit(wanted)) {
		size = task.Declared
	}
	key := shapeKey{"", size, strings.Join(task.Domains, "\n"), strings.Join(team.MayStart, "\n")}
	if d.interference.Noisy(g.Owner) {
		key.noisy = g.Owner // fits on fewer VMs than others of its size
	}
	shape, ok := d.shapes[key]
	if !ok {
		if len(d.shapes) >= maxShapes {
			d.shapes = map[shapeKey]*placer.Shape{}
		}
		shape = &placer.Shape{Size: size, Domains: task.Domains, MayStart: team.MayStart, Noisy: key.noisy != ""}
		d.shapes[key] = shape
	}
	g.Shape = shape
	return shape
}

// unblock lets shapes be tried again that fit on a VM with more room than before.
func (d *decision) unblock() {
	freed := d.index.TakeFreed()
	if len(freed) == 0 {
		return
	}
	woken := false
	for _, shape := range d.shapes {
		if !shape.Blocked {
			continue
		}
		for _, n := range freed {
			if shape.Size.Fits(n.Free()) && placer.Allows(shape.Domains, n.Domain.Name) &&
				placer.Allows(shape.MayStart, n.Domain.Name) {
				shape.Blocked = false
				woken = true
				break
			}
		}
	}
	if woken {
		d.queue.Wake()
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

// cost rates what the size does not show: probes, earlier failures and
// interference.
func (d *decision) cost(task *jaygw.Task, owner string, n *placer.Node) float64 {
	cost := 0.0
	if d.health.probing(n.VM.Name) {
		if !bulkBatch(task) {
			return placer.Never
		}
		cost -= probeBonus
	}
	if task.Failures > 0 && d.health.lastFailure(task.ID) == n.VM.Name {
		cost += sameVMCost
	}
	if d.withoutInterference {
		return cost
	}
	if task.Kind == jaygw.ServiceTask {
		return cost + interferenceCost*d.rise(owner, n, "")
	}
	if !d.interference.Noisy(owner) {
		return cost
	}
	for service := range n.Owners() {
		if d.interference.Effect(service, owner, d.now) == 0 {
			continue
		}
		rise := d.rise(service, n, owner)
		if rise > allowedRise && task.Class == jaygw.Bulk && (d.index.Running(owner) > 0 || d.now.Sub(task.Submitted) < patience) {
			return placer.Never
		}
		cost += interferenceCost * rise
	}
	return cost
}

// rise returns by how much the batch tasks on the VM, and one more of an owner,
// raise a service's latency.
func (d *decision) rise(service string, n *placer.Node, more string) float64 {
	rise := 0.0
	for owner, tasks := range n.Owners() {
		if owner != service {
			rise += float64(tasks) * d.interference.Effect(service, owner, d.now)
		}
	}
	if more != "" {
		rise += d.interference.Effect(service, more, d.now)
	}
	return rise
}

func bulkBatch(task *jaygw.Task) bool {
	return task.Kind == jaygw.BatchTask && task.Class == jaygw.Bulk
}

func sortedNames[K cmp.Ordered, V any](table map[K]V) []K {
	return slices.Sorted(maps.Keys(table))
}

func (t turns) Len() int { return len(t) }

func (t turns) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(t[i].share, t[j].share), cmp.Compare(t[i].team.Key, t[j].team.Key)) < 0
}

func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push is for container/heap.
func (t *turns) Push(x any) { *t = append(*t, x.(*turn)) }

// Pop is for container/heap.
func (t *turns) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
