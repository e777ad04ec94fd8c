package scheduler_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

func countEvictions(commands []jaygw.Command) int {
	count := 0
	for _, c := range commands {
		if c.Evict != nil {
			count += len(c.Evict.Evictions)
		}
	}
	return count
}

// Guards against duplicate evictions: if the capacity that earlier evictions are about to free
// is not counted, each further urgent task evicts for itself and again for those before it.
func TestUrgentTasksEvictOneTaskEach(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(100, 100), "a")})
	f.announce("vm-0", "x", 1, size(8, 64))
	require.NoError(t, f.submit(jaygw.JobSpec{Name: "bulk", Team: "a", Tasks: 8, Resources: size(1, 1)}).Err())
	for range 20 {
		f.settle()
		f.advance(10 * time.Second)
	}
	require.Equal(t, 8, f.count("bulk", jaygw.Running))
	urgent := jaygw.JobSpec{Name: "urgent", Team: "a", Tasks: 4, Resources: size(1, 1), Urgent: true}
	require.NoError(t, f.submit(urgent).Err())
	// Victims are reported as stopped only after three decisions.
	var commands []jaygw.Command
	for range 3 {
		commands = append(commands, f.step()...)
		f.advance(200 * time.Millisecond)
	}
	for range 2 {
		f.runWorkers()
		commands = append(commands, f.settle()...)
	}
	require.Equal(t, 4, countEvictions(commands))
	require.Equal(t, 4, f.count("urgent", jaygw.Running))
}

// Guards against throttles that are never lifted: after the last replica has left a VM, no
// latency report arrives from there that could lift them.
func TestThrottlesEndWithLastReplica(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(100, 100), "a"), Services: []jaygw.ServiceSpec{
		{Name: "web", Team: "a", Class: jaygw.LatencyCritical, Replicas: 1, Resources: size(1, 1)},
	}})
	f.announce("vm-0", "x", 1, size(8, 64))
	f.settle()
	web := f.task("web/0")
	report := func(latency time.Duration) {
		f.advance(2 * time.Second)
		f.scheduler.Observe(f.machine, "vm-0", []jaygw.Usage{{Attempt: web.Attempt(), Latency: latency, Used: size(1, 1)}}, f.now)
		f.settle()
	}
	for range 30 {
		report(100 * time.Millisecond)
	}
	require.NoError(t, f.submit(jaygw.JobSpec{Name: "noisy", Team: "a", Tasks: 1, Resources: size(1, 1)}).Err())
	f.settle()
	percent := func() int {
		for _, order := range f.scheduler.Orders("vm-0", f.now) {
			if order.Action == jaygw.ActionThrottle {
				return order.Percent
			}
		}
		return 100
	}
	for range 30 {
		if percent() < 100 {
			break
		}
		report(200 * time.Millisecond)
	}
	require.Less(t, percent(), 100)
	f.announce("vm-1", "y", 1, size(8, 64))
	f.setDomain("x", true)
	for range 5 {
		f.settle()
		f.advance(time.Second)
	}
	require.Equal(t, "vm-1", f.task("web/0").VM)
	require.Equal(t, 100, percent())
}
