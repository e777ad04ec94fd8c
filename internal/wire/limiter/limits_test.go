package limiter

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/detector"
	"github.com/stretchr/testify/require"
)

// TestLimitsOfVMs guards against limits that ordinary clients reach on the users' VMs, that leave the processes no
// memory or descriptors, or that apply without settings.
func TestLimitsOfVMs(t *testing.T) {
	for _, test := range []struct {
		role        jaygw.Role
		memory      jaygw.Bytes
		descriptors int
	}{
		{jaygw.RoleEntry, 184 * jaygw.MB, 4100},
		{jaygw.RoleEntry, 408 * jaygw.MB, 4100},
		{jaygw.RoleControl, 184 * jaygw.MB, 4100},
		{jaygw.RoleControl, 408 * jaygw.MB, 4100},
		{jaygw.RoleAgent, 152 * jaygw.MB, 4096},
	} {
		limits := LimitsFor(detector.Allowance{Memory: test.memory, FileDescriptors: test.descriptors}, test.role)
		require.GreaterOrEqual(t, limits.Bytes, int64(3*otherBodyBytes), "the largest body, with room for others")
		require.LessOrEqual(t, limits.Bytes, int64(test.memory)/4)
		require.GreaterOrEqual(t, limits.PerAddress, 500)
		require.Less(t, limits.PerAddress, limits.Connections)
		require.LessOrEqual(t, limits.Connections, (test.descriptors-fileDescriptors)*7/8)
		require.Less(t, limits.Bytes+int64(limits.Connections)*connectionMemory+int64(programMemory), int64(test.memory))
		require.Less(t, limits.ProcessMemory, int64(test.memory))
		if test.role == jaygw.RoleControl {
			largest := jaygw.WorkflowSpec{Steps: []jaygw.Step{{Tasks: jaygw.MaxWorkflowTasks}}}
			require.Less(t, 4*largest.StateBytes(), limits.State, "the largest workflow, with room for others")
			require.Less(t, int64(programMemory)+limits.Bytes+4*limits.State+3*limits.Log, int64(test.memory))
		} else {
			require.Zero(t, limits.State)
		}
	}
	require.Zero(t, LimitsFor(detector.Allowance{}, jaygw.RoleEntry))
}
