package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// victim is a candidate for eviction.
	victim struct {
		task *jaygw.Task
		lost time.Duration // work that the eviction loses
	}

	// requirement is what evictions on one VM have to free.
	requirement struct {
		size        jaygw.Resources // to free on the VM
		team        string          // of the task that is to start
		ownTeamOnly bool            // evict only tasks of the team itself
		quota       jaygw.Resources // amount of the team's quota to free
	}
)

const (
	// maxVictimSearches bounds the searches for tasks to evict in one decision.
	maxVictimSearches = 64

	// maxSearchedVMs bounds the VMs that one search checks.
	maxSearchedVMs = 64

	// searchRetryInterval is the time before the next search for a shape after one that found
	// nothing.
	searchRetryInterval = 200 * time.Millisecond
)

// preempt evicts bulk batch tasks on the VM where the least work is lost, and reserves the freed
// capacity for the task. It evicts tasks of the task's own team and of teams over their share, or
// with ownTeamOnly of the own team alone, for a team that has used up its quota.
func (d *decision) preempt(task *jaygw.Task, shape *placer.Shape, ownTeamOnly bool) bool {
	if d.victimSearches == maxVictimSearches || shape.NextSearch > d.now {
		return false
	}
	d.victimSearches++
	r := d.request(task, shape)
	accept := func(n *placer.Node) bool {
		return n.AcceptsTasks() && !d.health.awaitsProbe(n.VM.Name) && shape.Size.Fits(n.Spare().Add(n.Evictable).Add(d.stopping(n)))
	}
	required := requirement{size: shape.Size, team: placer.TeamKey(task), ownTeamOnly: ownTeamOnly}
	if ownTeamOnly {
		required.quota = d.teamUsed(required.team).Add(shape.Size).
			Sub(d.state.Teams[required.team].Quota).Max(jaygw.Resources{})
	}
	var best []victim
	var bestNode *placer.Node
	bestLost := time.Duration(0)
	for _, n := range d.index.Sample(r, maxSearchedVMs, accept) {
		victims, lost, ok := d.victims(n, required)
		if ok && (bestNode == nil || lost < bestLost || lost == bestLost && n.VM.Name < bestNode.VM.Name) {
			best, bestNode, bestLost = victims, n, lost
		}
	}
	if bestNode == nil {
		shape.NextSearch = d.now.Add(searchRetryInterval)
		return false
	}
	for _, v := range best {
		d.evict(v.task, "gives way to "+string(task.ID))
	}
	d.addReservation(task.ID, &reservation{node: bestNode, size: shape.Size, since: d.now})
	return true
}

// victims returns tasks on the VM whose eviction frees what is required, and the work that it
// loses. It returns false if there are not enough of them.
func (d *decision) victims(n *placer.Node, required requirement) ([]victim, time.Duration, bool) {
	var candidates []victim
	for _, id := range d.machine.TasksOn(n.VM.Name) {
		task := d.state.Tasks[id]
		if placer.Evictable(task) && !d.evicted[id] && d.mayEvict(task, required) {
			candidates = append(candidates, victim{task, d.lostWork(task)})
		}
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.task.ID, b.task.ID))
	})
	free, released := n.Spare().Add(d.releasing(n)), jaygw.Resources{}
	enough := func() bool { return required.size.Fits(free) && required.quota.Fits(released) }
	var chosen []victim
	for _, c := range candidates {
		if enough() {
			break
		}
		if addsMissing(required.size, free, c.task.Reserved) ||
			addsMissing(required.quota, released, c.task.Reserved) {
			free, released = free.Add(c.task.Reserved), released.Add(c.task.Reserved)
			chosen = append(chosen, c)
		}
	}
	if !enough() {
		return nil, 0, false
	}
	// A later, larger victim may have made an earlier one unnecessary.
	lost := time.Duration(0)
	needed := chosen[:0]
	for _, c := range chosen {
		free, released = free.Sub(c.task.Reserved), released.Sub(c.task.Reserved)
		if enough() {
			continue
		}
		free, released = free.Add(c.task.Reserved), released.Add(c.task.Reserved)
		needed = append(needed, c)
		lost += c.lost
	}
	return needed, lost, true
}

// releasing returns what is committed on the VM to tasks that are stopping or that this decision
// evicts. Reservations of other tasks rely on it: without it, the next search would evict for
// their sizes again.
func (d *decision) releasing(n *placer.Node) jaygw.Resources {
	sum := d.stopping(n)
	for _, id := range d.machine.TasksOn(n.VM.Name) {
		if task := d.state.Tasks[id]; d.evicted[id] && task.State != jaygw.Stopping {
			sum = sum.Add(task.Reserved)
		}
	}
	return sum
}

// stopping returns what is committed on the VM to tasks that are stopping.
func (d *decision) stopping(n *placer.Node) jaygw.Resources {
	var sum jaygw.Resources
	for _, id := range d.machine.TasksOn(n.VM.Name) {
		if task := d.state.Tasks[id]; task.State == jaygw.Stopping {
			sum = sum.Add(task.Reserved)
		}
	}
	return sum
}

// mayEvict reports whether the requirement allows evictions of the task's team.
func (d *decision) mayEvict(task *jaygw.Task, required requirement) bool {
	key := placer.TeamKey(task)
	return key == required.team || !required.ownTeamOnly && d.overShare(key)
}

// addsMissing reports whether freed contains some of a resource of which free is less than size.
func addsMissing(size, free, freed jaygw.Resources) bool {
	return size.CPU > free.CPU && freed.CPU > 0 || size.Memory > free.Memory && freed.Memory > 0 ||
		size.Accelerators > free.Accelerators && freed.Accelerators > 0
}

// lostWork returns the run time since the last checkpoint of the task's attempt, which an eviction
// loses.
func (s *Scheduler) lostWork(task *jaygw.Task, now jaygw.Time) time.Duration {
	if task.State != jaygw.Running {
		return 0
	}
	return max(0, s.progressAtStart[task.ID].Std()+now.Sub(task.Since)-task.Checkpoint.Progress.Std())
}

func (d *decision) lostWork(task *jaygw.Task) time.Duration {
	return d.Scheduler.lostWork(task, d.now)
}

// updateTotalWeight adds up the weights of the teams that use resources or have waiting tasks.
func (d *decision) updateTotalWeight() {
	waiting := map[string]bool{}
	for class := range 3 {
		for _, team := range d.queue.Teams(class) {
			waiting[team.Key] = true
		}
	}
	d.totalWeight = 0
	for key, team := range d.state.Teams {
		if !team.Used.IsZero() || waiting[key] {
			d.totalWeight += float64(max(1, team.Weight))
		}
	}
}

// overShare reports whether a team uses more than its share by weight. An undeclared team does.
func (d *decision) overShare(key string) bool {
	team := d.state.Teams[key]
	return team == nil || placer.LargestShare(team.Used, d.index.Total())*d.totalWeight > float64(max(1, team.Weight))
}
