package registrar_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const checksPerRun = 300

func TestMain(m *testing.M) {
	seeder.FixSeed(checksPerRun)
	os.Exit(m.Run())
}

// oracle is a model of the registrar in plain maps, for comparison.
type oracle struct {
	placed     map[jaygw.Run]string // VM by placed run
	done       map[jaygw.StepTask]bool
	lastNumber map[jaygw.StepTask]uint64 // number of the latest run
	ended      map[string]bool           // workflows that have ended
	begun      map[string]bool           // workflows of which a worker has begun a task
}

// catalog returns a catalog with one queue that allows two attempts of each task.
func catalog(number uint64) jaygw.Catalog {
	return jaygw.Catalog{
		Number:   number,
		Queues:   []jaygw.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxAttempts: 2, Timeout: 1}},
		Services: []jaygw.PoolSpec{{Name: "s"}},
	}
}

// spec returns a workflow with a step of two tasks and a second step of one task that follows it.
func spec(id string) jaygw.WorkflowSpec {
	return jaygw.WorkflowSpec{ID: id, Steps: []jaygw.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}}}
}

// TestRandomCommands guards against a task that has two runs at a time, starts before the steps
// that it follows are done, or starts again once it is done, and against a workflow that is
// completed too early. Snapshots are taken and restored at random between the commands.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, index := jaygw.Time(1), jaygw.Index(0)
		r := registrar.New(func(string) bool { return false })
		require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
		o := &oracle{
			placed: map[jaygw.Run]string{}, done: map[jaygw.StepTask]bool{},
			lastNumber: map[jaygw.StepTask]uint64{}, ended: map[string]bool{}, begun: map[string]bool{},
		}
		workflow := rapid.SampledFrom([]string{"a", "b", "c"})
		vm := rapid.SampledFrom([]string{"vm-1", "vm-2"})
		task := rapid.Custom(func(t *rapid.T) jaygw.StepTask {
			step := rapid.IntRange(0, 1).Draw(t, "step")
			return jaygw.StepTask{Workflow: workflow.Draw(t, "workflow"), Step: step, Index: rapid.IntRange(0, 1-step).Draw(t, "index")}
		})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := workflow.Draw(t, "id")
				require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec(id), Host: "h", Path: "/q/" + id}, now).Refusal)
			},
			"cancel": func(t *rapid.T) {
				id := workflow.Draw(t, "id")
				exists := r.Workflow(id) != nil
				result := r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/" + id}, now)
				require.Equal(t, exists, result.Refusal == nil)
				o.ended[id] = o.ended[id] || exists
			},
			"session": func(t *rapid.T) {
				index++
				name := vm.Draw(t, "vm")
				incarnation := jaygw.WorkerIncarnation{Name: name, StartTime: jaygw.Time(rapid.IntRange(1, 3).Draw(t, "start time"))}
				before := r.Session(name)
				unknown := rapid.Bool().Draw(t, "runs unknown")
				r.OpenSession(jaygw.OpenSession{
					VM: name, Process: rapid.Uint64Range(1, 2).Draw(t, "process"), Incarnation: incarnation, RunsUnknown: unknown,
				}, index, now)
				if before == nil || before.Life == incarnation || unknown {
					return
				}
				for run, placedOn := range o.placed {
					if placedOn == name {
						delete(o.placed, run)
					}
				}
			},
			"start": func(t *rapid.T) {
				id, name := task.Draw(t, "task"), vm.Draw(t, "vm")
				session := r.Session(name)
				if session == nil {
					return
				}
				run := jaygw.Run{Task: id, Number: rapid.Uint64Range(1, 6).Draw(t, "number")}
				result := r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: name, Session: session.Number}}}, now)
				if result.Results[0].Code != "" {
					return
				}
				require.False(t, o.ended[id.Workflow], "a run of a workflow that has ended was granted")
				require.False(t, o.done[id], "a task that is done was started again")
				require.Greater(t, run.Number, o.lastNumber[id], "the run number is not higher than the previous one")
				for other := range o.placed {
					require.NotEqual(t, id, other.Task, "a task has two runs")
				}
				if id.Step == 1 {
					for i := range 2 {
						require.True(t, o.done[jaygw.StepTask{Workflow: id.Workflow, Index: i}], "an earlier step is not done")
					}
				}
				o.placed[run], o.lastNumber[id] = name, run.Number
			},
			"end": func(t *rapid.T) {
				run := jaygw.Run{Task: task.Draw(t, "task"), Number: rapid.Uint64Range(1, 6).Draw(t, "number")}
				outcome := rapid.SampledFrom([]jaygw.RunOutcome{jaygw.RunDone, jaygw.RunFailed, jaygw.RunLeaseExpired, jaygw.RunNotStarted}).Draw(t, "outcome")
				name := o.placed[run]
				if name == "" {
					name = vm.Draw(t, "vm")
				}
				r.EndRuns(jaygw.EndRuns{VM: name, Ended: []jaygw.EndedRun{{Run: run, Outcome: outcome}}}, now)
				delete(o.placed, run)
				id := run.Task.Workflow
				o.begun[id] = o.begun[id] || outcome != jaygw.RunNotStarted && run.Number <= o.lastNumber[run.Task]
				if outcome == jaygw.RunDone && o.lastNumber[run.Task] == run.Number && !o.ended[run.Task.Workflow] {
					o.done[run.Task] = true
				}
			},
			"begin": func(t *rapid.T) {
				id := workflow.Draw(t, "id")
				r.BeginWorkflows(jaygw.BeginWorkflows{IDs: []string{id}})
				o.begun[id] = o.begun[id] || r.Workflow(id) != nil
			},
			"snapshot": func(t *rapid.T) {
				data, err := encoder.Marshal(r.Snapshot())
				require.NoError(t, err)
				state := &registrar.State{}
				require.NoError(t, encoder.Unmarshal(data, state))
				r = registrar.New(func(string) bool { return false })
				r.Restore(state)
			},
			"": func(t *rapid.T) { compareWithModel(t, r, o) },
		})
	})
}

