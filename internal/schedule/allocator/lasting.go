package allocator

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

// lastingDelay is how long a lasting spare task that has had no run waits for a VM with spare CPU where it slows no
// serving task. A restart does not wait: it has to come within 3 s, and the lease of a lost VM takes most of them.
const lastingDelay = time.Second

// takesRest reports whether tasks of a step run on whatever CPU is left: lasting spare ones. They have no end
// for which others could wait, and reserve no CPU.
func takesRest(step *jaygw.Step) bool { return step.Lasting && step.Spare }

// isOverdue reports whether a task of a step takes what is left of any VM, however full the pool is. The pace
// control of that VM protects its serving tasks.
func (d *decision) isOverdue(p *pendingStep, step *jaygw.Step, task *registrar.TaskState) bool {
	since := max(p.workflow.Accepted, p.workflow.Spec.ScheduledTime(p.occurrence))
	return takesRest(step) && (task.Released > 0 || !isWithin(lastingDelay, since, d.now))
}
