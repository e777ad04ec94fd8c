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
	// world runs the real applier, scheduler, deciders, executors and emulated
	// workers on virtual time. Everything happens in events, one at a time.
	world struct {
		random  *rand.Rand
		now     time.Time
		queue   events
		events  int
		machine *applier.Machine
		index   jaygw.Index
		leader  *leader
		last    *leader // deposed, and not aware of it
		nodes   []*node // the VMs in use, one per name
		all     []*node // with those that were replaced
		loss    int     // percent of the messages
		slow    int     // percent of the messages that take seconds
		fault   fault
		oracle  oracle
		err     error
	}

	// fault is a defect that is put in to show that the checks find it.
	fault int

	event struct {
		at    time.Time
		order int
		run   func()
	}
	events []event

	// leader is a decider with the log that it proposes to.
	leader struct {
		dispatcher.Decider
		term    uint64
		machine *applier.Machine // frozen once deposed
		deposed bool
		stalled time.Time // nothing is committed or confirmed before
		log     []proposal
		working int // commands of the last decision without an outcome
	}

	proposal struct {
		command jaygw.Command
		done    func(jaygw.Result, error)
	}

	// node is one VM: a worker and the agent processes beside it.
	node struct {
		name, domain string
		size         jaygw.Resources
		rate         float64 // of its clock
		worker       *emulator.Worker
		agent        *agent
		paused       time.Time // until then
		cutOff       bool
	}

	agent struct {
		*executor.Executor
		dead    bool
		leaving bool
		urgent  bool // an urgent renewal is about to be sent
		sent    map[uint64]time.Time
	}
)

const (
	noFault fault = iota
	ignoreEpoch
	leaseFromReceipt
	releaseOnSilence
	skipApplyCheck
	acceptLatePermit
)

var (
	epochOfTests = time.Unix(1_800_000_000, 0)
	errLost      = errors.New("the message was lost")
)

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

func newWorld(seed uint64, f fault) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed)), now: epochOfTests, fault: f}
	w.oracle = newOracle(w)
	w.machine = applier.New(jaygw.DefaultGroup, applier.WithObserver(&w.oracle))
	if f == skipApplyCheck {
		field := reflect.ValueOf(w.machine).Elem().FieldByName("trustGrants")
		reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem().SetBool(true)
	}
	w.lead()
	w.commit(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: "d"}})
	w.commit(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: document.Environment, Digest: "d"}})
	for i, domain := range []string{"a", "a", "b", "b"} {
		w.addNode(fmt.Sprintf("vm-%d", i), domain, 0.97+0.02*float64(i))
	}
	return w
}

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf("after %v: %w", w.now.Sub(epochOfTests), fmt.Errorf(format, args...))
	}
}

// after schedules an event.
func (w *world) after(d time.Duration, run func()) {
	w.events++
	heap.Push(&w.queue, event{w.now.Add(d), w.events, run})
}

// advance runs the events of a time span.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.err == nil && len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) short() time.Duration {
	return time.Duration(1+w.random.IntN(20)) * time.Millisecond
}

// send delivers a message late, twice or never.
func (w *world) send(deliver func()) {
	if w.chance(w.loss) {
		return
	}
	for copies := 1; copies > 0; copies-- {
		delay := w.short()
		if w.chance(w.slow) {
			delay = time.Duration(w.random.IntN(4000)) * time.Millisecond
		}
		w.after(delay, deliver)
		if copies == 1 && w.chance(w.loss/2) {
			copies++
		}
	}
}

// The control group.

func (w *world) commit(command jaygw.Command) jaygw.Result {
	w.index++
	command.Time = max(w.machine.State().Time, jaygw.TimeOf(w.now))
	return w.machine.Apply(w.index, command)
}

// lead deposes the leader and elects one over the same committed state. A part
// of what the last one has proposed is committed first.
func (w *world) lead() {
	term := uint64(1)
	if old := w.leader; old != nil {
		term = old.term + 1
		old.deposed = true
		old.flush(w, w.random.IntN(len(old.log)+1))
		for _, p := range old.log {
			p.done(jaygw.Result{}, jaygw.ErrOutcomeUnknown)
		}
		snapshot, _ := w.machine.Snapshot()()
		old.machine = applier.New(jaygw.DefaultGroup)
		if err := old.machine.Restore(snapshot); err != nil {
			w.failf("restore: %w", err)
		}
		w.last = old
	}
	w.leader = &leader{Decider: dispatcher.NewDecider(term, w.now), term: term, machine: w.machine}
	w.machine.Observe(w.leader.Observer())
	w.work(w.leader)
}

