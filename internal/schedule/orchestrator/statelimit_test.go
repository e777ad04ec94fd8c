package orchestrator

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

type (
	// roomScript is a sequence of requests and whether there is room for them.
	roomScript struct {
		Name     string        `json:"name"`
		State    int64         `json:"state"`
		LogShare int64         `json:"log-share"`
		Requests []roomRequest `json:"requests"`
	}

	roomRequest struct {
		Bytes   int64 `json:"bytes"`
		Used    int64 `json:"used"` // by the state
		Log     int64 `json:"log"`
		Refused bool  `json:"refused"`
		// Release and Undecided are how many of the first requests before get their outcome, known or unknown.
		Release   int `json:"release"`
		Undecided int `json:"undecided"`
	}
)

// TestRoomForRequests guards against requests that fill the memory of all replicas, and against large ones that leave no room for
// small ones.
func TestRoomForRequests(t *testing.T) {
	data, err := os.ReadFile("testdata/state-limits.json")
	require.NoError(t, err)
	var scripts []roomScript
	require.NoError(t, json.Unmarshal(data, &scripts))
	for _, script := range scripts {
		l := stateLimiter{limits: StateLimits{State: script.State, Log: script.LogShare}}
		var open []int64
		for i, request := range script.Requests {
			for range request.Release {
				l.release(open[0], nil)
				open = open[1:]
			}
			for range request.Undecided {
				l.release(open[0], jaygw.ErrOutcomeUnknown)
				open = open[1:]
			}
			refused := l.reserve(request.Bytes, request.Used, request.Log, l.limits) != ""
			require.Equal(t, request.Refused, refused, "%s: request %d", script.Name, i)
			if !refused {
				open = append(open, request.Bytes)
			}
		}
	}
}

// TestFullStateRefusesOnlyWhatIsNew guards against a refusal of a workflow that was accepted, of a cancel that frees memory, and
// against one by a replica that does not lead or whose state is not confirmed.
func TestFullStateRefusesOnlyWhatIsNew(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	replica := &confirmingReplica{recordingReplica: recordingReplica{machine: applier.New("g")}, onConfirm: func() error { return nil }}
	o := New(WithRegistry(metrics.NewRegistry()), WithStateLimits(StateLimits{State: 10_000}))
	o.SetReplica(replica)
	o.SetLeadership(1, true, now)
	require.Nil(t, replica.apply(jaygw.Command{Catalog: &jaygw.PutCatalog{Catalog: jaygw.Catalog{
		Number: 1, Services: []jaygw.PoolSpec{{Name: "s"}}, Queues: []jaygw.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Timeout: time.Second}},
	}}}, now).Refusal)
	long := submission("long", jaygw.Step{Tasks: 1, Image: strings.Repeat("a", 7_000)})
	reserve := func(command jaygw.Command) *jaygw.Refusal {
		release, refusal := o.Reserve(t.Context(), &command, now)
		release(nil)
		return refusal
	}
	submit := func(id string) *jaygw.Refusal {
		return reserve(jaygw.Command{SubmitWorkflow: submission(id, jaygw.Step{Tasks: 1, Image: strings.Repeat("a", 7_000)})})
	}
	require.Nil(t, submit("long"), "there is room")
	require.Nil(t, replica.apply(jaygw.Command{SubmitWorkflow: long}, now).Refusal)

	refusal := submit("other")
	require.NotNil(t, refusal)
	require.Equal(t, jaygw.RefusedTableFull, refusal.Code)
	require.Equal(t, fullStateRetry, refusal.RetryAfter)
	require.NotNil(t, reserve(jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/" + strings.Repeat("b", 7_000)}}))
	require.Nil(t, reserve(jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/long"}}), "it frees memory")
	require.Nil(t, reserve(jaygw.Command{SubmitWorkflow: submission("invalid")}), "the state machine refuses it")
	require.Nil(t, replica.apply(jaygw.Command{Catalog: &jaygw.PutCatalog{Catalog: jaygw.Catalog{Number: 2}}}, now).Refusal)
	require.Nil(t, reserve(jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/long"}}), "its queue has been removed")
	require.Nil(t, replica.apply(jaygw.Command{Catalog: &jaygw.PutCatalog{Catalog: jaygw.Catalog{
		Number: 3, Services: []jaygw.PoolSpec{{Name: "s"}}, Queues: []jaygw.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Timeout: time.Second}},
	}}}, now).Refusal)

	resend := jaygw.Command{SubmitWorkflow: submission("long", long.Spec.Steps...)}
	require.Nil(t, reserve(resend))
	require.Empty(t, resend.SubmitWorkflow.Spec.Steps, "its content is not needed")
	require.True(t, replica.apply(resend, now).AlreadyApplied)

	replica.onConfirm = func() error { return errors.New("no quorum") }
	require.Nil(t, submit("other"))
	replica.onConfirm = func() error { return nil }
	o.SetLeadership(2, false, now)
	require.Nil(t, submit("other"))
	o.SetLeadership(3, true, now)
	require.NotNil(t, submit("other"))

	require.Nil(t, replica.apply(jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/long"}}, now).Refusal)
	now = now.Add(time.Minute)
	require.Nil(t, submit("other"), "the ended workflow holds no text any more")
}
