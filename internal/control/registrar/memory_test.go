package registrar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBytesFollowTheState guards against an estimate of the memory that drifts from the state: one that only grows refuses
// all submissions at last, and one that only shrinks bounds nothing.
func TestBytesFollowTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := jaygw.TimeOf(time.Unix(1_800_000_000, 0))
		r := registrar.New(func(string) bool { return false })
		require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
		empty := r.Bytes(now)
		submit := func(id string) {
			s := spec(id)
			s.Payload = strings.Repeat("a", rapid.IntRange(0, 5000).Draw(t, "payload"))
			require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: s, Host: "h", Path: "/q/" + id}, now).Refusal)
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := fmt.Sprint("w", rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				submit(id)
			case 2:
				r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/" + id}, now)
			case 3:
				r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: fmt.Sprint("/unknown/", i)}, now)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			}
			restored := registrar.New(func(string) bool { return false })
			restored.Restore(r.Snapshot())
			require.Equal(t, r.Bytes(now), restored.Bytes(now))
			require.GreaterOrEqual(t, r.Bytes(now), empty)
		}
		for i := range 10 {
			r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: fmt.Sprint("/q/w", i)}, now)
		}
		now = now.Add(time.Hour)
		require.Equal(t, empty, r.Bytes(now), "all has ended and is not retained any longer")
		submit("last")
		require.Equal(t, r.Workflow("last").Spec.StateBytes(), r.Bytes(now)-empty)
	})
}

// TestEndedWorkflowsKeepNoText guards against ended workflows that fill the state with texts until their retention is over,
// and against one that is not known any more after it was reduced.
func TestEndedWorkflowsKeepNoText(t *testing.T) {
	now := jaygw.TimeOf(time.Unix(1_800_000_000, 0))
	r := registrar.New(func(string) bool { return false })
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)}).Refusal)
	long := spec("long")
	long.Steps[0].Image = strings.Repeat("a", 100_000)
	submit := jaygw.SubmitWorkflow{Spec: long, Host: "h", Path: "/q/long"}
	require.Nil(t, r.Submit(submit, now).Refusal)
	require.Nil(t, r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/long"}, now).Refusal)
	require.Greater(t, r.Bytes(now), int64(100_000))
	now = now.Add(time.Minute)
	require.Less(t, r.Bytes(now), int64(2_000), "the next submission frees it")
	require.Nil(t, r.Submit(jaygw.SubmitWorkflow{Spec: spec("next"), Host: "h", Path: "/q/next"}, now).Refusal)
	require.Empty(t, r.Workflow("long").Spec.Steps)
	require.Equal(t, jaygw.WorkflowCanceled, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/long"}).State)
	require.True(t, r.Submit(submit, now).AlreadyApplied)
	require.True(t, r.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/long"}, now).AlreadyApplied)
}
