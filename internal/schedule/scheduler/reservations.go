package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// reserveForAged reserves capacity for the oldest job that fits on no VM, so that smaller jobs do
// not starve it.
func (d *decision) reserveForAged() {
	aged := 0
	for _, r := range d.reservations {
		if r.aged {
			aged++
		}
	}
	if aged >= max(1, d.index.Nodes()*maxAgedPercent/100) {
		return
	}
	var oldest *placer.Group
	for class := range 3 {
		for _, team := range d.queue.Teams(class) {
			if candidate := d.oldestBlocked(team); candidate != nil &&
				(oldest == nil || candidate.Head().Since < oldest.Head().Since) {
				oldest = candidate
			}
		}
	}
	if oldest == nil {
		return
	}
	task, shape := oldest.Head(), oldest.Shape
	if node := d.nearestToFit(d.request(task, shape)); node != nil {
		d.addReservation(task.ID, &reservation{node: node, size: shape.Size, since: d.now, aged: true})
	}
}

// oldestBlocked returns the team's first group that has waited for agedAfter, fits on no VM, is
// within the quota and has no reservation. Noisy tasks are excluded: they wait for a VM without
// sensitive services, not for capacity.
func (d *decision) oldestBlocked(team *placer.TeamQueue) *placer.Group {
	var found *placer.Group
	team.Groups(func(g *placer.Group) {
		if found != nil || g.Shape == nil || !g.Shape.Blocked || g.Shape.Noisy {
			return
		}
		if head := g.Head(); head != nil && d.now.Sub(head.Since) >= agedAfter && d.reservations[head.ID] == nil &&
			d.quotaAllows(head, g.Shape.Size) {
			found = g
		}
	})
	return found
}

// nearestToFit returns the VM that takes new tasks and lacks the smallest share of its size to fit
// the task.
func (d *decision) nearestToFit(r placer.Request) *placer.Node {
	var best *placer.Node
	bestMissing := 0.0
	accept := func(n *placer.Node) bool {
		return n.AcceptsTasks() && !d.health.awaitsProbe(n.VM.Name) && r.Size.Fits(n.VM.Size)
	}
	for _, n := range d.index.Sample(r, d.index.Nodes(), accept) {
		missing := placer.LargestShare(r.Size.Sub(n.Spare()), n.VM.Size)
		if best == nil || missing < bestMissing || missing == bestMissing && n.VM.Name < best.VM.Name {
			best, bestMissing = n, missing
		}
	}
	return best
}

// addReservation reserves capacity for a task and replaces an earlier reservation.
func (s *Scheduler) addReservation(id jaygw.TaskID, r *reservation) {
	s.cancelReservation(id)
	s.reservations[id] = r
	s.index.Reserve(r.node, r.size)
}

// cancelReservation frees the capacity reserved for a task, if there is any.
func (s *Scheduler) cancelReservation(id jaygw.TaskID) {
	if r, ok := s.reservations[id]; ok {
		delete(s.reservations, id)
		if s.index.Node(r.node.VM.Name) == r.node {
			s.index.Reserve(r.node, jaygw.Resources{}.Sub(r.size))
		}
	}
}
