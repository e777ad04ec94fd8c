package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

// begunWorkflows collects the workflows of which polls report a begun run, until that is committed.
type begunWorkflows struct {
	ids        map[string]bool
	lastRecord time.Time // time of the last command
}

const (
	// beginInterval is the least time between two commands. With the time for which a poll is held,
	// a workflow is shown as begun within 2 s.
	beginInterval = 250 * time.Millisecond

	// maxBegun bounds the workflows in one command.
	maxBegun = 1000
)

// observe handles a run in a poll.
func (b *begunWorkflows) observe(run jaygw.ReportedRun, state *registrar.Registrar) {
	if !run.HasBegun() || !state.IsQueued(run.Run) {
		return
	}
	if b.ids == nil {
		b.ids = map[string]bool{}
	}
	b.ids[run.Run.Task.Workflow] = true
}

// commands returns the command that records the collected workflows, if it is time for one. They are
// recorded again until the state shows them as begun.
func (b *begunWorkflows) commands(state *registrar.Registrar, now time.Time) []jaygw.Command {
	if len(b.ids) == 0 || now.Sub(b.lastRecord) < beginInterval {
		return nil
	}
	maps.DeleteFunc(b.ids, func(id string, _ bool) bool {
		w := state.Workflow(id)
		return w == nil || w.State != jaygw.WorkflowQueued
	})
	if len(b.ids) == 0 {
		return nil
	}
	b.lastRecord = now
	ids := slices.Sorted(maps.Keys(b.ids))
	return []jaygw.Command{{BeginWorkflows: &jaygw.BeginWorkflows{IDs: ids[:min(len(ids), maxBegun)]}}}
}
