package orchestrator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

type (
	// simulation runs agents, workers and leaders on virtual time and judges the workers by the promises on
	// attempts: two runs at a time, a start of a task that is done, or one after too many failures.
	simulation struct {
		*harness
		random   *rand.Rand
		events   eventQueue
		counter  int
		vms      []*simulatedVM
		term     uint64
		process  uint64
		noLeader time.Time // there is no leader before
		attempts map[string]int
		steps    map[string][]jaygw.Step // of the workflows as submitted
		starts   []simulatedStart
		ends     []*simulatedEnd
		log      []string
		failed   string

		longestRun time.Duration
		duration   time.Duration
		// limits is nil if commands are committed at once and the limits of the VMs don't matter.
		limits *simulatedLimits
		copies *simulatedCopies // nil if no step allows copies
	}

	// simulatedVM is a VM with an agent process and a worker.
	simulatedVM struct {
		name  string
		id    string         // of the worker
		agent *runner.Runner // nil while it is down
		// generation counts the agent processes.
		generation  int
		frozenUntil time.Time // of the agent
		cutUntil    time.Time // no poll and no response passes before
		muteUntil   time.Time // the worker carries out orders, and its responses are lost
		pending     []func()  // end the calls whose connections end with the worker

		boot     int
		up       bool
		bootAt   time.Time
		rate     float64 // of the worker's clock
		failsAll bool
		profile  jaygw.WorkerProfile
		fence    uint64
		leaseEnd time.Duration
		lapses   int
		running  map[jaygw.Run]bool
		highest  map[jaygw.StepTask]uint64
		ended    []jaygw.NumberedEnd
		last     uint64
	}

	simulatedStart struct {
		run  jaygw.Run
		ends int // known ends before it
	}

	// simulatedEnd is the end of a run that is done or has failed.
	simulatedEnd struct {
		vm      *simulatedVM
		boot    int
		number  uint64
		lapses  int
		run     jaygw.Run
		outcome jaygw.RunOutcome
		noted   bool
		notedAt time.Time
	}

	event struct {
		at      time.Time
		counter int
		do      func()
	}

	eventQueue []event
)

const (
	simulatedFaults = 10 * time.Second // time in which faults begin
	simulatedTime   = 24 * time.Second
	simulatedLimit  = 4 // ends in a list
	// simulatedLongLimit is that of the first list after a restart, when few runs can have ended.
	simulatedLongLimit = 500
	simulatedOrder     = 500 * time.Millisecond
)

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].counter < q[j].counter
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after calls a function once a time has passed.
func (s *simulation) after(d time.Duration, do func()) {
	s.counter++
	heap.Push(&s.events, event{at: s.now.Add(d), counter: s.counter, do: do})
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) percent(p int) bool { return s.random.IntN(100) < p }

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, s.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// inAgent calls a function in an agent process, after a freeze, unless the process has ended.
func (s *simulation) inAgent(vm *simulatedVM, generation int, do func()) {
	switch {
	case vm.agent == nil || vm.generation != generation:
	case s.now.Before(vm.frozenUntil):
		s.after(vm.frozenUntil.Sub(s.now)+s.between(0, 5*time.Millisecond), func() { s.inAgent(vm, generation, do) })
	default:
		do()
	}
}

// every calls a function in an agent process again and again.
func (s *simulation) every(vm *simulatedVM, low, high time.Duration, do func()) {
	generation := vm.generation
	var loop func()
	loop = func() {
		do()
		s.after(s.between(low, high), func() { s.inAgent(vm, generation, loop) })
	}
	s.after(s.between(0, low), func() { s.inAgent(vm, generation, loop) })
}

func (s *simulation) startAgent(vm *simulatedVM) {
	s.process++
	vm.generation++
	vm.agent = runner.New(vm.name, s.process, 10*time.Second)
	s.logf("%s: agent process %d", vm.name, s.process)
	s.every(vm, 30*time.Millisecond, 250*time.Millisecond, func() { s.poll(vm) })
	s.every(vm, 90*time.Millisecond, 110*time.Millisecond, func() { s.perform(vm, vm.agent.DueStops(s.now)) })
	generation := vm.generation
	s.after(0, func() { s.inAgent(vm, generation, func() { s.list(vm) }) })
}

