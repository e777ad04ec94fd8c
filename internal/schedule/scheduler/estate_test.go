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
	seeder.Fix(100)
	os.Exit(m.Run())
}

// estate is a state machine with the scheduler that observes it, in virtual time.
type estate struct {
	t         require.TestingT
	machine   *applier.Machine
	scheduler *scheduler.Scheduler
	index     jaygw.Index
	now       jaygw.Time
	number    uint64
}

func newEstate(t require.TestingT, options ...scheduler.Option) *estate {
	e := &estate{t: t, scheduler: scheduler.New(options...), now: jaygw.Time(time.Hour)}
	e.machine = applier.New("main", applier.WithObserver(e.scheduler))
	return e
}

func size(cores, gigabytes int) jaygw.Resources {
	return jaygw.Resources{CPU: jaygw.MilliCores(cores) * jaygw.Core, Memory: jaygw.Bytes(gigabytes) * jaygw.GB}
}

func (e *estate) apply(c jaygw.Command) jaygw.Result {
	e.index++
	c.Time = e.now
	return e.machine.Apply(e.index, c)
}

func (e *estate) promote(d jaygw.Document) {
	e.number++
	d.Environment, d.Number = "env", e.number
	digest := fmt.Sprint(e.number)
	require.NoError(e.t, e.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: d, Digest: digest}}).Err())
	require.NoError(e.t, e.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "env", Digest: digest}}).Err())
}

func (e *estate) announce(name, domain string, incarnation int, size jaygw.Resources) {
	require.NoError(e.t, e.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
		Name: name, Domain: domain, Rack: domain + "-1", Incarnation: jaygw.Incarnation(incarnation), Size: size,
	}}}).Err())
}

func (e *estate) submit(spec jaygw.JobSpec) jaygw.Result {
	spec.Environment = "env"
	return e.apply(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}})
}

func (e *estate) setDomain(name string, out bool) {
	e.apply(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: name, Out: out}})
}

// step applies one decision, which has to be accepted in full.
func (e *estate) step() []jaygw.Command {
	commands := e.scheduler.Decide(e.machine, e.now)
	for _, c := range commands {
		result := e.apply(c)
		require.NoError(e.t, result.Err())
		for i, item := range result.Results {
			require.Empty(e.t, item.Code, "%s: item %d of %+v", item.Detail, i, c)
		}
	}
	return commands
}

// settle repeats decisions, starting what is granted and stopping what is
// evicted, until nothing more is decided.
func (e *estate) settle() (commands []jaygw.Command) {
	for range 50 {
		decided := e.step()
		commands = append(commands, decided...)
		e.runWorkers()
		if len(decided) == 0 {
			return commands
		}
	}
	return commands
}

// runWorkers reports starts and stops as prompt workers would.
func (e *estate) runWorkers() {
	for _, task := range e.machine.State().Tasks {
		switch task.State {
		case jaygw.Granted:
			e.report(task, jaygw.Started)
		case jaygw.Stopping:
			e.report(task, jaygw.Stopped)
		}
	}
}

func (e *estate) report(task *jaygw.Task, kind jaygw.ReportKind) {
	vm := e.machine.State().VMs[task.VM]
	e.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: vm.Name, Incarnation: vm.Incarnation, Reports: []jaygw.Report{{
		Attempt: task.Attempt(), Kind: kind, Checkpoint: task.Checkpoint,
		NotBefore: e.now.Add(scheduler.Backoff(task.Attempt(), task.Failures)),
	}}}})
}

func (e *estate) task(id string) *jaygw.Task { return e.machine.State().Tasks[jaygw.TaskID("env/"+id)] }

// count returns the number of tasks of an owner in a state.
func (e *estate) count(owner string, state jaygw.TaskState) int {
	count := 0
	for _, id := range e.machine.TasksOf("env", owner) {
		if e.machine.State().Tasks[id].State == state {
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

func (e *estate) pass(d time.Duration) { e.now = e.now.Add(d) }
