package foreman

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// estate drives a roster and a registrar on virtual time, as a leader would.
type estate struct {
	t      testing.TB
	roster *roster
	state  *registrar.Registrar
	now    time.Time
	index  jaygw.Index
	out    map[string]bool
	known  map[string][]jaygw.KnownRun
	serial uint64
}

const testLease = 4 * time.Second

func newEstate(t testing.TB, vms ...string) *estate {
	e := &estate{
		t: t, roster: newRoster(testLease), now: time.Unix(1000, 0), out: map[string]bool{}, known: map[string][]jaygw.KnownRun{},
	}
	e.state = registrar.New(func(domain string) bool { return e.out[domain] })
	e.state.PutCatalog(jaygw.PutCatalog{Catalog: jaygw.Catalog{
		Number: 1, Services: []jaygw.PoolSpec{{Name: "s"}},
		Queues: []jaygw.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Attempts: 2, Timeout: time.Second, Stretch: 2}},
	}})
	e.roster.lead(1, true, e.now)
	for _, vm := range vms {
		e.attend(vm)
	}
	return e
}

// attend plays one attendance of a VM that knows the runs in known.
func (e *estate) attend(vm string, changes ...func(*jaygw.Attendance)) jaygw.AttendanceResult {
	e.t.Helper()
	e.serial++
	a := jaygw.Attendance{VM: vm, Process: 1, Sequence: e.serial, Known: e.known[vm], Worker: &jaygw.PoolWorker{
		Life: jaygw.WorkerLife{Name: vm}, Service: "s", Domain: "d",
		Size: jaygw.Resources{CPU: 8 * jaygw.Core, Memory: 8 * jaygw.GB},
	}}
	for _, change := range changes {
		change(&a)
	}
	command, err := e.roster.opening(a, e.state)
	require.NoError(e.t, err)
	e.apply(command)
	command, err = e.roster.arrived(a, e.state, e.now)
	require.NoError(e.t, err)
	e.apply(command)
	result, err := e.roster.answer(a, e.state, e.now, e.now)
	require.NoError(e.t, err)
	return result
}

func (e *estate) apply(command *jaygw.Command) {
	if command == nil {
		return
	}
	e.index++
	now := jaygw.TimeOf(e.now)
	switch {
	case command.OpenSession != nil:
		e.state.OpenSession(*command.OpenSession, e.index, now)
	case command.EndRuns != nil:
		e.state.EndRuns(*command.EndRuns, now)
	case command.StartRuns != nil:
		e.state.StartRuns(*command.StartRuns, now)
	case command.StopRuns != nil:
		e.state.StopRuns(*command.StopRuns)
	case command.LearnEffects != nil:
		e.state.LearnEffects(*command.LearnEffects)
	}
	e.roster.settled(*command, nil)
}

func (e *estate) decide() {
	for _, command := range e.roster.decide(e.state, e.out, e.now, jaygw.TimeOf(e.now)) {
		e.apply(&command)
	}
}

func (e *estate) submit(id string, steps ...jaygw.Step) {
	result := e.state.Submit(jaygw.SubmitWorkflow{
		Spec: jaygw.WorkflowSpec{ID: id, Steps: steps}, Host: "h", Path: "/q/" + id,
	}, jaygw.TimeOf(e.now))
	require.Nil(e.t, result.Refusal)
}

func step(tasks int) jaygw.Step {
	return jaygw.Step{Tasks: tasks, Size: jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}, RunTime: time.Second}
}

func (e *estate) placed(vm string) []jaygw.Run {
	var runs []jaygw.Run
	e.state.PlacedOn(vm, func(p *registrar.Placed) { runs = append(runs, p.Run) })
	return runs
}

// TestLeaseOfALostVM guards against a task that is started elsewhere while a lost VM may
// still run it, and one that is never started again.
func TestLeaseOfALostVM(t *testing.T) {
	e := newEstate(t, "a")
	e.submit("w", step(1))
	e.decide()
	require.Len(t, e.placed("a"), 1)
	require.Len(t, e.attend("a").Starts, 1)
	e.now = e.now.Add(testLease)
	e.attend("b")
	e.decide()
	require.Len(t, e.placed("a"), 1, "the lease of the agent may last a little longer by its own clock")
	e.now = e.now.Add(testLease * rateMargin / 100)
	e.now = e.now.Add(time.Millisecond)
	e.attend("b")
	e.decide()
	require.Empty(t, e.placed("a"))
	e.decide()
	require.Len(t, e.placed("b"), 1)
}

// TestNewLeaderWaitsForOldLeases guards against a new leader that takes a VM that it has
// not heard of for lost, although the last leader has just renewed its lease.
func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	e := newEstate(t, "a")
	e.submit("w", step(1))
	e.decide()
	e.now = e.now.Add(time.Hour)
	e.roster.lead(2, true, e.now)
	e.now = e.now.Add(testLease)
	e.decide()
	require.Len(t, e.placed("a"), 1)
	e.now = e.now.Add(time.Second)
	e.decide()
	require.Empty(t, e.placed("a"))
}