// propose adds a command to the leader's log. The proposer hears nothing within
// two seconds if the log has stalled, while the command may be committed later.
func (l *leader) propose(w *world, command jaygw.Command, done func(jaygw.Result, error)) {
	told := false
	tell := func(result jaygw.Result, err error) {
		if !told {
			told = true
			done(result, err)
		}
	}
	if l.deposed {
		tell(jaygw.Result{}, jaygw.ErrNotLeader)
		return
	}
	l.log = append(l.log, proposal{command, tell})
	w.after(max(w.short(), l.stalled.Sub(w.now)), func() {
		if !l.deposed && !w.now.Before(l.stalled) {
			l.flush(w, len(l.log))
		}
	})
	w.after(2*time.Second, func() { tell(jaygw.Result{}, jaygw.ErrOutcomeUnknown) })
}

func (l *leader) flush(w *world, n int) {
	batch := l.log[:n]
	l.log = l.log[n:]
	for _, p := range batch {
		p.done(w.commit(p.command), nil)
	}
}

// work is the leader's loop.
func (w *world) work(l *leader) {
	if l.deposed {
		return
	}
	w.after(100*time.Millisecond, func() { w.work(l) })
	if w.fault == releaseOnSilence {
		for name, vm := range w.machine.State().VMs {
			if l.Silent(name, w.now) && len(w.machine.TasksOn(name)) > 0 {
				w.commit(jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: name, Incarnation: vm.Incarnation}})
			}
		}
	}
	if l.working > 0 {
		return
	}
	for _, command := range l.Decide(w.machine, w.now) {
		l.working++
		l.propose(w, command, func(_ jaygw.Result, err error) {
			l.working--
			l.Settled(command, err)
		})
	}
}

// renew is the leader's side of a renewal; it follows Dispatcher.Renew.
func (w *world) renew(l *leader, r jaygw.Renewal, respond func(jaygw.RenewalResult, error)) {
	arrived := w.now
	fail := func(err error) { respond(jaygw.RenewalResult{}, err) }
	reports := func() {
		if err := l.Arrived(r, l.machine, arrived); err != nil {
			fail(err)
			return
		}
		if w.fault == ignoreEpoch {
			for i := range r.Reports {
				if task := l.machine.State().Tasks[r.Reports[i].Report.Attempt.Task]; task != nil {
					r.Reports[i].Report.Attempt.Epoch = task.Epoch
				}
			}
		}
		command, acknowledged := l.Reports(r, l.machine)
		hold := func() {
			w.after(time.Duration(w.random.Int64N(int64(r.Hold)+1)), func() { w.confirm(l, r, acknowledged, arrived, respond) })
		}
		if command == nil {
			hold()
			return
		}
		l.propose(w, *command, func(result jaygw.Result, err error) {
			if err := errors.Join(err, result.Err()); err != nil {
				fail(err)
				return
			}
			hold()
		})
	}
	command, err := l.Announcement(r, l.machine)
	switch {
	case err != nil:
		fail(err)
	case command == nil:
		reports()
	default:
		l.propose(w, *command, func(result jaygw.Result, err error) {
			if err := errors.Join(err, result.Err()); err != nil {
				fail(err)
				return
			}
			reports()
		})
	}
}

