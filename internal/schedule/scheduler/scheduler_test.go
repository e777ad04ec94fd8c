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

// Guards against decisions that are refused although the state has not changed since, and against
// an index, updated with each change, that differs from one rebuilt from the state.
func TestDecisionsAreAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(t, scheduler.WithoutInterference())
		f.promote(jaygw.Document{Teams: teams(size(40, 40), "a", "b"), Services: []jaygw.ServiceSpec{
			{Name: "web", Team: "a", Class: jaygw.LatencyCritical, Replicas: 3, Resources: size(2, 1)},
		}})
		domain := rapid.SampledFrom([]string{"x", "y", "z"})
		job := 0
		pick := func(t *rapid.T, states ...jaygw.TaskState) *jaygw.Task {
			var ids []jaygw.TaskID
			for id, task := range f.machine.State().Tasks {
				if slices.Contains(states, task.State) {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return nil
			}
			slices.Sort(ids)
			return f.machine.State().Tasks[rapid.SampledFrom(ids).Draw(t, "task")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				number := rapid.IntRange(0, 7).Draw(t, "vm")
				f.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
					Name: fmt.Sprint("vm-", number), Domain: []string{"x", "y", "z"}[number%3], Incarnation: 1,
					Size:    size(rapid.IntRange(4, 12).Draw(t, "cores"), 16),
					Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0,
				}}})
			},
			"submit": func(t *rapid.T) {
				job++
				f.submit(jaygw.JobSpec{
					Name: fmt.Sprint("job-", job), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"),
					Tasks: rapid.IntRange(1, 8).Draw(t, "tasks"), Resources: size(rapid.IntRange(1, 8).Draw(t, "cores"), 1),
					Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 0,
				})
			},
			"cancel": func(t *rapid.T) {
				name := fmt.Sprint("job-", rapid.IntRange(0, job).Draw(t, "job"))
				f.apply(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "env", Name: name}})
			},
			"start": func(t *rapid.T) {
				if task := pick(t, jaygw.Granted); task != nil {
					f.report(task, jaygw.Started)
				}
			},
			"end": func(t *rapid.T) {
				if task := pick(t, jaygw.Running, jaygw.Stopping); task != nil {
					f.report(task, rapid.SampledFrom([]jaygw.ReportKind{
						jaygw.Completed, jaygw.AttemptFailed, jaygw.Stopped,
					}).Draw(t, "kind"))
				}
			},
			"take out or return": func(t *rapid.T) { f.setDomain(domain.Draw(t, "domain"), rapid.Bool().Draw(t, "out")) },
			"silence": func(t *rapid.T) {
				f.scheduler.SetUnresponsive(fmt.Sprint("vm-", rapid.IntRange(0, 7).Draw(t, "vm")), rapid.Bool().Draw(t, "silent"))
			},
			"use": func(t *rapid.T) {
				if task := pick(t, jaygw.Running); task != nil {
					f.scheduler.Observe(f.machine, task.VM, []jaygw.Usage{{
						Attempt: task.Attempt(), Used: size(rapid.IntRange(1, 9).Draw(t, "used"), 1),
					}}, f.now)
				}
			},
			"change quotas": func(t *rapid.T) {
				f.promote(jaygw.Document{
					Teams:  teams(size(rapid.IntRange(4, 60).Draw(t, "quota"), 40), "a", "b"),
					Limits: jaygw.Limits{CommitBelowDeclared: rapid.Bool().Draw(t, "below")},
				})
			},
			"time passes": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				f.step()
				require.Empty(t, f.scheduler.IndexDifference(f.machine))
			},
		})
	})
}

// Guards against starvation of a large job by small ones, which arrive all the time and would
// take each core that becomes free.
func TestSmallJobsDoNotStarveLargeJob(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a", "b")})
	for i := range 4 {
		f.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	submitSmall := func(i int) {
		require.NoError(t, f.submit(jaygw.JobSpec{Name: fmt.Sprint("small-", i), Team: "b", Tasks: 8, Resources: size(1, 1)}).Err())
	}
	for i := range 6 {
		submitSmall(i)
	}
	f.settle()
	require.NoError(t, f.submit(jaygw.JobSpec{Name: "large", Team: "a", Tasks: 1, Resources: size(8, 8)}).Err())
	for i := range 120 {
		f.advance(time.Second)
		for _, task := range f.machine.State().Tasks {
			if task.State == jaygw.Running && task.Owner != "large" && f.now.Sub(task.Since) > 8*time.Second {
				f.report(task, jaygw.Completed)
			}
		}
		submitSmall(100 + i)
		f.settle()
		if f.count("large", jaygw.Running) == 1 {
			return
		}
	}
	t.Fatal("the large job did not start in 120 s")
}

// Guards against a division of the VMs among teams with a backlog that is not in proportion to
// their weights.
func TestTeamsShareVMsByWeight(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "one", "two", "three")})
	for i := range 6 {
		f.announce(fmt.Sprint("vm-", i), "x", 1, size(10, 64))
	}
	for _, team := range []string{"one", "two", "three"} {
		f.submit(jaygw.JobSpec{Name: team, Team: team, Tasks: 200, Resources: size(1, 1)})
	}
	f.settle()
	f.advance(20 * time.Second) // without usage reports, the starts of a new job are limited at first
	f.settle()
	require.InDelta(t, 10, f.count("one", jaygw.Running), 1)
	require.InDelta(t, 20, f.count("two", jaygw.Running), 1)
	require.InDelta(t, 30, f.count("three", jaygw.Running), 1)
}

