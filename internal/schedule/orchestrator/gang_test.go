package orchestrator

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestDuplicateInGang guards against two runs of one member of a gang in one command.
func TestDuplicateInGang(t *testing.T) {
	h := newHarness(t, "a")
	gang := step(2)
	gang.Gang = true
	h.submit("w", gang)
	commands := h.table.decide(h.state, h.out, h.now, jaygw.TimeOf(h.now))
	start := commands[len(commands)-1].StartRuns
	start.Grants = append(start.Grants, start.Grants[0])
	start.Grants[2].Run.Number++
	h.apply(&commands[len(commands)-1])
	require.LessOrEqual(t, len(h.placed("a")), 2)
}
