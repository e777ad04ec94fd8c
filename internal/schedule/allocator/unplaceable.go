package allocator

import "github.com/jaygw/jaygw"

type (
	// taskShape holds the properties of a task that decide on which VMs it fits, except its
	// size and the limit per VM.
	taskShape struct {
		service, image, label string
		spare, starved        bool
	}

	// unplaceable holds the shapes and sizes of tasks that did not fit on any VM. Free capacity only
	// shrinks during a decision, so a task of the same shape that is at least as large does not
	// fit either.
	//
	// Under overload hundreds of steps wait for capacity that no VM has; without this record,
	// each of them would be tried on all VMs.
	unplaceable map[taskShape][]jaygw.Resources
)

func shapeOf(service string, step *jaygw.Step, starved bool) taskShape {
	return taskShape{service: service, image: step.Image, label: step.Label, spare: step.Spare, starved: starved}
}

// contains reports whether a task is known to fit on no VM.
func (u unplaceable) contains(s taskShape, size jaygw.Resources) bool {
	for _, tried := range u[s] {
		if tried.Fits(size) {
			return true
		}
	}
	return false
}

// record adds a task that did not fit on any VM. It ignores tasks with a limit per VM, since that
// limit does not apply to other steps.
func (u unplaceable) record(s taskShape, step *jaygw.Step) {
	if step.MaxPerVM == 0 && !u.contains(s, step.Size) {
		u[s] = append(u[s], step.Size)
	}
}
