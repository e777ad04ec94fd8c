package orchestrator

import (
	"errors"
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// estate runs agents and their workers on virtual time, with one leader.
	estate struct {
		*harness
		t       *rapid.T
		agents  []*testAgent
		term    uint64
		process uint64
		ends    []*knownEnd
		starts  [][]*knownEnd // the ends before each start
	}

	// testAgent is an agent process with its worker.
	testAgent struct {
		vm        string
		born      jaygw.Time
		draining  bool
		runner    *runner.Runner
		requests  []jaygw.PollRequest
		responses []jaygw.PollResponse
		late      []jaygw.WorkerStart // starts without a response that may still be executed
		fence     uint64
		leaseEnd  time.Duration
		running   map[jaygw.Run]bool
		highest   uint64 // highest number of a run that was stopped or ended
		ended     []jaygw.NumberedEnd
		lapses    int
		last      uint64
	}

	// knownEnd is the end of a run that is done or has failed.
	knownEnd struct {
		agent   *testAgent
		born    jaygw.Time // incarnation of the worker
		number  uint64
		lapses  int // lapses of the worker's lease before the end
		outcome jaygw.RunOutcome
		noted   bool
	}
)

const (
	checksPerRun  = 3000
	stepsPerCheck = "200" // average; a fault takes many steps from the first grant to the last start
	maxFailures   = 2     // as in the catalog of the harness
)

var errNoResponse = errors.New("no response")

func TestMain(m *testing.M) {
	seeder.FixSeed(checksPerRun)
	if err := flag.Set("rapid.steps", stepsPerCheck); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func newEstate(t *rapid.T, tb testing.TB) *estate {
	e := &estate{harness: newHarness(tb), t: t, term: 1}
	for _, vm := range []string{"a", "b"} {
		agent := &testAgent{vm: vm, running: map[jaygw.Run]bool{}}
		e.agents = append(e.agents, agent)
		e.restart(agent)
	}
	e.submit("w", step(1))
	return e
}

func (e *estate) clock() time.Duration { return e.now.Sub(time.Unix(900, 0)) }

func (a *testAgent) incarnation() jaygw.WorkerIncarnation {
	return jaygw.WorkerIncarnation{Name: a.vm, StartTime: a.born}
}

func (e *estate) report(a *testAgent) {
	a.runner.Report(jaygw.PoolWorker{
		Incarnation: a.incarnation(), Service: "s", Domain: "d", Draining: a.draining,
		Size: jaygw.Resources{CPU: 8 * jaygw.Core, Memory: 8 * jaygw.GB},
	}, e.clock(), e.now)
}

// restart replaces the agent process. Its worker goes on.
func (e *estate) restart(a *testAgent) {
	e.process++
	a.runner = runner.New(a.vm, e.process, 6*time.Second)
	a.requests, a.responses = nil, nil
	e.report(a)
}

// replace starts another incarnation of a worker.
func (e *estate) replace(a *testAgent) {
	*a = testAgent{vm: a.vm, born: a.born + 1, runner: a.runner, running: map[jaygw.Run]bool{}}
	e.report(a)
}

func (e *estate) end(a *testAgent, run jaygw.Run, outcome jaygw.RunOutcome) {
	delete(a.running, run)
	a.last++
	a.highest = max(a.highest, run.Number)
	a.ended = append(a.ended, jaygw.NumberedEnd{Number: a.last, End: jaygw.EndedRun{Run: run, Outcome: outcome}})
	if outcome == jaygw.RunFailed || outcome == jaygw.RunDone {
		e.ends = append(e.ends, &knownEnd{agent: a, born: a.born, number: a.last, lapses: a.lapses, outcome: outcome})
	}
}

// lapse ends the runs of workers whose lease is over.
func (e *estate) lapse() {
	for _, a := range e.agents {
		if a.leaseEnd == 0 || e.clock() < a.leaseEnd {
			continue
		}
		a.leaseEnd = 0
		a.lapses++
		for run := range a.running {
			e.end(a, run, jaygw.RunLeaseExpired)
		}
	}
}

// start executes an order to start a run at the worker.
func (e *estate) start(a *testAgent, s jaygw.WorkerStart) jaygw.OrderDenial {
	switch {
	case s.Fence < a.fence:
		return jaygw.DeniedFence
	case a.running[s.Run]:
		return ""
	case s.Run.Number <= a.highest:
		return jaygw.DeniedStale
	case e.clock() >= s.Deadline:
		return jaygw.DeniedLate
	}
	a.fence, a.leaseEnd = s.Fence, max(a.leaseEnd, s.Deadline)
	for _, other := range e.agents {
		require.Empty(e.t, other.running, "two runs at the same time")
	}
	e.starts = append(e.starts, slices.Clone(e.ends))
	a.running[s.Run] = true
	return ""
}

func (e *estate) perform(a *testAgent, actions []runner.Action) {
	for _, action := range actions {
		fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "busy", "lost", "late"}).Draw(e.t, "order")
		if action.Stop != nil {
			denied := jaygw.OrderDenial("")
			switch {
			case fate == "busy":
				denied = jaygw.DeniedUnhealthy
			case fate == "late":
			case a.runner.Session() < a.fence:
				denied = jaygw.DeniedFence
			default:
				a.fence, a.highest = a.runner.Session(), max(a.highest, action.Stop.Number)
				if a.running[*action.Stop] {
					e.end(a, *action.Stop, jaygw.RunStopped)
				}
			}
			a.runner.Stopped(*action.Stop, jaygw.WorkerResponse{Clock: e.clock(), Denied: denied}, orderError(fate), e.now)
			continue
		}
		if action.Start == nil {
			continue
		}
		decision, ok := a.runner.Admit(action.Start.Run, action.StartBy, e.now)
		if !ok {
			continue
		}
		order := jaygw.WorkerStart{Run: action.Start.Run, Deadline: decision.Deadline, Fence: a.runner.Session()}
		denied := jaygw.DeniedUnhealthy
		switch fate {
		case "late":
			a.late = append(a.late, order)
		case "ok", "lost":
			denied = e.start(a, order)
		}
		e.perform(a, a.runner.Started(order.Run, jaygw.WorkerResponse{Clock: e.clock(), Denied: denied}, orderError(fate), e.now))
	}
}

