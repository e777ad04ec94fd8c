package dispatcher_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/stretchr/testify/require"
)

// busyWorld returns a world with tasks on every VM.
func busyWorld(t *testing.T) *world {
	w := newWorld(1, noFault)
	for range 4 {
		w.operate(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{
			Name: time.Duration(w.events).String(), Environment: document.Environment, Team: "press", Tasks: 2,
			Resources: small, RunTime: jaygw.Duration(time.Minute),
		}}})
	}
	w.advance(4 * time.Second)
	require.NoError(t, w.err)
	for _, n := range w.nodes {
		require.NotEmpty(t, w.machine.TasksOn(n.name))
	}
	return w
}

// An expiry whose outcome is unknown may still be committed. Until it is settled
// it must be proposed again under the same sequence, and the VM's renewals must
// not be answered: its tasks are about to be granted elsewhere.
func TestExpiryIsProposedUntilItIsSettled(t *testing.T) {
	w := busyWorld(t)
	d := dispatcher.NewDecider(9, w.now)
	w.machine.Observe(d.Observer())
	expiries := func(after time.Duration) (commands []jaygw.Command) {
		for _, command := range d.Decide(w.machine, w.now.Add(after)) {
			if command.ExpireVM != nil && command.ExpireVM.Name == "vm-0" {
				commands = append(commands, command)
			}
		}
		return commands
	}
	require.Empty(t, expiries(10*time.Second)) // a lease of the last leader may still run
	first := expiries(11 * time.Second)
	require.Len(t, first, 1)
	require.Empty(t, expiries(12*time.Second))
	d.Settled(first[0], jaygw.ErrOutcomeUnknown)
	require.Equal(t, first, expiries(13*time.Second))

	r := jaygw.Renewal{VM: "vm-0", Incarnation: w.machine.State().VMs["vm-0"].Incarnation}
	now := w.now.Add(13 * time.Second)
	_, err := d.Answer(r, 0, now, w.machine, now)
	require.Error(t, err)
	d.Settled(first[0], nil)
	_, err = d.Answer(r, 0, now, w.machine, now)
	require.NoError(t, err)
}

// A VM that leaves must hand over its tasks and be forgotten, or a table of VMs
// that are replaced every day would fill.
func TestLeavingVMIsRemoved(t *testing.T) {
	w := busyWorld(t)
	w.act(step{Action: "leave", VM: 0})
	w.advance(20 * time.Second)
	require.NoError(t, w.err)
	require.NotContains(t, w.machine.State().VMs, "vm-0")
	require.Empty(t, w.nodes[0].worker.Running())
}

// A replaced VM cannot stop what its last instance runs, so its tasks count until
// their lease is over, and only then the new instance is accepted.
func TestReplacedVMWaitsForTheOldLease(t *testing.T) {
	w := busyWorld(t)
	last := w.machine.State().VMs["vm-0"].Incarnation
	w.act(step{Action: "replace", VM: 0})
	w.advance(8 * time.Second)
	require.Equal(t, last, w.machine.State().VMs["vm-0"].Incarnation)
	w.advance(70 * time.Second)
	require.NoError(t, w.err)
	require.False(t, last.SameInstance(w.machine.State().VMs["vm-0"].Incarnation))
}
