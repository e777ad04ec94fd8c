package registrar_test

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// requireWaiting checks how a workflow "w" of newLimitedState is shown, also by a replica that starts from a snapshot.
func requireWaiting(t *testing.T, r *registrar.Registrar, state jaygw.WorkflowState, waiting int) {
	t.Helper()
	for _, replica := range []*registrar.Registrar{r, restored(t, r)} {
		require.Equal(t, state, replica.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/w"}).State)
		require.Equal(t, waiting, replica.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/"}).Waiting)
	}
}

// TestUnconfirmedStartCountsAsBegun guards against a workflow that is counted as begun because of a grant whose
// start no worker has confirmed.
func TestUnconfirmedStartCountsAsBegun(t *testing.T) {
	for outcome, begun := range map[jaygw.RunOutcome]bool{
		jaygw.RunNotStarted: false, jaygw.RunWorkerLost: false,
		jaygw.RunFailed: true, jaygw.RunStopped: true, jaygw.RunLeaseExpired: true, jaygw.RunGangBroken: true, jaygw.RunGangIncomplete: true,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			r := newLimitedState()
			spec := jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{{Tasks: 2}}}
			require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec, Host: "h", Path: "/q/w"}, 1).Refusal)
			run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
			r.StartRuns(jaygw.StartRuns{Grants: []jaygw.RunGrant{{Run: run, VM: "plain", Session: 5}}}, 1)
			require.NotNil(t, r.FindPlacement("plain", run))
			requireWaiting(t, r, jaygw.WorkflowQueued, 1)
			r.EndRuns(jaygw.EndRuns{VM: "plain", Ended: []jaygw.EndedRun{{Run: run, Outcome: outcome}}}, 1)
			if begun {
				requireWaiting(t, r, jaygw.WorkflowRunning, 0)
			} else {
				requireWaiting(t, r, jaygw.WorkflowQueued, 1)
			}
		})
	}
}

// TestRunningWorkflowOfEarlierBuild guards against a workflow in a snapshot of an earlier build that counts as
// waiting again, or as one without a grant.
func TestRunningWorkflowOfEarlierBuild(t *testing.T) {
	r := newLimitedState()
	spec := jaygw.WorkflowSpec{ID: "w", Steps: []jaygw.Step{{Tasks: 2}}}
	require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec, Host: "h", Path: "/q/w"}, 1).Refusal)
	require.False(t, r.Workflow("w").HasGrants())
	state := r.Snapshot()
	state.Workflows["w"].State = jaygw.WorkflowRunning
	r.Restore(state)
	requireWaiting(t, r, jaygw.WorkflowRunning, 0)
	require.True(t, r.Workflow("w").HasGrants())
}
