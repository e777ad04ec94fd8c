// Package pacer decides at which pace the spare runs of a VM may work while serving runs are
// co-located with them. It does no I/O and reads no clock.
//
// The load of a serving run may vary, or a spare run whose image has a large effect may start
// on the same VM; the tail latency can then exceed its target within a second. Each measurement
// covers the last half second, so a change takes that long to show.
package pacer

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

type (
	// Pacer holds the paces of the spare runs on one VM. It is not safe for concurrent use.
	Pacer struct {
		paces       map[jaygw.Run]int  // percent of full speed; only paces below fullPace
		decided     map[jaygw.Run]bool // spare runs whose pace has been decided
		effects     map[jaygw.ImagePair]float64
		unconfirmed map[jaygw.Run]unconfirmed // spare runs with orders that may be carried out late
		lastChange  time.Time                 // when a decision over all spare runs last changed a pace
		overSince   time.Time                 // since when a serving run has exceeded its target; zero if none does
	}

	// Observation is the state of one run on the VM. TailLatency and UsedShare are measured over
	// the same half second.
	Observation struct {
		Run         jaygw.Run
		Traits      jaygw.RunTraits
		TailLatency time.Duration // tail latency of a serving run
		Share       float64       // share of the VM's processor time that the run takes at full pace
		UsedShare   float64       // share of the VM's processor time that a spare run took
		Progress    int           // progress of a spare run, in percent
	}

	// Pace is the pace of a run, in percent of full speed.
	Pace struct {
		Run     jaygw.Run
		Percent int
	}

	// latencyMargin is how far spare runs may lower the ratio of a serving run's latency target
	// to its tail latency.
	latencyMargin struct {
		image     string
		remaining float64 // estimated ratio without spare runs, less the goal and the effects of decided paces
		sustained bool    // whether the run exceeds its target, and some serving run has for slowdownDelay
	}
)

const (
	fullPace = 100

	// interval is the minimum time between two changes: a measurement covers half a second,
	// and a pace takes effect 0.1 s after its order.
	interval = 650 * time.Millisecond

	// inverseLatencyGoal is the ratio of a serving run's latency target to its tail latency
	// below which spare runs must not lower it.
	inverseLatencyGoal = 1.0

	// raiseReserve is the part of that ratio above the goal which rising paces and new runs leave.
	// The load of a serving run may rise further until a change of pace shows in a measurement,
	// which takes more than a second.
	raiseReserve = 0.3

	// A serving run may exceed its target for slowdownDelay before the spare runs that slow it
	// are slowed down even if the latency margins allow their paces. After suspendDelay all
	// spare runs are suspended. The estimates may be wrong, and it takes most of a second until
	// a change of pace takes effect and shows in the measurements.
	slowdownDelay = 1200 * time.Millisecond
	suspendDelay  = 1900 * time.Millisecond

	// slowdownPercent is the share of the current pace that remains after slowdownDelay.
	slowdownPercent = 40

	// minPace is the lowest pace in percent; a run with a lower one is suspended.
	minPace = 10

	// maxRaise is the largest increase of a pace per change, in percentage points.
	maxRaise = 40

	// minStep is the smallest change of a pace that is ordered, in percentage points. A return
	// to full pace is always ordered.
	minStep = 5

	// effectStep is the width of the classes by which effects are compared to decide which run
	// is slowed first.
	effectStep = 4.0

	// defaultEffect is the assumed effect for a pair of images without an estimate.
	defaultEffect = 3.0
)

// New returns a pacer with all runs at full pace.
func New() *Pacer {
	return &Pacer{
		paces: map[jaygw.Run]int{}, decided: map[jaygw.Run]bool{}, effects: map[jaygw.ImagePair]float64{},
		unconfirmed: map[jaygw.Run]unconfirmed{},
	}
}

// Learn stores estimates of how much spare images slow serving images.
func (p *Pacer) Learn(effects []jaygw.ImageEffect) {
	for _, e := range effects {
		p.effects[e.Pair] = e.Effect
	}
}

func (p *Pacer) effect(spare, serving string) float64 {
	if effect, ok := p.effects[jaygw.ImagePair{Spare: spare, Serving: serving}]; ok {
		return effect
	}
	return defaultEffect
}

// Decide returns the paces to order after a measurement. A new run gets its pace immediately; the
// paces of the others change only once interval has passed since the last change, so that the
// measurements reflect it. An earlier order without a response makes it repeat a pace.
func (p *Pacer) Decide(runs []Observation, now time.Time) []Pace {
	changes := p.decide(runs, now.Sub(p.lastChange) >= interval, now)
	return append(changes, p.repeats(changes, now)...)
}

// DecideNew returns the paces of new runs, given the observations of the last measurement. It lets
// a run get its pace when it starts: until the next measurement, its load at full pace could
// keep a serving run over its target.
func (p *Pacer) DecideNew(runs []Observation, now time.Time) []Pace {
	return p.decide(runs, false, now)
}

// decide returns the changed paces of all spare runs or, unless mayChange is set, of the new ones.
func (p *Pacer) decide(runs []Observation, mayChange bool, now time.Time) []Pace {
	present := map[jaygw.Run]bool{}
	var spare, serving []Observation
	overTarget := false
	for _, run := range runs {
		present[run.Run] = true
		switch {
		case run.Traits.Spare:
			spare = append(spare, run)
		case run.Traits.LatencyTarget > 0 && run.TailLatency > 0:
			serving = append(serving, run)
			overTarget = overTarget || run.TailLatency > run.Traits.LatencyTarget
		}
	}
	p.removeMissing(present)
	if !overTarget {
		p.overSince = time.Time{}
	} else if p.overSince.IsZero() {
		p.overSince = now
	}
	if !mayChange {
		spare = slices.DeleteFunc(slices.Clone(spare), func(run Observation) bool { return p.decided[run.Run] })
	}
	if len(spare) == 0 {
		return nil
	}
	return p.changes(spare, p.margins(serving, runs, mayChange, now), now, mayChange)
}

