package scheduler

import (
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

// reserveForAged holds room for one job that has waited for long.
func (d *decision) reserveForAged() {
	aged := 0
	for _, h := range d.holds {
		if h.aged {
			aged++
		}
	}
	if aged >= max(1, d.index.Nodes()*agedShare/100) {
		return
	}
	var oldest *placer.Group
	for class := range 3 {
		for _, team := range d.queue.Teams(class) {
			if held := d.oldestBlocked(team); held != nil && (oldest == nil || held.Head().Since < oldest.Head().Since) {
				oldest = held
			}
		}
	}
	if oldest == nil {
		return
	}
	task, shape := oldest.Head(), oldest.Shape
	if node := d.nearestToFit(d.request(task, shape)); node != nil {
		d.hold(task.ID, &hold{node: node, size: shape.Size, since: d.now, aged: true})
	}
}

// oldestBlocked returns the team's first group that is aged, fits nowhere now, is
// within the quota and has no reservation. Noisy work waits for its neighbors, not
// for room.
func (d *decision) oldestBlocked(team *placer.TeamQueue) *placer.Group {
	var found *placer.Group
	team.Groups(func(g *placer.Group) {
		if found != nil || g.Shape == nil || !g.Shape.Blocked || g.Shape.Noisy {
			return
		}
		if head := g.Head(); head != nil && d.now.Sub(head.Since) >= agedAfter && d.holds[head.ID] == nil &&
			d.quotaAllows(head, g.Shape.Size) {
			found = g
		}
	})
	return found
}

// nearestToFit returns the open VM that needs the least more room for the task.
func (d *decision) nearestToFit(r placer.Request) *placer.Node {
	var best *placer.Node
	bestLack := 0.0
	accept := func(n *placer.Node) bool {
		return n.Open() && !d.health.probing(n.VM.Name) && r.Size.Fits(n.VM.Size)
	}
	for _, n := range d.index.Sample(r, d.index.Nodes(), accept) {
		lack := placer.Share(r.Size.Sub(n.Spare()), n.VM.Size)
		if best == nil || lack < bestLack || lack == bestLack && n.VM.Name < best.VM.Name {
			best, bestLack = n, lack
		}
	}
	return best
}

func (s *Scheduler) hold(id jaygw.TaskID, h *hold) {
	s.dropHold(id)
	s.holds[id] = h
	s.index.Hold(h.node, h.size)
}

func (s *Scheduler) dropHold(id jaygw.TaskID) {
	if h, ok := s.holds[id]; ok {
		delete(s.holds, id)
		if s.index.Node(h.node.VM.Name) == h.node {
			s.index.Hold(h.node, jaygw.Resources{}.Sub(h.size))
		}
	}
}