func (s *simulation) stopAgent(vm *simulatedVM) {
	if vm.agent == nil {
		return
	}
	vm.agent, vm.frozenUntil = nil, time.Time{}
	s.after(s.between(20*time.Millisecond, 800*time.Millisecond), func() {
		if vm.agent == nil {
			s.startAgent(vm)
		}
	})
}

// delay is that of a message, which is rarely late.
func (s *simulation) delay() time.Duration {
	if s.percent(4) || s.copies != nil && s.percent(lateWithCopies) {
		return s.between(100*time.Millisecond, 3*time.Second)
	}
	return s.between(0, 5*time.Millisecond)
}

// call sends an order to a worker. The boot that receives it carries it out, maybe late, and its response
// may be lost.
func (s *simulation) call(vm *simulatedVM, wait time.Duration, carryOut func(), respond func(err error)) {
	generation := vm.generation
	responded := false
	answer := func(err error) func() {
		return func() {
			s.inAgent(vm, generation, func() {
				if !responded {
					responded = true
					respond(err)
				}
			})
		}
	}
	s.after(simulatedOrder, answer(errNoResponse))
	s.after(s.between(0, 2*time.Millisecond), func() {
		if !vm.up {
			answer(errNoResponse)()
			return
		}
		vm.pending = append(vm.pending, answer(errNoResponse))
		boot, lateness := vm.boot, wait
		if s.percent(5) || s.copies != nil && s.percent(lateWithCopies) {
			lateness = s.between(0, 4*time.Second)
		}
		s.after(lateness, func() {
			if !vm.up || vm.boot != boot && !s.reachesLaterBoots() {
				answer(errNoResponse)()
				return
			}
			carryOut()
			if !s.now.Before(vm.muteUntil) && !s.percent(3) {
				s.after(s.between(0, 3*time.Millisecond), answer(nil))
			}
		})
	})
}

func (s *simulation) isCurrent(vm *simulatedVM, incarnation jaygw.WorkerIncarnation) bool {
	return vm.agent.Worker() != nil && vm.agent.Worker().Incarnation == incarnation
}

// perform sends orders as the poller does.
func (s *simulation) perform(vm *simulatedVM, actions []runner.Action) {
	generation := vm.generation
	for _, action := range actions {
		s.after(s.between(0, 2*time.Millisecond), func() {
			s.inAgent(vm, generation, func() {
				if vm.agent.Worker() == nil {
					return
				}
				incarnation := vm.agent.Worker().Incarnation
				switch {
				case action.Stop != nil:
					s.stop(vm, *action.Stop, incarnation)
				case action.Start != nil:
					s.start(vm, action, incarnation)
				}
			})
		})
	}
}

func (s *simulation) stop(vm *simulatedVM, run jaygw.Run, incarnation jaygw.WorkerIncarnation) {
	var response jaygw.WorkerResponse
	fence := vm.agent.Session()
	s.call(vm, 0, func() {
		response.Denied = s.unlessReplaced(vm, incarnation, func() jaygw.OrderDenial { return s.stopRun(vm, run, fence) })
		response.Clock = vm.clock(s.now)
	}, func(err error) {
		if s.isCurrent(vm, incarnation) {
			vm.agent.Stopped(run, response, err, s.now)
		}
	})
}

func (s *simulation) start(vm *simulatedVM, action runner.Action, incarnation jaygw.WorkerIncarnation) {
	run := action.Start.Run
	decision, ok := vm.agent.Admit(run, action.StartBy, s.now)
	if !ok {
		return
	}
	order := jaygw.WorkerStart{Run: run, Deadline: decision.Deadline, Fence: vm.agent.Session()}
	var response jaygw.WorkerResponse
	s.call(vm, 0, func() {
		response.Denied = s.unlessReplaced(vm, incarnation, func() jaygw.OrderDenial { return s.startRun(vm, order, incarnation) })
		response.Clock = vm.clock(s.now)
	}, func(err error) {
		if s.isCurrent(vm, incarnation) {
			s.perform(vm, vm.agent.Started(run, response, err, s.now))
		}
	})
}

