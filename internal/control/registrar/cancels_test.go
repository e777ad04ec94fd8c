package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// TestJobRunsAfterItsCancelFoundNothing guards against a workflow that runs although its cancel was answered, because
// its submission arrives later, and against a cancel that is retained for good or found under another path.
func TestJobRunsAfterItsCancelFoundNothing(t *testing.T) {
	start := jaygw.TimeOf(time.Unix(1_800_000_000, 0))
	r := registrar.New(func(string) bool { return false })
	cancel := func(host, path string, now jaygw.Time) *jaygw.Refusal {
		return r.Cancel(jaygw.CancelWorkflow{Host: host, Path: path}, now).Refusal
	}
	state := func(id string, now jaygw.Time) jaygw.WorkflowState {
		require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec(id), Host: "h", Path: "/q/" + id}, now).Refusal)
		return r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/" + id}).State
	}
	require.Equal(t, jaygw.RefusedUnknown, cancel("h", "/q/early", start).Code, "without a catalog")
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
	for _, c := range [][2]string{{"H", "/q/late"}, {"h", "/q/late"}, {"h", "/q/older"}, {"h", "/other/elsewhere"}, {"h", "/q/"}} {
		require.Equal(t, jaygw.RefusedUnknown, cancel(c[0], c[1], start).Code)
	}
	require.Len(t, r.Snapshot().Canceled, 4, "one for each path with an id")
	r = restored(t, r)
	require.Equal(t, jaygw.WorkflowCanceled, state("late", start.Add(time.Minute)))
	require.Equal(t, jaygw.WorkflowQueued, state("elsewhere", start))
	require.Empty(t, r.Workflow("late").Occurrences)
	require.Len(t, r.Active(), 1)
	require.Equal(t, jaygw.WorkflowQueued, state("older", start.Add(10*time.Minute)))
	require.Empty(t, r.Snapshot().Canceled)
}

// TestCancelIsForgottenInFullTable guards against a cancel that is answered as that of an unknown workflow although it
// cannot be retained.
func TestCancelIsForgottenInFullTable(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
	cancel := func(i int, now jaygw.Time) jaygw.RefusalCode {
		return r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: fmt.Sprint("/q/", i)}, now).Refusal.Code
	}
	limit := registrar.DefaultLimits().Canceled
	for i := range limit {
		require.Equal(t, jaygw.RefusedUnknown, cancel(i, 1))
	}
	require.Equal(t, jaygw.RefusedTableFull, cancel(limit, 1))
	require.Equal(t, jaygw.RefusedUnknown, cancel(0, 1), "it is retained already")
	require.Equal(t, jaygw.RefusedUnknown, cancel(limit, jaygw.Time(1).Add(time.Hour)), "the others are old")
}

// TestJobRunsAfterItsCancelFoundNoQueue guards against a workflow that runs although its cancel was answered, because its
// queue was added after the cancel and before the submission arrived.
func TestJobRunsAfterItsCancelFoundNoQueue(t *testing.T) {
	for name, before := range map[string]*jaygw.Catalog{"no catalog": nil, "no queue": {Number: 1}} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(func(string) bool { return false })
			if before != nil {
				require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: *before}).Refusal)
			}
			cancel := r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/late"}, 1)
			require.Equal(t, jaygw.RefusedUnknown, cancel.Refusal.Code)
			require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(2)}).Refusal)
			r = restored(t, r)
			require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec("late"), Host: "h", Path: "/q/late"}, 2).Refusal)
			require.Equal(t, jaygw.WorkflowCanceled, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/late"}).State)
		})
	}
}
