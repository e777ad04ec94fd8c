package scheduler_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(100)
	os.Exit(m.Run())
}

// fixture is a state machine and the scheduler that observes it, in virtual time.
type fixture struct {
	t              require.TestingT
	machine        *applier.Machine
	scheduler      *scheduler.Scheduler
	index          jaygw.Index
	now            jaygw.Time
	documentNumber uint64
}

func newFixture(t require.TestingT, options ...scheduler.Option) *fixture {
	f := &fixture{t: t, scheduler: scheduler.New(options...), now: jaygw.Time(time.Hour)}
	f.machine = applier.New("main", applier.WithObserver(f.scheduler))
	return f
}

func size(cores, gigabytes int) jaygw.Resources {
	return jaygw.Resources{CPU: jaygw.MilliCores(cores) * jaygw.Core, Memory: jaygw.Bytes(gigabytes) * jaygw.GB}
}

func (f *fixture) apply(c jaygw.Command) jaygw.Result {
	f.index++
	c.Time = f.now
	return f.machine.Apply(f.index, c)
}

func (f *fixture) promote(d jaygw.Document) {
	f.documentNumber++
	d.Environment, d.Number = "env", f.documentNumber
	digest := fmt.Sprint(f.documentNumber)
	require.NoError(f.t, f.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: d, Digest: digest}}).Err())
	require.NoError(f.t, f.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "env", Digest: digest}}).Err())
}

func (f *fixture) announce(name, domain string, incarnation int, size jaygw.Resources) {
	require.NoError(f.t, f.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
		Name: name, Domain: domain, Rack: domain + "-1", Incarnation: jaygw.Incarnation(incarnation), Size: size,
	}}}).Err())
}

func (f *fixture) submit(spec jaygw.JobSpec) jaygw.Result {
	spec.Environment = "env"
	return f.apply(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}})
}

func (f *fixture) setDomain(name string, out bool) {
	f.apply(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: name, Out: out}})
}

// step applies the commands of one decision and requires that each item is accepted.
func (f *fixture) step() []jaygw.Command {
	commands := f.scheduler.Decide(f.machine, f.now)
	for _, c := range commands {
		result := f.apply(c)
		require.NoError(f.t, result.Err())
		for i, item := range result.Results {
			require.Empty(f.t, item.Code, "%s: item %d of %+v", item.Detail, i, c)
		}
	}
	return commands
}

// settle repeats decisions until one is empty, at most 50 times. After each, it reports granted
// tasks as started and evicted tasks as stopped.
func (f *fixture) settle() (commands []jaygw.Command) {
	for range 50 {
		decided := f.step()
		commands = append(commands, decided...)
		f.runWorkers()
		if len(decided) == 0 {
			return commands
		}
	}
	return commands
}

// runWorkers reports all granted tasks as started and all stopping tasks as stopped.
func (f *fixture) runWorkers() {
	for _, task := range f.machine.State().Tasks {
		switch task.State {
		case jaygw.Granted:
			f.report(task, jaygw.Started)
		case jaygw.Stopping:
			f.report(task, jaygw.Stopped)
		}
	}
}

func (f *fixture) report(task *jaygw.Task, kind jaygw.ReportKind) {
	vm := f.machine.State().VMs[task.VM]
	f.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: vm.Name, Incarnation: vm.Incarnation, Reports: []jaygw.Report{{
		Attempt: task.Attempt(), Kind: kind, Checkpoint: task.Checkpoint,
		NotBefore: f.now.Add(scheduler.Backoff(task.Attempt(), task.Failures)),
	}}}})
}

func (f *fixture) task(id string) *jaygw.Task {
	return f.machine.State().Tasks[jaygw.TaskID("env/"+id)]
}

// count returns the number of tasks of an owner in a state.
func (f *fixture) count(owner string, state jaygw.TaskState) int {
	count := 0
	for _, id := range f.machine.TasksOf("env", owner) {
		if f.machine.State().Tasks[id].State == state {
			count++
		}
	}
	return count
}

func teams(quota jaygw.Resources, names ...string) []jaygw.TeamSpec {
	var specs []jaygw.TeamSpec
	for i, name := range names {
		specs = append(specs, jaygw.TeamSpec{Name: name, Quota: quota, Weight: i + 1})
	}
	return specs
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }
