package dispatcher_test

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"time"
	"unsafe"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/platform/emulator"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
)

type (
	// simulation runs the real applier, scheduler, deciders and executors with emulated workers on
	// virtual time, as a single-threaded sequence of events.
	simulation struct {
		random      *rand.Rand
		now         time.Time
		queue       events
		eventCount  int // number of events scheduled so far
		machine     *applier.Machine
		index       jaygw.Index
		leader      *leader
		previous    *leader // a deposed leader that still receives renewals, or nil
		nodes       []*node // the VMs in use, one per name
		allNodes    []*node // all VMs, including those that were replaced
		lossPercent int     // percentage of messages that are lost
		slowPercent int     // percentage of messages and calls that take up to seconds
		defect      defect
		oracle      oracle
		err         error // first violation or error
	}

	// defect identifies a defect that is injected to show that the checks detect it.
	defect int

	// event is a function to call at a virtual time.
	event struct {
		at    time.Time
		order int // ascending number that orders events of the same time
		run   func()
	}
	// events is a heap of events in the order of their times.
	events []event

	// leader is a decider with the log of commands that it has proposed.
	leader struct {
		dispatcher.Decider
		term            uint64
		machine         *applier.Machine // replaced by a frozen copy once the leader is deposed
		deposed         bool
		stalledUntil    time.Time  // nothing is committed or confirmed before this time
		log             []proposal // proposals that are not committed yet
		pendingCommands int        // commands of the last decision without an outcome
	}

	// proposal is a command in a leader's log.
	proposal struct {
		command jaygw.Command
		done    func(jaygw.Result, error) // called with the outcome
	}

	// node is one VM with its worker and its latest agent process.
	node struct {
		name, domain string
		size         jaygw.Resources
		clockRate    float64 // rate of the VM's clock relative to virtual time
		worker       *emulator.Worker
		agent        *agent
		pausedUntil  time.Time // the VM does nothing before this time
		isolated     bool      // the agent's messages do not leave the VM
	}

	// agent is an agent process.
	agent struct {
		*executor.Executor
		ended           bool
		leaving         bool                 // the agent has announced that its VM leaves
		urgentScheduled bool                 // a renewal is scheduled outside the regular interval
		sentAt          map[uint64]time.Time // send time on the VM's clock, by sequence number of the renewal
	}
)

const (
	noDefect              defect = iota
	ignoreEpoch                  // reports count for the task's current attempt, whatever attempt they are of
	leaseFromReceipt             // the agent counts leases from the response instead of from the request
	releaseWithoutContact        // tasks of an unresponsive VM are freed before its leases expire
	skipApplyCheck               // the state machine grants tasks without checking the VM's free capacity
	acceptExpiredPermit          // the agent uses start permits that have expired
)

var (
	simulationStart = time.Unix(1_800_000_000, 0)
	errMessageLost  = errors.New("message lost")
)

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// newSimulation returns a simulation of four VMs in two failure domains, with an elected leader
// and the document in force.
func newSimulation(seed uint64, injected defect) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, seed)), now: simulationStart, defect: injected}
	sim.oracle = newOracle(sim)
	sim.machine = applier.New(jaygw.DefaultGroup, applier.WithObserver(&sim.oracle))
	if injected == skipApplyCheck {
		field := reflect.ValueOf(sim.machine).Elem().FieldByName("trustGrants")
		reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem().SetBool(true)
	}
	sim.electLeader()
	sim.commit(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: "d"}})
	sim.commit(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: document.Environment, Digest: "d"}})
	for i, domain := range []string{"a", "a", "b", "b"} {
		sim.addNode(fmt.Sprintf("vm-%d", i), domain, 0.97+0.02*float64(i))
	}
	return sim
}

// failf records a violation with its virtual time, unless there is one already.
func (sim *simulation) failf(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf("after %v: %w", sim.now.Sub(simulationStart), fmt.Errorf(format, args...))
	}
}

// after schedules an event after a delay.
func (sim *simulation) after(d time.Duration, run func()) {
	sim.eventCount++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.eventCount, run})
}

// advance moves the virtual time on and runs the events that are scheduled until then.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for sim.err == nil && len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

// chance returns true with the given probability.
func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

// shortDelay returns a random delay of 1 to 20 ms.
func (sim *simulation) shortDelay() time.Duration {
	return time.Duration(1+sim.random.IntN(20)) * time.Millisecond
}

// send delivers a message after a random delay. It may be lost, slow or duplicated.
func (sim *simulation) send(deliver func()) {
	if sim.chance(sim.lossPercent) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := sim.shortDelay()
		if sim.chance(sim.slowPercent) {
			delay = time.Duration(sim.random.IntN(4000)) * time.Millisecond
		}
		sim.after(delay, deliver)
		if copies == 1 && sim.chance(sim.lossPercent/2) {
			copies++
		}
	}
}

// The simulated control group.

// commit applies a command at the next index of the log.
func (sim *simulation) commit(command jaygw.Command) jaygw.Result {
	sim.index++
	command.Time = max(sim.machine.State().Time, jaygw.TimeOf(sim.now))
	return sim.machine.Apply(sim.index, command)
}

// electLeader deposes the leader and elects a new one over the same committed state. A random
// part of the previous leader's proposals is committed first.
func (sim *simulation) electLeader() {
	term := uint64(1)
	if previous := sim.leader; previous != nil {
		term = previous.term + 1
		previous.deposed = true
		previous.flush(sim, sim.random.IntN(len(previous.log)+1))
		for _, p := range previous.log {
			p.done(jaygw.Result{}, jaygw.ErrOutcomeUnknown)
		}
		snapshot, _ := sim.machine.Snapshot()()
		previous.machine = applier.New(jaygw.DefaultGroup)
		if err := previous.machine.Restore(snapshot); err != nil {
			sim.failf("restore: %w", err)
		}
		sim.previous = previous
	}
	sim.leader = &leader{Decider: dispatcher.NewDecider(term, sim.now), term: term, machine: sim.machine}
	sim.machine.Observe(sim.leader.Observer())
	sim.runLeader(sim.leader)
}

// propose adds a command to the leader's log. If the log is stalled for two seconds, the proposer
// gets ErrOutcomeUnknown, while the command may still be committed later.
func (l *leader) propose(sim *simulation, command jaygw.Command, done func(jaygw.Result, error)) {
	completed := false
	complete := func(result jaygw.Result, err error) {
		if !completed {
			completed = true
			done(result, err)
		}
	}
	if l.deposed {
		complete(jaygw.Result{}, jaygw.ErrNotLeader)
		return
	}
	l.log = append(l.log, proposal{command, complete})
	sim.after(max(sim.shortDelay(), l.stalledUntil.Sub(sim.now)), func() {
		if !l.deposed && !sim.now.Before(l.stalledUntil) {
			l.flush(sim, len(l.log))
		}
	})
	sim.after(2*time.Second, func() { complete(jaygw.Result{}, jaygw.ErrOutcomeUnknown) })
}

// flush commits the first n proposals of the log.
func (l *leader) flush(sim *simulation, n int) {
	batch := l.log[:n]
	l.log = l.log[n:]
	for _, p := range batch {
		p.done(sim.commit(p.command), nil)
	}
}

// runLeader makes one round of decisions and schedules the next one, until the leader is deposed.
func (sim *simulation) runLeader(l *leader) {
	if l.deposed {
		return
	}
	sim.after(100*time.Millisecond, func() { sim.runLeader(l) })
	if sim.defect == releaseWithoutContact {
		for name, vm := range sim.machine.State().VMs {
			if l.Unresponsive(name, sim.now) && len(sim.machine.TasksOn(name)) > 0 {
				sim.commit(jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: name, Incarnation: vm.Incarnation}})
			}
		}
	}
	if l.pendingCommands > 0 {
		return
	}
	for _, command := range l.Decide(sim.machine, sim.now) {
		l.pendingCommands++
		l.propose(sim, command, func(_ jaygw.Result, err error) {
			l.pendingCommands--
			l.RecordOutcome(command, err)
		})
	}
}

// renew handles a renewal at the leader with the same steps as Dispatcher.Renew.
func (sim *simulation) renew(l *leader, r jaygw.Renewal, respond func(jaygw.RenewalResult, error)) {
	arrivedAt := sim.now
	fail := func(err error) { respond(jaygw.RenewalResult{}, err) }
	commitReports := func() {
		if err := l.RecordRenewal(r, l.machine, arrivedAt); err != nil {
			fail(err)
			return
		}
		if sim.defect == ignoreEpoch {
			for i := range r.Reports {
				if task := l.machine.State().Tasks[r.Reports[i].Report.Attempt.Task]; task != nil {
					r.Reports[i].Report.Attempt.Epoch = task.Epoch
				}
			}
		}
		command, acknowledged := l.ReportCommand(r, l.machine)
		holdAndConfirm := func() {
			sim.after(time.Duration(sim.random.Int64N(int64(r.Hold)+1)), func() { sim.confirm(l, r, acknowledged, arrivedAt, respond) })
		}
		if command == nil {
			holdAndConfirm()
			return
		}
		l.propose(sim, *command, func(result jaygw.Result, err error) {
			if err := errors.Join(err, result.Err()); err != nil {
				fail(err)
				return
			}
			holdAndConfirm()
		})
	}
	command, err := l.AnnounceCommand(r, l.machine)
	switch {
	case err != nil:
		fail(err)
	case command == nil:
		commitReports()
	default:
		l.propose(sim, *command, func(result jaygw.Result, err error) {
			if err := errors.Join(err, result.Err()); err != nil {
				fail(err)
				return
			}
			commitReports()
		})
	}
}

