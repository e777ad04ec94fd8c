package poller

import (
	"context"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

type (
	// leaderFunc is a leader that responds with a function.
	leaderFunc func(jaygw.PollRequest) jaygw.PollResponse

	// workerStub is a worker of which a start waits for release.
	workerStub struct {
		incarnation jaygw.WorkerIncarnation
		clock       time.Duration
		started     chan jaygw.WorkerStart
		release     chan jaygw.WorkerResponse
		stop        jaygw.WorkerResponse
		running     []jaygw.RunningRun
		extension   jaygw.LeaseExtension // the last one
		stops       int
	}
)

func (f leaderFunc) Poll(_ context.Context, request jaygw.PollRequest) (jaygw.PollResponse, error) {
	response := f(request)
	response.Sequence = request.Sequence
	return response, nil
}

func (w *workerStub) Start(_ context.Context, _ jaygw.WorkerIncarnation, start jaygw.WorkerStart) (jaygw.WorkerResponse, error) {
	w.started <- start
	return <-w.release, nil
}

func (w *workerStub) Stop(context.Context, jaygw.WorkerIncarnation, jaygw.Run, uint64) (jaygw.WorkerResponse, error) {
	w.stops++
	return w.stop, nil
}

func (w *workerStub) ExtendLease(_ context.Context, _ jaygw.WorkerIncarnation, extension jaygw.LeaseExtension) (jaygw.RunList, error) {
	w.extension = extension
	return jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Clock: w.clock}, Incarnation: w.incarnation, Running: w.running}, nil
}

func (w *workerStub) SetPace(context.Context, jaygw.WorkerIncarnation, jaygw.Run, int, uint64) (jaygw.WorkerResponse, error) {
	return jaygw.WorkerResponse{}, nil
}

func (w *workerStub) restart(born jaygw.Time, clock time.Duration) jaygw.PoolWorker {
	w.incarnation, w.clock = jaygw.WorkerIncarnation{Name: "w", StartTime: born}, clock
	return jaygw.PoolWorker{Incarnation: w.incarnation}
}

// TestReplyOfEarlierIncarnation guards against deadlines on the clock of the worker's earlier incarnation,
// which let the later one carry out an order long after it was given.
func TestReplyOfEarlierIncarnation(t *testing.T) {
	const lease = 4 * time.Second
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{started: make(chan jaygw.WorkerStart), release: make(chan jaygw.WorkerResponse)}
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	session := uint64(7)
	now := time.Unix(1000, 0)
	leader := leaderFunc(func(jaygw.PollRequest) jaygw.PollResponse {
		response := jaygw.PollResponse{Session: session, Lease: lease}
		if session == 7 {
			response.Starts = []jaygw.StartOrder{{Run: run, ValidFor: time.Second}}
		}
		return response
	})
	a := New(leader, worker, runner.New("vm", 1, lease), WithLogger(logrus.FieldLogger(log)), WithClock(func() time.Time { return now }))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	<-worker.started
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(20, time.Second), time.Second))
	worker.release <- jaygw.WorkerResponse{Clock: time.Hour}
	a.goroutines.Wait()
	session = 9
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.NoError(t, a.listRuns(t.Context(), 0))
	require.LessOrEqual(t, worker.extension.Deadline, time.Second+lease)
}
