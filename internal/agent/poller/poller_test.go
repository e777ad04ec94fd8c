package poller

import (
	"context"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	metrics "github.com/rcrowley/go-metrics"
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
		ended       []jaygw.NumberedEnd
		extension   jaygw.LeaseExtension // the last one
		fence       uint64               // a lower one is denied, without the incarnation that denies it
		stops       int
		listed      func() // called before a list is returned; nil for none
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

func (w *workerStub) ExtendLease(_ context.Context, expected jaygw.WorkerIncarnation, extension jaygw.LeaseExtension) (jaygw.RunList, error) {
	w.extension = extension
	if listed := w.listed; listed != nil {
		w.listed = nil
		defer listed()
	}
	if extension.Fence < w.fence {
		return jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Clock: w.clock, Denied: jaygw.DeniedFence}, Incarnation: expected}, nil
	}
	return jaygw.RunList{WorkerResponse: jaygw.WorkerResponse{Clock: w.clock}, Incarnation: w.incarnation, Running: w.running, Ended: w.ended}, nil
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
	log, logged := logtest.NewNullLogger()
	worker := &workerStub{started: make(chan jaygw.WorkerStart), release: make(chan jaygw.WorkerResponse)}
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	session := uint64(7)
	now := time.Unix(1000, 0)
	leader := leaderFunc(func(request jaygw.PollRequest) jaygw.PollResponse {
		response := jaygw.PollResponse{Session: session, Lease: lease}
		if session == 7 && request.Sequence > 1 {
			response.Starts = []jaygw.StartOrder{{Run: run, ValidFor: time.Second}}
		}
		return response
	})
	a := New(leader, worker, runner.New("vm", 1, lease), WithLogger(logrus.FieldLogger(log)), WithClock(func() time.Time { return now }))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.NoError(t, a.listRuns(t.Context(), 0))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	<-worker.started
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(20, time.Second), time.Second))
	worker.release <- jaygw.WorkerResponse{Clock: time.Hour}
	a.goroutines.Wait()
	session = 9
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.NoError(t, a.listRuns(t.Context(), 0))
	require.LessOrEqual(t, worker.extension.Deadline, time.Second+lease)
	var decided *logrus.Entry
	for _, entry := range logged.AllEntries() {
		if entry.Message == "agent: start decided" {
			require.Nil(t, decided, "one line for each start")
			decided = entry
		}
	}
	require.NotNil(t, decided)
	require.Equal(t, true, decided.Data["admitted"])
	require.Equal(t, "4s", decided.Data["lease-left"])
}

// TestOddHeartbeatChangesWorker guards against a heartbeat of another program under the worker's own id and start
// time, which would give the worker another size or pool until its next heartbeat.
func TestOddHeartbeatChangesWorker(t *testing.T) {
	log, logged := logtest.NewNullLogger()
	worker := &workerStub{}
	var reported *jaygw.PoolWorker
	leader := leaderFunc(func(request jaygw.PollRequest) jaygw.PollResponse {
		reported = request.Worker
		return jaygw.PollResponse{Session: 7, Lease: time.Second}
	})
	a := New(leader, worker, runner.New("vm", 1, time.Second), WithLogger(logrus.FieldLogger(log)))
	good := worker.restart(10, time.Second)
	good.Service, good.Size, good.Labels = "s", jaygw.Resources{CPU: 8 * jaygw.Core}, []string{"a"}
	require.NoError(t, a.Heartbeat(t.Context(), good, time.Second))
	larger, moved, labeled := good, good, good
	larger.Size.CPU, moved.Service, labeled.Labels = 1<<40, "elsewhere", []string{"a", "b"}
	for _, odd := range []jaygw.PoolWorker{larger, moved, labeled} {
		require.ErrorIs(t, a.Heartbeat(t.Context(), odd, time.Second), errContradiction)
		require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
		require.Equal(t, good, *reported)
		good.Draining = true // what may change is accepted at once
		require.NoError(t, a.Heartbeat(t.Context(), good, time.Second))
	}
	refused := slices.DeleteFunc(logged.AllEntries(), func(e *logrus.Entry) bool { return e.Level != logrus.WarnLevel })
	require.Len(t, refused, 3)
	require.Error(t, a.Heartbeat(t.Context(), moved, time.Second))
	require.NoError(t, a.Heartbeat(t.Context(), moved, time.Second), "repeated, so it was the first one that was odd")
}

