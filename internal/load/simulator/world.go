package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/schedule/scheduler"
)

type (
	// Policy is a scheduling policy for one state machine. Decide returns commands to apply, Observe
	// receives the usage reports of a VM, and Orders returns the orders for its agent.
	Policy interface {
		jaygw.Observer
		Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command
		Observe(machine *applier.Machine, vm string, usage []jaygw.Usage, now jaygw.Time)
		Orders(vm string, now jaygw.Time) []jaygw.Order
	}

	// simulation runs one scenario under one policy.
	simulation struct {
		user          *User
		scenario      *Scenario
		policy        Policy
		machine       *applier.Machine
		index         jaygw.Index
		now           jaygw.Time
		jobs          map[string]*JobScript // submitted jobs, by name
		vms           []*simulatedVM
		random        *rand.Rand
		latencies     []float64
		baseLatency   map[string]float64    // median latency without interference in seconds, by service
		startedUrgent map[jaygw.TaskID]bool // urgent tasks that have been granted at least once
		measurements  Measurements
	}

	// simulatedVM simulates the worker and the agent of a VM.
	simulatedVM struct {
		name        string
		failsStarts bool
		running     map[jaygw.Attempt]*attempt
		samples     []sample // usage samples not yet passed to the policy, oldest first
	}

	// attempt is a simulated attempt of a batch task or of a replica of a service.
	attempt struct {
		task           *jaygw.Task
		job            *JobScript    // nil for replicas
		progress       time.Duration // run time so far, at full speed
		checkpointed   time.Duration // progress at the last checkpoint
		checkpointTime jaygw.Time
		speedPercent   int     // percentage of full speed; below 100 if the policy throttles it
		latencyFactor  float64 // factor that multiplies the latency of a replica
	}

	// sample is the usage of all attempts on a VM at one time.
	sample struct {
		at    jaygw.Time
		usage []jaygw.Usage
	}
)

const (
	tick               = 200 * time.Millisecond // simulated time of one step
	renewalInterval    = time.Second            // interval between usage samples of a VM
	reportLag          = 3 * time.Second        // delay from a sample until the policy observes it
	checkpointInterval = time.Minute
	startTime          = jaygw.Time(1_000_000 * time.Second)

	// latencySigma is the standard deviation of the logarithm of a replica's latency.
	latencySigma = 0.3

	// requestsPerReplica is the number of latencies that are drawn for each replica per second.
	requestsPerReplica = 4

	// replicaUse is the share of its declared size that a replica uses.
	replicaUse = 0.6
)

// Run measures a policy in a scenario. All random values are derived from the seed, so that equal
// arguments give equal results.
func Run(user *User, scenario *Scenario, policy Policy, seed uint64) Measurements {
	s := &simulation{
		user: user, scenario: scenario, policy: policy, now: startTime,
		startedUrgent: map[jaygw.TaskID]bool{}, jobs: map[string]*JobScript{}, baseLatency: map[string]float64{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	s.machine = applier.New("main", applier.WithObserver(policy))
	s.setUp()
	for end := s.now.Add(scenario.Length.Std()); s.now < end; s.now = s.now.Add(tick) {
		s.step()
	}
	s.finish()
	return s.measurements
}

func (s *simulation) apply(c jaygw.Command) jaygw.Result {
	s.index++
	c.Time = s.now
	return s.machine.Apply(s.index, c)
}

// setUp promotes the document, announces the VMs and marks those on which every start fails.
func (s *simulation) setUp() {
	document := s.user.Document
	s.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: "1"}})
	s.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: document.Environment, Digest: "1"}})
	for _, service := range document.Services {
		s.baseLatency[service.Name] = service.LatencyTarget.Std().Seconds() / 4
	}
	for _, domain := range slices.Sorted(maps.Keys(s.user.VMs)) {
		for i := range s.user.VMs[domain] {
			name := fmt.Sprintf("%s-%d", domain, i)
			s.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
				Name: name, Domain: domain, Rack: fmt.Sprintf("%s-r%d", domain, 1+i/3), Size: s.user.Size, Incarnation: 1,
			}}})
			s.vms = append(s.vms, &simulatedVM{name: name, running: map[jaygw.Attempt]*attempt{}})
		}
	}
	for i := range s.scenario.BadVMs {
		s.vms[len(s.vms)-1-i].failsStarts = true
	}
}

// step applies the script and the decisions of the policy, then advances all VMs by one tick.
func (s *simulation) step() {
	s.runScript()
	for _, command := range s.policy.Decide(s.machine, s.now) {
		s.apply(command)
	}
	renews := s.elapsed()%renewalInterval == 0
	for _, vm := range s.vms {
		s.reconcile(vm)
		s.advance(vm)
		if renews {
			s.reportUsage(vm)
		}
	}
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(startTime) }

