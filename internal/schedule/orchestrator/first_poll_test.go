package orchestrator

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestLateFirstPollOfEarlierIncarnation guards against the first poll of an agent process that arrives once
// the process is dead, and frees the runs of the worker's later incarnation while they run.
func TestLateFirstPollOfEarlierIncarnation(t *testing.T) {
	h := newHarness(t)
	h.poll("a", by(2, 30, 2))
	h.submit("w", step(1))
	h.decide()
	require.Len(t, h.placed("a"), 1)
	require.ErrorIs(t, h.latePoll("a", by(1, 20, 1)), jaygw.ErrNotConfirmed)
	require.Len(t, h.placed("a"), 1)
}

// TestWorkerWithClockSetBack guards against a worker that gets no more runs because it has started again after
// its clock was set back.
func TestWorkerWithClockSetBack(t *testing.T) {
	h := newHarness(t)
	h.poll("a", by(1, 30, 2))
	var err error
	polls := 0
	for sequence := uint64(1); sequence < 30; sequence++ {
		polls++
		if err = h.latePoll("a", by(2, 20, sequence)); err == nil {
			break
		}
	}
	require.NoError(t, err)
	require.Equal(t, maxLatePolls+1, polls)
}