// TestStartReachesLaterIncarnation guards against a run that the leader frees and grants elsewhere although
// the worker runs it: its order has reached the worker's later incarnation, which has the same name.
func TestStartReachesLaterIncarnation(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{started: make(chan jaygw.WorkerStart, 1), release: make(chan jaygw.WorkerResponse, 1)}
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	now := time.Unix(1000, 0)
	var ended []jaygw.EndedRun
	leader := leaderFunc(func(request jaygw.PollRequest) jaygw.PollResponse {
		ended = request.Ended
		response := jaygw.PollResponse{Session: 7, Lease: time.Second}
		if request.Sequence > 1 {
			response.Starts = []jaygw.StartOrder{{Run: run, ValidFor: time.Second}}
		}
		return response
	})
	a := New(leader, worker, runner.New("vm", 1, time.Second), WithLogger(logrus.FieldLogger(log)), WithClock(func() time.Time { return now }))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	worker.release <- jaygw.WorkerResponse{Clock: time.Second}
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.NoError(t, a.listRuns(t.Context(), 0))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	a.goroutines.Wait()
	worker.running = []jaygw.RunningRun{{Run: run}}
	later := worker.restart(20, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.Error(t, a.Heartbeat(ctx, later, time.Second), "the later incarnation runs it")
	require.Equal(t, 1, worker.stops)
	done := jaygw.EndedRun{Run: run, Outcome: jaygw.RunDone}
	worker.running, worker.ended = nil, []jaygw.NumberedEnd{{Number: 1, End: done}}
	require.NoError(t, a.Heartbeat(t.Context(), later, time.Second))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.Equal(t, []jaygw.EndedRun{done}, ended, "the end is reported before the leader frees the run")
}

// TestLateHeartbeatOfEarlierIncarnation guards against a heartbeat of the worker's earlier incarnation that is
// accepted after the later one has runs, which the leader then frees while they run.
func TestLateHeartbeatOfEarlierIncarnation(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{}
	leader := leaderFunc(func(jaygw.PollRequest) jaygw.PollResponse { return jaygw.PollResponse{Session: 7, Lease: time.Second} })
	a := New(leader, worker, runner.New("vm", 1, time.Second), WithLogger(logrus.FieldLogger(log)))
	earlier := worker.restart(10, time.Hour)
	require.NoError(t, a.Heartbeat(t.Context(), earlier, time.Hour))
	later := worker.restart(20, time.Second)
	require.NoError(t, a.Heartbeat(t.Context(), later, time.Second))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	worker.fence = 7
	require.Error(t, a.Heartbeat(t.Context(), earlier, time.Hour))
	current, _ := a.incarnation()
	require.Equal(t, later.Incarnation, current)
}

// TestRunOfEarlierProcessOnLaterIncarnation guards against a run that the leader frees and grants elsewhere
// although the worker runs it: an earlier agent process ordered it before it knew that the worker had restarted.
func TestRunOfEarlierProcessOnLaterIncarnation(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{started: make(chan jaygw.WorkerStart, 1), release: make(chan jaygw.WorkerResponse, 1)}
	run := jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}
	now := time.Unix(1000, 0)
	var first *jaygw.PollRequest
	leader := leaderFunc(func(request jaygw.PollRequest) jaygw.PollResponse {
		if first == nil {
			first = &request
		}
		return jaygw.PollResponse{Session: 7, Lease: time.Second}
	})
	a := New(leader, worker, runner.New("vm", 2, time.Second), WithLogger(log), WithClock(func() time.Time { return now }))
	worker.running = []jaygw.RunningRun{{Run: run}}
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(20, time.Second), time.Second))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.True(t, worker.stops > 0 || len(first.Runs) > 0)
	require.True(t, first.RunsUnknown, "an order of the earlier process may still arrive")
}

