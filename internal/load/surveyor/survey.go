package surveyor

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
	// Survey is what one estate size costs.
	Survey struct {
		Size Size

		StateBytes    float64       // live heap of the state machine
		SnapshotBytes float64       // encoded
		CopyTime      time.Duration // of the tables, while apply waits
		EncodeTime    time.Duration // beside apply

		StartCPU    time.Duration // grant, start report and completion of one task at one replica
		StartBytes  float64       // of their log entries
		ChangeCPU   time.Duration // submission and promotion of one document at one replica
		RenewalCPU  time.Duration // one renewal at the leader
		IndexBytes  float64       // live heap of the scheduler's index
		DecisionCPU time.Duration // one decision while nothing changes
		GrantCPU    time.Duration // decision and commit of one start in a wave
		DomainTime  time.Duration // first decision after a failure domain was taken out

		ViewBytes float64       // a whole view
		ViewCPU   time.Duration // building and encoding a whole view

		TasksPerVM     int
		AgentCPU       time.Duration // one renewal at the agent
		RequestBytes   float64       // one renewal on the wire
		ResponseBytes  float64       // one response on the wire
		AgentLiveBytes float64       // live heap of the executor
	}
)

const (
	rounds      = 300
	renewals    = 5000
	documents   = 20
	agentRounds = 2000

	// decisionInterval is the dispatcher's tick.
	decisionInterval = 50 * time.Millisecond
)

// Run measures one estate size.
func Run(size Size) (Survey, error) {
	s := Survey{Size: size, TasksPerVM: size.Tasks() / size.VMs}
	before := liveHeap()
	silent := logrus.New()
	silent.SetOutput(io.Discard)
	scheduling := dispatcher.New(dispatcher.WithLogger(silent))
	r, err := build(size, scheduling.Observer())
	if err != nil {
		return s, err
	}
	s.StateBytes = liveHeap() - before
	scheduling.Serve(r)
	scheduling.Lead(1, true, time.Now())
	for _, measure := range []func(*replica) error{
		s.snapshot, s.decisions, s.starts, s.changes,
		func(r *replica) error { return s.renewals(r, scheduling) },
		func(r *replica) error { return s.view(r, scheduling) },
		s.agent,
	} {
		if err := measure(r); err != nil {
			return s, err
		}
	}
	runtime.KeepAlive(r)
	return s, nil
}

func (s *Survey) snapshot(r *replica) error {
	start := time.Now()
	encode := r.machine.Snapshot()
	s.CopyTime = time.Since(start)
	start = time.Now()
	data, err := encode()
	s.EncodeTime = time.Since(start)
	s.SnapshotBytes = float64(len(data))
	return err
}

// decisions measures the scheduler: at rest, in a wave of starts, and when a
// failure domain leaves. It works on a state machine that holds the same state.
func (s *Survey) decisions(r *replica) error {
	data, err := r.machine.Snapshot()()
	if err != nil {
		return err
	}
	copied := &replica{machine: applier.New(jaygw.DefaultGroup), index: r.index, now: r.now}
	if err := copied.machine.Restore(data); err != nil {
		return err
	}
	before := liveHeap()
	decider := scheduler.New()
	copied.machine.Observe(decider)
	decider.Decide(copied.machine, copied.now)
	s.IndexBytes = liveHeap() - before

	cpu := cpuTime()
	for range rounds {
		copied.now = copied.now.Add(decisionInterval)
		decider.Decide(copied.machine, copied.now)
	}
	s.DecisionCPU = (cpuTime() - cpu) / rounds

	spec := jobOf(0, s.Size)
	spec.Name, spec.Tasks = "wave", rounds
	if err := copied.propose(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}}); err != nil {
		return err
	}
	cpu = cpuTime()
	for range 2 { // a decision grants at most 256 tasks
		if err := copied.propose(decider.Decide(copied.machine, copied.now)...); err != nil {
			return err
		}
	}
	s.GrantCPU = (cpuTime() - cpu) / rounds

	if err := copied.propose(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: documentOf(s.Size).Domains[0].Name, Out: true}}); err != nil {
		return err
	}
	start := time.Now()
	decider.Decide(copied.machine, copied.now)
	s.DomainTime = time.Since(start)
	return nil
}

