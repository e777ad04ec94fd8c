package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Every decision must be accepted as long as the state has not changed since, and
// the index that followed all changes must equal one that is built from the state.
func TestDecisionsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := newEstate(t, scheduler.WithoutInterference())
		e.promote(jaygw.Document{Teams: teams(size(40, 40), "a", "b"), Services: []jaygw.ServiceSpec{
			{Name: "web", Team: "a", Class: jaygw.LatencyCritical, Replicas: 3, Resources: size(2, 1)},
		}})
		domain := rapid.SampledFrom([]string{"x", "y", "z"})
		job := 0
		pick := func(t *rapid.T, states ...jaygw.TaskState) *jaygw.Task {
			var ids []jaygw.TaskID
			for id, task := range e.machine.State().Tasks {
				if slices.Contains(states, task.State) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return nil
			}
			slices.Sort(ids)
			return e.machine.State().Tasks[rapid.SampledFrom(ids).Draw(t, "task")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				number := rapid.IntRange(0, 7).Draw(t, "vm")
				e.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
					Name: fmt.Sprint("vm-", number), Domain: []string{"x", "y", "z"}[number%3], Incarnation: 1,
					Size:    size(rapid.IntRange(4, 12).Draw(t, "cores"), 16),
					Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
				}}})
			},
			"submit": func(t *rapid.T) {
				job++
				e.submit(jaygw.JobSpec{
					Name: fmt.Sprint("job-", job), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
					Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"), Resources: size(rapid.IntRange(1, 8).Draw(t, "cores"), 1),
					Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
				})
			},
			"cancel": func(t *rapid.T) {
				name := fmt.Sprint("job-", rapid.IntRange(0, job).Draw(t, "job"))
				e.apply(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "env", Name: name}})
			},
			"start": func(t *rapid.T) {
				if task := pick(t, jaygw.Granted); task != nil {
					e.report(task, jaygw.Started)
				}
			},
			"end": func(t *rapid.T) {
				if task := pick(t, jaygw.Running, jaygw.Stopping); task != nil {
					e.report(task, rapid.SampledFrom([]jaygw.ReportKind{
						jaygw.Completed, jaygw.AttemptFailed, jaygw.Stopped,
					}).Draw(t, "kind"))
				}
			},
			"take out or return": func(t *rapid.T) { e.setDomain(domain.Draw(t, "domain"), rapid.Bool().Draw(t, "out")) },
			"silence": func(t *rapid.T) {
				e.scheduler.SetSilent(fmt.Sprint("vm-", rapid.IntRange(0, 7).Draw(t, "vm")), rapid.Bool().Draw(t, "silent"))
			},
			"use": func(t *rapid.T) {
				if task := pick(t, jaygw.Running); task != nil {
					e.scheduler.Observe(e.machine, task.VM, []jaygw.Usage{{
						Attempt: task.Attempt(), Used: size(rapid.IntRange(1, 9).Draw(t, "used"), 1),
					}}, e.now)
				}
			},
			"change quotas": func(t *rapid.T) {
				e.promote(jaygw.Document{
					Teams:  teams(size(rapid.IntRange(4, 60).Draw(t, "quota"), 40), "a", "b"),
					Limits: jaygw.Limits{CommitBelowDeclared: rapid.Bool().Draw(t, "below")},
				})
			},
			"time passes": func(t *rapid.T) {
				e.pass(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				e.step()
				require.Empty(t, e.scheduler.Drift(e.machine))
			},
		})
	})
}

// A large job must start at last although small ones come all the time and would
// take each free core.
func TestSmallJobsDoNotStarveALargeOne(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a", "b")})
	for i := range 4 {
		e.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	submitSmall := func(i int) {
		require.NoError(t, e.submit(jaygw.JobSpec{Name: fmt.Sprint("small-", i), Team: "b", Tasks: 8, Resources: size(1, 1)}).Err())
	}
	for i := range 6 {
		submitSmall(i)
	}
	e.settle()
	require.NoError(t, e.submit(jaygw.JobSpec{Name: "large", Team: "a", Tasks: 1, Resources: size(8, 8)}).Err())
	for i := range 120 {
		e.pass(time.Second)
		for _, task := range e.machine.State().Tasks {
			if task.State == jaygw.Running && task.Owner != "large" && e.now.Sub(task.Since) > 8*time.Second {
				e.report(task, jaygw.Completed)
			}
		}
		submitSmall(100 + i)
		e.settle()
		if e.count("large", jaygw.Running) == 1 {
			return
		}
	}
	t.Fatal("the large job did not start in 120 s")
}

// Under a backlog, teams must get VMs in proportion to their weights.
func TestTeamsShareByWeight(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "one", "two", "three")})
	for i := range 6 {
		e.announce(fmt.Sprint("vm-", i), "x", 1, size(10, 64))
	}
	for _, team := range []string{"one", "two", "three"} {
		e.submit(jaygw.JobSpec{Name: team, Team: team, Tasks: 200, Resources: size(1, 1)})
	}
	e.settle()
	e.pass(20 * time.Second) // without reports, new jobs are limited for a while
	e.settle()
	require.InDelta(t, 10, e.count("one", jaygw.Running), 1)
	require.InDelta(t, 20, e.count("two", jaygw.Running), 1)
	require.InDelta(t, 30, e.count("three", jaygw.Running), 1)
}

