package allocator

import (
	"math/bits"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
)

// taskClasses is the number of ranks for each lateness: steps with 128 tasks or more left share the last one.
const taskClasses = 9

// Rank orders the spare runs that compete on a VM, the most urgent first, from 0. Runs of workflows that can still meet
// their objective come before those of late ones, and these before those of useless ones. Then come runs of steps with few tasks left, in powers of two: the last tasks decide when a step ends.
func Rank(w *registrar.Workflow, queue *jaygw.Queue, task jaygw.StepTask, now jaygw.Time) int {
	if w.State.Ended() {
		return int(useless)*taskClasses + taskClasses - 1
	}
	s := w.Occurrences[task.Occurrence].Steps[task.Step]
	left := len(s.Tasks) - s.Done
	return int(urgencyOf(w, queue, task.Occurrence, now).lateness)*taskClasses + min(taskClasses-1, bits.Len(uint(left)))
}
