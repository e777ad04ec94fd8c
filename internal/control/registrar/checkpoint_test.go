package registrar_test

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// TestMembersOfOneRunWithDifferentCheckpoints guards against members of one run of a gang that start from
// different checkpoints, because another member has ended before the last one was started.
func TestMembersOfOneRunWithDifferentCheckpoints(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
	for _, vm := range []string{"vm-0", "vm-1"} {
		r.OpenSession(jaygw.OpenSession{VM: vm, Process: 1, Incarnation: jaygw.WorkerIncarnation{Name: vm}}, 5, 1)
	}
	steps := []jaygw.Step{{Tasks: 2, Gang: true}}
	r.Submit(jaygw.SubmitWorkflow{Spec: jaygw.WorkflowSpec{ID: "x", Steps: steps}, Host: "h", Path: "/q/x"}, 1)
	vms := []string{"vm-0", "vm-1"}
	run := func(index int, number uint64) jaygw.Run {
		return jaygw.Run{Task: jaygw.StepTask{Workflow: "x", Index: index}, Number: number}
	}
	start := func(number uint64) {
		for i, vm := range vms {
			result := r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run(i, number), VM: vm, Session: 5}}}, 1)
			require.Empty(t, result.Results[0].Code)
		}
	}
	end := func(index int, number uint64, checkpoint string) {
		r.EndRuns(jaygw.EndRuns{VM: vms[index], Ended: []jaygw.EndedRun{{
			Run: run(index, number), Outcome: jaygw.RunStopped, Checkpoint: checkpoint,
		}}}, 1)
	}
	checkpoint := func(index int, number uint64) string {
		placed, ok := r.PlacedRun(r.FindPlacement(vms[index], run(index, number)))
		require.True(t, ok)
		return placed.Checkpoint
	}
	start(1)
	end(0, 1, "c1")
	require.Empty(t, checkpoint(1, 1))
	end(1, 1, "c1")
	start(2)
	require.Equal(t, "c1", checkpoint(0, 2))
	end(0, 2, "c2")
	require.Equal(t, "c1", checkpoint(1, 2))
	r.StopRuns(jaygw.StopRuns{Stops: []jaygw.StoppedRun{{Run: run(1, 2), VM: "vm-1"}}})
	require.Equal(t, "c1", checkpoint(1, 2))
	end(1, 2, "c2")
	start(3)
	require.Equal(t, "c2", checkpoint(1, 3))
}