// list requests lists from the worker, one after the other.
func (s *simulation) list(vm *simulatedVM) {
	generation := vm.generation
	again := func(d time.Duration) {
		s.after(d, func() { s.inAgent(vm, generation, func() { s.list(vm) }) })
	}
	if vm.agent.Idle() {
		again(s.between(0, 30*time.Millisecond))
		return
	}
	incarnation, extension, requested := vm.agent.Worker().Incarnation, vm.agent.ListRequest(s.now, 0), s.now
	var list jaygw.RunList
	s.call(vm, s.between(0, 100*time.Millisecond), func() { list = s.hold(vm, incarnation, extension, simulatedLimit) }, func(err error) {
		if s.isCurrent(vm, incarnation) {
			if err != nil {
				vm.agent.ListFailed(s.now)
			} else {
				actions, changed := vm.agent.Listed(list, requested, s.now)
				s.perform(vm, actions)
				if changed {
					s.poll(vm)
				}
			}
		}
		again(s.between(time.Millisecond, 30*time.Millisecond))
	})
}

// heartbeat handles a report of the worker as the poller does.
func (s *simulation) heartbeat(vm *simulatedVM, worker jaygw.PoolWorker, clock time.Duration) {
	current, reported := vm.agent.Worker(), worker.Incarnation
	var list jaygw.RunList
	if current == nil || current.Incarnation != reported {
		if !vm.up {
			return
		}
		list = s.hold(vm, reported, jaygw.LeaseExtension{Fence: vm.agent.Session()}, simulatedLongLimit)
		if current != nil && list.Denied != "" || list.Incarnation != reported {
			return
		}
		runs := vm.agent.Restarted(reported)
		if s.limits != nil {
			runs = append(runs, vm.agent.Unordered(reported, list.Running, runs)...)
		}
		if len(runs) > 0 {
			for _, run := range runs {
				if denied := s.stopRun(vm, run, vm.agent.Session()); denied != "" {
					return
				}
			}
			list = s.hold(vm, reported, jaygw.LeaseExtension{Fence: vm.agent.Session()}, simulatedLongLimit)
			vm.agent.EndUnlisted(list.Ended, s.now)
			if slices.ContainsFunc(list.Running, func(r jaygw.RunningRun) bool { return slices.Contains(runs, r.Run) }) {
				return
			}
		}
	}
	vm.agent.Report(worker, clock, s.now)
	if s.limits != nil && (current == nil || current.Incarnation != reported) {
		vm.agent.Confirmed(list, s.now, s.now)
	}
}

// poll sends a poll, which the leader handles when it arrives.
func (s *simulation) poll(vm *simulatedVM) {
	request, ok := vm.agent.PollRequest(s.now, 0)
	if !ok || s.now.Before(vm.cutUntil) {
		return
	}
	generation := vm.generation
	s.after(s.delay(), func() {
		if s.now.Before(s.noLeader) || s.percent(3) {
			return
		}
		s.handle(request, func(response jaygw.PollResponse) {
			if s.now.Before(vm.cutUntil) || s.percent(3) {
				return
			}
			s.after(s.delay(), func() {
				s.inAgent(vm, generation, func() { s.perform(vm, vm.agent.HandleResponse(response, s.now)) })
			})
		})
	})
}

// handle lets the leader handle a poll, and calls a function with the response, if there is one.
func (s *simulation) handle(request jaygw.PollRequest, respond func(jaygw.PollResponse)) {
	arrived, term := s.now, s.term
	command, err := s.table.sessionCommand(request, s.state)
	switch {
	case err != nil:
		return
	case command == nil:
		s.commitEnds(request, arrived, respond)
		return
	case s.table.beginSession(request.VM) != nil:
		return
	}
	commands := []jaygw.Command{*command}
	if ends := endsBeforeSession(request); ends != nil {
		commands = []jaygw.Command{*ends, *command}
	}
	s.proposeAll(commands, term, func(err error) {
		delete(s.table.opening, request.VM)
		if err == nil {
			s.commitEnds(request, arrived, respond)
		}
	})
}

func (s *simulation) commitEnds(request jaygw.PollRequest, arrived time.Time, respond func(jaygw.PollResponse)) {
	command, err := s.table.recordPoll(request, s.state, s.now)
	if err != nil {
		return
	}
	var commands []jaygw.Command
	if command != nil {
		if s.table.beginEnds(request.VM) != nil {
			return
		}
		commands = append(commands, *command)
	}
	s.proposeAll(commands, s.term, func(err error) {
		if command != nil {
			s.table.finishEnds(request.VM)
		}
		if err != nil || s.unconfirmed() {
			return
		}
		if response, err := s.table.buildResponse(request, s.state, arrived, s.now); err == nil {
			respond(response)
		}
	})
}