// TestSessions guards against runs that survive the life of their worker, and orders of
// a session that has a successor.
func TestSessions(t *testing.T) {
	e := newEstate(t, "a")
	e.submit("w", step(1))
	e.decide()
	before := e.attend("a").Session
	restarted := e.attend("a", func(a *jaygw.Attendance) { a.Process = 2 })
	require.Greater(t, restarted.Session, before)
	require.Len(t, e.placed("a"), 1, "a new agent process adopts the runs of the worker")
	e.attend("a", func(a *jaygw.Attendance) { a.Process, a.Worker.Life.Born = 2, 9 })
	require.Empty(t, e.placed("a"))
}

// TestNoStartsWhereNothingMayStart guards against starts in a domain that is out, on
// workers that drain, do not answer, or have not been heard of.
func TestNoStartsWhereNothingMayStart(t *testing.T) {
	for name, spoil := range map[string]func(*estate){
		"domain out":  func(e *estate) { e.out["d"] = true },
		"draining":    func(e *estate) { e.attend("a", func(a *jaygw.Attendance) { a.Worker.Draining = true }) },
		"no answer":   func(e *estate) { e.attend("a", func(a *jaygw.Attendance) { a.Unhealthy = "x" }) },
		"silent":      func(e *estate) { e.now = e.now.Add(silenceLimit + time.Millisecond) },
		"not leading": func(e *estate) { e.roster.lead(2, false, e.now) },
	} {
		e := newEstate(t, "a")
		e.submit("w", step(1))
		spoil(e)
		e.decide()
		require.Empty(t, e.placed("a"), name)
	}
}

// TestSlowWorker guards against a worker that stands still, looks idle, and holds up the
// last task of every step. Load pattern: wide steps, one of four workers hangs.
func TestSlowWorker(t *testing.T) {
	e := newEstate(t, "a", "b", "c", "d")
	e.submit("w", step(8))
	e.decide()
	for range 6 {
		e.now = e.now.Add(300 * time.Millisecond)
		for _, vm := range []string{"a", "b", "c", "d"} {
			e.known[vm] = nil
			for _, run := range e.placed(vm) {
				age := jaygw.TimeOf(e.now).Sub(e.state.Placed(vm, run).Since)
				percent := min(99, int(age.Milliseconds()/20))
				if vm == "d" {
					percent = 0
				}
				e.known[vm] = append(e.known[vm], jaygw.KnownRun{Run: run, Percent: percent})
			}
			e.attend(vm)
		}
		e.decide()
	}
	for _, run := range e.placed("d") {
		require.True(t, e.state.Placed("d", run).Stopping, "the runs of a worker that hangs move")
	}
	for _, vm := range []string{"a", "b", "c"} {
		for _, run := range e.placed(vm) {
			require.False(t, e.state.Placed(vm, run).Stopping, "those of the others stay")
		}
	}
	e.submit("x", step(3))
	e.decide()
	for _, run := range e.placed("d") {
		require.NotEqual(t, "x", run.Task.Workflow, "a worker that hangs gets nothing new")
	}
}

// TestDrainingWorker guards against lasting and resumable work that stays on a worker
// until it leaves, and is lost with it.
func TestDrainingWorker(t *testing.T) {
	e := newEstate(t, "a")
	lasting, resumable, short := step(1), step(1), step(1)
	lasting.Lasting, resumable.Resumable = true, true
	e.submit("lasting", lasting)
	e.submit("resumable", resumable)
	e.submit("short", short)
	e.decide()
	for _, run := range e.placed("a") {
		e.known["a"] = append(e.known["a"], jaygw.KnownRun{Run: run})
	}
	e.attend("a", func(a *jaygw.Attendance) { a.Worker.Draining = true })
	e.decide()
	stopping := map[string]bool{}
	for _, run := range e.placed("a") {
		stopping[run.Task.Workflow] = e.state.Placed("a", run).Stopping
	}
	require.Equal(t, map[string]bool{"lasting": true, "resumable": true, "short": false}, stopping)
}

// TestAVMThatGetsNoAnswersGetsNoRuns guards against runs that are placed, freed and placed
// again on a VM whose attendances arrive and whose responses are lost: nobody starts them.
func TestAVMThatGetsNoAnswersGetsNoRuns(t *testing.T) {
	e := newEstate(t, "a")
	for range 12 {
		e.now = e.now.Add(testLease / 8)
		e.serial++
		_, err := e.roster.arrived(jaygw.Attendance{VM: "a", Process: 1, Sequence: e.serial, Worker: e.roster.vms["a"].worker}, e.state, e.now)
		require.NoError(t, err)
	}
	e.submit("w", step(1))
	e.decide()
	require.Empty(t, e.placed("a"))
	e.attend("a")
	e.decide()
	require.Len(t, e.placed("a"), 1)
}
