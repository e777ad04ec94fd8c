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

// answer answers a renewal sent at a time and returns the steps.
func answer(e *executor.Executor, r jaygw.Renewal, now time.Time, change func(*jaygw.RenewalResult)) []executor.Step {
	result := jaygw.RenewalResult{
		Incarnation: r.Incarnation, Sequence: r.Sequence, BatchLease: jaygw.BatchLease, ServiceLease: jaygw.ServiceLease,
	}
	change(&result)
	return e.Renewed(result, now)
}

func permitted(r *jaygw.RenewalResult) {
	r.Permits = []jaygw.Permit{{Attempt: id, Kind: jaygw.BatchTask, Valid: jaygw.PermitValidity}}
}

func killed(r *jaygw.RenewalResult) {
	r.Orders = []jaygw.Order{{Attempt: id, Action: jaygw.ActionKill}}
}

// running returns an executor with an attempt that was started.
func running(t *testing.T) *executor.Executor {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	require.Len(t, answer(e, e.Renew(start, nil, 0), start, permitted), 1)
	_, admitted := e.Admit(id, start)
	require.True(t, admitted)
	e.Started(id, nil, start)
	return e
}

// A VM that was paused between the permit and the call must not start the task:
// the domain may have been taken out in between.
func TestAdmitRefusesAfterAPause(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	require.Len(t, answer(e, e.Renew(start, nil, 0), start, permitted), 1)
	_, admitted := e.Admit(id, start.Add(jaygw.PermitValidity))
	require.False(t, admitted)
	require.True(t, e.Idle())
}

// A start whose outcome is unknown must be stopped before it is reported: the
// worker may run it later.
func TestFailedStartIsStoppedFirst(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	answer(e, e.Renew(start, nil, 0), start, permitted)
	steps := e.Started(id, errors.New("timeout"), start)
	require.Equal(t, []executor.Step{{Attempt: id, Action: jaygw.ActionStop}}, steps)
	require.False(t, e.Pending())
	e.Stopped(id, jaygw.WorkerTask{}, errors.New("timeout"), start)
	require.False(t, e.Pending())
	require.Len(t, e.Tick(start.Add(time.Second)), 1)
	e.Stopped(id, jaygw.WorkerTask{State: jaygw.WorkerStopped}, nil, start.Add(time.Second))
	require.Equal(t, jaygw.AttemptFailed, e.Renew(start, nil, 0).Reports[0].Report.Kind)
}

// A stop that finds the attempt completed must not report it as stopped: the
// finished work would run a second time.
func TestStopOfACompletedAttemptReportsItsCompletion(t *testing.T) {
	e := running(t)
	require.Len(t, answer(e, e.Renew(start, nil, 0), start, killed), 1)
	e.Stopped(id, jaygw.WorkerTask{Attempt: id, Kind: jaygw.BatchTask, State: jaygw.WorkerCompleted}, nil, start)
	reports := e.Renew(start, nil, 0).Reports
	require.Equal(t, jaygw.Completed, reports[len(reports)-1].Report.Kind)
}

// A leader misses an attempt that was started after the renewal was sent, and
// orders it to be killed.
func TestKillFromAnOlderRenewalIsIgnored(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	first, second := e.Renew(start, nil, 0), e.Renew(start, nil, 0)
	answer(e, second, start, permitted)
	e.Started(id, nil, start)
	require.Empty(t, answer(e, first, start, killed))
	require.Len(t, answer(e, e.Renew(start, nil, 0), start, killed), 1)
}

// Responses that cross the end of an attempt must neither start it again nor
// make the agent stop it and report it over and over.
func TestResponsesThatCrossAnEnd(t *testing.T) {
	e := running(t)
	early, late := e.Renew(start, nil, 0), e.Renew(start, nil, 0)
	e.Listed([]jaygw.WorkerTask{{Attempt: id, Kind: jaygw.BatchTask, State: jaygw.WorkerCompleted}}, start, start)
	steps := answer(e, e.Renew(start, nil, 0), start, func(r *jaygw.RenewalResult) {
		r.Acknowledged = 2
		killed(r)
	})
	require.Equal(t, []executor.Step{{Attempt: id, Forget: true}}, steps)
	require.Empty(t, answer(e, early, start, permitted))
	require.Empty(t, answer(e, late, start, killed))
	require.True(t, e.Idle())
}

// A new agent process must report a start that the last one may not have
// reported, and an attempt that vanished from the worker must not count as
// running for good.
func TestListedAttempts(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	e.Listed([]jaygw.WorkerTask{{Attempt: id, Kind: jaygw.ServiceTask, State: jaygw.WorkerRunning}}, start, start)
	r := e.Renew(start, nil, 0)
	require.Equal(t, []jaygw.Attempt{id}, r.Known)
	require.Equal(t, jaygw.Started, r.Reports[0].Report.Kind)
	steps := e.Listed(nil, start.Add(time.Second), start.Add(time.Second))
	require.Equal(t, []executor.Step{{Attempt: id, Action: jaygw.ActionStop}}, steps)
}

// The lease of a VM whose worker hangs must run out, or its tasks would count as
// running although their leases at the worker are over.
func TestNoRenewalWithoutAWorker(t *testing.T) {
	e := executor.New("main", jaygw.VM{Name: "vm"}, 7)
	e.Listed(nil, start, start)
	require.True(t, e.MayRenew(start.Add(time.Second)))
	require.False(t, e.MayRenew(start.Add(10*time.Second)))
}
