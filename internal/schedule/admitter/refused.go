package admitter

import (
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// refusedTable holds the workflows that were refused lately, so that a caller that waits since longer is preferred.
	refusedTable struct {
		entries map[string]refusedEntry // by id of the workflow
	}

	// refusedEntry is a refused workflow.
	refusedEntry struct {
		class classKey
		work  float64
		due   jaygw.Time // time at which it was told to return
	}
)

const (
	// maxRefused bounds the table.
	maxRefused = 4096

	// refusedAge is the time from the due time of a refused workflow after which its caller is not expected any more.
	refusedAge = 3 * time.Second
)

func newRefusedTable() refusedTable { return refusedTable{entries: map[string]refusedEntry{}} }

// add records a refusal. A full table takes no new workflows; they lose only their preference.
func (t *refusedTable) add(id string, e refusedEntry) {
	if _, ok := t.entries[id]; ok || len(t.entries) < maxRefused {
		t.entries[id] = e
	}
}

// outstanding returns the work of the refused workflows by class, after those whose callers have not returned were
// removed.
func (t *refusedTable) outstanding(now jaygw.Time) (all, due map[classKey]float64) {
	all, due = map[classKey]float64{}, map[classKey]float64{}
	for id, e := range t.entries {
		if e.due.Add(refusedAge) <= now {
			delete(t.entries, id)
			continue
		}
		all[e.class] += e.work
		if e.due <= now {
			due[e.class] += e.work
		}
	}
	return all, due
}
