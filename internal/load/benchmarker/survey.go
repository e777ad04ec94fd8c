package benchmarker

import (
	"context"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

type (
	// Costs holds the measured costs at one estate size. A time or size is for one replica, leader,
	// entry or agent.
	Costs struct {
		Size Size

		StateBytes    float64       // live heap of the state machine
		SnapshotBytes float64       // size of an encoded snapshot
		CopyTime      time.Duration // copying the tables for a snapshot; no command is applied meanwhile
		EncodeTime    time.Duration // encoding a snapshot, concurrently with applying commands

		StartCPU    time.Duration // applying grant, start report and completion of one task at one replica
		StartBytes  float64       // size of the log entries of these three commands
		ChangeCPU   time.Duration // applying submission and promotion of one document at one replica
		RenewalCPU  time.Duration // processing one renewal at the leader
		IndexBytes  float64       // live heap of the scheduler's index
		DecisionCPU time.Duration // one scheduling decision while nothing changes
		GrantCPU    time.Duration // decision and commit of one grant when many tasks are waiting
		DomainTime  time.Duration // first scheduling decision after a failure domain was taken out

		ViewBytes float64       // size of an encoded full view
		ViewCPU   time.Duration // building and encoding a full view

		TasksPerVM     int           // average number, rounded down
		AgentCPU       time.Duration // processing one renewal at the agent
		RequestBytes   float64       // size of one encoded renewal request
		ResponseBytes  float64       // size of one encoded renewal response
		AgentLiveBytes float64       // live heap of the executor
	}
)

const (
	repetitions   = 300
	renewalCount  = 5000
	documentCount = 20
	agentRenewals = 2000

	// decisionInterval is the time between two decisions of the dispatcher.
	decisionInterval = 50 * time.Millisecond
)

// Run builds an estate of the given size and measures the costs of each role.
func Run(size Size) (Costs, error) {
	s := Costs{Size: size, TasksPerVM: size.Tasks() / size.VMs}
	before := liveHeap()
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	leader := dispatcher.New(dispatcher.WithLogger(discardLog))
	r, err := build(size, leader.Observer())
	if err != nil {
		return s, err
	}
	s.StateBytes = liveHeap() - before
	leader.SetReplica(r)
	leader.SetLeadership(1, true, time.Now())
	for _, measure := range []func(*replica) error{
		s.measureSnapshot, s.measureDecisions, s.measureStarts, s.measureChanges,
		func(r *replica) error { return s.measureRenewals(r, leader) },
		func(r *replica) error { return s.measureView(r, leader) },
		s.measureAgent,
	} {
		if err := measure(r); err != nil {
			return s, err
		}
	}
	runtime.KeepAlive(r)
	return s, nil
}

// measureSnapshot measures the two phases of a snapshot.
func (s *Costs) measureSnapshot(r *replica) error {
	start := time.Now()
	encode := r.machine.Snapshot()
	s.CopyTime = time.Since(start)
	start = time.Now()
	data, err := encode()
	s.EncodeTime = time.Since(start)
	s.SnapshotBytes = float64(len(data))
	return err
}

// measureDecisions measures scheduling decisions while nothing changes, with many waiting tasks, and
// after a failure domain was taken out. It works on a copy of the state machine.
func (s *Costs) measureDecisions(r *replica) error {
	data, err := r.machine.Snapshot()()
	if err != nil {
		return err
	}
	clone := &replica{machine: applier.New(jaygw.DefaultGroup), index: r.index, now: r.now}
	if err := clone.machine.Restore(data); err != nil {
		return err
	}
	before := liveHeap()
	decider := scheduler.New()
	clone.machine.Observe(decider)
	decider.Decide(clone.machine, clone.now)
	s.IndexBytes = liveHeap() - before

	cpu := cpuTime()
	for range repetitions {
		clone.now = clone.now.Add(decisionInterval)
		decider.Decide(clone.machine, clone.now)
	}
	s.DecisionCPU = (cpuTime() - cpu) / repetitions

	spec := jobOf(0, s.Size)
	spec.Name, spec.Tasks = "wave", repetitions
	if err := clone.propose(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}}); err != nil {
		return err
	}
	cpu = cpuTime()
	for range 2 { // a decision grants at most 256 tasks
		if err := clone.propose(decider.Decide(clone.machine, clone.now)...); err != nil {
			return err
		}
	}
	s.GrantCPU = (cpuTime() - cpu) / repetitions

	if err := clone.propose(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: documentOf(s.Size).Domains[0].Name, Out: true}}); err != nil {
		return err
	}
	start := time.Now()
	decider.Decide(clone.machine, clone.now)
	s.DomainTime = time.Since(start)
	return nil
}

