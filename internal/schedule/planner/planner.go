// Package planner predicts when VMs will have capacity for tasks that fit nowhere now, from the
// expected ends of the runs there, and chooses the VMs to claim for them. It performs no I/O and
// reads no clock.
package planner

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// Capacity is the free capacity of a VM from the point of view of one step.
	Capacity interface {
		// Fits reports whether one more task of the step fits.
		Fits() bool
		// Take reserves the capacity for one more task of the step.
		Take()
		// Release adds the capacity of a run that ends, by its position on the VM.
		Release(run int)
	}

	// End is the expected end of a run.
	End struct {
		At  jaygw.Time
		Run int // position on the VM
	}

	// VM is a VM that may be claimed.
	VM struct {
		Ends     []End // by time; runs without an end of their own are left out
		Capacity Capacity
	}

	// Request is a step, or what is left of it, that waits for capacity.
	Request struct {
		Tasks       int  // number of waiting tasks
		Gang        bool // all of them start at the same time, or none does
		MaxVMs      int  // number of VMs that may be claimed
		Now, Latest jaygw.Time
	}

	// Claim reserves capacity on a VM for tasks of a step.
	Claim struct {
		VM    int // position among the VMs
		Start jaygw.Time
		Tasks int
	}

	// slot is the capacity of a VM for one more task from a time on.
	slot struct {
		at jaygw.Time
		vm int
	}
)

// Claims returns the claims with which the tasks of a request start earliest, by expected ends. It returns
// none unless all of them can start by the time limit of the request. It uses up the capacities that it is given.
func Claims(vms []VM, r Request) []Claim {
	if r.MaxVMs <= 0 {
		return nil
	}
	var slots []slot
	for i := range vms {
		for _, at := range starts(&vms[i], r) {
			slots = append(slots, slot{at: at, vm: i})
		}
	}
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.vm, b.vm)) })
	if len(slots) < r.Tasks {
		return nil // started in part, they would hold capacity without an end in time
	}
	if r.Gang {
		return gangClaims(slots, r)
	}
	return earliestClaims(slots, r)
}

// starts returns the times from which a VM has capacity for one, two and more tasks.
func starts(vm *VM, r Request) []jaygw.Time {
	var times []jaygw.Time
	at := r.Now
	for i := 0; ; i++ {
		for len(times) < r.Tasks && vm.Capacity.Fits() {
			vm.Capacity.Take()
			times = append(times, at)
		}
		if len(times) == r.Tasks || i == len(vm.Ends) || vm.Ends[i].At > r.Latest {
			return times
		}
		at = max(at, vm.Ends[i].At)
		vm.Capacity.Release(vm.Ends[i].Run)
	}
}

// earliestClaims returns claims for tasks that start one by one. The claim of a VM covers the tasks that
// fit there at its start; later ones follow in a later decision.
func earliestClaims(slots []slot, r Request) []Claim {
	var claims []Claim
	left := r.Tasks
	for _, s := range slots {
		if left == 0 {
			break
		}
		i := slices.IndexFunc(claims, func(c Claim) bool { return c.VM == s.vm })
		switch {
		case i >= 0 && claims[i].Start == s.at:
			claims[i].Tasks++
		case i < 0 && len(claims) < r.MaxVMs:
			claims = append(claims, Claim{VM: s.vm, Start: s.at, Tasks: 1})
		default:
			continue
		}
		left--
	}
	return claims
}

// gangClaims returns claims with the same start for all members of a gang, or none.
func gangClaims(slots []slot, r Request) []Claim {
	start := slots[r.Tasks-1].at
	var claims []Claim
	for _, s := range slots {
		if s.at > start {
			break
		}
		if i := slices.IndexFunc(claims, func(c Claim) bool { return c.VM == s.vm }); i >= 0 {
			claims[i].Tasks++
		} else {
			claims = append(claims, Claim{VM: s.vm, Start: start, Tasks: 1})
		}
	}
	slices.SortStableFunc(claims, func(a, b Claim) int { return cmp.Compare(b.Tasks, a.Tasks) })
	left := r.Tasks
	for i := range claims {
		if i == r.MaxVMs {
			return nil
		}
		claims[i].Tasks = min(claims[i].Tasks, left)
		if left -= claims[i].Tasks; left == 0 {
			return claims[:i+1]
		}
	}
	return nil
}

// MayPass reports whether other work may start beside a claim: it is expected to end before the start
// of the claim, or fits beside the claimed tasks.
func (c Claim) MayPass(expectedEnd jaygw.Time, fitsBeside func() bool) bool {
	return expectedEnd <= c.Start || fitsBeside()
}