// confirm confirms the leadership and builds the response, possibly some time later.
func (sim *simulation) confirm(l *leader, r jaygw.Renewal, acknowledged uint64, arrivedAt time.Time, respond func(jaygw.RenewalResult, error)) {
	if l.deposed || sim.now.Before(l.stalledUntil) {
		respond(jaygw.RenewalResult{}, jaygw.ErrNotConfirmed)
		return
	}
	delay := sim.shortDelay()
	if sim.chance(sim.slowPercent) {
		delay = time.Duration(sim.random.IntN(3000)) * time.Millisecond
	}
	sim.after(delay, func() { respond(l.BuildResponse(r, acknowledged, arrivedAt, l.machine, sim.now)) })
}

// The simulated VMs.

// addNode adds a VM and starts its agent. It replaces a VM of the same name.
func (sim *simulation) addNode(name, domain string, clockRate float64) {
	n := &node{name: name, domain: domain, size: vmSize, clockRate: clockRate}
	n.worker = emulator.New(n.size, emulator.WithClock(func() time.Time { return n.localTime(sim.now) }),
		emulator.WithInstance(fmt.Sprintf("%s/%d", name, len(sim.allNodes))))
	sim.allNodes = append(sim.allNodes, n)
	for i, old := range sim.nodes {
		if old.name == name {
			sim.nodes[i] = n
			sim.startAgent(n)
			return
		}
	}
	sim.nodes = append(sim.nodes, n)
	sim.startAgent(n)
}

// localTime returns the reading of the VM's clock at a virtual time.
func (n *node) localTime(now time.Time) time.Time {
	return simulationStart.Add(time.Duration(float64(now.Sub(simulationStart)) * n.clockRate))
}

// afterOn schedules an event on a VM after a delay. It is postponed while the VM is paused.
func (sim *simulation) afterOn(n *node, delay time.Duration, run func()) {
	sim.after(delay, func() {
		if sim.now.Before(n.pausedUntil) {
			sim.afterOn(n, n.pausedUntil.Sub(sim.now), run)
			return
		}
		run()
	})
}

// startAgent starts a new agent process on a VM.
func (sim *simulation) startAgent(n *node) {
	list, _ := n.worker.List(context.Background(), 0, 0)
	vm := jaygw.VM{
		Name: n.name, Group: jaygw.DefaultGroup, Domain: n.domain, Size: n.size,
		Address: n.name, Incarnation: jaygw.NewIncarnation(list.Instance, sim.random.Uint32()),
	}
	a := &agent{Executor: executor.New(jaygw.DefaultGroup, vm, vm.Incarnation), sentAt: map[uint64]time.Time{}}
	n.agent = a
	now := n.localTime(sim.now)
	sim.performSteps(n, a, a.Listed(list.Tasks, now, now))
	sim.renewPeriodically(n, a)
	sim.pollWorker(n, a)
}

// renewPeriodically sends a renewal now and schedules the next ones.
func (sim *simulation) renewPeriodically(n *node, a *agent) {
	if a.ended {
		return
	}
	sim.sendRenewal(n, a, 800*time.Millisecond)
	sim.afterOn(n, time.Duration(700+sim.random.IntN(300))*time.Millisecond, func() { sim.renewPeriodically(n, a) })
}

// renewUrgently schedules a renewal without a hold time if reports are pending.
func (sim *simulation) renewUrgently(n *node, a *agent) {
	if a.urgentScheduled || !a.Pending() {
		return
	}
	a.urgentScheduled = true
	sim.afterOn(n, sim.shortDelay(), func() {
		a.urgentScheduled = false
		if !a.ended {
			sim.sendRenewal(n, a, 0)
		}
	})
}

