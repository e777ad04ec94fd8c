package allocator

import "github.com/jaygw/jaygw"

type (
	// shape is what decides whether a task fits anywhere, beside the limit per VM.
	shape struct {
		service, image, label string
		spare, starves        bool
	}

	// full is the shapes that no VM has room for, with the sizes that did not fit. VMs
	// only fill up during a decision, so a task that is as large does not fit either.
	//
	// Load pattern: under overload hundreds of steps wait for room that no VM has, and
	// each would look at all VMs.
	full map[shape][]jaygw.Resources
)

func shapeOf(service string, step *jaygw.Step, starves bool) shape {
	return shape{service: service, image: step.Image, label: step.Label, spare: step.Spare, starves: starves}
}

// has reports whether no VM has room for a task.
func (f full) has(s shape, size jaygw.Resources) bool {
	for _, known := range f[s] {
		if known.Fits(size) {
			return true
		}
	}
	return false
}

// note notes that a task found no VM. The limit per VM says nothing about other steps.
func (f full) note(s shape, step *jaygw.Step) {
	if step.PerVM == 0 && !f.has(s, step.Size) {
		f[s] = append(f[s], step.Size)
	}
}
