package allocator

import "github.com/jaygw/jaygw"

// spareDemand is the spare work that waits or runs, by image, as shares of the total.
//
// Each spare image slows one or two of the serving images strongly and the others hardly at
// all, and most VMs have serving tasks. If every VM has tasks of all serving images, no VM can
// take spare work; if tasks of the same serving image share VMs, each spare image can run on
// most VMs.
type spareDemand map[string]float64

const (
	// unknownImage stands for spare images that are not known yet, and unknownImageShare is
	// their assumed share of the spare work. They count because serving tasks usually start
	// before the spare work arrives and run for a long time.
	unknownImage      = ""
	unknownImageShare = 0.4
)

// incompatibleEffect is the effect at which a spare image can no longer run on the same VM
// as a serving image.
const incompatibleEffect = 10.0

// spareDemandOf adds up the remaining spare work of the workflows by image.
func spareDemandOf(view *View) spareDemand {
	demand, total := spareDemand{}, 0.0
	for _, w := range view.Workflows {
		for _, o := range w.Occurrences {
			for j, s := range o.Steps {
				step := &w.Spec.Steps[j]
				if left := len(s.Tasks) - s.Done; step.Spare && left > 0 {
					demand[step.Image] += cores(step) * float64(left)
					total += cores(step) * float64(left)
				}
			}
		}
	}
	if total == 0 {
		return spareDemand{unknownImage: unknownImageShare}
	}
	for image := range demand {
		demand[image] *= (1 - unknownImageShare) / total
	}
	demand[unknownImage] = unknownImageShare
	return demand
}

func cores(step *jaygw.Step) float64 { return float64(step.Size.CPU) / float64(jaygw.Core) }

// lostCompatibility returns the share of the spare work that can no longer run on the VM if
// another serving task of an image starts there.
func (n *node) lostCompatibility(image string) float64 {
	present := map[string]bool{}
	for _, s := range n.serving {
		present[s.image] = true
	}
	if present[image] {
		return 0
	}
	lost := 0.0
	for spare, share := range n.demand {
		compatible := 1.0
		for serving := range present {
			compatible *= n.compatibility(spare, serving)
		}
		lost += share * compatible * (1 - n.compatibility(spare, image))
	}
	return lost
}

// compatibility returns how well tasks of a spare and a serving image share a VM, from 0 (not
// at all) to 1 (without any effect).
func (n *node) compatibility(spare, serving string) float64 {
	return max(0, 1-n.effect(spare, serving)/incompatibleEffect)
}