// runScript submits the jobs that the scenario schedules for this step, and takes the first
// failure domain out or returns it at the scheduled time.
func (s *simulation) runScript() {
	for i := range s.scenario.Jobs {
		if job := &s.scenario.Jobs[i]; job.At.Std() == s.elapsed() {
			s.jobs[job.Name] = job
			if result := s.apply(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: job.spec(s.user)}}); result.Err() != nil {
				panic(result.Err())
			}
		}
	}
	if out := s.scenario.Out; out != nil && !out.MeasureOnly {
		firstDomain := slices.Sorted(maps.Keys(s.user.VMs))[0]
		if s.elapsed() == out.At.Std() || s.elapsed() == out.At.Std()+out.Duration.Std() {
			s.apply(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: firstDomain, Out: s.domainOut()}})
		}
	}
}

// domainOut reports whether the scenario has the first failure domain out at the current time.
func (s *simulation) domainOut() bool {
	out := s.scenario.Out
	return out != nil && s.elapsed() >= out.At.Std() && s.elapsed() < out.At.Std()+out.Duration.Std()
}

// reconcile starts the granted tasks of a VM and stops the evicted ones.
func (s *simulation) reconcile(vm *simulatedVM) {
	for _, id := range s.machine.TasksOn(vm.name) {
		task := s.machine.State().Tasks[id]
		a := vm.running[task.Attempt()]
		switch {
		case task.State == jaygw.Granted && (vm.failsStarts || s.failsAlways(task)):
			s.report(vm, task, jaygw.AttemptFailed, 0)
		case task.State == jaygw.Granted:
			vm.running[task.Attempt()] = &attempt{
				task: task, job: s.jobs[task.Owner], speedPercent: 100,
				progress: task.Checkpoint.Progress.Std(), checkpointed: task.Checkpoint.Progress.Std(), checkpointTime: s.now,
			}
			if task.Class == jaygw.Urgent {
				s.startedUrgent[task.ID] = true
				s.measurements.UrgentWait = max(s.measurements.UrgentWait, s.now.Sub(task.Submitted))
			}
			s.report(vm, task, jaygw.Started, 0)
		case task.State == jaygw.Stopping && a != nil:
			s.report(vm, task, jaygw.Stopped, a.progress)
		case task.State == jaygw.Stopping:
			s.report(vm, task, jaygw.NotStarted, 0)
		}
	}
}

func (s *simulation) failsAlways(task *jaygw.Task) bool {
	job := s.jobs[task.Owner]
	return job != nil && job.FailsAlways
}

// report reports a state change of an attempt to the state machine, and counts failures and
// evictions.
func (s *simulation) report(vm *simulatedVM, task *jaygw.Task, kind jaygw.ReportKind, progress time.Duration) {
	report := jaygw.Report{Attempt: task.Attempt(), Kind: kind, Checkpoint: jaygw.Checkpoint{Progress: jaygw.Duration(progress)}}
	if kind == jaygw.AttemptFailed {
		s.measurements.Failures++
		report.NotBefore = s.now.Add(scheduler.Backoff(task.Attempt(), task.Failures))
	}
	if kind != jaygw.Started && kind != jaygw.Checkpointed {
		delete(vm.running, task.Attempt())
	}
	if kind == jaygw.Stopped || kind == jaygw.NotStarted {
		s.measurements.Evictions++
	}
	s.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: vm.name, Incarnation: 1, Reports: []jaygw.Report{report}}})
}

// advance runs the attempts of one VM for one tick. CPU contention is the ratio of demand to size,
// and at least 1. It divides the speed of batch tasks, and its square multiplies the latency of
// replicas. The noise of co-located batch tasks multiplies that latency as well.
func (s *simulation) advance(vm *simulatedVM) {
	attempts := vm.sorted()
	if a := s.outOfMemory(attempts); a != nil {
		s.measurements.Evictions++
		s.report(vm, a.task, jaygw.AttemptFailed, a.checkpointed)
		attempts = vm.sorted()
	}
	cpu, noiseFactor := 0.0, 1.0
	for _, a := range attempts {
		cpu += a.cpu(s.user)
		if a.job != nil {
			noiseFactor += a.job.Noise * a.cpu(s.user) / float64(s.user.Size.CPU)
		}
	}
	contention := max(1, cpu/float64(s.user.Size.CPU))
	for _, a := range attempts {
		if a.job == nil {
			a.latencyFactor = noiseFactor * contention * contention
			continue
		}
		worked := time.Duration(float64(tick) * float64(a.speedPercent) / 100 / contention)
		a.progress += worked
		coreTime := time.Duration(float64(worked) * float64(s.user.Task.CPU) / float64(jaygw.Core))
		s.measurements.Work += coreTime
		if s.domainOut() {
			s.measurements.WorkWhileOut += coreTime
		}
		switch {
		case a.progress >= a.job.RunTime.Std():
			s.measurements.Done++
			s.report(vm, a.task, jaygw.Completed, a.progress)
		case s.now.Sub(a.checkpointTime) >= checkpointInterval:
			a.checkpointed, a.checkpointTime = a.progress, s.now
			s.report(vm, a.task, jaygw.Checkpointed, a.progress)
		}
	}
}