func orderError(fate string) error {
	if fate == "lost" || fate == "late" {
		return errNoResponse
	}
	return nil
}

// list extends the lease of a worker and reads its runs.
func (e *estate) list(a *testAgent, lost bool) {
	if a.runner.Idle() {
		return
	}
	extension := a.runner.ListRequest(e.now, 0)
	list := jaygw.RunList{Incarnation: a.incarnation(), WorkerResponse: jaygw.WorkerResponse{Clock: e.clock()}}
	if extension.Fence < a.fence {
		list.Denied = jaygw.DeniedFence
	} else {
		a.fence = extension.Fence
		if extension.Deadline > e.clock() {
			a.leaseEnd = max(a.leaseEnd, extension.Deadline)
		}
		for _, end := range e.ends {
			end.noted = end.noted || end.agent == a && end.born == a.born && end.number <= extension.LastRecordedEnd && end.lapses == a.lapses
		}
		for len(a.ended) > 0 && a.ended[0].Number <= extension.LastRecordedEnd {
			a.ended = a.ended[1:]
		}
		list.Ended = append(list.Ended, a.ended...)
		for run := range a.running {
			list.Running = append(list.Running, jaygw.RunningRun{Run: run})
		}
	}
	requested := e.now
	e.now = e.now.Add(time.Millisecond)
	if lost {
		a.runner.ListFailed(e.now)
		return
	}
	actions, _ := a.runner.Listed(list, requested, e.now)
	e.perform(a, actions)
}

// handle lets the leader handle the poll of an agent.
func (e *estate) handle(a *testAgent, request jaygw.PollRequest, lost bool) {
	command, err := e.table.sessionCommand(request, e.state)
	require.NoError(e.t, err)
	e.apply(command)
	command, err = e.table.recordPoll(request, e.state, e.now)
	require.NoError(e.t, err)
	e.apply(command)
	response, err := e.table.buildResponse(request, e.state, e.now, e.now)
	require.NoError(e.t, err)
	if !lost {
		a.responses = append(a.responses, response)
	}
}

