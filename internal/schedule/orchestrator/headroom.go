package orchestrator

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

const (
	// growThreshold is the share of their requested CPU that spare runs use while more CPU is
	// available, and shrinkThreshold the share below which they compete for it.
	growThreshold   = 0.9
	shrinkThreshold = 0.75

	// headroomStep is the share of a VM by which the headroom for spare runs grows with one sample;
	// it shrinks by twice as much. maxHeadroom bounds the headroom.
	headroomStep = 0.04
	maxHeadroom  = 0.4

	// minUsageAge is the age from which a run's usage sample covers no time before its start.
	minUsageAge = 800 * time.Millisecond
)

// observeHeadroom adjusts the headroom of a VM to the CPU time that its spare runs get. Serving
// tasks are sized for their peaks and use half of their size, so a VM whose whole size is committed
// still has free capacity.
func (vm *vmState) observeHeadroom(name string, state *registrar.Registrar, wall jaygw.Time) {
	var used, requested jaygw.MilliCores
	for run, report := range vm.reported {
		step := stepSpec(state, run)
		if step == nil || !step.Spare || report.SlowdownPercent > 0 || report.UsedCPU == 0 {
			continue
		}
		if placed := state.FindPlacement(name, run); placed == nil || wall.Sub(placed.Since) < minUsageAge {
			continue
		}
		used += report.UsedCPU
		requested += step.Size.CPU
	}
	switch {
	case requested == 0:
	case float64(used) >= growThreshold*float64(requested):
		vm.headroom = min(maxHeadroom, vm.headroom+headroomStep)
	case float64(used) < shrinkThreshold*float64(requested):
		vm.headroom = max(0, vm.headroom-2*headroomStep)
	}
}