// confirm confirms the leadership; the answer may be built some time later.
func (w *world) confirm(l *leader, r jaygw.Renewal, acked uint64, arrived time.Time, respond func(jaygw.RenewalResult, error)) {
	if l.deposed || w.now.Before(l.stalled) {
		respond(jaygw.RenewalResult{}, jaygw.ErrNotCurrent)
		return
	}
	delay := w.short()
	if w.chance(w.slow) {
		delay = time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	w.after(delay, func() { respond(l.Answer(r, acked, arrived, l.machine, w.now)) })
}

// The VMs.

func (w *world) addNode(name, domain string, rate float64) {
	n := &node{name: name, domain: domain, size: vmSize, rate: rate}
	n.worker = emulator.New(n.size, emulator.WithClock(func() time.Time { return n.clock(w.now) }),
		emulator.WithInstance(fmt.Sprintf("%s/%d", name, len(w.all))))
	w.all = append(w.all, n)
	for i, old := range w.nodes {
		if old.name == name {
			w.nodes[i] = n
			w.startAgent(n)
			return
		}
	}
	w.nodes = append(w.nodes, n)
	w.startAgent(n)
}

func (n *node) clock(now time.Time) time.Time {
	return epochOfTests.Add(time.Duration(float64(now.Sub(epochOfTests)) * n.rate))
}

// on schedules an event on a VM, which waits while the VM is paused.
func (w *world) on(n *node, delay time.Duration, run func()) {
	w.after(delay, func() {
		if w.now.Before(n.paused) {
			w.on(n, n.paused.Sub(w.now), run)
			return
		}
		run()
	})
}

func (w *world) startAgent(n *node) {
	list, _ := n.worker.List(context.Background(), 0, 0)
	vm := jaygw.VM{
		Name: n.name, Group: jaygw.DefaultGroup, Domain: n.domain, Size: n.size,
		Address: n.name, Incarnation: jaygw.NewIncarnation(list.Instance, w.random.Uint32()),
	}
	a := &agent{Executor: executor.New(jaygw.DefaultGroup, vm, vm.Incarnation), sent: map[uint64]time.Time{}}
	n.agent = a
	now := n.clock(w.now)
	w.perform(n, a, a.Listed(list.Tasks, now, now))
	w.renewals(n, a)
	w.polls(n, a)
}

func (w *world) renewals(n *node, a *agent) {
	if a.dead {
		return
	}
	w.sendRenewal(n, a, 800*time.Millisecond)
	w.on(n, time.Duration(700+w.random.IntN(300))*time.Millisecond, func() { w.renewals(n, a) })
}

func (w *world) report(n *node, a *agent) {
	if a.urgent || !a.Pending() {
		return
	}
	a.urgent = true
	w.on(n, w.short(), func() {
		a.urgent = false
		if !a.dead {
			w.sendRenewal(n, a, 0)
		}
	})
}

func (w *world) sendRenewal(n *node, a *agent, hold time.Duration) {
	if !a.MayRenew(n.clock(w.now)) {
		return
	}
	r := a.Renew(n.clock(w.now), nil, hold)
	a.sent[r.Sequence] = n.clock(w.now)
	to := w.leader
	if w.last != nil && w.chance(30) {
		to = w.last
	}
	if n.cutOff {
		return
	}
	w.send(func() {
		copied := r
		copied.Reports = append([]jaygw.SequencedReport(nil), r.Reports...)
		w.renew(to, copied, func(result jaygw.RenewalResult, err error) {
			w.send(func() { w.on(n, 0, func() { w.response(n, a, result, err) }) })
		})
	})
}

func (w *world) response(n *node, a *agent, result jaygw.RenewalResult, err error) {
	if a.dead {
		return
	}
	now := n.clock(w.now)
	if err != nil {
		a.Refused()
		return
	}
	switch w.fault {
	case leaseFromReceipt:
		result.BatchLease += now.Sub(a.sent[result.Sequence])
		result.ServiceLease += now.Sub(a.sent[result.Sequence])
	case acceptLatePermit:
		for i := range result.Permits {
			result.Permits[i].Valid = time.Hour
		}
	}
	steps := a.Renewed(result, now)
	batch, service := a.LeaseEnds()
	w.on(n, w.short(), func() {
		_ = n.worker.Extend(context.Background(), jaygw.BatchTask, batch)
		_ = n.worker.Extend(context.Background(), jaygw.ServiceTask, service)
	})
	w.perform(n, a, steps)
}

func (w *world) polls(n *node, a *agent) {
	if a.dead {
		return
	}
	begun := n.clock(w.now)
	w.perform(n, a, a.Tick(begun))
	if w.chance(10) {
		// The platform writes a checkpoint of its own accord.
		for _, run := range n.worker.Running() {
			_, _ = n.worker.Checkpoint(context.Background(), run.Attempt)
		}
	}
	list, _ := n.worker.List(context.Background(), 0, 0)
	w.on(n, w.short(), func() {
		if a.dead {
			return
		}
		w.perform(n, a, a.Listed(list.Tasks, begun, n.clock(w.now)))
		w.report(n, a)
		if a.leaving && a.Idle() {
			a.dead = true
		}
	})
	w.on(n, 200*time.Millisecond, func() { w.polls(n, a) })
}

// perform calls the worker. A call goes on when the agent dies; its result may
// be lost.
func (w *world) perform(n *node, a *agent, steps []executor.Step) {
	for _, step := range steps {
		w.on(n, w.delay(), func() { w.performOne(n, a, step) })
	}
}

func (w *world) delay() time.Duration {
	if w.chance(w.slow) {
		return time.Duration(w.random.IntN(3000)) * time.Millisecond
	}
	return w.short()
}

func (w *world) performOne(n *node, a *agent, step executor.Step) {
	if a.dead {
		return
	}
	ctx := context.Background()
	id := step.Attempt
	var window jaygw.StartWindow
	if step.Start != nil {
		var admitted bool
		if window, admitted = a.Admit(id, n.clock(w.now)); !admitted {
			return
		}
	}
	w.on(n, w.delay(), func() {
		var err error
		var end jaygw.WorkerTask
		switch {
		case step.Start != nil:
			before := len(n.worker.History())
			err = n.worker.Start(ctx, *step.Start, window)
			if history := n.worker.History(); len(history) > before {
				w.oracle.started(n, history[before])
			}
		case step.Forget:
			_ = n.worker.Forget(ctx, id)
			return
		default:
			end, err = n.worker.Stop(ctx, id)
		}
		if w.chance(w.loss / 2) {
			err = errLost
		}
		w.on(n, w.delay(), func() {
			if a.dead {
				return
			}
			now := n.clock(w.now)
			if step.Start != nil {
				w.perform(n, a, a.Started(id, err, now))
			} else {
				a.Stopped(id, end, err, now)
			}
			w.report(n, a)
		})
	})
}