// sendRenewal sends a renewal to the leader or, at random, to the deposed one.
func (sim *simulation) sendRenewal(n *node, a *agent, hold time.Duration) {
	if !a.MayRenew(n.localTime(sim.now)) {
		return
	}
	r := a.Renew(n.localTime(sim.now), nil, hold)
	a.sentAt[r.Sequence] = n.localTime(sim.now)
	target := sim.leader
	if sim.previous != nil && sim.chance(30) {
		target = sim.previous
	}
	if n.isolated {
		return
	}
	sim.send(func() {
		copied := r
		copied.Reports = append([]jaygw.SequencedReport(nil), r.Reports...)
		sim.renew(target, copied, func(result jaygw.RenewalResult, err error) {
			sim.send(func() { sim.afterOn(n, 0, func() { sim.handleResponse(n, a, result, err) }) })
		})
	})
}

// handleResponse passes the response to a renewal on to the agent and its worker.
func (sim *simulation) handleResponse(n *node, a *agent, result jaygw.RenewalResult, err error) {
	if a.ended {
		return
	}
	now := n.localTime(sim.now)
	if err != nil {
		a.RenewalFailed()
		return
	}
	switch sim.defect {
	case leaseFromReceipt:
		result.BatchLease += now.Sub(a.sentAt[result.Sequence])
		result.ServiceLease += now.Sub(a.sentAt[result.Sequence])
	case acceptExpiredPermit:
		for i := range result.Permits {
			result.Permits[i].ValidFor = time.Hour
		}
	}
	steps := a.Renewed(result, now)
	batch, service := a.LeaseEnds()
	sim.afterOn(n, sim.shortDelay(), func() {
		_ = n.worker.Extend(context.Background(), jaygw.BatchTask, batch)
		_ = n.worker.Extend(context.Background(), jaygw.ServiceTask, service)
	})
	sim.performSteps(n, a, steps)
}

// pollWorker passes the list of the worker's tasks to the agent and schedules the next poll.
func (sim *simulation) pollWorker(n *node, a *agent) {
	if a.ended {
		return
	}
	pollTime := n.localTime(sim.now)
	sim.performSteps(n, a, a.Tick(pollTime))
	if sim.chance(10) {
		// The platform also writes checkpoints that no agent has requested.
		for _, run := range n.worker.Running() {
			_, _ = n.worker.Checkpoint(context.Background(), run.Attempt)
		}
	}
	list, _ := n.worker.List(context.Background(), 0, 0)
	sim.afterOn(n, sim.shortDelay(), func() {
		if a.ended {
			return
		}
		sim.performSteps(n, a, a.Listed(list.Tasks, pollTime, n.localTime(sim.now)))
		sim.renewUrgently(n, a)
		if a.leaving && a.Idle() {
			a.ended = true
		}
	})
	sim.afterOn(n, 200*time.Millisecond, func() { sim.pollWorker(n, a) })
}

// performSteps schedules the worker calls of an agent's steps.
func (sim *simulation) performSteps(n *node, a *agent, steps []executor.Step) {
	for _, step := range steps {
		sim.afterOn(n, sim.callDelay(), func() { sim.performStep(n, a, step) })
	}
}

// callDelay returns the random delay of a call to the worker.
func (sim *simulation) callDelay() time.Duration {
	if sim.chance(sim.slowPercent) {
		return time.Duration(sim.random.IntN(3000)) * time.Millisecond
	}
	return sim.shortDelay()
}

// performStep makes one worker call. The call goes on if the agent process ends, and its result may
// be lost.
func (sim *simulation) performStep(n *node, a *agent, step executor.Step) {
	if a.ended {
		return
	}
	ctx := context.Background()
	attempt := step.Attempt
	var window jaygw.StartWindow
	if step.Start != nil {
		var admitted bool
		if window, admitted = a.Admit(attempt, n.localTime(sim.now)); !admitted {
			return
		}
	}
	sim.afterOn(n, sim.callDelay(), func() {
		var err error
		var end jaygw.WorkerTask
		switch {
		case step.Start != nil:
			before := len(n.worker.History())
			err = n.worker.Start(ctx, *step.Start, window)
			if history := n.worker.History(); len(history) > before {
				sim.oracle.checkStart(n, history[before])
			}
		case step.Forget:
			_ = n.worker.Forget(ctx, attempt)
			return
		default:
			end, err = n.worker.Stop(ctx, attempt)
		}
		if sim.chance(sim.lossPercent / 2) {
			err = errMessageLost
		}
		sim.afterOn(n, sim.callDelay(), func() {
			if a.ended {
				return
			}
			now := n.localTime(sim.now)
			if step.Start != nil {
				sim.performSteps(n, a, a.Started(attempt, err, now))
			} else {
				a.Stopped(attempt, end, err, now)
			}
			sim.renewUrgently(n, a)
		})
	})
}
