package orchestrator

import (
	"maps"
	"slices"
	"strings"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// claimTable compares the claims of a decision with those of the decision before. It only serves
	// log lines and metrics: each decision computes its claims anew.
	claimTable struct {
		held    map[jaygw.StepTask]heldClaim
		changes claimChanges
	}

	// heldClaim holds the claims of a step.
	heldClaim struct {
		vms          []string
		start, until jaygw.Time
	}

	// claimChanges is what decisions have changed since the last report.
	claimChanges struct {
		held       int // claims after the latest decision
		started    []jaygw.StepTask
		expired    []jaygw.StepTask
		added      map[jaygw.StepTask]heldClaim
		backfilled int
		changed    bool
	}
)

// update records the claims of a decision.
func (t *claimTable) update(d allocator.Decision, now jaygw.Time) {
	if len(t.held) == 0 && len(d.Claims) == 0 && d.Backfilled == 0 {
		return
	}
	held := map[jaygw.StepTask]heldClaim{}
	for _, c := range d.Claims {
		claim, ok := held[c.Step]
		if !ok || c.Start < claim.start {
			claim.start = c.Start
		}
		claim.vms, claim.until = append(claim.vms, c.VM), c.Until
		held[c.Step] = claim
	}
	granted := map[jaygw.StepTask]bool{}
	for _, g := range d.Grants {
		granted[stepKey(g.Run.Task)] = true
	}
	for step, claim := range t.held {
		_, still := held[step]
		switch {
		case granted[step]:
			t.changes.started = append(t.changes.started, step)
		case !still && now >= claim.until:
			t.changes.expired = append(t.changes.expired, step)
		}
	}
	for step, claim := range held {
		if _, known := t.held[step]; !known {
			if t.changes.added == nil {
				t.changes.added = map[jaygw.StepTask]heldClaim{}
			}
			t.changes.added[step] = claim
		}
	}
	t.changes.backfilled += d.Backfilled
	t.changes.held, t.changes.changed = len(d.Claims), true
	t.held = held
}

// takeChanges returns the changes since the last call.
func (t *claimTable) takeChanges() claimChanges {
	changes := t.changes
	t.changes = claimChanges{}
	return changes
}

// reportClaims counts the changes of claims and logs one line if steps have got or lost claims.
func (o *Orchestrator) reportClaims(c claimChanges, from origin) {
	if !c.changed {
		return
	}
	metrics.GetOrRegisterGauge("scheduler.claims.held", o.registry).Update(int64(c.held))
	metrics.GetOrRegisterCounter("scheduler.claims.started", o.registry).Inc(int64(len(c.started)))
	metrics.GetOrRegisterCounter("scheduler.claims.expired", o.registry).Inc(int64(len(c.expired)))
	metrics.GetOrRegisterCounter("scheduler.claims.backfilled", o.registry).Inc(int64(c.backfilled))
	if len(c.added)+len(c.started)+len(c.expired) == 0 {
		return
	}
	var added []string
	for step, claim := range c.added {
		added = append(added, step.String()+" on "+strings.Join(claim.vms[:min(len(claim.vms), maxLoggedTasks)], "+")+
			" in "+claim.start.Sub(jaygw.TimeOf(from.at)).String())
	}
	slices.Sort(added)
	o.log.WithFields(from.fields()).WithFields(logrus.Fields{
		"held": c.held, "new": strings.Join(added[:min(len(added), maxLoggedTasks)], ", "),
		"started": stepNames(c.started), "expired": stepNames(c.expired), "backfilled": c.backfilled,
	}).Info("scheduler: claims changed")
}

// stepNames returns the names of at most maxLoggedTasks steps.
func stepNames(steps []jaygw.StepTask) string {
	names := map[string]bool{}
	for _, s := range steps {
		names[s.String()] = true
	}
	sorted := slices.Sorted(maps.Keys(names))
	return strings.Join(sorted[:min(len(sorted), maxLoggedTasks)], " ")
}
