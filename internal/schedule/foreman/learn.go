package foreman

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
)

const (
	// keepInterval is the time between two records of estimates. The next leader begins
	// with what is known then.
	keepInterval = 2 * time.Second

	// maxKept bounds one record.
	maxKept = 256
)

// recall takes the estimates that an earlier leader has recorded. Load pattern: leaders
// change several times within a minute of faults, and finding out which of hundreds of
// pairs of images press takes many seconds.
func (r *roster) recall(state *registrar.Registrar, now time.Time) {
	if r.recalled == r.term {
		return
	}
	r.recalled, r.kept = r.term, now
	if effects := state.Effects(); len(effects) > 0 {
		r.images.Restore(effects, now)
	}
}

// keep returns the command that records the changed estimates, or nothing.
func (r *roster) keep(now time.Time) []jaygw.Command {
	if now.Sub(r.kept) < keepInterval {
		return nil
	}
	r.kept = now
	if changed := r.images.Changes(maxKept); len(changed) > 0 {
		return []jaygw.Command{{LearnEffects: &jaygw.LearnEffects{Estimates: changed}}}
	}
	return nil
}

// learn compares the latency of a VM's serving tasks with that of the other tasks of
// their steps, and tells the estimator which images were beside them.
func (r *roster) learn(name string, state *registrar.Registrar, now time.Time) {
	vm := r.vms[name]
	if len(vm.beside) == 0 {
		return
	}
	for run, known := range vm.known {
		step := stepIn(state, run)
		if step == nil || known.Tail <= 0 {
			continue
		}
		inverse := estimator.Inverse(known.Tail, step.LatencyTarget)
		r.images.Observe(step.Image, inverse, r.undisturbed(name, run, step), vm.beside, now)
	}
}

// pressing returns the spare work on a VM by image, sorted. It goes by the processor time
// that the runs have used: that figure covers the same half second as the latencies
// beside it, while starts and paces show in both later.
func pressing(vm *attendant, state *registrar.Registrar) []estimator.Pressing {
	shares := map[string]float64{}
	var images []string
	for run, known := range vm.known {
		step := stepIn(state, run)
		if step == nil || !step.Spare || known.Used <= 0 {
			continue
		}
		if _, ok := shares[step.Image]; !ok {
			images = append(images, step.Image)
		}
		shares[step.Image] += float64(known.Used) / float64(max(1, vm.worker.Size.CPU))
	}
	slices.Sort(images)
	var beside []estimator.Pressing
	for _, image := range images {
		beside = append(beside, estimator.Pressing{Image: image, Share: shares[image]})
	}
	return beside
}

// effects returns the estimates for the images on a VM.
func (r *roster) effects(name string, state *registrar.Registrar) []jaygw.ImageEffect {
	spare, serving := map[string]bool{}, map[string]bool{}
	state.PlacedOn(name, func(p *registrar.Placed) {
		step := stepIn(state, p.Run)
		switch {
		case step == nil:
		case step.Spare:
			spare[step.Image] = true
		case step.LatencyTarget > 0:
			serving[step.Image] = true
		}
	})
	var effects []jaygw.ImageEffect
	for _, a := range slices.Sorted(maps.Keys(spare)) {
		for _, b := range slices.Sorted(maps.Keys(serving)) {
			effects = append(effects, jaygw.ImageEffect{Pair: jaygw.ImagePair{Spare: a, Serving: b}, Effect: r.images.Effect(a, b)})
		}
	}
	return effects
}

// undisturbed returns what the inverse latency of a task would be without spare work,
// by the other tasks of its step: the median of those without spare work beside them or,
// if there are none, of the others with the expected fall made up for. It is zero if
// there are no others.
func (r *roster) undisturbed(name string, run jaygw.Run, step *jaygw.Step) float64 {
	var clean, pressed []float64
	for sibling, other := range r.steps[stepOf(run.Task)] {
		vm := r.vms[other]
		known := vm.known[sibling]
		if other == name || known.Tail <= 0 {
			continue
		}
		inverse := estimator.Inverse(known.Tail, step.LatencyTarget)
		if len(vm.beside) == 0 {
			clean = append(clean, inverse)
		} else {
			pressed = append(pressed, inverse+r.images.Fall(step.Image, vm.beside))
		}
	}
	if len(clean) > 0 {
		return median(clean)
	}
	return median(pressed)
}

// median returns the upper median, or zero of nothing.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func stepIn(state *registrar.Registrar, run jaygw.Run) *jaygw.Step {
	w := state.Workflow(run.Task.Workflow)
	if w == nil || run.Task.Step >= len(w.Spec.Steps) {
		return nil
	}
	return &w.Spec.Steps[run.Task.Step]
}