// TestRandomAttempts guards against a start after as many failed runs as the queue allows, and against
// two runs at a time or a start of a task that is done. Polls, lists and orders are lost, late and denied, agents and leaders change.
func TestRandomAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEstate(rt, t)
		agent := func(t *rapid.T) *testAgent { return rapid.SampledFrom(e.agents).Draw(t, "agent") }
		lost := func(t *rapid.T) bool { return rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		step := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				e.t = t
				e.now = e.now.Add(time.Millisecond)
				e.lapse()
				f(t)
			}
		}
		respond := func(a *testAgent, i int) {
			response := a.responses[i]
			a.responses = append(a.responses[:i:i], a.responses[i+1:]...)
			e.perform(a, a.runner.HandleResponse(response, e.now))
		}
		round := step(func(t *rapid.T) {
			a := agent(t)
			if request, ok := a.runner.PollRequest(e.now, 0); ok {
				e.handle(a, request, false)
				respond(a, len(a.responses)-1)
			}
			e.perform(a, a.runner.DueStops(e.now))
			e.list(a, false)
		})
		rt.Repeat(map[string]func(*rapid.T){
			"round":  round,
			"round2": round,
			"poll": step(func(t *rapid.T) {
				a := agent(t)
				if request, ok := a.runner.PollRequest(e.now, 0); ok {
					a.requests = append(a.requests, request)
				}
			}),
			"handle": step(func(t *rapid.T) {
				a := agent(t)
				if len(a.requests) > 0 {
					i := rapid.IntRange(0, len(a.requests)-1).Draw(t, "request")
					request := a.requests[i]
					a.requests = append(a.requests[:i:i], a.requests[i+1:]...)
					e.handle(a, request, lost(t))
				}
			}),
			"respond": step(func(t *rapid.T) {
				if a := agent(t); len(a.responses) > 0 {
					respond(a, rapid.IntRange(0, len(a.responses)-1).Draw(t, "response"))
				}
			}),
			"list":  step(func(t *rapid.T) { a := agent(t); e.list(a, lost(t)) }),
			"stops": step(func(t *rapid.T) { a := agent(t); e.perform(a, a.runner.DueStops(e.now)) }),
			"late": step(func(t *rapid.T) {
				if a := agent(t); len(a.late) > 0 {
					order := a.late[0]
					a.late = a.late[1:]
					e.start(a, order)
				}
			}),
			"end": step(func(t *rapid.T) {
				a := agent(t)
				for run := range a.running {
					e.end(a, run, rapid.SampledFrom([]jaygw.RunOutcome{jaygw.RunFailed, jaygw.RunFailed, jaygw.RunDone}).Draw(t, "outcome"))
				}
			}),
			"drain": step(func(t *rapid.T) {
				a := agent(t)
				a.draining = true
				e.report(a)
			}),
			"replace": step(func(t *rapid.T) { e.replace(agent(t)) }),
			"restart": step(func(t *rapid.T) { e.restart(agent(t)) }),
			"leader": step(func(*rapid.T) {
				e.term++
				e.table.setLeadership(e.term, true, e.now)
			}),
			"decide":  step(func(*rapid.T) { e.decide() }),
			"decide2": step(func(*rapid.T) { e.decide() }),
			"wait": step(func(t *rapid.T) {
				e.now = e.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "wait")) * time.Millisecond)
			}),
			"": func(t *rapid.T) {
				for i, before := range e.starts {
					noted := map[jaygw.RunOutcome]int{}
					for _, end := range before {
						if end.noted {
							noted[end.outcome]++
						}
					}
					require.Less(t, noted[jaygw.RunFailed], maxFailures, "start %d after as many failures as the queue allows", i+1)
					require.Zero(t, noted[jaygw.RunDone], "start %d of a task that is done", i+1)
				}
			},
		})
	})
}
