package allocator_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/allocator"
	"github.com/stretchr/testify/require"
)

func servingStep(image string, tasks, cores int) jaygw.Step {
	s := step(tasks, cores)
	s.Lasting, s.LatencyTarget, s.Image = true, 100, image
	return s
}

func spareStep(image string, tasks, cores int) jaygw.Step {
	s := step(tasks, cores)
	s.Spare, s.Image = true, image
	return s
}

func placedRun(id string, s jaygw.Step, tailLatency, latencyTarget int) jaygw.PlacedRun {
	s.LatencyTarget = time.Duration(latencyTarget)
	return jaygw.PlacedRun{
		Run: jaygw.Run{Task: jaygw.StepTask{Workflow: id}, Number: 1}, Step: &s, TailLatency: time.Duration(tailLatency),
	}
}

// TestServingTasksShareVMsByImage guards against serving images that are spread over all VMs,
// so that each spare image slows a serving task on every VM.
func TestServingTasksShareVMsByImage(t *testing.T) {
	q := queue("q", 0)
	vms := []allocator.VM{vm("a", 16), vm("b", 16), vm("c", 16)}
	vms[0].Runs = []jaygw.PlacedRun{placedRun("x", servingStep("search", 1, 4), 30, 100)}
	vms[1].Runs = []jaygw.PlacedRun{placedRun("y", servingStep("ledger", 1, 4), 30, 100)}
	waiting := workflow("spare", q, 0, spareStep("slows-search", 4, 20))
	effect := func(spare, serving string) float64 {
		switch {
		case spare == "slows-search" && serving == "search":
			return 15
		case spare != "slows-search":
			return 4 // an image that is not known yet
		}
		return 0
	}
	for image, want := range map[string]string{"search": "a", "ledger": "b"} {
		v := view(t, vms, []jaygw.Queue{q}, workflow("w", q, 0, servingStep(image, 1, 2)), waiting)
		v.Effect = effect
		require.Equal(t, map[string]int{"w@" + want: 1}, countGrants(allocator.Decide(v, 0)), image)
	}
}

// TestSpareStepsWithoutCPU guards against shares of the spare work that are not numbers, which
// put every serving task on the first VM.
func TestSpareStepsWithoutCPU(t *testing.T) {
	q := queue("q", 0)
	vms := []allocator.VM{vm("a", 16), vm("b", 16)}
	vms[0].Runs = []jaygw.PlacedRun{placedRun("x", servingStep("search", 1, 4), 30, 100)}
	vms[1].Runs = []jaygw.PlacedRun{placedRun("y", servingStep("ledger", 1, 4), 30, 100)}
	waiting := workflow("spare", q, 0, spareStep("batch", 2, 0))
	v := view(t, vms, []jaygw.Queue{q}, workflow("w", q, 0, servingStep("ledger", 1, 2)), waiting)
	v.Effect = func(string, string) float64 { return 4 }
	require.Equal(t, 1, countGrants(allocator.Decide(v, 0))["w@b"])
}

// TestHarmlessImagesStartDespiteHighLatency guards against spare tasks that wait because a
// serving task is near its latency target, although they do not slow it.
func TestHarmlessImagesStartDespiteHighLatency(t *testing.T) {
	q := queue("q", 0)
	vms := []allocator.VM{vm("a", 16)}
	vms[0].Runs = []jaygw.PlacedRun{placedRun("x", servingStep("search", 1, 4), 95, 100)}
	for effect, want := range map[float64]int{1.5: 2, 15: 0} {
		v := view(t, vms, []jaygw.Queue{q}, workflow("w", q, 0, spareStep("i", 2, 2)))
		v.Effect = func(string, string) float64 { return effect }
		require.Len(t, allocator.Decide(v, 0), want)
	}
}

// TestUnmeasuredLoadCounts guards against spare tasks that start beside spare runs whose load does
// not show in the measured latencies yet, because they have just started or are suspended. Once all
// of them work at full pace, the serving task exceeds its target.
func TestUnmeasuredLoadCounts(t *testing.T) {
	q := queue("q", 0)
	spare := spareStep("batch", 1, 2)
	for used, want := range map[jaygw.MilliCores]int{0: 0, jaygw.Core / 4: 0, 2 * jaygw.Core: 1} {
		busy := vm("busy", 16)
		running := placedRun("running", spare, 0, 0)
		running.UsedCPU = used
		busy.Runs = []jaygw.PlacedRun{placedRun("serving", servingStep("search", 1, 4), 40, 100), running}
		v := view(t, []allocator.VM{busy}, []jaygw.Queue{q}, workflow("w", q, 0, spare))
		v.Effect = func(string, string) float64 { return 6 }
		require.Len(t, allocator.Decide(v, 0), want, "the running task uses %d of 2000 millicores", used)
	}
}

// TestSpareTasksLeaveRoomForRisingLoad guards against spare tasks that use up the margin of a serving
// task whose load is low at the moment, and put it over its target when the load rises.
func TestSpareTasksLeaveRoomForRisingLoad(t *testing.T) {
	q := queue("q", 0)
	for tailLatency, want := range map[int]int{40: 1, 50: 0} {
		vms := []allocator.VM{vm("a", 16)}
		vms[0].Runs = []jaygw.PlacedRun{placedRun("x", servingStep("search", 1, 4), tailLatency, 100)}
		v := view(t, vms, []jaygw.Queue{q}, workflow("w", q, 0, spareStep("batch", 1, 2)))
		v.Effect = func(string, string) float64 { return 6 } // the task takes 0.75 of the inverse latency
		require.Len(t, allocator.Decide(v, 0), want, "tail latency of %d%% of the target", tailLatency)
	}
}