// proposeAll commits commands in a term, one after the other, until one fails.
func (s *simulation) proposeAll(commands []jaygw.Command, term uint64, then func(error)) {
	if len(commands) == 0 {
		then(nil)
		return
	}
	s.propose(commands[0], term, func(err error) {
		if err != nil {
			then(err)
			return
		}
		s.proposeAll(commands[1:], term, then)
	})
}

func (s *simulation) decideRepeatedly() {
	again := func() { s.after(s.between(5*time.Millisecond, 100*time.Millisecond), s.decideRepeatedly) }
	if s.now.Before(s.noLeader) {
		again()
		return
	}
	s.proposeDecision(s.table.decide(s.state, s.out, s.now, jaygw.TimeOf(s.now)), s.term, again)
}

// proposeDecision commits the commands of a decision in order, also after one that has failed.
func (s *simulation) proposeDecision(commands []jaygw.Command, term uint64, then func()) {
	if len(commands) == 0 {
		then()
		return
	}
	s.propose(commands[0], term, func(err error) {
		s.table.recordOutcome(commands[0], err)
		next := func() { s.proposeDecision(commands[1:], term, then) }
		if err == nil {
			next()
			return
		}
		s.after(proposeRetryDelay, next)
	})
}

func (s *simulation) changeLeader() {
	s.noLeader = s.now.Add(s.between(100*time.Millisecond, 2500*time.Millisecond))
	s.term++
	term := s.term
	s.table.setLeadership(term, false, s.now)
	s.loseEntries()
	s.after(s.noLeader.Sub(s.now), func() {
		if term == s.term {
			s.commitSurvivors()
			s.table.setLeadership(term, true, s.now)
		}
	})
}

func (s *simulation) restartWorker(vm *simulatedVM) {
	if !vm.up {
		return
	}
	vm.up, vm.running, vm.ended = false, nil, nil
	for _, end := range vm.pending {
		end()
	}
	vm.pending = nil
	s.logf("%s: worker down", vm.name)
	s.after(s.between(time.Millisecond, 400*time.Millisecond), func() { s.bootWorker(vm) })
}

func (s *simulation) fault() {
	if s.now.Sub(time.Unix(1000, 0)) > simulatedFaults {
		return
	}
	vm := s.vms[s.random.IntN(len(s.vms))]
	faults := 8
	if s.limits != nil {
		faults = 8 + limitFaults
	}
	switch fault := s.random.IntN(faults); fault {
	case 0:
		s.stopAgent(vm)
	case 1:
		vm.frozenUntil = s.now.Add(s.between(200*time.Millisecond, 7*time.Second))
	case 2, 3:
		s.restartWorker(vm)
	case 4:
		s.changeLeader()
	case 5:
		vm.cutUntil = s.now.Add(s.between(500*time.Millisecond, 7*time.Second))
	case 6:
		vm.muteUntil = s.now.Add(s.between(200*time.Millisecond, 6*time.Second))
	case 7:
		s.changeLeader()
		for _, vm := range s.vms {
			s.stopAgent(vm)
			if s.percent(50) {
				s.restartWorker(vm)
			}
		}
	default:
		s.limitFault(fault - 8)
	}
	s.after(s.between(50*time.Millisecond, 1500*time.Millisecond), s.fault)
}

func (s *simulation) submitRepeatedly(number int) {
	id := fmt.Sprint("w", number)
	if s.copies != nil {
		s.primeEstimates()
	}
	if s.limits != nil {
		s.submitLimited(id)
	} else {
		first, second := step(3), step(2)
		second.After, second.Gang = []int{0}, number%2 == 1
		first.Copies, second.Copies = s.copies != nil, s.copies != nil
		s.submit(id, first, second)
	}
	s.attempts[id] = 1 + s.random.IntN(3)
	s.steps[id] = s.state.Workflow(id).Spec.Steps
	s.state.Workflow(id).Queue.MaxAttempts = s.attempts[id]
	if s.now.Sub(time.Unix(1000, 0)) < simulatedFaults {
		s.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() { s.submitRepeatedly(number + 1) })
	}
}

