package foreman

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

const (
	// leastAge is the age from which a run's progress says something.
	leastAge = 400 * time.Millisecond

	// leastSiblings is the number of runs on other VMs that a comparison needs.
	leastSiblings = 2

	// slowSpeed is the speed below which a VM gets no new runs, and its runs move if
	// they would be done earlier elsewhere.
	slowSpeed = 0.4

	// moveGain is how much longer than a whole run elsewhere the rest of a run has to
	// take before it moves.
	moveGain = 1.3

	// moveInterval is the time between two looks for runs to move. Progress and paces are
	// reported less often than decisions are made.
	moveInterval = 100 * time.Millisecond

	// maxMoves bounds the moves of one decision.
	maxMoves = 16

	// stillPace is the pace, in percent, at or below which a spare run hardly works, and
	// stillTime how long it stays where it is then.
	stillPace = 20
	stillTime = 1500 * time.Millisecond
)

// observeSpeed compares the progress of a VM's runs with that of their siblings.
func (r *roster) observeSpeed(name string, state *registrar.Registrar, now time.Time, wall jaygw.Time) {
	for run, known := range r.vms[name].known {
		rate, ok := r.rate(name, run, known, state, wall)
		if !ok {
			continue
		}
		if usual := r.usualRate(name, run, state, wall); usual > 0 {
			r.speeds.Observe(name, rate/usual, now)
		}
	}
}

// rate returns a run's progress in percent per second. Spare runs get what is left, and
// lasting ones make none.
func (r *roster) rate(vm string, run jaygw.Run, known jaygw.KnownRun, state *registrar.Registrar, wall jaygw.Time) (float64, bool) {
	step, placed := stepIn(state, run), state.Placed(vm, run)
	if step == nil || placed == nil || step.Lasting || step.Spare || step.Gang || known.Resumed {
		return 0, false
	}
	age := wall.Sub(placed.Since)
	if age < leastAge {
		return 0, false
	}
	return float64(known.Percent) / age.Seconds(), true
}

// usualRate returns the median progress of a run's siblings on other VMs, or zero if
// there are too few.
func (r *roster) usualRate(vm string, run jaygw.Run, state *registrar.Registrar, wall jaygw.Time) float64 {
	var rates []float64
	for sibling, other := range r.steps[stepOf(run.Task)] {
		if other == vm {
			continue
		}
		if rate, ok := r.rate(other, sibling, r.vms[other].known[sibling], state, wall); ok {
			rates = append(rates, rate)
		}
	}
	if len(rates) < leastSiblings {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// moves returns the runs to stop so that they go on elsewhere: those of slow and of
// draining VMs, and spare runs that stand still beside serving ones.
func (r *roster) moves(state *registrar.Registrar, now time.Time, wall jaygw.Time) []jaygw.StoppedRun {
	var moves []jaygw.StoppedRun
	for _, name := range slices.Sorted(maps.Keys(r.vms)) {
		vm := r.vms[name]
		if vm.worker == nil || vm.expiring || now.Sub(vm.heard) > silenceLimit {
			continue
		}
		slow := r.speeds.Speed(name, now) < slowSpeed
		if !slow && !vm.worker.Draining && len(vm.still) == 0 {
			continue
		}
		for _, run := range slices.SortedFunc(maps.Keys(vm.known), registrar.CompareRuns) {
			if len(moves) >= maxMoves {
				return moves
			}
			placed, step := state.Placed(name, run), stepIn(state, run)
			if placed == nil || placed.Stopping || step == nil || step.Gang {
				continue
			}
			if reason := r.moveReason(name, vm, run, step, slow, state, now, wall); reason != "" {
				moves = append(moves, jaygw.StoppedRun{Run: run, VM: name, Reason: reason})
			}
		}
	}
	return moves
}

func (r *roster) moveReason(
	name string, vm *attendant, run jaygw.Run, step *jaygw.Step, slow bool, state *registrar.Registrar, now time.Time, wall jaygw.Time,
) string {
	known := vm.known[run]
	if vm.worker.Draining && (step.Lasting || step.Resumable) {
		return "the worker drains"
	}
	if step.Spare {
		if since, ok := vm.still[run]; ok && step.Resumable && now.Sub(since) > stillTime {
			return "it hardly works beside serving runs"
		}
		return ""
	}
	if !slow || step.Lasting {
		return ""
	}
	rate, ok := r.rate(name, run, known, state, wall)
	usual := r.usualRate(name, run, state, wall)
	if usual == 0 && step.RunTime > 0 {
		usual = 100 / step.RunTime.Seconds()
	}
	if !ok || usual == 0 {
		return ""
	}
	whole := 100 / usual
	if left := float64(100-known.Percent) / max(rate, usual/100); left > whole*moveGain {
		return "the worker is slow"
	}
	return ""
}

// noteStill notes since when the spare runs of a VM hardly work.
func (vm *attendant) noteStill(now time.Time) {
	still := map[jaygw.Run]time.Time{}
	for run, known := range vm.known {
		if 100-known.Paced > stillPace {
			continue
		}
		still[run] = now
		if since, ok := vm.still[run]; ok {
			still[run] = since
		}
	}
	vm.still = still
}
