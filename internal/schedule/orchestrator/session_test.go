package orchestrator

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
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
		"same process":                      by(2, 20, 1),
		"earlier process":                   by(1, 10, 7),
		"earlier process without a session": by(3, 10, 1),
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

// TestIncarnationWithEarlierStartTime guards against a worker that stays without a session because the clock
// of its VM was set back before it started again.
func TestIncarnationWithEarlierStartTime(t *testing.T) {
	h := newHarness(t)
	session := h.poll("a", by(1, 30, 5)).Session
	var err error
	for sequence := uint64(1); sequence < 30; sequence++ {
		if err = h.latePoll("a", by(2, 10, sequence)); err == nil {
			break
		}
	}
	require.NoError(t, err)
	require.Greater(t, h.poll("a", by(2, 10, 30)).Session, session)
}

// recordingReplica records the proposed commands.
type recordingReplica struct {
	jaygw.Control
	machine  *applier.Machine
	proposed []jaygw.Command
}

func (r *recordingReplica) Read(fn func(*applier.Machine)) { fn(r.machine) }

func (r *recordingReplica) Propose(_ context.Context, command jaygw.Command) (jaygw.Result, error) {
	r.proposed = append(r.proposed, command)
	return jaygw.Result{}, nil
}

// TestEndsBeforeSession guards against a run that is done and starts again because the session of the
// worker's next incarnation has freed it before its end was committed.
func TestEndsBeforeSession(t *testing.T) {
	replica := &recordingReplica{machine: applier.New("g")}
	o := New()
	o.SetReplica(replica)
	o.SetLeadership(1, true, time.Now())
	done := jaygw.EndedRun{Run: jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}, Outcome: jaygw.RunDone}
	require.NoError(t, o.openSession(t.Context(), jaygw.PollRequest{
		VM: "a", Process: 1, Sequence: 1, Ended: []jaygw.EndedRun{done}, Worker: &jaygw.PoolWorker{Incarnation: jaygw.WorkerIncarnation{Name: "a"}},
	}))
	require.Len(t, replica.proposed, 2)
	require.Equal(t, []jaygw.EndedRun{done}, replica.proposed[0].EndRuns.Ended)
	require.NotNil(t, replica.proposed[1].OpenSession)
}

// TestRunsOfEarlierIncarnationStopBeforeTheyAreFree guards against a run that is granted elsewhere while the
// later incarnation of its worker runs it for an earlier agent process.
func TestRunsOfEarlierIncarnationStopBeforeTheyAreFree(t *testing.T) {
	h := newHarness(t)
	h.poll("a", by(1, 10, 5))
	h.submit("w", step(1))
	h.decide()
	runs := h.placed("a")
	require.Len(t, runs, 1)
	unknown := func(request *jaygw.PollRequest) {
		by(2, 20, request.Sequence)(request)
		request.RunsUnknown = true
	}
	response := h.poll("a", unknown)
	require.Equal(t, runs, response.Stops)
	require.Empty(t, response.Starts)
	require.Equal(t, runs, h.placed("a"))
	response = h.poll("a", unknown, func(request *jaygw.PollRequest) {
		request.Ended = []jaygw.EndedRun{{Run: runs[0], Outcome: jaygw.RunNotStarted}}
	})
	require.Equal(t, runs, response.Recorded)
	require.Empty(t, h.placed("a"))
}
