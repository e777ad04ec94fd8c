package registrar_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
)

// newLimitedState returns a registrar with the VMs that testdata/limits.json uses.
func newLimitedState() *registrar.Registrar {
	r := registrar.New(func(string) bool { return false })
	r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
	size := jaygw.Resources{CPU: 8 * jaygw.Core, Memory: 8 * jaygw.GB}
	for vm, profile := range map[string]*jaygw.WorkerProfile{
		"plain":         {Service: "s", Size: size},
		"labeled":       {Service: "s", Size: size, Labels: []string{"ssd"}},
		"other":         {Service: "other", Size: size},
		"earlier-build": nil,
	} {
		r.OpenSession(jaygw.OpenSession{VM: vm, Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: vm}, Profile: profile}, 5, 1)
	}
	return r
}

// restored returns a registrar with the state of another one.
func restored(t require.TestingT, r *registrar.Registrar) *registrar.Registrar {
	data, err := encoder.Marshal(r.Snapshot())
	require.NoError(t, err)
	state := &registrar.State{}
	require.NoError(t, encoder.Unmarshal(data, state))
	other := registrar.New(func(string) bool { return false })
	other.Restore(state)
	return other
}

// TestGrantsBeyondLimitsOfVM guards against grants that break a limit of their VM. Each grant is a command of its own,
// except those of a gang, and the state is restored from a snapshot before each command.
func TestGrantsBeyondLimitsOfVM(t *testing.T) {
	data, err := os.ReadFile("testdata/limits.json")
	require.NoError(t, err)
	var cases []struct {
		Name     string     `json:"name"`
		Step     jaygw.Step `json:"step"`
		VMs      []string   `json:"vms"`      // by task
		Refusals []string   `json:"refusals"` // part of the detail by task; empty for a grant
	}
	require.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			r := newLimitedState()
			spec := jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{c.Step}}
			require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec, Host: "h", Path: "/q/w"}, 1).Refusal)
			var grants []jaygw.RunGrant
			for i, vm := range c.VMs {
				run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w", Index: i}, Number: 1}
				grants = append(grants, jaygw.RunGrant{Run: run, VM: vm, Session: 5})
			}
			var results []jaygw.ItemResult
			if c.Step.Gang {
				results = r.StartRuns(jaygw.StartRuns{Grants: grants}, 1).Results
			} else {
				for _, g := range grants {
					r = restored(t, r)
					results = append(results, r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{g}}, 1).Results...)
				}
			}
			for i, refusal := range c.Refusals {
				require.Equal(t, refusal == "", results[i].Code == "", "grant %d: %s", i, results[i].Detail)
				require.Contains(t, results[i].Detail, refusal)
				require.Equal(t, refusal == "", r.FindPlacement(c.VMs[i], grants[i].Run) != nil, "grant %d", i)
			}
		})
	}
}

// TestGrantAfterChangeOfProfile guards against a grant beyond a profile that has changed since the decision, and
// against room that an ended run still takes.
func TestGrantAfterChangeOfProfile(t *testing.T) {
	r := newLimitedState()
	step := jaygw.Step{Tasks: 2, Size: jaygw.Resources{CPU: 4 * jaygw.Core}}
	r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{step}}, Host: "h", Path: "/q/w"}, 1)
	grant := func(task int, session uint64) string {
		run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w", Index: task}, Number: 1}
		return r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "plain", Session: session}}}, 1).Results[0].Detail
	}
	require.Empty(t, grant(0, 5))
	open := jaygw.OpenSession{
		VM: "plain", Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: "plain"},
		Profile: &jaygw.WorkerProfile{Service: "s", Size: jaygw.Resources{CPU: 6 * jaygw.Core, Memory: jaygw.GB}},
	}
	require.False(t, r.OpenSession(open, 6, 1).AlreadyApplied)
	require.True(t, r.OpenSession(open, 7, 1).AlreadyApplied)
	require.Contains(t, grant(1, 5), "is taken")
	ended := jaygw.EndedRun{Run: jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}, Outcome: jaygw.RunDone}
	r.EndRuns(jaygw.EndRuns{VM: "plain", Ended: []jaygw.EndedRun{ended}}, 1)
	require.Empty(t, grant(1, 5))
}

// TestLimitPerVMAfterEnd guards against ended runs that still count towards the limit of their step.
func TestLimitPerVMAfterEnd(t *testing.T) {
	r := newLimitedState()
	for id, step := range map[string]jaygw.Step{"w": {Tasks: 5, MaxPerVM: 2}, "other": {Tasks: 1}} {
		r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: id, Steps: []jaygw.Step{step}}, Host: "h", Path: "/q/" + id}, 1)
	}
	run := func(id string, task int) jaygw.Run {
		return jaygw.Run{Task: jaygw.StepTask{Workflow: id, Index: task}, Number: 1}
	}
	grant := func(id string, task int) string {
		return r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run(id, task), VM: "plain", Session: 5}}}, 1).Results[0].Detail
	}
	end := func(task int) {
		r.EndRuns(jaygw.EndRuns{VM: "plain", Ended: []jaygw.EndedRun{{Run: run("w", task), Outcome: jaygw.RunDone}}}, 1)
	}
	require.Empty(t, grant("other", 0))
	require.Empty(t, grant("w", 0))
	require.Empty(t, grant("w", 1))
	require.Contains(t, grant("w", 2), "allows 2")
	end(0)
	require.Empty(t, grant("w", 2))
	end(1)
	end(2)
	require.Empty(t, grant("w", 3))
	require.Empty(t, grant("w", 4))
}
