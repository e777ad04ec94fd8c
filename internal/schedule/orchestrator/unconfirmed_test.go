package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

func (h *harness) waiting() int { return h.state.CountQueued("h", "/q/") }

// TestUnconfirmedStartCountsAsBegun guards against a workflow that is counted as begun while its agent waits
// for the worker's answer, or after the VM that should have begun it is lost.
func TestUnconfirmedStartCountsAsBegun(t *testing.T) {
	h := newHarness(t, "a")
	h.submit("w", step(1))
	h.decide()
	require.Len(t, h.poll("a").Starts, 1)
	require.Equal(t, 1, h.waiting())
	h.reported["a"] = []jaygw.ReportedRun{{Run: h.placed("a")[0]}}
	for range 8 {
		h.now = h.now.Add(time.Second)
		h.poll("a")
		h.decide()
		require.Equal(t, 1, h.waiting())
	}
	h.now = h.now.Add(2 * testLease)
	h.decide()
	require.Empty(t, h.placed("a"))
	require.Equal(t, 1, h.waiting())
}

// TestBegunWorkflowStaysWaiting guards against a workflow that is counted as waiting for longer than 2 s after a worker
// has begun it, also with a new leader, with an agent of an earlier build, or if a command is lost, and against a
// command for each workflow or for each poll.
func TestBegunWorkflowStaysWaiting(t *testing.T) {
	for name, report := range map[string]func(*jaygw.ReportedRun){
		"confirmed":                 func(r *jaygw.ReportedRun) { r.Confirmed = true },
		"agent of an earlier build": func(r *jaygw.ReportedRun) { r.Percent = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, "a")
			for i := range 8 {
				h.submit(fmt.Sprintf("w%d", i), step(1))
			}
			h.decide()
			for i, run := range h.placed("a") {
				if i > 0 {
					reported := jaygw.ReportedRun{Run: run}
					report(&reported)
					h.reported["a"] = append(h.reported["a"], reported)
				}
			}
			begin := func() (ids int) {
				h.poll("a")
				for _, command := range h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now)) {
					ids += len(command.BeginWorkflows.IDs)
				}
				return ids
			}
			require.Equal(t, 7, begin())
			require.Zero(t, begin(), "the commands are paced")
			h.now = h.now.Add(beginInterval)
			require.Equal(t, 7, begin(), "the first command was lost")
			h.table.setLeadership(2, true, h.now)
			require.Equal(t, 7, begin(), "the new leader knows them from its first poll")
			h.now = h.now.Add(beginInterval)
			h.poll("a")
			h.decide()
			require.Equal(t, 1, h.waiting())
			h.now = h.now.Add(beginInterval)
			require.Zero(t, begin(), "the state shows all that have begun")
		})
	}
}

// TestUnconfirmedStartMakesWorkerSlow guards against a sound worker that gets no more runs and loses those that it has,
// because runs that it was ordered to start and has not begun make no progress.
func TestUnconfirmedStartMakesWorkerSlow(t *testing.T) {
	h := newHarness(t, "a", "b", "c", "d")
	h.submit("w", step(8))
	h.decide()
	for range 6 {
		h.now = h.now.Add(300 * time.Millisecond)
		for _, vm := range []string{"a", "b", "c", "d"} {
			h.reported[vm] = nil
			for _, run := range h.placed(vm) {
				report := jaygw.ReportedRun{Run: run}
				if vm != "d" {
					age := jaygw.TimeOf(h.now).Sub(h.state.FindPlacement(vm, run).Since)
					report.Confirmed, report.Percent = true, int(age.Milliseconds()/20)
				}
				h.reported[vm] = append(h.reported[vm], report)
			}
			h.poll(vm)
		}
		h.decide()
	}
	require.NotEmpty(t, h.placed("d"))
	for _, run := range h.placed("d") {
		require.False(t, h.state.FindPlacement("d", run).Stopping)
	}
	require.InDelta(t, 1, h.table.speeds.Speed("d", h.now), 0.01)
}