// compareWithModel checks that the registrar agrees with the model. It also records workflows that
// have failed, since the model does not count failures.
func compareWithModel(t *rapid.T, r *registrar.Registrar, o *oracle) {
	actual := map[jaygw.Run]string{}
	for _, vm := range r.VMs() {
		r.ForEachPlacement(vm, func(p *registrar.Placement) { actual[p.Run] = p.VM })
	}
	require.Equal(t, fmt.Sprint(o.placed), fmt.Sprint(actual), "the runs that hold resources")
	waiting := 0
	for _, id := range []string{"a", "b", "c"} {
		w := r.Workflow(id)
		if w == nil {
			continue
		}
		allDone := o.done[jaygw.StepTask{Workflow: id}] && o.done[jaygw.StepTask{Workflow: id, Index: 1}] &&
			o.done[jaygw.StepTask{Workflow: id, Step: 1}]
		if w.State == jaygw.WorkflowCompleted {
			require.True(t, allDone, "workflow %s is completed too early", id)
		}
		if w.State == jaygw.WorkflowFailed {
			o.ended[id] = true
		}
		if w.State.Ended() {
			continue
		}
		require.Equal(t, o.begun[id], w.State == jaygw.WorkflowRunning, "workflow %s is %s", id, w.State)
		if w.State == jaygw.WorkflowQueued {
			waiting++
		}
	}
	require.Equal(t, waiting, r.CountQueued("h", "/q/"))
}

// TestCatalogNumbers guards against an older catalog that replaces a newer one, against different
// content that replaces a catalog of the same number, and against a resend that is refused.
func TestCatalogNumbers(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(7)}).Refusal)
	other := catalog(7)
	other.Queues = nil
	for _, older := range []jaygw.Catalog{catalog(7), other, catalog(3)} {
		result := r.PutCatalog(jaygw.PutCatalog{Catalog: older})
		require.Nil(t, result.Refusal)
		require.True(t, result.AlreadyApplied)
	}
	require.Len(t, r.Catalog().Queues, 1)
	invalid := catalog(9)
	invalid.Services = nil
	require.Equal(t, jaygw.RefusedInvalid, r.PutCatalog(jaygw.PutCatalog{Catalog: invalid}).Refusal.Code)
	require.Equal(t, uint64(7), r.Catalog().Number)
}

// TestAttemptLimit guards against a workflow that goes on after one of its tasks has failed as often
// as its queue allows.
func TestAttemptLimit(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
	r.OpenSession(jaygw.OpenSession{VM: "vm", Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: "w"}}, 5, 1)
	r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "x", Steps: []jaygw.Step{{Tasks: 1}}}, Host: "H", Path: "/q/x"}, 1)
	for number := range uint64(2) {
		run := jaygw.Run{Task: jaygw.StepTask{Workflow: "x"}, Number: number + 1}
		require.Empty(t, r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "vm", Session: 5}}}, 1).Results[0].Code)
		r.EndRuns(jaygw.EndRuns{VM: "vm", Ended: []jaygw.EndedRun{{Run: run, Outcome: jaygw.RunFailed}}}, 1)
	}
	require.Equal(t, jaygw.WorkflowFailed, r.Workflow("x").State)
	require.Empty(t, r.Active())
}

// TestLateEnd guards against work that is repeated although it was done. A run that is reported as
// done after its VM was considered lost counts as long as no later run has been granted.
func TestLateEnd(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
	r.OpenSession(jaygw.OpenSession{VM: "vm", Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: "w"}}, 5, 1)
	r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "x", Steps: []jaygw.Step{{Tasks: 1}}}, Host: "h", Path: "/q/x"}, 1)
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "x"}, Number: 1}
	r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "vm", Session: 5}}}, 1)
	for _, outcome := range []jaygw.RunOutcome{jaygw.RunWorkerLost, jaygw.RunDone} {
		require.Equal(t, jaygw.WorkflowQueued, r.Workflow("x").State)
		r.EndRuns(jaygw.EndRuns{VM: "vm", Ended: []jaygw.EndedRun{{Run: run, Outcome: outcome}}}, 1)
	}
	require.Equal(t, jaygw.WorkflowCompleted, r.Workflow("x").State)
}