// Urgent work must not wait behind batch work, and must take the place of the
// work that has the least to lose, of a team over its share.
func TestUrgentWorkEvictsTheLeastLostWork(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "small", "large")})
	for i := range 2 {
		e.announce(fmt.Sprint("vm-", i), "x", 1, size(4, 64))
	}
	e.submit(jaygw.JobSpec{Name: "fair", Team: "small", Tasks: 1, Resources: size(2, 1)})
	e.submit(jaygw.JobSpec{Name: "greedy", Team: "large", Tasks: 3, Resources: size(2, 1)})
	e.settle()
	e.pass(10 * time.Minute)
	saved := e.task("greedy/1")
	require.Equal(t, jaygw.Running, saved.State)
	e.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: saved.VM, Incarnation: 1, Reports: []jaygw.Report{{
		Attempt: saved.Attempt(), Kind: jaygw.Checkpointed, Checkpoint: jaygw.Checkpoint{Progress: jaygw.Duration(9 * time.Minute)},
	}}}})
	e.submit(jaygw.JobSpec{Name: "now", Team: "small", Tasks: 1, Resources: size(2, 1), Urgent: true})
	e.settle()
	require.Equal(t, 1, e.count("now", jaygw.Running))
	require.Equal(t, jaygw.Waiting, e.task("greedy/1").State)
	require.Equal(t, 1, e.count("fair", jaygw.Running))
}

// Urgent work must not wait for bulk work of its own team that has used up the
// quota.
func TestUrgentWorkTakesTheQuotaOfItsTeam(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(4, 1000), "a")})
	for i := range 2 {
		e.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	e.submit(jaygw.JobSpec{Name: "bulk", Team: "a", Tasks: 4, Resources: size(1, 1)})
	e.settle()
	e.submit(jaygw.JobSpec{Name: "now", Team: "a", Tasks: 1, Resources: size(2, 1), Urgent: true})
	e.settle()
	require.Equal(t, 1, e.count("now", jaygw.Running))
	require.Equal(t, 2, e.count("bulk", jaygw.Running))
}

// A domain that leaves must not take services down faster than they may move, nor
// let batch work take the places that they move to.
func TestServicesLeaveADomainFirstAtTheRate(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{
		Teams:    teams(size(1000, 1000), "a", "b"),
		Services: []jaygw.ServiceSpec{{Name: "web", Team: "a", Class: jaygw.LatencyCritical, Replicas: 12, Resources: size(2, 1)}},
		Limits:   jaygw.Limits{MovesPerSecond: 2},
	})
	for i := range 6 {
		e.announce(fmt.Sprint("vm-", i), []string{"x", "y", "z"}[i%3], 1, size(8, 64))
	}
	e.settle()
	e.submit(jaygw.JobSpec{Name: "batch", Team: "b", Tasks: 100, Resources: size(1, 1), RunTime: jaygw.Duration(time.Hour)})
	e.settle()
	e.pass(20 * time.Second) // without reports, new jobs are limited for a while
	e.settle()
	e.setDomain("x", true)
	for second := range 3 {
		e.settle()
		inDomain := 0
		for _, id := range e.machine.TasksOf("env", "web") {
			task := e.machine.State().Tasks[id]
			require.Equal(t, jaygw.Running, task.State, id)
			if e.machine.State().VMs[task.VM].Domain == "x" {
				inDomain++
			}
		}
		require.Equal(t, max(0, 4-2*(second+1)), inDomain)
		require.Zero(t, onVM(e, "batch", "vm-0")+onVM(e, "batch", "vm-3"))
		e.pass(time.Second)
	}
	e.setDomain("x", false)
	e.settle()
	require.LessOrEqual(t, onVM(e, "batch", "vm-0"), 1, "the domain is ramped up")
	e.pass(time.Minute)
	e.settle()
	require.Equal(t, 8, onVM(e, "batch", "vm-0"))
}

