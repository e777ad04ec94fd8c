package foreman

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// fleet returns an estate with serving tasks, spare tasks beside them and short tasks on
// each of its VMs, at the same density for each number of them.
func fleet(t testing.TB, vms int) *estate {
	var names []string
	for i := range vms {
		names = append(names, fmt.Sprintf("vm-%03d", i))
	}
	e := newEstate(t, names...)
	for i := range vms / 10 {
		serving := step(20)
		serving.Lasting, serving.Image, serving.LatencyTarget, serving.PerVM = true, "search", 24*time.Millisecond, 1
		spare := step(40)
		spare.Spare, spare.Image, spare.Size.Memory = true, "light", jaygw.MB
		short := step(20)
		e.submit(fmt.Sprint("serving-", i), serving)
		e.submit(fmt.Sprint("short-", i), short)
		e.submit(fmt.Sprint("spare-", i), spare)
	}
	for range vms {
		e.decide()
	}
	for _, vm := range names {
		for _, run := range e.placed(vm) {
			e.known[vm] = append(e.known[vm], jaygw.KnownRun{Run: run, Percent: 30, Tail: 8 * time.Millisecond, Used: 200})
		}
		require.NotEmpty(t, e.known[vm])
	}
	for _, vm := range names {
		e.attend(vm)
	}
	return e
}

// attendTime returns the least processor time, over some rounds, that one attendance takes.
// The time that other processes take on a busy machine does not count.
func attendTime(t testing.TB, vms int) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	e := fleet(t, vms)
	least := time.Hour
	for range 5 {
		e.now = e.now.Add(time.Second)
		begun := threadTime(t)
		for i := range vms {
			e.attend(fmt.Sprintf("vm-%03d", i))
		}
		least = min(least, (threadTime(t)-begun)/time.Duration(vms))
	}
	return least
}

// threadTime returns the processor time of this thread.
func threadTime(t testing.TB) time.Duration {
	var usage unix.Rusage
	require.NoError(t, unix.Getrusage(unix.RUSAGE_THREAD, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestAttendancesCostTheSameInALargeFleet guards against a leader that compares each run
// with those of all VMs: at 200 VMs it had no time left for decisions.
func TestAttendancesCostTheSameInALargeFleet(t *testing.T) {
	small, large := attendTime(t, 30), attendTime(t, 300)
	require.Less(t, large, 3*small, "ten times the VMs")
}

// BenchmarkAttend measures an attendance with all figures due.
func BenchmarkAttend(b *testing.B) {
	for _, vms := range []int{20, 75, 200, 600} {
		b.Run(fmt.Sprint(vms, " VMs"), func(b *testing.B) {
			e := fleet(b, vms)
			for i := 0; b.Loop(); i++ {
				e.now = e.now.Add(learnInterval / time.Duration(vms))
				e.attend(fmt.Sprintf("vm-%03d", i%vms))
			}
		})
	}
}