// Guards against urgent tasks that wait for batch tasks, and against evictions of teams within
// their share or of tasks that lose more work than others.
func TestUrgentTaskEvictsTaskWithLeastLostWork(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "small", "large")})
	for i := range 2 {
		f.announce(fmt.Sprint("vm-", i), "x", 1, size(4, 64))
	}
	f.submit(jaygw.JobSpec{Name: "fair", Team: "small", Tasks: 1, Resources: size(2, 1)})
	f.submit(jaygw.JobSpec{Name: "greedy", Team: "large", Tasks: 3, Resources: size(2, 1)})
	f.settle()
	f.advance(10 * time.Minute)
	checkpointed := f.task("greedy/1")
	require.Equal(t, jaygw.Running, checkpointed.State)
	f.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: checkpointed.VM, Incarnation: 1, Reports: []jaygw.Report{{
		Attempt: checkpointed.Attempt(), Kind: jaygw.Checkpointed, Checkpoint: jaygw.Checkpoint{Progress: jaygw.Duration(9 * time.Minute)},
	}}}})
	f.submit(jaygw.JobSpec{Name: "now", Team: "small", Tasks: 1, Resources: size(2, 1), Urgent: true})
	f.settle()
	require.Equal(t, 1, f.count("now", jaygw.Running))
	require.Equal(t, jaygw.Waiting, f.task("greedy/1").State)
	require.Equal(t, 1, f.count("fair", jaygw.Running))
}

// Guards against urgent tasks that wait because bulk tasks of their own team have used up its
// quota.
func TestUrgentTaskEvictsForItsTeamQuota(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(4, 1000), "a")})
	for i := range 2 {
		f.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	f.submit(jaygw.JobSpec{Name: "bulk", Team: "a", Tasks: 4, Resources: size(1, 1)})
	f.settle()
	f.submit(jaygw.JobSpec{Name: "now", Team: "a", Tasks: 1, Resources: size(2, 1), Urgent: true})
	f.settle()
	require.Equal(t, 1, f.count("now", jaygw.Running))
	require.Equal(t, 2, f.count("bulk", jaygw.Running))
}

// Guards against replicas that leave a domain that is out faster than the rate of moves allows,
// and against batch tasks that take the capacity to which they move.
func TestServicesLeaveDomainFirstWithinMoveRate(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{
		Teams:    teams(size(1000, 1000), "a", "b"),
		Services: []jaygw.ServiceSpec{{Name: "web", Team: "a", Class: jaygw.LatencyCritical, Replicas: 12, Resources: size(2, 1)}},
		Limits:   jaygw.Limits{MovesPerSecond: 2},
	})
	for i := range 6 {
		f.announce(fmt.Sprint("vm-", i), []string{"x", "y", "z"}[i%3], 1, size(8, 64))
	}
	f.settle()
	f.submit(jaygw.JobSpec{Name: "batch", Team: "b", Tasks: 100, Resources: size(1, 1), RunTime: jaygw.Duration(time.Hour)})
	f.settle()
	f.advance(20 * time.Second) // without usage reports, the starts of a new job are limited at first
	f.settle()
	f.setDomain("x", true)
	for second := range 3 {
		f.settle()
		inDomain := 0
		for _, id := range f.machine.TasksOf("env", "web") {
			task := f.machine.State().Tasks[id]
			require.Equal(t, jaygw.Running, task.State, id)
			if f.machine.State().VMs[task.VM].Domain == "x" {
				inDomain++
			}
		}
		require.Equal(t, max(0, 4-2*(second+1)), inDomain)
		require.Zero(t, onVM(f, "batch", "vm-0")+onVM(f, "batch", "vm-3"))
		f.advance(time.Second)
	}
	f.setDomain("x", false)
	f.settle()
	require.LessOrEqual(t, onVM(f, "batch", "vm-0"), 1, "the domain is ramped up")
	f.advance(time.Minute)
	f.settle()
	require.Equal(t, 8, onVM(f, "batch", "vm-0"))
}

