package registrar_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// Guards against an ended workflow that is no longer known while its caller may still ask for it, also
// after a submission with a later time, which removes old ones, and against one that never leaves.
func TestEndedWorkflowIsKnownDuringItsRetention(t *testing.T) {
	start := jaygw.TimeOf(time.Unix(1_800_000_000, 0))
	r := registrar.New(func(string) bool { return false })
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
	submit := func(id string, now jaygw.Time) jaygw.Result {
		return r.Submit(jaygw.SubmitWorkflow{Spec: spec(id), Host: "h", Path: "/q/" + id}, now)
	}
	require.Nil(t, submit("w", start).Refusal)
	require.Nil(t, r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/w"}, start).Refusal)
	require.Nil(t, submit("later", start.Add(9*time.Minute)).Refusal)
	require.True(t, submit("w", start.Add(9*time.Minute)).AlreadyApplied)
	require.Equal(t, jaygw.WorkflowCanceled, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/w"}).State)
	require.Nil(t, submit("last", start.Add(11*time.Minute)).Refusal)
	require.Empty(t, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/w"}).State)
	require.Equal(t, jaygw.WorkflowQueued, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/later"}).State)
}
