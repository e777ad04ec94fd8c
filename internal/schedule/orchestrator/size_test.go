package orchestrator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// newFleetHarness returns a harness whose VMs each run serving, spare and short tasks, at the same
// density for any number of VMs.
func newFleetHarness(t testing.TB, vms int) *harness {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%03d", i))
	}
	h := newHarness(t, names...)
	for i := range vms / 10 {
		serving := step(20)
		serving.Lasting, serving.Image, serving.LatencyTarget, serving.MaxPerVM = true, "search", 24*time.Millisecond, 1
		spare := step(40)
		spare.Spare, spare.Image, spare.Size.Memory = true, "light", jaygw.MB
		short := step(20)
		h.submit(fmt.Sprint("serving-", i), serving)
		h.submit(fmt.Sprint("short-", i), short)
		h.submit(fmt.Sprint("spare-", i), spare)
	}
	for range vms {
		h.decide()
	}
	for _, vm := range names {
		for _, run := range h.placed(vm) {
			h.reported[vm] = append(h.reported[vm], jaygw.ReportedRun{Run: run, Percent: 30, TailLatency: 8 * time.Millisecond, UsedCPU: 200})
		}
		require.NotEmpty(t, h.reported[vm])
	}
	for _, vm := range names {
		h.poll(vm)
	}
	return h
}

// minMeasuredTime is the least CPU time of a measured round. The kernel accounts the CPU time of a
// thread in steps of some milliseconds.
const minMeasuredTime = 100 * time.Millisecond

// pollTime returns the lowest CPU time per poll over several rounds. CPU time excludes the time
// that other processes take on a busy machine.
func pollTime(t testing.TB, vms int) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	h := newFleetHarness(t, vms)
	least := time.Hour
	for range 5 {
		start, polls, used := threadCPUTime(t), 0, time.Duration(0)
		for used < minMeasuredTime {
			h.now = h.now.Add(time.Second)
			for i := range vms {
				h.poll(fmt.Sprintf("vm-%03d", i))
			}
			polls += vms
			used = threadCPUTime(t) - start
		}
		least = min(least, used/time.Duration(polls))
	}
	return least
}

// threadCPUTime returns the CPU time that the current thread has used.
func threadCPUTime(t testing.TB) time.Duration {
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestPollCostIndependentOfFleetSize guards against a leader that compares each run with those of
// all VMs: at 200 VMs it had no time left for decisions.
func TestPollCostIndependentOfFleetSize(t *testing.T) {
	small, large := pollTime(t, 30), pollTime(t, 300)
	require.Less(t, large, 3*small, "cost of a poll with ten times as many VMs")
}

// BenchmarkPoll measures a poll that evaluates the measurements of its VM, by number of VMs.
func BenchmarkPoll(b *testing.B) {
	for _, vms := range []int{20, 75, 200, 600} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			h := newFleetHarness(b, vms)
			for i := 0; b.Loop(); i++ {
				h.now = h.now.Add(sampleInterval / time.Duration(vms))
				h.poll(fmt.Sprintf("vm-%03d", i%vms))
			}
		})
	}
}
