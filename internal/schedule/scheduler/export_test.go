package scheduler

import (
	"fmt"
	"maps"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// Drift returns how the scheduler's index differs from one that is built from the
// state, or nothing.
func (s *Scheduler) Drift(machine *applier.Machine) string {
	state := machine.State()
	fresh := New()
	fresh.rebuild(state)
	if s.queue.Len() != fresh.queue.Len() {
		return fmt.Sprintf("%d tasks wait, the queue has %d", fresh.queue.Len(), s.queue.Len())
	}
	if s.index.Total() != fresh.index.Total() {
		return fmt.Sprintf("total %v instead of %v", s.index.Total(), fresh.index.Total())
	}
	held := map[string]jaygw.Resources{}
	for _, h := range s.holds {
		held[h.node.VM.Name] = held[h.node.VM.Name].Add(h.size)
	}
	s.index.ResetPlan()
	for name := range state.VMs {
		a, b := s.index.Node(name), fresh.index.Node(name)
		if a.VM != b.VM || a.Active != b.Active || a.Bulk != b.Bulk || !maps.Equal(a.Owners(), b.Owners()) {
			return fmt.Sprintf("VM %s: %+v instead of %+v", name, a, b)
		}
		if room := a.VM.Size.Sub(a.VM.Committed); a.Uncommitted() != room || !a.Spare().Fits(room.Sub(held[name])) {
			return fmt.Sprintf("VM %s has %v spare with %v held of %v", name, a.Spare(), held[name], room)
		}
	}
	return ""
}