func (p *Pacer) removeMissing(present map[jaygw.Run]bool) {
	for id := range p.decided {
		if !present[id] {
			delete(p.decided, id)
			delete(p.paces, id)
			delete(p.unconfirmed, id)
		}
	}
}

// margins returns the latency margin of each serving run for the spare runs whose paces are
// being decided: all of them, or only the new ones.
func (p *Pacer) margins(serving, runs []Observation, all bool, now time.Time) []latencyMargin {
	margins := make([]latencyMargin, 0, len(serving))
	for _, s := range serving {
		margin := latencyMargin{image: s.Traits.Image, remaining: float64(s.Traits.LatencyTarget)/float64(s.TailLatency) - inverseLatencyGoal}
		margin.sustained = s.TailLatency > s.Traits.LatencyTarget && now.Sub(p.overSince) >= slowdownDelay
		for _, run := range runs {
			if !run.Traits.Spare {
				continue
			}
			effect := p.effect(run.Traits.Image, s.Traits.Image)
			margin.remaining += effect * run.UsedShare
			if !all && p.decided[run.Run] {
				margin.remaining -= effect * run.Share * float64(p.PaceOf(run.Run)) / fullPace
			}
		}
		margins = append(margins, margin)
	}
	return margins
}

// changes assigns paces to the spare runs and returns those that change. Runs with lower ranks come
// first, then those with smaller effects. Among runs with similar effects, those with more progress come first, so that one of
// them ends early instead of all of them late.
func (p *Pacer) changes(spare []Observation, margins []latencyMargin, now time.Time, mayChange bool) []Pace {
	slices.SortFunc(spare, func(a, b Observation) int {
		return cmp.Or(cmp.Compare(a.Traits.Rank, b.Traits.Rank), cmp.Compare(p.maxEffectStep(a, margins), p.maxEffectStep(b, margins)),
			cmp.Compare(b.Progress, a.Progress), registrar.CompareRuns(a.Run, b.Run))
	})
	var changes []Pace
	for _, run := range spare {
		current := p.PaceOf(run.Run)
		next := min(p.assign(run, margins, now), current+maxRaise)
		if next < minPace {
			next = 0
		}
		p.decided[run.Run] = true
		if next == current || max(next, current)-min(next, current) < minStep && next != fullPace {
			continue
		}
		changes = append(changes, Pace{Run: run.Run, Percent: next})
	}
	if len(changes) > 0 && mayChange {
		p.lastChange = now
	}
	slices.SortFunc(changes, func(a, b Pace) int { return registrar.CompareRuns(a.Run, b.Run) })
	return changes
}

// maxEffectStep returns the class of a run's largest effect on a serving run. Classes keep
// small differences of the estimates from deciding the order.
func (p *Pacer) maxEffectStep(run Observation, margins []latencyMargin) int {
	highest := 0.0
	for _, margin := range margins {
		highest = max(highest, p.effect(run.Traits.Image, margin.image))
	}
	return int(highest / effectStep)
}

// assign returns the pace that the margins allow for a run, and deducts its effect from them.
func (p *Pacer) assign(run Observation, margins []latencyMargin, now time.Time) int {
	pace := fullPace
	for _, margin := range margins {
		effect := p.effect(run.Traits.Image, margin.image)
		switch {
		case !margin.sustained:
		case now.Sub(p.overSince) >= suspendDelay:
			pace = 0
		case effect >= jaygw.NegligibleEffect:
			pace = min(pace, p.PaceOf(run.Run)*slowdownPercent/fullPace)
		}
		if effect >= jaygw.NegligibleEffect {
			pace = min(pace, p.allowedPace(run, margin.remaining, effect*run.Share))
		}
	}
	for i := range margins {
		margins[i].remaining -= p.effect(run.Traits.Image, margins[i].image) * run.Share * float64(pace) / fullPace
	}
	return pace
}

// allowedPace returns the pace that the margin of a serving run allows for a run that would take
// load of it at full pace. A pace falls only if it exceeds the whole margin; a pace that rises and
// that of a new run leave raiseReserve, so that paces do not swing with small changes of the load.
func (p *Pacer) allowedPace(run Observation, margin, load float64) int {
	raised := paceWithin(margin-raiseReserve, load)
	if !p.decided[run.Run] {
		return raised
	}
	return max(raised, min(p.PaceOf(run.Run), paceWithin(margin, load)))
}

// paceWithin returns the pace, in percent, at which a run takes no more than the margin.
func paceWithin(margin, load float64) int {
	if load <= 0 {
		return fullPace // a run without processor time takes nothing
	}
	return int(min(1, max(0, margin/load)) * fullPace)
}

// SetPace records that a pace has taken effect.
func (p *Pacer) SetPace(pace Pace) {
	if pace.Percent >= fullPace {
		delete(p.paces, pace.Run)
		return
	}
	p.paces[pace.Run] = pace.Percent
}

// SlowdownPercent returns how many percent of full speed a run is slowed down by.
func (p *Pacer) SlowdownPercent(run jaygw.Run) int { return fullPace - p.PaceOf(run) }

// PaceOf returns the pace of a run, in percent of full speed.
func (p *Pacer) PaceOf(run jaygw.Run) int {
	if pace, ok := p.paces[run]; ok {
		return pace
	}
	return fullPace
}
