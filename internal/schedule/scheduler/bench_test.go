package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

const (
	benchDomains    = 16
	benchTeams      = 170
	replicasPerVM   = 3
	batchTasksPerVM = 20
	benchTick       = 50 * time.Millisecond
	startsPerTick   = 12 // 240 per second
)

// newFullFixture returns a fixture like the target deployment: 23 tasks run on each VM and leave a
// tenth of it free.
func newFullFixture(b *testing.B, vms int) *fixture {
	f := newFixture(b)
	quota := size(vms, vms*10)
	d := jaygw.Document{Limits: jaygw.Limits{MovesPerSecond: 1000}}
	for i := range benchTeams {
		d.Teams = append(d.Teams, jaygw.TeamSpec{Name: fmt.Sprint("team-", i), Quota: quota, Weight: 1 + i%3})
	}
	for i := range 30 {
		d.Services = append(d.Services, jaygw.ServiceSpec{
			Name: fmt.Sprint("service-", i), Team: fmt.Sprint("team-", i), Class: jaygw.LatencyCritical,
			Replicas: vms * replicasPerVM / 30, Resources: size(1, 2),
		})
	}
	f.promote(d)
	for i := range vms {
		f.announce(fmt.Sprint("vm-", i), fmt.Sprint("domain-", i%benchDomains), 1, size(26, 100))
	}
	for i := range benchTeams {
		f.submit(jaygw.JobSpec{
			Name: fmt.Sprint("first-", i), Team: fmt.Sprint("team-", i), Tasks: vms * batchTasksPerVM / benchTeams,
			Resources: size(1, 2), RunTime: jaygw.Duration(time.Hour),
		})
	}
	for range 2000 {
		f.advance(time.Second)
		f.step()
		f.runWorkers()
		if f.countWaiting() == 0 {
			break
		}
	}
	require.Zero(b, f.countWaiting())
	return f
}

func (f *fixture) countWaiting() int {
	count := 0
	for _, task := range f.machine.State().Tasks {
		if task.State == jaygw.Waiting {
			count++
		}
	}
	return count
}

// addBacklog submits jobs of 100 tasks each, most of which wait for free capacity.
func (f *fixture) addBacklog(tasks int, resources jaygw.Resources) {
	for i := range tasks / 100 {
		f.submit(jaygw.JobSpec{
			Name: fmt.Sprint("backlog-", i), Team: fmt.Sprint("team-", i%benchTeams), Tasks: 100,
			Resources: resources, RunTime: jaygw.Duration(time.Hour),
		})
	}
}

// decide applies one decision and returns the time that Decide took and the number of grants.
func (f *fixture) decide() (took time.Duration, grants int) {
	start := time.Now()
	commands := f.scheduler.Decide(f.machine, f.now)
	took = time.Since(start)
	for _, c := range commands {
		f.apply(c)
		if c.Grant != nil {
			grants += len(c.Grant.Grants)
		}
	}
	return took, grants
}

// BenchmarkPlacement measures one tick of the decision loop per iteration, at 240 starts per
// second.
func BenchmarkPlacement(b *testing.B) {
	for _, vms := range []int{300, 600, 1200, 2400} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			f := newFullFixture(b, vms)
			f.addBacklog(20_000, size(1, 2))
			for range 60 {
				f.advance(time.Second)
				f.decide()
				f.runWorkers()
			}
			var running []jaygw.TaskID
			for id, task := range f.machine.State().Tasks {
				if task.State == jaygw.Running && task.Kind == jaygw.BatchTask {
					running = append(running, id)
				}
			}
			slices.Sort(running)
			var perPlacement []time.Duration
			var total time.Duration
			placed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				for k := range startsPerTick {
					// A stopped task frees its capacity and waits again.
					task := f.machine.State().Tasks[running[(i*startsPerTick+k)*7919%len(running)]]
					if task != nil && task.State == jaygw.Running {
						f.report(task, jaygw.Stopped)
					}
				}
				f.advance(benchTick)
				b.StartTimer()
				took, grants := f.decide()
				b.StopTimer()
				total += took
				placed += grants
				if grants > 0 {
					perPlacement = append(perPlacement, took/time.Duration(grants))
				}
				if i%20 == 0 {
					f.runWorkers()
				}
				b.StartTimer()
			}
			b.StopTimer()
			slices.Sort(perPlacement)
			b.ReportMetric(float64(total.Nanoseconds())/float64(max(1, placed)), "ns/placement")
			b.ReportMetric(float64(perPlacement[len(perPlacement)*99/100].Nanoseconds()), "p99-ns/placement")
			b.ReportMetric(100*total.Seconds()/(float64(b.N)*benchTick.Seconds()), "%core")
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}

// BenchmarkDomainLoss measures the loss of a domain: its 150 VMs lose contact, their leases
// expire, and all 3,450 tasks are placed again.
func BenchmarkDomainLoss(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := newFullFixture(b, 2400)
		for i := 0; i < 2400; i += benchDomains {
			name := fmt.Sprint("vm-", i)
			f.scheduler.SetUnresponsive(name, true)
			f.apply(jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: name, Incarnation: 1}})
		}
		lost, total, placed := f.countWaiting(), time.Duration(0), 0
		b.StartTimer()
		for {
			took, grants := f.decide()
			total += took
			placed += grants
			if grants == 0 {
				break
			}
		}
		b.StopTimer()
		b.ReportMetric(total.Seconds()*1000, "decide-ms")
		b.ReportMetric(float64(placed), "placed")
		b.ReportMetric(float64(lost), "lost")
	}
}

// BenchmarkUrgentUnderBacklog measures the time until an urgent job of 20 tasks is granted on full
// VMs under a backlog of 50,000 tasks. It adds the virtual time of the ticks, in which agents also
// stop tasks, to the measured time of the decisions.
func BenchmarkUrgentUnderBacklog(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := newFullFixture(b, 2400)
		f.addBacklog(60_000, size(1, 2)) // about 7,000 of them fit
		for range 120 {
			f.advance(time.Second)
			f.decide()
			f.runWorkers()
		}
		waiting := f.countWaiting()
		f.submit(jaygw.JobSpec{Name: "urgent", Team: "team-169", Tasks: 20, Resources: size(4, 8), Urgent: true})
		start, decided := f.now, time.Duration(0)
		b.StartTimer()
		for f.count("urgent", jaygw.Granted) < 20 && f.now.Sub(start) < 10*time.Second {
			f.advance(benchTick)
			took, _ := f.decide()
			decided += took
			for _, task := range f.machine.State().Tasks {
				// A renewal that is held open delivers the stop to the agent within a tick.
				if task.State == jaygw.Stopping {
					f.report(task, jaygw.Stopped)
				}
			}
		}
		b.StopTimer()
		b.ReportMetric(float64(f.now.Sub(start).Milliseconds())+decided.Seconds()*1000, "granted-ms")
		b.ReportMetric(decided.Seconds()*1000, "decide-ms")
		b.ReportMetric(float64(waiting), "waiting")
	}
}

// BenchmarkCancellationWave measures the cancellation of 50 jobs with 100 waiting tasks each.
func BenchmarkCancellationWave(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := newFullFixture(b, 2400)
		f.addBacklog(5_000, size(26, 2))
		f.decide()
		b.StartTimer()
		for i := range 50 {
			f.apply(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "env", Name: fmt.Sprint("backlog-", i)}})
		}
		f.decide()
	}
}