// starts measures one more job of short tasks from its grants to its end.
func (s *Survey) starts(r *replica) error {
	ctx := context.Background()
	spec := jobOf(0, s.Size)
	spec.Name = "measured"
	spec.Tasks = rounds
	spec.Resources = jaygw.Resources{CPU: jaygw.Core / 100, Memory: jaygw.MB}
	if _, err := r.Propose(ctx, jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: spec}}); err != nil {
		return err
	}
	ids := r.machine.TasksOf(environment, spec.Name)
	vm := vmName(0)
	bytes := 0
	cpu := cpuTime()
	for _, id := range ids {
		grant := jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{{
			Task: id, VM: vm, Incarnation: 1, Reserve: spec.Resources,
		}}}}
		completed := jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: 1, Reports: []jaygw.Report{{
			Attempt: jaygw.Attempt{Task: id, Epoch: 1}, Kind: jaygw.Completed,
		}}}}
		for _, command := range []jaygw.Command{grant, started(vm, id, 1), completed} {
			data, err := encoder.Marshal(command)
			if err != nil {
				return err
			}
			bytes += len(data)
			result, err := r.Propose(ctx, command)
			if err != nil || result.Results[0].Code != "" {
				return eris.Errorf("measured command: %v %v", result.Results, err)
			}
		}
	}
	s.StartCPU = (cpuTime() - cpu) / rounds
	s.StartBytes = float64(bytes) / rounds
	return nil
}

func (s *Survey) changes(r *replica) error {
	document := documentOf(s.Size)
	cpu := cpuTime()
	for i := range documents {
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
	s.ChangeCPU = (cpuTime() - cpu) / documents
	return nil
}

// renewals measures the leader's part of renewals of all VMs in turn.
func (s *Survey) renewals(r *replica, scheduling *dispatcher.Dispatcher) error {
	list := make([]jaygw.Renewal, renewals)
	for i := range list {
		list[i] = s.renewal(r, i%s.Size.VMs)
	}
	cpu := cpuTime()
	for _, renewal := range list {
		if _, err := scheduling.Renew(context.Background(), renewal); err != nil {
			return err
		}
	}
	s.RenewalCPU = (cpuTime() - cpu) / renewals
	return nil
}

func (s *Survey) renewal(r *replica, number int) jaygw.Renewal {
	renewal := jaygw.Renewal{Group: jaygw.DefaultGroup, VM: vmName(number), Incarnation: 1, Sequence: 1}
	for _, id := range r.machine.TasksOn(renewal.VM) {
		task := r.machine.State().Tasks[id]
		renewal.Known = append(renewal.Known, task.Attempt())
		renewal.Usage = append(renewal.Usage, jaygw.Usage{Attempt: task.Attempt(), Used: task.Declared, Lag: 5 * time.Second})
	}
	return renewal
}

func (s *Survey) view(_ *replica, scheduling *dispatcher.Dispatcher) error {
	cpu := cpuTime()
	for range documents {
		view, err := scheduling.Watch(context.Background(), dispatcher.Seen{})
		if err != nil {
			return err
		}
		data, err := encoder.Marshal(view)
		if err != nil {
			return err
		}
		s.ViewBytes = float64(len(data))
	}
	s.ViewCPU = (cpuTime() - cpu) / documents
	return nil
}

// agent measures an agent's part of a renewal, with the messages encoded.
func (s *Survey) agent(r *replica) error {
	before := liveHeap()
	vm := *r.machine.State().VMs[vmName(1%s.Size.VMs)]
	var tasks []jaygw.WorkerTask
	known := s.renewal(r, 1%s.Size.VMs)
	for _, attempt := range known.Known {
		tasks = append(tasks, jaygw.WorkerTask{Attempt: attempt, Kind: jaygw.BatchTask, State: jaygw.WorkerRunning})
	}
	e := executor.New(jaygw.DefaultGroup, vm, 1)
	now := time.Now()
	e.Listed(tasks, now, now)
	cpu := cpuTime()
	for range agentRounds {
		request := converter.RenewRequest(e.Renew(now, known.Usage, 0))
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
	s.AgentCPU = (cpuTime() - cpu) / agentRounds
	s.AgentLiveBytes = max(0, liveHeap()-before)
	runtime.KeepAlive(e)
	return nil
}

// liveHeap returns the bytes in use after a collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // RUSAGE_SELF is always valid
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