// TestLaterIncarnationRunsOrderOfEarlierProcess guards against a run that is freed while the worker runs it: the
// order of an earlier agent process has reached an incarnation later than the one that listed its runs.
func TestLaterIncarnationRunsOrderOfEarlierProcess(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{}
	leader := leaderFunc(func(jaygw.PollRequest) jaygw.PollResponse { return jaygw.PollResponse{Session: 7, Lease: time.Second} })
	a := New(leader, worker, runner.New("vm", 1, time.Second), WithLogger(log))
	require.NoError(t, a.Heartbeat(t.Context(), worker.restart(10, time.Hour), time.Hour))
	require.NoError(t, a.pollOnce(t.Context(), 0, time.Second))
	require.NoError(t, a.listRuns(t.Context(), 0))
	worker.running = []jaygw.RunningRun{{Run: jaygw.Run{Task: jaygw.StepTask{Workflow: "w"}, Number: 1}}}
	later := worker.restart(20, time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.Error(t, a.Heartbeat(ctx, later, time.Second), "the later incarnation runs it")
	require.Equal(t, 1, worker.stops)
	worker.running = nil
	require.NoError(t, a.Heartbeat(t.Context(), later, time.Second))
}

// TestLateConfirmation guards against a heartbeat of the worker's earlier incarnation that is accepted because
// the list that confirms it is handled after the later incarnation was accepted.
func TestLateConfirmation(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{}
	a := New(nil, worker, runner.New("vm", 1, time.Second), WithLogger(log))
	earlier := worker.restart(10, time.Hour)
	worker.listed = func() { require.NoError(t, a.Heartbeat(t.Context(), worker.restart(20, time.Second), time.Second)) }
	require.Error(t, a.Heartbeat(t.Context(), earlier, time.Hour))
	current, _ := a.incarnation()
	require.Equal(t, worker.incarnation, current)
}

// TestLateHeartbeatsChangeProfile guards against two delayed heartbeats of the same incarnation that arrive in a row
// and give the worker its earlier size again.
func TestLateHeartbeatsChangeProfile(t *testing.T) {
	log, logged := logtest.NewNullLogger()
	worker := &workerStub{}
	a := New(nil, worker, runner.New("vm", 1, time.Second), WithLogger(logrus.FieldLogger(log)))
	report := func(sequence uint64, cores jaygw.MilliCores) error {
		w := jaygw.PoolWorker{Incarnation: worker.incarnation, Service: "s", Size: jaygw.Resources{CPU: cores * jaygw.Core}, Sequence: sequence}
		return a.Heartbeat(t.Context(), w, time.Second)
	}
	size := func() int { return int(a.runner.Worker().Size.CPU / jaygw.Core) }
	worker.restart(10, time.Second)
	require.NoError(t, report(1, 8))
	require.ErrorIs(t, report(5, 4), errContradiction)
	require.NoError(t, report(6, 4))
	require.Equal(t, 4, size())
	var errs []error
	for _, late := range []uint64{2, 3, 3, 4, 5, 6} {
		errs = append(errs, report(late, 8))
		require.Equal(t, 4, size(), "after heartbeat %d", late)
	}
	for _, err := range errs {
		require.ErrorIs(t, err, jaygw.ErrLateReport)
	}
	lines := slices.DeleteFunc(logged.AllEntries(), func(e *logrus.Entry) bool { return e.Message != "agent: late heartbeat" })
	require.Len(t, lines, 6)
	require.EqualValues(t, 6, metrics.GetOrRegisterCounter("agent.heartbeats-late", a.registry).Count())
	require.NoError(t, report(7, 4), "the next one is not late")

	// A worker that drains does so until its incarnation ends, whenever its heartbeat arrives.
	require.ErrorIs(t, a.Heartbeat(t.Context(), jaygw.PoolWorker{
		Incarnation: worker.incarnation, Service: "s", Size: jaygw.Resources{CPU: 8 * jaygw.Core}, Draining: true, Sequence: 5,
	}, time.Second), jaygw.ErrLateReport)
	require.True(t, a.runner.Worker().Draining)
	require.Equal(t, 4, size())

	// A heartbeat without a number is never late.
	require.ErrorIs(t, report(0, 8), errContradiction)
	require.NoError(t, report(0, 8))
	require.Equal(t, 8, size())
}

// TestHugeSequenceLocksWorkerOut guards against a worker whose heartbeats all count as late after one of another program
// under its id and start time, with a number that it will never reach.
func TestHugeSequenceLocksWorkerOut(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := &workerStub{}
	a := New(nil, worker, runner.New("vm", 1, time.Second), WithLogger(logrus.FieldLogger(log)))
	w := worker.restart(10, time.Second)
	for sequence := uint64(1); sequence < 10; sequence++ {
		w.Sequence = sequence
		require.NoError(t, a.Heartbeat(t.Context(), w, time.Second))
	}
	for range 2 {
		odd := w
		odd.Sequence = math.MaxUint64
		require.NoError(t, a.Heartbeat(t.Context(), odd, time.Second))
		refused, accepted := 0, 0
		for accepted < 3 {
			w.Sequence++
			if err := a.Heartbeat(t.Context(), w, time.Second); err == nil {
				accepted++
				continue
			}
			refused++
			copied := w // shows no later state
			require.ErrorIs(t, a.Heartbeat(t.Context(), copied, time.Second), jaygw.ErrLateReport)
			require.Less(t, refused, 10)
			require.Zero(t, accepted, "none counts as late after the first that does not")
		}
		require.Positive(t, refused)
	}
	// A contradiction that another program sends does not count.
	odd := w
	odd.Service, odd.Sequence = "elsewhere", math.MaxUint64
	require.ErrorIs(t, a.Heartbeat(t.Context(), odd, time.Second), errContradiction)
	w.Sequence++
	require.NoError(t, a.Heartbeat(t.Context(), w, time.Second))
}