// Batch work that is about to end must not be evicted from a domain that is out,
// and must not stay for longer than the drain takes.
func TestWorkThatEndsSoonStaysInADrainedDomain(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	e.announce("vm-0", "x", 1, size(8, 64))
	e.submit(jaygw.JobSpec{Name: "short", Team: "a", Tasks: 1, Resources: size(1, 1), RunTime: jaygw.Duration(2 * time.Minute)})
	e.submit(jaygw.JobSpec{Name: "long", Team: "a", Tasks: 1, Resources: size(1, 1), RunTime: jaygw.Duration(20 * time.Minute)})
	e.settle()
	e.setDomain("x", true)
	e.settle()
	require.Equal(t, 1, e.count("short", jaygw.Running))
	require.Equal(t, 1, e.count("long", jaygw.Waiting))
	require.Equal(t, []jaygw.Order{{Attempt: e.task("short/0").Attempt(), Action: jaygw.ActionCheckpoint}},
		e.scheduler.Orders("vm-0", e.now))
	e.pass(2 * time.Minute)
	e.settle()
	e.pass(time.Minute)
	e.settle()
	require.Equal(t, 1, e.count("short", jaygw.Waiting))
}

func onVM(e *estate, owner, vm string) int {
	count := 0
	for _, id := range e.machine.TasksOn(vm) {
		if e.machine.State().Tasks[id].Owner == owner {
			count++
		}
	}
	return count
}

// A worker that fails everything must stop attracting work; a job that fails
// everywhere must not take the workers with it.
func TestBadWorkersAndBadTasksAreToldApart(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	for i := range 10 {
		e.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	e.submit(jaygw.JobSpec{Name: "bad", Team: "a", Tasks: 20, Resources: size(1, 1), MaxFailures: 50})
	for i := range 4 {
		e.submit(jaygw.JobSpec{Name: fmt.Sprint("good-", i), Team: "a", Tasks: 400, Resources: size(1, 1), MaxFailures: 1000})
	}
	late := 0
	for second := range 300 {
		e.pass(time.Second)
		e.step()
		for _, task := range e.machine.State().Tasks {
			switch {
			case task.State == jaygw.Granted && task.VM == "vm-3" && second > 120:
				late++
				e.report(task, jaygw.AttemptFailed)
			case task.State == jaygw.Granted && (task.Owner == "bad" || task.VM == "vm-3"):
				e.report(task, jaygw.AttemptFailed)
			case task.State == jaygw.Granted:
				e.report(task, jaygw.Started)
			case task.State == jaygw.Running && e.now.Sub(task.Since) > 20*time.Second:
				e.report(task, jaygw.Completed)
			}
		}
		if second == 200 {
			for i := range 10 {
				if i != 3 {
					require.Positive(t, len(e.machine.TasksOn(fmt.Sprint("vm-", i))), "vm-%d is in quarantine", i)
				}
			}
		}
	}
	require.LessOrEqual(t, late, 5, "starts on the bad worker after it was known, probes included")
}

// A job that no VM can run any more must be reported with the reason, and no
// longer once a VM can.
func TestJobsThatCanNeverRunAreReported(t *testing.T) {
	e := newEstate(t)
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	e.announce("large", "x", 1, size(16, 64))
	e.announce("small", "x", 1, size(4, 64))
	e.scheduler.SetSilent("large", true)
	require.Equal(t, jaygw.RefusedNeverFits,
		e.submit(jaygw.JobSpec{Name: "huge", Team: "a", Tasks: 1, Resources: size(17, 1)}).Refusal.Code)
	e.submit(jaygw.JobSpec{Name: "big", Team: "a", Tasks: 2, Resources: size(8, 1)})
	reason := func() string {
		e.pass(2 * time.Second)
		e.settle()
		return e.machine.State().Jobs["env/big"].Reason
	}
	require.Empty(t, reason())
	e.apply(jaygw.Command{RemoveVM: &jaygw.RemoveVM{Name: "large"}})
	require.Contains(t, reason(), "larger than every VM")
	e.announce("again", "x", 1, size(16, 64))
	e.promote(jaygw.Document{Teams: teams(size(6, 1000), "a")})
	require.Contains(t, reason(), "quota")
	e.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	require.Empty(t, reason())
	require.Equal(t, 2, e.count("big", jaygw.Running))
}
