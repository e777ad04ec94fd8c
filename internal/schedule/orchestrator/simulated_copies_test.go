package orchestrator

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
	"github.com/stretchr/testify/require"
)

// simulatedCopies is the part of a simulation in which steps allow copies.
type simulatedCopies struct {
	done    map[jaygw.StepTask]time.Time // when tasks were recorded as done
	doubled int                          // starts beside another run
	granted int                          // granted copies
}

const (
	// observeInterval is the time between two looks at which tasks are done.
	observeInterval = 10 * time.Millisecond

	// lateWithCopies is the percentage of the messages that are late besides those of all simulations: the bounds on orders
	// matter only to late ones.
	lateWithCopies = 10
)

func (s *simulation) withCopies() *simulation {
	s.copies = &simulatedCopies{done: map[jaygw.StepTask]time.Time{}}
	s.longestRun, s.duration = 2*time.Second, 40*time.Second // the last runs have ended by then
	s.after(0, s.observeDone)
	return s
}

// primeEstimates makes runs late soon.
func (s *simulation) primeEstimates() {
	for _, queue := range []string{"q", "r", "u"} {
		for i := range 2 {
			for range 128 { // as many as are kept
				s.table.runTimes.Observe(forecaster.Key{Queue: queue, Step: i}, time.Second, 10*time.Millisecond)
			}
		}
	}
}

// observeDone records which tasks are done.
func (s *simulation) observeDone() {
	for id := range s.attempts {
		w := s.state.Workflow(id)
		for j := range s.steps[id] {
			for k := range s.steps[id][j].Tasks {
				task := jaygw.StepTask{Workflow: id, Step: j, Index: k}
				if _, known := s.copies.done[task]; !known && (w.State == jaygw.WorkflowCompleted || s.state.IsDone(task)) {
					s.copies.done[task] = s.now
				}
			}
		}
	}
	s.after(observeInterval, s.observeDone)
}

// allowsCopies reports whether the task of a run may have two runs.
func (s *simulation) allowsCopies(task jaygw.StepTask) bool {
	return s.copies != nil && s.steps[task.Workflow][task.Step].AllowsCopies()
}

// judgeNoted checks that an end that its worker considers recorded counts, also if it is that of the earlier of two runs.
func (s *simulation) judgeNoted(end *simulatedEnd) {
	if !end.noted || end.outcome != jaygw.RunDone || !s.allowsCopies(end.run.Task) || s.failed != "" {
		return
	}
	if w := s.state.Workflow(end.run.Task.Workflow); !w.State.Ended() && !s.state.IsDone(end.run.Task) {
		s.failed = fmt.Sprintf("run %d of %s was done, which does not count", end.run.Number, end.run.Task)
	}
}

// judgeCopy checks a start of a task that may have two runs.
func (s *simulation) judgeCopy(vm *simulatedVM, run jaygw.Run) {
	var others []string
	for _, other := range s.vms {
		s.expire(other)
		for placed := range other.running {
			if other.up && placed.Task == run.Task {
				others = append(others, other.name)
			}
		}
	}
	s.copies.doubled += min(1, len(others))
	fail := func(format string, args ...any) {
		if s.failed == "" {
			s.failed = fmt.Sprintf("run %d of %s starts on %s ", run.Number, run.Task, vm.name) + fmt.Sprintf(format, args...)
		}
	}
	failures := 0
	for _, end := range s.ends {
		if end.run.Task == run.Task && end.outcome == jaygw.RunFailed && end.noted && s.now.Sub(end.notedAt) > endTime {
			failures++
		}
	}
	done, isDone := s.copies.done[run.Task]
	switch {
	case len(others) > 1 || len(others) == 1 && others[0] == vm.name:
		fail("beside runs on %v", others)
	case isDone && s.now.Sub(done) > endTime:
		fail("%s after the task was done", s.now.Sub(done))
	case failures >= s.attempts[run.Task.Workflow]:
		fail("after %d failures", failures)
	}
}

// TestSimulatedCopies guards against the faults of TestSimulatedAttempts and TestSimulatedLimits where tasks may have two runs,
// and against a third run, two on one VM, and a start over a second after the task is done or has failed too often.
func TestSimulatedCopies(t *testing.T) {
	t.Parallel()
	first, seeds := environmentInt("JAYGW_SEED", 1), environmentInt("JAYGW_CHECKS", 40)
	doubled, granted, broken := 0, 0, []string{}
	for seed := first; seed < first+seeds; seed++ {
		for name, play := range map[string]func() (*simulation, string){
			"attempts": func() (*simulation, string) { s := newSimulation(t, uint64(seed)).withCopies(); return s, s.play() },
			"limits": func() (*simulation, string) {
				s := newLimitedSimulation(t, uint64(seed)).withCopies()
				return s, s.playLimits()
			},
		} {
			s, failed := play()
			if failed != "" {
				broken = append(broken, fmt.Sprintf("JAYGW_SEED=%d JAYGW_CHECKS=1, %s: %s", seed, name, failed))
			}
			if failed != "" && seeds == 1 {
				t.Log(strings.Join(s.log, "\n"))
			}
			doubled += s.copies.doubled
			granted += s.copies.granted
		}
	}
	t.Logf("%d seeds, %d copies granted, %d starts beside another run", seeds, granted, doubled)
	require.Empty(t, broken)
	require.True(t, seeds < 10 || doubled > 0, "no run was started beside another one")
}
