package orchestrator

import (
	"maps"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/schedule/estimator"
)

const (
	// effectsRecordInterval is the time between two records of the estimated effects. The next
	// leader starts from the latest record.
	effectsRecordInterval = 2 * time.Second

	// maxRecordedEffects bounds the estimates in one record.
	maxRecordedEffects = 256
)

// restoreEffects loads the estimates that an earlier leader has recorded. Leaders change several
// times within a minute of faults, while it takes many seconds to find out in which of hundreds of
// pairs of images the spare one slows the serving one down.
func (t *vmTable) restoreEffects(state *registrar.Registrar, now time.Time) {
	if t.restoredTerm == t.term {
		return
	}
	t.restoredTerm, t.lastEffectsRecord = t.term, now
	if effects := state.Effects(); len(effects) > 0 {
		t.images.Restore(effects, now)
	}
}

// recordEffects returns the command that records the changed estimates, or nil.
func (t *vmTable) recordEffects(now time.Time) []jaygw.Command {
	if now.Sub(t.lastEffectsRecord) < effectsRecordInterval {
		return nil
	}
	t.lastEffectsRecord = now
	if changed := t.images.Changes(maxRecordedEffects); len(changed) > 0 {
		return []jaygw.Command{{LearnEffects: &jaygw.LearnEffects{Estimates: changed}}}
	}
	return nil
}

// observeEffects compares the latency of a VM's serving tasks with that of the other tasks of their
// steps, and passes the result to the estimator together with the spare load on the VM.
func (t *vmTable) observeEffects(name string, state *registrar.Registrar, now time.Time) {
	vm := t.vms[name]
	if len(vm.spareLoad) == 0 {
		return
	}
	for run, report := range vm.reported {
		step := stepSpec(state, run)
		if step == nil || report.TailLatency <= 0 {
			continue
		}
		inverse := estimator.InverseLatency(report.TailLatency, step.LatencyTarget)
		t.images.Observe(step.Image, inverse, t.baseline(name, run, step), vm.spareLoad, now)
	}
}

// spareLoad returns the spare load on a VM by image, sorted. It is computed from the CPU time that
// the runs have used, which covers the same half second as the reported latencies, while starts and
// paces show in both later.
func spareLoad(vm *vmState, state *registrar.Registrar) []estimator.ImageLoad {
	shares := map[string]float64{}
	var images []string
	for run, report := range vm.reported {
		step := stepSpec(state, run)
		if step == nil || !step.Spare || report.UsedCPU <= 0 {
			continue
		}
		if _, ok := shares[step.Image]; !ok {
			images = append(images, step.Image)
		}
		shares[step.Image] += float64(report.UsedCPU) / float64(max(1, vm.worker.Size.CPU))
	}
	slices.Sort(images)
	var loads []estimator.ImageLoad
	for _, image := range images {
		loads = append(loads, estimator.ImageLoad{Image: image, Share: shares[image]})
	}
	return loads
}

// imageEffects returns the estimated effects for the pairs of spare and serving images on a VM.
func (t *vmTable) imageEffects(name string, state *registrar.Registrar) []jaygw.ImageEffect {
	spare, serving := map[string]bool{}, map[string]bool{}
	state.ForEachPlacement(name, func(p *registrar.Placement) {
		step := stepSpec(state, p.Run)
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
			effects = append(effects, jaygw.ImageEffect{Pair: jaygw.ImagePair{Spare: a, Serving: b}, Effect: t.images.Effect(a, b)})
		}
	}
	return effects
}

// baseline returns the inverse latency that a task is expected to have without spare work. It is
// the median of the other tasks of its step without co-located spare work or, if there are none,
// the median of all others corrected by the expected fall; without other tasks it is zero.
func (t *vmTable) baseline(name string, run jaygw.Run, step *jaygw.Step) float64 {
	var unloaded, corrected []float64
	for sibling, other := range t.siblings[stepKey(run.Task)] {
		vm := t.vms[other]
		report := vm.reported[sibling]
		if other == name || report.TailLatency <= 0 {
			continue
		}
		inverse := estimator.InverseLatency(report.TailLatency, step.LatencyTarget)
		if len(vm.spareLoad) == 0 {
			unloaded = append(unloaded, inverse)
		} else {
			corrected = append(corrected, inverse+t.images.InverseLatencyDrop(step.Image, vm.spareLoad))
		}
	}
	if len(unloaded) > 0 {
		return median(unloaded)
	}
	return median(corrected)
}

// median returns the upper median, or zero for an empty slice.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

func stepSpec(state *registrar.Registrar, run jaygw.Run) *jaygw.Step {
	w := state.Workflow(run.Task.Workflow)
	if w == nil || run.Task.Step >= len(w.Spec.Steps) {
		return nil
	}
	return &w.Spec.Steps[run.Task.Step]
}
