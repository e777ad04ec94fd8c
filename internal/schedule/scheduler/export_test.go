package scheduler

import (
	"fmt"
	"maps"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
)

// IndexDifference describes how the scheduler's index differs from one that is rebuilt from the
// state, or returns an empty string.
func (s *Scheduler) IndexDifference(machine *applier.Machine) string {
	state := machine.State()
	rebuilt := New()
	rebuilt.rebuild(state)
	if s.queue.Len() != rebuilt.queue.Len() {
		return fmt.Sprintf("%d tasks wait, the queue has %d", rebuilt.queue.Len(), s.queue.Len())
	}
	if s.index.Total() != rebuilt.index.Total() {
		return fmt.Sprintf("total %v instead of %v", s.index.Total(), rebuilt.index.Total())
	}
	reserved := map[string]jaygw.Resources{}
	for _, r := range s.reservations {
		reserved[r.node.VM.Name] = reserved[r.node.VM.Name].Add(r.size)
	}
	s.index.ResetPlan()
	for name := range state.VMs {
		actual, expected := s.index.Node(name), rebuilt.index.Node(name)
		if actual.VM != expected.VM || actual.Active != expected.Active || actual.Evictable != expected.Evictable ||
			!maps.Equal(actual.Owners(), expected.Owners()) {
			return fmt.Sprintf("VM %s: %+v instead of %+v", name, actual, expected)
		}
		if uncommitted := actual.VM.Size.Sub(actual.VM.Committed); actual.Uncommitted() != uncommitted ||
			!actual.Spare().Fits(uncommitted.Sub(reserved[name])) {
			return fmt.Sprintf("VM %s has %v spare with %v reserved of %v", name, actual.Spare(), reserved[name], uncommitted)
		}
	}
	return ""
}