// measureStarts measures the commands of an additional job of small tasks, from grant to completion.
func (s *Costs) measureStarts(r *replica) error {
	ctx := context.Background()
	spec := jobOf(0, s.Size)
	spec.Name = "measured"
	spec.Tasks = repetitions
	spec.Resources = jaygw.Resources{CPU: jaygw.Core / 100, Memory: jaygw.MB}
	if _, err := r.Propose(ctx, jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}}); err != nil {
		return err
	}
	ids := r.machine.TasksOf(environment, spec.Name)
	vm := vmName(0)
	logBytes := 0
	cpu := cpuTime()
	for _, id := range ids {
		grant := jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{
			Task: id, VM: vm, Incarnation: 1, Reserve: spec.Resources,
		}}}}
		completed := jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: 1, Reports: []jaygw.Report{{
			Attempt: jaygw.Attempt{Task: id, Epoch: 1}, Kind: jaygw.Completed,
		}}}}
		for _, command := range []jaygw.Command{grant, startedReport(vm, id, 1), completed} {
			data, err := encoder.Marshal(command)
			if err != nil {
				return err
			}
			logBytes += len(data)
			result, err := r.Propose(ctx, command)
			if err != nil || result.Results[0].Code != "" {
				return eris.Errorf("apply a measured command: results %v, error %v", result.Results, err)
			}
		}
	}
	s.StartCPU = (cpuTime() - cpu) / repetitions
	s.StartBytes = float64(logBytes) / repetitions
	return nil
}

// measureChanges measures document changes.
func (s *Costs) measureChanges(r *replica) error {
	document := documentOf(s.Size)
	cpu := cpuTime()
	for i := range documentCount {
		document.Number = uint64(i + 2)
		digest := string(rune('a' + i))
		for _, command := range []jaygw.Command{
			{Submit: &jaygw.SubmitDocument{Document: document, Digest: digest}},
			{Promote: &jaygw.PromoteDocument{Environment: environment, Digest: digest}},
		} {
			if err := r.propose(command); err != nil {
				return err
			}
		}
	}
	s.ChangeCPU = (cpuTime() - cpu) / documentCount
	return nil
}

// measureRenewals measures the leader's part of renewals, for all VMs in turn.
func (s *Costs) measureRenewals(r *replica, leader *dispatcher.Dispatcher) error {
	requests := make([]jaygw.Renewal, renewalCount)
	for i := range requests {
		requests[i] = s.renewal(r, i%s.Size.VMs)
	}
	cpu := cpuTime()
	for _, renewal := range requests {
		if _, err := leader.Renew(context.Background(), renewal); err != nil {
			return err
		}
	}
	s.RenewalCPU = (cpuTime() - cpu) / renewalCount
	return nil
}

// renewal returns the renewal of one VM with all its tasks.
func (s *Costs) renewal(r *replica, number int) jaygw.Renewal {
	renewal := jaygw.Renewal{Group: jaygw.DefaultGroup, VM: vmName(number), Incarnation: 1, Sequence: 1}
	for _, id := range r.machine.TasksOn(renewal.VM) {
		task := r.machine.State().Tasks[id]
		renewal.Attempts = append(renewal.Attempts, task.Attempt())
		renewal.Usage = append(renewal.Usage, jaygw.Usage{Attempt: task.Attempt(), Used: task.Declared, Lag: 5 * time.Second})
	}
	return renewal
}

// measureView measures building and encoding of a full view.
func (s *Costs) measureView(_ *replica, leader *dispatcher.Dispatcher) error {
	cpu := cpuTime()
	for range documentCount {
		view, err := leader.Watch(context.Background(), dispatcher.AppliedView{})
		if err != nil {
			return err
		}
		data, err := encoder.Marshal(view)
		if err != nil {
			return err
		}
		s.ViewBytes = float64(len(data))
	}
	s.ViewCPU = (cpuTime() - cpu) / documentCount
	return nil
}

// measureAgent measures the agent's part of a renewal, including the encoding of the messages.
func (s *Costs) measureAgent(r *replica) error {
	before := liveHeap()
	vm := *r.machine.State().VMs[vmName(1%s.Size.VMs)]
	var tasks []jaygw.WorkerTask
	renewal := s.renewal(r, 1%s.Size.VMs)
	for _, attempt := range renewal.Attempts {
		tasks = append(tasks, jaygw.WorkerTask{Attempt: attempt, Kind: jaygw.BatchTask, State: jaygw.WorkerRunning})
	}
	e := executor.New(jaygw.DefaultGroup, vm, 1)
	now := time.Now()
	e.Listed(tasks, now, now)
	cpu := cpuTime()
	for range agentRenewals {
		request := converter.RenewRequest(e.Renew(now, renewal.Usage, 0))
		data, err := proto.Marshal(request)
		if err != nil {
			return err
		}
		s.RequestBytes = float64(len(data))
		result := jaygw.RenewalResult{
			Incarnation: 1, Sequence: request.Sequence, BatchLease: jaygw.BatchLease, ServiceLease: jaygw.ServiceLease,
			Members: []string{"10.0.0.1:7420", "10.0.0.2:7420", "10.0.0.3:7420"},
		}
		response, err := proto.Marshal(converter.RenewResponse(result))
		if err != nil {
			return err
		}
		s.ResponseBytes = float64(len(response))
		e.Renewed(result, now)
		now = now.Add(jaygw.RenewalInterval)
	}
	s.AgentCPU = (cpuTime() - cpu) / agentRenewals
	s.AgentLiveBytes = max(0, liveHeap()-before)
	runtime.KeepAlive(e)
	return nil
}

// liveHeap returns the size of the live heap in bytes, after two garbage collections.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
