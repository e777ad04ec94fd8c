package tracer_test

import (
	"os"
	"strings"
	"testing"

	"github.com/jaygw/jaygw/internal/observe/tracer"
	"github.com/stretchr/testify/require"
)

// TestTraceLines guards against a trace that omits why a workflow was delayed: lines about the lost
// VM and the change of the leader do not contain the id of the workflow.
func TestTraceLines(t *testing.T) {
	data, err := os.ReadFile("testdata/lost-vm.log")
	require.NoError(t, err)
	trace := tracer.New("9d990e3c750a2cee")
	for _, line := range strings.Split(string(data), "\n") {
		trace.AddLine("", line)
	}
	lines := strings.Join(trace.Lines(), "\n")
	for _, part := range []string{"clerk: accepted", "run moves", "vm=side-1", "the lease of a VM is over", "leadership changed", "workflow ended"} {
		require.Contains(t, lines, part)
	}
	require.NotContains(t, lines, "another")
	require.NotContains(t, lines, "side-2", "the lease of a VM on which the workflow did not run")
	require.Empty(t, tracer.New("none").Lines())
}