// outOfMemory returns the attempt that the VM's kernel would kill because memory is exhausted, or
// nil. It is the batch task that exceeds its reservation most. Its progress since the last
// checkpoint is subtracted from the measured work.
func (s *simulation) outOfMemory(attempts []*attempt) *attempt {
	var used jaygw.Bytes
	var victim *attempt
	largestExcess := jaygw.Bytes(math.MinInt64)
	for _, a := range attempts {
		used += a.memory(s.user)
		current := s.machine.State().Tasks[a.task.ID]
		if excess := a.memory(s.user) - current.Reserved.Memory; a.job != nil && excess > largestExcess {
			victim, largestExcess = a, excess
		}
	}
	if used <= s.user.Size.Memory || victim == nil {
		return nil
	}
	s.measurements.Work -= time.Duration(float64(victim.progress-victim.checkpointed) * float64(s.user.Task.CPU) / float64(jaygw.Core))
	return victim
}

// sorted returns the attempts in the order of their task ids, so that runs are reproducible.
func (vm *simulatedVM) sorted() []*attempt {
	return slices.SortedFunc(maps.Values(vm.running), func(a, b *attempt) int { return cmp.Compare(a.task.ID, b.task.ID) })
}

// cpu returns the CPU that the attempt uses, in millicores.
func (a *attempt) cpu(user *User) float64 {
	if a.job == nil {
		return replicaUse * float64(a.task.Declared.CPU)
	}
	return float64(user.Task.CPU) * float64(a.speedPercent) / 100
}

// memory returns the memory that the attempt uses.
func (a *attempt) memory(user *User) jaygw.Bytes {
	if a.job == nil {
		return jaygw.Bytes(replicaUse * float64(a.task.Declared.Memory))
	}
	return user.Task.Memory
}

// reportUsage draws random request latencies for the last second, passes the oldest sample to the
// policy once it is reportLag old, and carries out the orders of the policy.
func (s *simulation) reportUsage(vm *simulatedVM) {
	current := sample{at: s.now}
	for _, a := range vm.sorted() {
		usage := jaygw.Usage{
			Attempt: a.task.Attempt(), Lag: reportLag,
			Used: jaygw.Resources{CPU: jaygw.MilliCores(a.cpu(s.user)), Memory: a.memory(s.user)},
		}
		if median := s.baseLatency[a.task.Owner]; a.job == nil && median > 0 {
			loadFactor := s.missingReplicaFactor(a.task.Owner)
			for range requestsPerReplica {
				s.latencies = append(s.latencies, median*a.latencyFactor*loadFactor*math.Exp(latencySigma*s.random.NormFloat64()))
			}
			// 2.33 standard deviations above the median is the 99th percentile.
			measured := median * a.latencyFactor * loadFactor * math.Exp(latencySigma*2.33+0.03*s.random.NormFloat64())
			usage.Latency = time.Duration(measured * float64(time.Second))
		}
		current.usage = append(current.usage, usage)
	}
	vm.samples = append(vm.samples, current)
	if oldest := vm.samples[0]; s.now.Sub(oldest.at) >= reportLag {
		vm.samples = vm.samples[1:]
		s.policy.Observe(s.machine, vm.name, oldest.usage, s.now)
	}
	for _, order := range s.policy.Orders(vm.name, s.now) {
		a := vm.running[order.Attempt]
		switch {
		case a == nil:
		case order.Action == jaygw.ActionThrottle:
			a.speedPercent = order.Percent
		case order.Action == jaygw.ActionCheckpoint && a.job != nil:
			a.checkpointed, a.checkpointTime = a.progress, s.now
			s.report(vm, a.task, jaygw.Checkpointed, a.progress)
		}
	}
}

// missingReplicaFactor returns the factor by which the latency rises because some replicas of the
// service are not running and the others take over their load.
func (s *simulation) missingReplicaFactor(service string) float64 {
	declared, running := 0, 0
	for _, id := range s.machine.TasksOf(s.user.Document.Environment, service) {
		declared++
		if s.machine.State().Tasks[id].State == jaygw.Running {
			running++
		}
	}
	return float64(declared) / float64(max(1, running))
}

// finish computes the latency percentile and adds the waits of urgent tasks that never started.
func (s *simulation) finish() {
	for _, task := range s.machine.State().Tasks {
		if task.Class == jaygw.Urgent && !task.State.Ended() && !s.startedUrgent[task.ID] {
			s.measurements.UrgentWait = max(s.measurements.UrgentWait, s.now.Sub(task.Submitted))
		}
	}
	slices.Sort(s.latencies)
	if n := len(s.latencies); n > 0 {
		s.measurements.P99 = time.Duration(s.latencies[n*99/100] * float64(time.Second))
	}
}

// RunWithoutFirstDomain measures a policy on the estate without its first failure domain. The result
// shows how much batch work the other domains can do while the first one is out.
func RunWithoutFirstDomain(user *User, scenario *Scenario, policy Policy, seed uint64) Measurements {
	reduced := *user
	reduced.VMs = maps.Clone(user.VMs)
	delete(reduced.VMs, slices.Sorted(maps.Keys(user.VMs))[0])
	measureOnly := *scenario
	measureOnly.Out = &DomainOutScript{At: scenario.Out.At, Duration: scenario.Out.Duration, MeasureOnly: true}
	return Run(&reduced, &measureOnly, policy, seed)
}
