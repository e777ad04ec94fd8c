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
	benchDomains  = 16
	benchTeams    = 170
	benchServices = 3  // replicas per VM
	benchBatch    = 20 // tasks per VM
	benchTick     = 50 * time.Millisecond
	startsPerTick = 12 // 240 per second
)

// newFullEstate returns an estate of the target's kind: 23 tasks on each VM, which
// leaves a tenth of it free.
func newFullEstate(b *testing.B, vms int) *estate {
	e := newEstate(b)
	quota := size(vms, vms*10)
	d := jaygw.Document{Limits: jaygw.Limits{MovesPerSecond: 1000}}
	for i := range benchTeams {
		d.Teams = append(d.Teams, jaygw.TeamSpec{Name: fmt.Sprint("team-", i), Quota: quota, Weight: 1 + i%3})
	}
	for i := range 30 {
		d.Services = append(d.Services, jaygw.ServiceSpec{
			Name: fmt.Sprint("service-", i), Team: fmt.Sprint("team-", i), Class: jaygw.LatencyCritical,
			Replicas: vms * benchServices / 30, Resources: size(1, 2),
		})
	}
	e.promote(d)
	for i := range vms {
		e.announce(fmt.Sprint("vm-", i), fmt.Sprint("domain-", i%benchDomains), 1, size(26, 100))
	}
	for i := range benchTeams {
		e.submit(jaygw.JobSpec{
			Name: fmt.Sprint("first-", i), Team: fmt.Sprint("team-", i), Tasks: vms * benchBatch / benchTeams,
			Resources: size(1, 2), RunTime: jaygw.Duration(time.Hour),
		})
	}
	for range 2000 {
		e.pass(time.Second)
		e.step()
		e.runWorkers()
		if e.waiting() == 0 {
			break
		}
	}
	require.Zero(b, e.waiting())
	return e
}

func (e *estate) waiting() int {
	count := 0
	for _, task := range e.machine.State().Tasks {
		if task.State == jaygw.Waiting {
			count++
		}
	}
	return count
}

// addBacklog submits jobs that wait because the free cores are of no use to them.
func (e *estate) addBacklog(tasks int, resources jaygw.Resources) {
	for i := range tasks / 100 {
		e.submit(jaygw.JobSpec{
			Name: fmt.Sprint("backlog-", i), Team: fmt.Sprint("team-", i%benchTeams), Tasks: 100,
			Resources: resources, RunTime: jaygw.Duration(time.Hour),
		})
	}
}

// decide applies one decision and returns the time that it took and the grants.
func (e *estate) decide() (took time.Duration, grants int) {
	began := time.Now()
	commands := e.scheduler.Decide(e.machine, e.now)
	took = time.Since(began)
	for _, c := range commands {
		e.apply(c)
		if c.Grant != nil {
			grants += len(c.Grant.Grants)
		}
	}
	return took, grants
}

// One iteration is one tick of the decision loop at 240 starts per second.
func BenchmarkPlacement(b *testing.B) {
	for _, vms := range []int{300, 600, 1200, 2400} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			e := newFullEstate(b, vms)
			e.addBacklog(20_000, size(1, 2))
			for range 60 {
				e.pass(time.Second)
				e.decide()
				e.runWorkers()
			}
			var running []jaygw.TaskID
			for id, task := range e.machine.State().Tasks {
				if task.State == jaygw.Running && task.Kind == jaygw.BatchTask {
					running = append(running, id)
				}
			}
			slices.Sort(running)
			var each []time.Duration
			var total time.Duration
			placed := 0
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				b.StopTimer()
				for k := range startsPerTick {
					// A stop frees the place of one task, which waits again.
					task := e.machine.State().Tasks[running[(i*startsPerTick+k)*7919%len(running)]]
					if task != nil && task.State == jaygw.Running {
						e.report(task, jaygw.Stopped)
					}
				}
				e.pass(benchTick)
				b.StartTimer()
				took, grants := e.decide()
				b.StopTimer()
				total += took
				placed += grants
				if grants > 0 {
					each = append(each, took/time.Duration(grants))
				}
				if i%20 == 0 {
					e.runWorkers()
				}
				b.StartTimer()
			}
			b.StopTimer()
			slices.Sort(each)
			b.ReportMetric(float64(total.Nanoseconds())/float64(max(1, placed)), "ns/placement")
			b.ReportMetric(float64(each[len(each)*99/100].Nanoseconds()), "p99-ns/placement")
			b.ReportMetric(100*total.Seconds()/(float64(b.N)*benchTick.Seconds()), "%core")
			b.ReportMetric(float64(placed)/float64(b.N), "placed/op")
		})
	}
}

// The loss of a domain: its 150 VMs fall silent, their leases end, and all 3,450
// tasks are placed again.
func BenchmarkDomainLoss(b *testing.B) {
	for range b.N {
		b.StopTimer()
		e := newFullEstate(b, 2400)
		for i := 0; i < 2400; i += benchDomains {
			name := fmt.Sprint("vm-", i)
			e.scheduler.SetSilent(name, true)
			e.apply(jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: name, Incarnation: 1}})
		}
		lost, total, placed := e.waiting(), time.Duration(0), 0
		b.StartTimer()
		for {
			took, grants := e.decide()
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

// An urgent job of 20 tasks under a backlog of 50,000 on full VMs: virtual time of
// the ticks and of the agents' stops, plus the measured time of the decisions.
func BenchmarkUrgentUnderBacklog(b *testing.B) {
	for range b.N {
		b.StopTimer()
		e := newFullEstate(b, 2400)
		e.addBacklog(60_000, size(1, 2)) // about 7,000 of them fit
		for range 120 {
			e.pass(time.Second)
			e.decide()
			e.runWorkers()
		}
		waiting := e.waiting()
		e.submit(jaygw.JobSpec{Name: "urgent", Team: "team-169", Tasks: 20, Resources: size(4, 8), Urgent: true})
		began, decided := e.now, time.Duration(0)
		b.StartTimer()
		for e.count("urgent", jaygw.Granted) < 20 && e.now.Sub(began) < 10*time.Second {
			e.pass(benchTick)
			took, _ := e.decide()
			decided += took
			for _, task := range e.machine.State().Tasks {
				// Held renewals bring a stop to the agent within a tick.
				if task.State == jaygw.Stopping {
					e.report(task, jaygw.Stopped)
				}
			}
		}
		b.StopTimer()
		b.ReportMetric(float64(e.now.Sub(began).Milliseconds())+decided.Seconds()*1000, "granted-ms")
		b.ReportMetric(decided.Seconds()*1000, "decide-ms")
		b.ReportMetric(float64(waiting), "waiting")
	}
}

// A wave of 5,000 cancellations.
func BenchmarkCancellationWave(b *testing.B) {
	for range b.N {
		b.StopTimer()
		e := newFullEstate(b, 2400)
		e.addBacklog(5_000, size(26, 2))
		e.decide()
		b.StartTimer()
		for i := range 50 {
			e.apply(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "env", Name: fmt.Sprint("backlog-", i)}})
		}
		e.decide()
	}
}
