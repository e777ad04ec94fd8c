package dispatcher_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/stretchr/testify/require"
)

// newBusySimulation returns a simulation with tasks on every VM.
func newBusySimulation(t *testing.T) *simulation {
	sim := newSimulation(1, noDefect)
	for range 4 {
		sim.proposeByOperator(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{
			Name: time.Duration(sim.eventCount).String(), Environment: document.Environment, Team: "press", Tasks: 2,
			Resources: smallSize, RunTime: jaygw.Duration(time.Minute),
		}}})
	}
	sim.advance(4 * time.Second)
	require.NoError(t, sim.err)
	for _, n := range sim.nodes {
		require.NotEmpty(t, sim.machine.TasksOn(n.name))
	}
	return sim
}

// Guards against a lease expiry that is dropped, or proposed under a new sequence number, once its
// outcome is unknown, and against a response to the VM's renewals in the meantime: the expiry may
// still be committed and the VM's tasks granted elsewhere.
func TestExpiryIsProposedUntilOutcomeIsKnown(t *testing.T) {
	sim := newBusySimulation(t)
	d := dispatcher.NewDecider(9, sim.now)
	sim.machine.Observe(d.Observer())
	expiries := func(after time.Duration) (commands []jaygw.Command) {
		for _, command := range d.Decide(sim.machine, sim.now.Add(after)) {
			if command.ExpireVM != nil && command.ExpireVM.Name == "vm-0" {
				commands = append(commands, command)
			}
		}
		return commands
	}
	require.Empty(t, expiries(10*time.Second)) // a lease granted by the previous leader may still be valid
	first := expiries(11 * time.Second)
	require.Len(t, first, 1)
	require.Empty(t, expiries(12*time.Second))
	d.RecordOutcome(first[0], jaygw.ErrOutcomeUnknown)
	require.Equal(t, first, expiries(13*time.Second))

	renewal := jaygw.Renewal{VM: "vm-0", Incarnation: sim.machine.State().VMs["vm-0"].Incarnation}
	now := sim.now.Add(13 * time.Second)
	_, err := d.BuildResponse(renewal, 0, now, sim.machine, now)
	require.Error(t, err)
	d.RecordOutcome(first[0], nil)
	_, err = d.BuildResponse(renewal, 0, now, sim.machine, now)
	require.NoError(t, err)
}

// Guards against VMs that stay in the table after they have left: it would fill up where VMs are
// replaced every day. The VM has to give up its tasks first.
func TestLeavingVMIsRemoved(t *testing.T) {
	sim := newBusySimulation(t)
	sim.applyStep(step{Action: "leave", VM: 0})
	sim.advance(20 * time.Second)
	require.NoError(t, sim.err)
	require.NotContains(t, sim.machine.State().VMs, "vm-0")
	require.Empty(t, sim.nodes[0].worker.Running())
}

// Guards against a new VM instance that is accepted while the previous one may still run its tasks.
// The new instance cannot stop them, so they count until their lease has expired.
func TestReplacedVMWaitsForPreviousLease(t *testing.T) {
	sim := newBusySimulation(t)
	previous := sim.machine.State().VMs["vm-0"].Incarnation
	sim.applyStep(step{Action: "replace", VM: 0})
	sim.advance(8 * time.Second)
	require.Equal(t, previous, sim.machine.State().VMs["vm-0"].Incarnation)
	sim.advance(70 * time.Second)
	require.NoError(t, sim.err)
	require.False(t, previous.SameInstance(sim.machine.State().VMs["vm-0"].Incarnation))
}
