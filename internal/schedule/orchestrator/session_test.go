package orchestrator

import (
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// by returns a change of a poll request to an agent process, an incarnation and a sequence number.
func by(process uint64, born jaygw.Time, sequence uint64) func(*jaygw.PollRequest) {
	return func(request *jaygw.PollRequest) {
		request.Process, request.Worker.Incarnation.StartTime, request.Sequence = process, born, sequence
	}
}

// latePoll delivers a poll of a VM of which the response is dropped.
func (h *harness) latePoll(vm string, change func(*jaygw.PollRequest)) error {
	request := jaygw.PollRequest{VM: vm, Worker: &jaygw.PoolWorker{Incarnation: jaygw.WorkerIncarnation{Name: vm}, Service: "s", Domain: "d"}}
	change(&request)
	command, err := h.table.sessionCommand(request, h.state)
	if err == nil {
		h.apply(command)
	}
	return err
}

// TestLatePollOfEarlierIncarnation guards against a poll of an earlier incarnation that arrives after the
// session of a later one is open, and frees the runs of the later one while they run.
func TestLatePollOfEarlierIncarnation(t *testing.T) {
	for name, late := range map[string]func(*jaygw.PollRequest){
		"same process":    by(2, 20, 1),
		"earlier process": by(1, 10, 7),
	} {
		h := newHarness(t)
		h.poll("a", by(1, 10, 5))
		h.poll("a", by(2, 30, 2))
		h.submit("w", step(1))
		h.decide()
		require.Len(t, h.placed("a"), 1, name)
		require.ErrorIs(t, h.latePoll("a", late), jaygw.ErrNotConfirmed, name)
		require.Len(t, h.placed("a"), 1, name)
	}
}

// TestSupersededProcessThatLives guards against an agent that stays without a lease because the first poll
// of an earlier process has arrived late.
func TestSupersededProcessThatLives(t *testing.T) {
	h := newHarness(t)
	h.poll("a", by(1, 10, 5))
	session := h.poll("a", by(2, 10, 1)).Session
	var err error
	polls := 0
	for sequence := uint64(6); sequence < 30; sequence++ {
		polls++
		if err = h.latePoll("a", by(1, 10, sequence)); err == nil {
			break
		}
		require.ErrorIs(t, h.latePoll("a", by(1, 10, 6)), jaygw.ErrNotConfirmed, "a copy shows no life")
	}
	require.NoError(t, err)
	require.Equal(t, maxLatePolls+1, polls)
	require.Greater(t, h.poll("a", by(1, 10, 30)).Session, session)
}
