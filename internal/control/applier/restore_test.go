package applier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
)

// Canceling the last open task of a job removes all tasks of the job. The cancellation must
// not fail on tasks that it looks up after that.
func TestCancelPartlyFinishedJob(t *testing.T) {
	l := newLog(t)
	for _, task := range []jaygw.TaskID{"print/plates/1", "print/plates/2"} {
		l.grant(task, 0, "vm-a")
		require.Empty(t, l.report("vm-a", jaygw.Completed, task, 1).Code)
	}
	l.accept(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "print", Name: "plates"}})
	require.Equal(t, jaygw.JobCanceled, l.machine.State().Jobs["print/plates"].State)
}

// A job that stays declared in later documents must not run again after its retention has
// expired.
func TestDeclaredJobRunsOnce(t *testing.T) {
	l := newLog(t)
	document := l.machine.State().Environments["print"].InForce.Document
	document.Jobs = []jaygw.JobSpec{{
		Name: "once", Environment: "print", Team: "press", Tasks: 1, Resources: jaygw.Resources{CPU: 1, Memory: 1},
	}}
	promote := func(number uint64, digest string) {
		document.Number = number
		l.accept(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: digest}})
		l.accept(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: digest}})
	}
	promote(2, "d2")
	l.grant("print/once/0", 0, "vm-a")
	require.Empty(t, l.report("vm-a", jaygw.Completed, "print/once/0", 1).Code)
	l.now += jaygw.Time(25 * 3600 * 1e9)
	promote(3, "d3")
	require.NotContains(t, l.machine.State().Jobs, "print/once")
}

// A damaged or hostile snapshot must be an error, and one that is accepted must not make the
// machine fail later.
func FuzzRestore(f *testing.F) {
	l := newLog(f)
	l.grant("print/plates/0", 0, "vm-a")
	data, err := l.machine.Snapshot()()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &commandLog{t: t, machine: applier.New("main"), now: 1}
		if l.machine.Restore(data) != nil {
			require.Empty(t, l.machine.State().VMs)
			return
		}
		for _, task := range []jaygw.TaskID{"print/plates/0", "print/plates/1"} {
			l.grant(task, 0, "vm-b")
			l.report("vm-a", jaygw.Completed, task, 1)
		}
		l.apply(jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: "vm-a", Incarnation: 1}})
		l.apply(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "print", Name: "plates"}})
		again, err := l.machine.Snapshot()()
		require.NoError(t, err)
		require.NoError(t, applier.New("main").Restore(again))
	})
}

// Any bytes that decode as a command must be applied without a panic.
func FuzzCommand(f *testing.F) {
	for _, c := range []jaygw.Command{
		{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{Name: "j", Environment: "print", Team: "press", Tasks: 1 << 62}}},
		{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{Task: "print/plates/0", VM: "vm-a", Incarnation: 1}}}},
		{Submit: &jaygw.SubmitDocument{Document: jaygw.Document{Environment: "print", Number: 2}, Digest: "d"}},
		{Promote: &jaygw.PromoteDocument{}, Settle: &jaygw.SettleKeys{}, Claim: &jaygw.ClaimKeys{}},
	} {
		data, err := encoder.Marshal(c)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var command jaygw.Command
		if encoder.Unmarshal(data, &command) != nil {
			return
		}
		l := newLog(t)
		l.grant("print/plates/1", 0, "vm-b")
		l.apply(command)
		snapshot, err := l.machine.Snapshot()()
		require.NoError(t, err)
		require.NoError(t, applier.New("main").Restore(snapshot))
	})
}

// A key that is claimed again with a later expiry must be retained until that expiry and no
// longer.
func TestReclaimedKeyIsRetainedUntilItsNewExpiry(t *testing.T) {
	l := newLog(t)
	claim := func(request string, hours int) {
		l.accept(jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{
			Key: "k", Digest: "d", Request: request, Expires: l.now.Add(time.Duration(hours) * time.Hour),
		}}}})
	}
	claim("r1", 1)
	l.accept(jaygw.Command{Settle: &jaygw.SettleKeys{Settlements: []jaygw.Settlement{
		{Key: "k", Request: "r1", Outcome: jaygw.KeyNotExecuted},
	}}})
	claim("r2", 4)
	for hours, retained := range []bool{true, true, true, false} {
		l.now += jaygw.Time(time.Hour)
		l.apply(jaygw.Command{})
		_, known := l.machine.State().Keys["k"]
		require.Equal(t, retained, known, "after %d hours", hours+1)
	}
}

// A document that would exceed the limit of a table must be refused as a whole, and a team
// that a promoted document no longer declares must not retain its quota.
func TestPromotionRespectsTableLimits(t *testing.T) {
	l := &commandLog{t: t, now: 1, machine: applier.New("main", applier.WithLimits(smallLimits))}
	one := jaygw.Resources{CPU: 1, Memory: 1}
	promote := func(number uint64, teams []jaygw.TeamSpec, jobs ...jaygw.JobSpec) jaygw.Result {
		digest := fmt.Sprint(number)
		document := jaygw.Document{Environment: "print", Number: number, Teams: teams, Jobs: jobs}
		l.accept(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: digest}})
		return l.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: digest}})
	}
	job := func(name string, tasks int) jaygw.JobSpec {
		return jaygw.JobSpec{Name: name, Team: "x", Tasks: tasks, Resources: one}
	}
	both := []jaygw.TeamSpec{{Name: "x", Quota: one}, {Name: "y", Quota: one}}
	require.NoError(t, promote(1, both, job("j", 6)).Err())
	refused := promote(2, both, job("k", 6))
	require.Equal(t, jaygw.RefusedTableFull, refused.Refusal.Code)
	require.Equal(t, uint64(1), l.machine.State().Environments["print"].InForce.Document.Number)
	require.NoError(t, promote(3, both[:1], job("j", 6)).Err())
	require.NotContains(t, l.machine.State().Teams, "print/y")
}