// judge checks the starts and the counted failures once all ends are known.
func (s *simulation) judge() string {
	for _, start := range s.starts {
		failed := 0
		for _, end := range s.ends[:start.ends] {
			switch {
			case end.run.Task != start.run.Task || !end.noted || s.allowsCopies(start.run.Task):
			case end.outcome == jaygw.RunDone:
				return fmt.Sprintf("run %d of %s starts after run %d was done", start.run.Number, start.run.Task, end.run.Number)
			case end.outcome == jaygw.RunFailed:
				failed++
			}
		}
		if failed >= s.attempts[start.run.Task.Workflow] {
			return fmt.Sprintf("run %d of %s starts after %d failures", start.run.Number, start.run.Task, failed)
		}
	}
	for _, end := range s.ends {
		w := s.state.Workflow(end.run.Task.Workflow)
		if !end.noted || w.State.Ended() {
			continue
		}
		task := w.Occurrences[0].Steps[end.run.Task.Step].Tasks[end.run.Task.Index]
		if end.outcome == jaygw.RunDone && !task.Done {
			return fmt.Sprintf("run %d of %s was done, which is not recorded", end.run.Number, end.run.Task)
		}
		if end.outcome == jaygw.RunFailed && !task.Done && !slices.Contains(task.FailedRuns, end.run.Number) {
			return fmt.Sprintf("run %d of %s has failed, which is not counted", end.run.Number, end.run.Task)
		}
	}
	for id, attempts := range s.attempts {
		if w := s.state.Workflow(id); w.State == jaygw.WorkflowFailed && s.failedRuns(w) < attempts {
			return fmt.Sprintf("%s is failed after %d of %d attempts", id, s.failedRuns(w), attempts)
		}
	}
	for _, vm := range s.vms {
		if len(vm.ended) > 0 {
			return fmt.Sprintf("%s still lists %d ends", vm.name, len(vm.ended))
		}
	}
	return ""
}

// failedRuns returns the highest number of failed runs of a task or a gang of a workflow.
func (s *simulation) failedRuns(w *registrar.Workflow) int {
	failed, most := map[jaygw.StepTask]map[uint64]bool{}, 0
	for _, end := range s.ends {
		if end.outcome != jaygw.RunFailed || end.run.Task.Workflow != w.Spec.ID {
			continue
		}
		key := end.run.Task
		if s.steps[w.Spec.ID][key.Step].Gang {
			key.Index = 0
		}
		if failed[key] == nil {
			failed[key] = map[uint64]bool{}
		}
		failed[key][end.run.Number] = true
		most = max(most, len(failed[key]))
	}
	return most
}

// simulate plays one seed and returns the promise that was broken, if any, with the log.
func simulate(tb testing.TB, seed uint64) (broken string, log []string) {
	s := newSimulation(tb, seed)
	return s.play(), s.log
}

func newSimulation(tb testing.TB, seed uint64) *simulation {
	return &simulation{
		harness: newHarness(tb), random: rand.New(rand.NewPCG(seed, 0)), term: 1, attempts: map[string]int{}, steps: map[string][]jaygw.Step{}, longestRun: 400 * time.Millisecond, duration: simulatedTime,
	}
}

// play plays the simulation and returns the promise that was broken, if any.
func (s *simulation) play() string {
	names := []string{"a", "b", "c"}
	if s.limits != nil {
		names = append(names, "d", "e")
	}
	for _, name := range names {
		vm := &simulatedVM{name: name, id: name}
		s.vms = append(s.vms, vm)
		s.bootWorker(vm)
		s.startAgent(vm)
	}
	s.decideRepeatedly()
	s.submitRepeatedly(0)
	s.after(time.Second, s.fault)
	for s.now.Sub(time.Unix(1000, 0)) < s.duration && s.failed == "" {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
	}
	if s.failed != "" {
		return s.failed
	}
	return s.judge()
}

func environmentInt(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// TestSimulatedAttempts guards against two runs of a task at a time, starts after an end that the worker
// considers recorded, and ends that are forgotten without being recorded. Processes and workers are killed,
// frozen, cut off and mute, and messages are lost, late and out of order.
func TestSimulatedAttempts(t *testing.T) {
	t.Parallel()
	first, seeds := environmentInt("JAYGW_SEED", 1), environmentInt("JAYGW_CHECKS", 200)
	for seed := first; seed < first+seeds; seed++ {
		broken, log := simulate(t, uint64(seed))
		if broken != "" {
			t.Log(strings.Join(log, "\n"))
		}
		require.Empty(t, broken, "JAYGW_SEED=%d JAYGW_CHECKS=1", seed)
	}
}