// Guards against evictions of batch tasks that are about to end from a domain that is out, and
// against tasks that stay there for longer than the drain time.
func TestTasksThatEndSoonStayInDrainedDomain(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	f.announce("vm-0", "x", 1, size(8, 64))
	f.submit(jaygw.JobSpec{Name: "short", Team: "a", Tasks: 1, Resources: size(1, 1), RunTime: jaygw.Duration(2 * time.Minute)})
	f.submit(jaygw.JobSpec{Name: "long", Team: "a", Tasks: 1, Resources: size(1, 1), RunTime: jaygw.Duration(20 * time.Minute)})
	f.settle()
	f.setDomain("x", true)
	f.settle()
	require.Equal(t, 1, f.count("short", jaygw.Running))
	require.Equal(t, 1, f.count("long", jaygw.Waiting))
	require.Equal(t, []jaygw.Order{{Attempt: f.task("short/0").Attempt(), Action: jaygw.ActionCheckpoint}},
		f.scheduler.Orders("vm-0", f.now))
	f.advance(2 * time.Minute)
	f.settle()
	f.advance(time.Minute)
	f.settle()
	require.Equal(t, 1, f.count("short", jaygw.Waiting))
}

func onVM(f *fixture, owner, vm string) int {
	count := 0
	for _, id := range f.machine.TasksOn(vm) {
		if f.machine.State().Tasks[id].Owner == owner {
			count++
		}
	}
	return count
}

// Guards against a VM on which every task fails that still gets tasks, and against a job that
// fails on all VMs and puts them into quarantine.
func TestFailuresAreAttributedToVMOrJob(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	for i := range 10 {
		f.announce(fmt.Sprint("vm-", i), "x", 1, size(8, 64))
	}
	f.submit(jaygw.JobSpec{Name: "bad", Team: "a", Tasks: 20, Resources: size(1, 1), MaxFailures: 50})
	for i := range 4 {
		f.submit(jaygw.JobSpec{Name: fmt.Sprint("good-", i), Team: "a", Tasks: 400, Resources: size(1, 1), MaxFailures: 1000})
	}
	startsOnBadVM := 0
	for second := range 300 {
		f.advance(time.Second)
		f.step()
		for _, task := range f.machine.State().Tasks {
			switch {
			case task.State == jaygw.Granted && task.VM == "vm-3" && second > 120:
				startsOnBadVM++
				f.report(task, jaygw.AttemptFailed)
			case task.State == jaygw.Granted && (task.Owner == "bad" || task.VM == "vm-3"):
				f.report(task, jaygw.AttemptFailed)
			case task.State == jaygw.Granted:
				f.report(task, jaygw.Started)
			case task.State == jaygw.Running && f.now.Sub(task.Since) > 20*time.Second:
				f.report(task, jaygw.Completed)
			}
		}
		if second == 200 {
			for i := range 10 {
				if i != 3 {
					require.Positive(t, len(f.machine.TasksOn(fmt.Sprint("vm-", i))), "vm-%d is in quarantine", i)
				}
			}
		}
	}
	require.LessOrEqual(t, startsOnBadVM, 5, "starts on the failing VM after 120 s, probes included")
}

// Guards against jobs that no VM can run any more and that are not reported with the reason, and
// against reports that remain once a VM can run the job.
func TestBlockedJobsAreReported(t *testing.T) {
	f := newFixture(t)
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	f.announce("large", "x", 1, size(16, 64))
	f.announce("small", "x", 1, size(4, 64))
	f.scheduler.SetUnresponsive("large", true)
	require.Equal(t, jaygw.RefusedNeverFits,
		f.submit(jaygw.JobSpec{Name: "huge", Team: "a", Tasks: 1, Resources: size(17, 1)}).Refusal.Code)
	f.submit(jaygw.JobSpec{Name: "big", Team: "a", Tasks: 2, Resources: size(8, 1)})
	reason := func() string {
		f.advance(2 * time.Second)
		f.settle()
		return f.machine.State().Jobs["env/big"].Reason
	}
	require.Empty(t, reason())
	f.apply(jaygw.Command{RemoveVM: &jaygw.RemoveVM{Name: "large"}})
	require.Contains(t, reason(), "larger than every VM")
	f.announce("again", "x", 1, size(16, 64))
	f.promote(jaygw.Document{Teams: teams(size(6, 1000), "a")})
	require.Contains(t, reason(), "quota")
	f.promote(jaygw.Document{Teams: teams(size(1000, 1000), "a")})
	require.Empty(t, reason())
	require.Equal(t, 2, f.count("big", jaygw.Running))
}
