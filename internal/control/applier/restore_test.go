package applier_test

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
)

// A canceled job whose earlier tasks have ended must be dropped once, not while
// its tasks are still being looked up.
func TestCancelOfAPartlyFinishedJob(t *testing.T) {
	l := newLog(t)
	for _, task := range []jaygw.TaskID{"print/plates/1", "print/plates/2"} {
		l.grant(task, 0, "vm-a")
		require.Empty(t, l.report("vm-a", jaygw.Completed, task, 1).Code)
	}
	l.accept(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "print", Name: "plates"}})
	require.Equal(t, jaygw.JobCanceled, l.machine.State().Jobs["print/plates"].State)
}

// A job that stays declared in later documents must not run again when its
// retention is over.
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

// Damaged or hostile snapshots must be errors, and one that is accepted must not
// make the machine fail later.
func FuzzRestore(f *testing.F) {
	l := newLog(f)
	l.grant("print/plates/0", 0, "vm-a")
	data, err := l.machine.Snapshot()()
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &log{t: t, machine: applier.New("main"), now: 1}
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

// Whatever bytes decode as a command must apply without a failure.
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
