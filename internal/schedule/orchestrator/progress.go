package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

const (
	// minProgressAge is the age below which a run's progress is too short to be compared.
	minProgressAge = 400 * time.Millisecond

	// minExpectedPercent is the progress that a run must be expected to have made before it is compared.
	// Progress is reported in whole percent: below it, a run at full speed may seem to have less than
	// three quarters of that speed, and none in its first percent.
	minExpectedPercent = 4

	// minSiblings is the number of runs on other VMs that a comparison requires.
	minSiblings = 2

	// slowSpeed is the speed, relative to other VMs, below which a VM gets no new runs, and its
	// runs move if they would finish earlier elsewhere.
	slowSpeed = 0.4

	// moveGain is the factor by which the remaining time of a run has to exceed the time of a
	// complete run elsewhere before the run moves.
	moveGain = 1.3

	// moveInterval is the time between two checks for runs to move. Progress and paces are reported
	// less often than decisions are made.
	moveInterval = 100 * time.Millisecond

	// maxMoves bounds the moves of one decision.
	maxMoves = 16

	// stalledPace is the pace, in percent of full speed, at or below which a spare run counts as
	// stalled. stallLimit is how long a stalled run stays on its VM before it moves.
	stalledPace = 20
	stallLimit  = 1500 * time.Millisecond
)

// observeSpeed compares the progress of a VM's runs with that of their siblings and passes the
// ratios to the estimator.
func (t *vmTable) observeSpeed(name string, state *registrar.Registrar, now time.Time, wall jaygw.Time) {
	for run, report := range t.vms[name].reported {
		rate, ok := t.progressRate(name, run, report, state, wall)
		if !ok {
			continue
		}
		age := wall.Sub(state.FindPlacement(name, run).Since)
		if typical := t.siblingRate(name, run, state, wall); typical > 0 && typical*age.Seconds() >= minExpectedPercent {
			t.speeds.Observe(name, rate/typical, now)
		}
	}
}

// progressRate returns a run's progress in percent per second. Spare runs are left out because they
// only get the remaining capacity, lasting runs because they make no progress, and runs that the worker
// may not have begun.
func (t *vmTable) progressRate(vm string, run jaygw.Run, report jaygw.ReportedRun, state *registrar.Registrar, wall jaygw.Time) (float64, bool) {
	step, placed := stepSpec(state, run), state.FindPlacement(vm, run)
	if step == nil || placed == nil || step.Lasting || step.Spare || step.Gang || report.Resumed || !report.HasBegun() {
		return 0, false
	}
	age := wall.Sub(placed.Since)
	if age < minProgressAge {
		return 0, false
	}
	return float64(report.Percent) / age.Seconds(), true
}

// siblingRate returns the median progress rate of a run's siblings on other VMs, or zero if there
// are too few.
func (t *vmTable) siblingRate(vm string, run jaygw.Run, state *registrar.Registrar, wall jaygw.Time) float64 {
	var rates []float64
	for sibling, other := range t.siblings[stepKey(run.Task)] {
		if other == vm {
			continue
		}
		if rate, ok := t.progressRate(other, sibling, t.vms[other].reported[sibling], state, wall); ok {
			rates = append(rates, rate)
		}
	}
	if len(rates) < minSiblings {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// runsToMove returns the runs to stop so that they continue elsewhere: runs on slow and on draining
// VMs, and stalled spare runs on VMs with serving runs.
func (t *vmTable) runsToMove(state *registrar.Registrar, now time.Time, wall jaygw.Time) []jaygw.StoppedRun {
	var moves []jaygw.StoppedRun
	for _, name := range slices.Sorted(maps.Keys(t.vms)) {
		vm := t.vms[name]
		if vm.worker == nil || vm.expiring || now.Sub(vm.lastPoll) > maxPollAge {
			continue
		}
		slow := t.speeds.Speed(name, now) < slowSpeed
		if !slow && !vm.worker.Draining && len(vm.stalled) == 0 {
			continue
		}
		for _, run := range slices.SortedFunc(maps.Keys(vm.reported), registrar.CompareRuns) {
			if len(moves) >= maxMoves {
				return moves
			}
			placed, step := state.FindPlacement(name, run), stepSpec(state, run)
			if placed == nil || placed.Stopping || step == nil || step.Gang {
				continue
			}
			if reason := t.moveReason(name, vm, run, step, slow, state, now, wall); reason != "" {
				moves = append(moves, jaygw.StoppedRun{Run: run, VM: name, Reason: reason})
			}
		}
	}
	return moves
}

// withdrawnRuns returns the runs to stop because they were granted in a failure domain that is out now and their
// agent does not have the order yet.
func (t *vmTable) withdrawnRuns(state *registrar.Registrar, out map[string]bool) []jaygw.StoppedRun {
	if len(out) == 0 {
		return nil
	}
	var withdrawn []jaygw.StoppedRun
	for name, vm := range t.vms {
		session := state.Session(name)
		if vm.worker == nil || vm.expiring || session == nil || !out[session.Domain] {
			continue
		}
		state.ForEachPlacement(name, func(p *registrar.Placement) {
			if _, reported := vm.reported[p.Run]; !reported && !p.Stopping {
				withdrawn = append(withdrawn, jaygw.StoppedRun{Run: p.Run, VM: name, Reason: "the failure domain is out", OutDomain: session.Domain})
			}
		})
	}
	slices.SortFunc(withdrawn, func(a, b jaygw.StoppedRun) int { return registrar.CompareRuns(a.Run, b.Run) })
	return withdrawn[:min(len(withdrawn), maxWithdrawals)]
}

func (t *vmTable) moveReason(
	name string, vm *vmState, run jaygw.Run, step *jaygw.Step, slow bool, state *registrar.Registrar, now time.Time, wall jaygw.Time,
) string {
	report := vm.reported[run]
	if vm.worker.Draining && (step.Lasting || step.Resumable) {
		return "the worker drains"
	}
	if step.Spare {
		if since, ok := vm.stalled[run]; ok && step.Resumable && now.Sub(since) > stallLimit {
			return "it hardly works beside serving runs"
		}
		return ""
	}
	if !slow || step.Lasting {
		return ""
	}
	rate, ok := t.progressRate(name, run, report, state, wall)
	typical := t.siblingRate(name, run, state, wall)
	if typical == 0 && step.RunTime > 0 {
		typical = 100 / step.RunTime.Seconds()
	}
	if !ok || typical == 0 {
		return ""
	}
	fullTime := 100 / typical
	if remaining := float64(100-report.Percent) / max(rate, typical/100); remaining > fullTime*moveGain {
		return "the worker is slow"
	}
	return ""
}

// recordStalled records since when the spare runs of a VM have been stalled.
func (vm *vmState) recordStalled(now time.Time) {
	stalled := map[jaygw.Run]time.Time{}
	for run, report := range vm.reported {
		if 100-report.SlowdownPercent > stalledPace {
			continue
		}
		stalled[run] = now
		if since, ok := vm.stalled[run]; ok {
			stalled[run] = since
		}
	}
	vm.stalled = stalled
}
