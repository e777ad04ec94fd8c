package executor_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/stretchr/testify/require"
)

var (
	start = time.Unix(1_800_000_000, 0)
	id    = jaygw.Attempt{Task: "print/plates/0", Epoch: 1}
)

// respond passes e a response to a renewal, after change has modified it, and returns the steps.
func respond(e *executor.Executor, r jaygw.Renewal, now time.Time, change func(*jaygw.RenewalResult)) []executor.Step {
	result := jaygw.RenewalResult{
		Incarnation: r.Incarnation, Sequence: r.Sequence, BatchLease: jaygw.BatchLease, ServiceLease: jaygw.ServiceLease,
	}
	change(&result)
	return e.Renewed(result, now)
}

func withPermit(r *jaygw.RenewalResult) {
	r.Permits = []jaygw.Permit{{Attempt: id, Kind: jaygw.BatchTask, ValidFor: jaygw.PermitValidity}}
}

func withKill(r *jaygw.RenewalResult) {
	r.Orders = []jaygw.Order{{Attempt: id, Action: jaygw.ActionKill}}
}

// startedExecutor returns an executor with one running attempt.
func startedExecutor(t *testing.T) *executor.Executor {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	require.Len(t, respond(e, e.Renew(start, nil, 0), start, withPermit), 1)
	_, admitted := e.Admit(id, start)
	require.True(t, admitted)
	e.Started(id, nil, start)
	return e
}

// A VM that was paused between the arrival of a permit and the call of the worker must not start
// the task: the failure domain may have been taken out meanwhile.
func TestAdmitRefusesAfterPause(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	require.Len(t, respond(e, e.Renew(start, nil, 0), start, withPermit), 1)
	_, admitted := e.Admit(id, start.Add(jaygw.PermitValidity))
	require.False(t, admitted)
	require.True(t, e.Idle())
}

// An attempt whose start has an unknown outcome must be stopped before it is reported as failed:
// the worker may start it later.
func TestFailedStartIsStoppedBeforeItIsReported(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	respond(e, e.Renew(start, nil, 0), start, withPermit)
	steps := e.Started(id, errors.New("timeout"), start)
	require.Equal(t, []executor.Step{{Attempt: id, Action: jaygw.ActionStop}}, steps)
	require.False(t, e.Pending())
	e.Stopped(id, jaygw.WorkerTask{}, errors.New("timeout"), start)
	require.False(t, e.Pending())
	require.Len(t, e.Tick(start.Add(time.Second)), 1)
	e.Stopped(id, jaygw.WorkerTask{State: jaygw.WorkerStopped}, nil, start.Add(time.Second))
	require.Equal(t, jaygw.AttemptFailed, e.Renew(start, nil, 0).Reports[0].Report.Kind)
}

// An attempt that completed before its stop must not be reported as stopped: its work would run a
// second time.
func TestStopOfCompletedAttemptReportsCompletion(t *testing.T) {
	e := startedExecutor(t)
	require.Len(t, respond(e, e.Renew(start, nil, 0), start, withKill), 1)
	e.Stopped(id, jaygw.WorkerTask{Attempt: id, Kind: jaygw.BatchTask, State: jaygw.WorkerCompleted}, nil, start)
	reports := e.Renew(start, nil, 0).Reports
	require.Equal(t, jaygw.Completed, reports[len(reports)-1].Report.Kind)
}

// An attempt that was started after a renewal was sent is unknown to the leader, whose response to
// that renewal orders a kill. The agent must ignore the order.
func TestKillFromOlderRenewalIsIgnored(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	first, second := e.Renew(start, nil, 0), e.Renew(start, nil, 0)
	respond(e, second, start, withPermit)
	e.Started(id, nil, start)
	require.Empty(t, respond(e, first, start, withKill))
	require.Len(t, respond(e, e.Renew(start, nil, 0), start, withKill), 1)
}

// Responses to renewals from before an attempt ended must neither start it again nor make the
// agent stop and report it repeatedly.
func TestOutOfOrderResponsesAfterEnd(t *testing.T) {
	e := startedExecutor(t)
	early, late := e.Renew(start, nil, 0), e.Renew(start, nil, 0)
	e.Listed([]jaygw.WorkerTask{{Attempt: id, Kind: jaygw.BatchTask, State: jaygw.WorkerCompleted}}, start, start)
	steps := respond(e, e.Renew(start, nil, 0), start, func(r *jaygw.RenewalResult) {
		r.Acknowledged = 2
		withKill(r)
	})
	require.Equal(t, []executor.Step{{Attempt: id, Forget: true}}, steps)
	require.Empty(t, respond(e, early, start, withPermit))
	require.Empty(t, respond(e, late, start, withKill))
	require.True(t, e.Idle())
}

// A new agent process must report a start that the earlier process may not have reported, and an
// attempt that the worker no longer lists must not count as running forever.
func TestListedAttemptsAreAdopted(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	e.Listed([]jaygw.WorkerTask{{Attempt: id, Kind: jaygw.ServiceTask, State: jaygw.WorkerRunning}}, start, start)
	r := e.Renew(start, nil, 0)
	require.Equal(t, []jaygw.Attempt{id}, r.Attempts)
	require.Equal(t, jaygw.Started, r.Reports[0].Report.Kind)
	steps := e.Listed(nil, start.Add(time.Second), start.Add(time.Second))
	require.Equal(t, []executor.Step{{Attempt: id, Action: jaygw.ActionStop}}, steps)
}

// The lease of a VM whose worker is unresponsive must expire. Otherwise its tasks would count as
// running although their leases at the worker have expired.
func TestNoRenewalWithoutWorkerList(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	e.Listed(nil, start, start)
	require.True(t, e.MayRenew(start.Add(time.Second)))
	require.False(t, e.MayRenew(start.Add(10*time.Second)))
}
