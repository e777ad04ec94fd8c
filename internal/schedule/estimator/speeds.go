package estimator

import "time"

type (
	// Speeds learns how fast the VMs run tasks, by comparing the progress of each task with that
	// of the other tasks of its step on other VMs. It is not safe for concurrent use.
	//
	// A worker may become slow or stall while it still accepts all tasks, so that it seems
	// idle. Steps with many tasks have one on almost every VM, and the slowest task decides when
	// the step ends.
	Speeds struct {
		vms map[string]*speed
	}

	// speed is the estimated speed of one VM.
	speed struct {
		value   float64 // multiple of the speed of the other VMs
		updated time.Time
	}
)

const (
	normalSpeed = 1.0

	// speedWeight is the weight of a new observation in the estimate.
	speedWeight = 0.4

	// maxSpeed is the upper limit of an observation.
	maxSpeed = 2.0

	// speedValidity is how long a speed is valid without a new observation. After that the VM
	// counts as normal, so that it gets tasks again.
	speedValidity = 3 * time.Second
)

// NewSpeeds returns an estimator without observations.
func NewSpeeds() *Speeds { return &Speeds{vms: map[string]*speed{}} }

// Observe updates a VM's speed from the progress of a task on it, as a multiple of the progress
// of the other tasks of the step.
func (s *Speeds) Observe(vm string, ratio float64, now time.Time) {
	ratio = min(max(0, ratio), maxSpeed)
	entry := s.vms[vm]
	if entry == nil || now.Sub(entry.updated) > speedValidity {
		entry = &speed{value: normalSpeed}
		s.vms[vm] = entry
	}
	entry.value += speedWeight * (ratio - entry.value)
	entry.updated = now
}

// Speed returns a VM's speed as a multiple of the speed of the other VMs.
func (s *Speeds) Speed(vm string, now time.Time) float64 {
	entry := s.vms[vm]
	if entry == nil || now.Sub(entry.updated) > speedValidity {
		return normalSpeed
	}
	return entry.value
}

// Forget removes the speed of a VM whose worker has a new incarnation.
func (s *Speeds) Forget(vm string) { delete(s.vms, vm) }
