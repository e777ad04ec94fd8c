package experimenter

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
	// Policy decides for one state machine.
	Policy interface {
		jaygw.Observer
		Decide(machine *applier.Machine, now jaygw.Time) []jaygw.Command
		Observe(machine *applier.Machine, vm string, usage []jaygw.Usage, now jaygw.Time)
		Orders(vm string, now jaygw.Time) []jaygw.Order
	}

	// world runs one scenario under one policy.
	world struct {
		user     *User
		scenario *Scenario
		policy   Policy
		machine  *applier.Machine
		index    jaygw.Index
		now      jaygw.Time
		scripts  map[string]*JobScript // by job
		workers  []*worker
		random   *rand.Rand
		latency  []float64
		baseline map[string]float64    // seconds, by service
		started  map[jaygw.TaskID]bool // urgent tasks
		figures  Figures
	}

	// worker is the fake of a VM's worker and agent.
	worker struct {
		name    string
		bad     bool
		running map[jaygw.Attempt]*run
		reports []sample // of the last seconds
	}

	// run is one attempt of a batch task or a replica.
	run struct {
		task     *jaygw.Task
		script   *JobScript // nil for replicas
		progress time.Duration
		saved    time.Duration
		savedAt  jaygw.Time
		percent  int
		factor   float64 // of a replica's latency
	}

	sample struct {
		at    jaygw.Time
		usage []jaygw.Usage
	}
)

const (
	tick            = 200 * time.Millisecond
	renewal         = time.Second
	reportLag       = 3 * time.Second
	checkpointEvery = time.Minute
	startOfTime     = jaygw.Time(1_000_000 * time.Second)

	// latencySigma spreads the requests' latencies around the replica's median.
	latencySigma = 0.3

	// requestsPerReplica is how many latencies are drawn per replica and second.
	requestsPerReplica = 4

	// replicaUse is the share of its size that a replica uses.
	replicaUse = 0.6
)

// Run measures one policy. The figures depend on the seed alone.
func Run(user *User, scenario *Scenario, policy Policy, seed uint64) Figures {
	w := &world{
		user: user, scenario: scenario, policy: policy, now: startOfTime,
		started: map[jaygw.TaskID]bool{}, scripts: map[string]*JobScript{}, baseline: map[string]float64{},
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	w.machine = applier.New("main", applier.WithObserver(policy))
	w.build()
	for end := w.now.Add(scenario.Length.Std()); w.now < end; w.now = w.now.Add(tick) {
		w.step()
	}
	w.finish()
	return w.figures
}

func (w *world) apply(c jaygw.Command) jaygw.Result {
	w.index++
	c.Time = w.now
	return w.machine.Apply(w.index, c)
}

func (w *world) build() {
	document := w.user.Document
	w.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Document: document, Digest: "1"}})
	w.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: document.Environment, Digest: "1"}})
	for _, service := range document.Services {
		w.baseline[service.Name] = service.LatencyTarget.Std().Seconds() / 4
	}
	for _, domain := range slices.Sorted(maps.Keys(w.user.VMs)) {
		for i := range w.user.VMs[domain] {
			name := fmt.Sprintf("%s-%d", domain, i)
			w.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
				Name: name, Domain: domain, Rack: fmt.Sprintf("%s-r%d", domain, 1+i/3), Size: w.user.Size, Incarnation: 1,
			}}})
			w.workers = append(w.workers, &worker{name: name, running: map[jaygw.Attempt]*run{}})
		}
	}
	for i := range w.scenario.BadVMs {
		w.workers[len(w.workers)-1-i].bad = true
	}
}

func (w *world) step() {
	w.script()
	for _, command := range w.policy.Decide(w.machine, w.now) {
		w.apply(command)
	}
	second := w.elapsed()%renewal == 0
	for _, k := range w.workers {
		w.follow(k)
		w.advance(k)
		if second {
			w.observe(k)
		}
	}
}

func (w *world) elapsed() time.Duration { return w.now.Sub(startOfTime) }

func (w *world) script() {
	for i := range w.scenario.Jobs {
		if job := &w.scenario.Jobs[i]; job.At.Std() == w.elapsed() {
			w.scripts[job.Name] = job
			if result := w.apply(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: job.spec(w.user)}}); result.Err() != nil {
				panic(result.Err())
			}
		}
	}
	if out := w.scenario.Out; out != nil && !out.Marks {
		first := slices.Sorted(maps.Keys(w.user.VMs))[0]
		if w.elapsed() == out.At.Std() || w.elapsed() == out.At.Std()+out.Away.Std() {
			w.apply(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: first, Out: w.away()}})
		}
	}
}

func (w *world) away() bool {
	out := w.scenario.Out
	return out != nil && w.elapsed() >= out.At.Std() && w.elapsed() < out.At.Std()+out.Away.Std()
}

// follow starts and stops what the state asks for.
func (w *world) follow(k *worker) {
	for _, id := range w.machine.TasksOn(k.name) {
		task := w.machine.State().Tasks[id]
		r := k.running[task.Attempt()]
		switch {
		case task.State == jaygw.Granted && (k.bad || w.failsAlways(task)):
			w.report(k, task, jaygw.AttemptFailed, 0)
		case task.State == jaygw.Granted:
			k.running[task.Attempt()] = &run{
				task: task, script: w.scripts[task.Owner], percent: 100,
				progress: task.Checkpoint.Progress.Std(), saved: task.Checkpoint.Progress.Std(), savedAt: w.now,
			}
			if task.Class == jaygw.Urgent {
				w.started[task.ID] = true
				w.figures.Urgent = max(w.figures.Urgent, w.now.Sub(task.Submitted))
			}
			w.report(k, task, jaygw.Started, 0)
		case task.State == jaygw.Stopping && r != nil:
			w.report(k, task, jaygw.Stopped, r.progress)
		case task.State == jaygw.Stopping:
			w.report(k, task, jaygw.NotStarted, 0)
		}
	}
}

func (w *world) failsAlways(task *jaygw.Task) bool {
	script := w.scripts[task.Owner]
	return script != nil && script.FailsAlways
}

func (w *world) report(k *worker, task *jaygw.Task, kind jaygw.ReportKind, progress time.Duration) {
	report := jaygw.Report{Attempt: task.Attempt(), Kind: kind, Checkpoint: jaygw.Checkpoint{Progress: jaygw.Duration(progress)}}
	if kind == jaygw.AttemptFailed {
		w.figures.Failures++
		report.NotBefore = w.now.Add(scheduler.Backoff(task.Attempt(), task.Failures))
	}
	if kind != jaygw.Started && kind != jaygw.Checkpointed {
		delete(k.running, task.Attempt())
	}
	if kind == jaygw.Stopped || kind == jaygw.NotStarted {
		w.figures.Evictions++
	}
	w.apply(jaygw.Command{Report: &jaygw.ReportTasks{VM: k.name, Incarnation: 1, Reports: []jaygw.Report{report}}})
}

// advance runs the attempts of one VM for a tick.
func (w *world) advance(k *worker) {
	attempts := k.sorted()
	if r := w.outOfMemory(attempts); r != nil {
		w.figures.Evictions++
		w.report(k, r.task, jaygw.AttemptFailed, r.saved)
		attempts = k.sorted()
	}
	cpu, noise := 0.0, 1.0
	for _, r := range attempts {
		cpu += r.cpu(w.user)
		if r.script != nil {
			noise += r.script.Noise * r.cpu(w.user) / float64(w.user.Size.CPU)
		}
	}
	crowding := max(1, cpu/float64(w.user.Size.CPU))
	for _, r := range attempts {
		if r.script == nil {
			r.factor = noise * crowding * crowding
			continue
		}
		worked := time.Duration(float64(tick) * float64(r.percent) / 100 / crowding)
		r.progress += worked
		core := time.Duration(float64(worked) * float64(w.user.Task.CPU) / float64(jaygw.Core))
		w.figures.Work += core
		if w.away() {
			w.figures.Away += core
		}
		switch {
		case r.progress >= r.script.RunTime.Std():
			w.figures.Done++
			w.report(k, r.task, jaygw.Completed, r.progress)
		case w.now.Sub(r.savedAt) >= checkpointEvery:
			r.saved, r.savedAt = r.progress, w.now
			w.report(k, r.task, jaygw.Checkpointed, r.progress)
		}
	}
}

// outOfMemory returns the attempt that the VM's kernel would end: the batch task
// that is furthest over its reservation.
func (w *world) outOfMemory(attempts []*run) *run {
	var used jaygw.Bytes
	var chosen *run
	over := jaygw.Bytes(math.MinInt64)
	for _, r := range attempts {
		used += r.memory(w.user)
		current := w.machine.State().Tasks[r.task.ID]
		if excess := r.memory(w.user) - current.Reserved.Memory; r.script != nil && excess > over {
			chosen, over = r, excess
		}
	}
	if used <= w.user.Size.Memory || chosen == nil {
		return nil
	}
	w.figures.Work -= time.Duration(float64(chosen.progress-chosen.saved) * float64(w.user.Task.CPU) / float64(jaygw.Core))
	return chosen
}

func (k *worker) sorted() []*run {
	return slices.SortedFunc(maps.Values(k.running), func(a, b *run) int { return cmp.Compare(a.task.ID, b.task.ID) })
}

func (r *run) cpu(user *User) float64 {
	if r.script == nil {
		return replicaUse * float64(r.task.Declared.CPU)
	}
	return float64(user.Task.CPU) * float64(r.percent) / 100
}

func (r *run) memory(user *User) jaygw.Bytes {
	if r.script == nil {
		return jaygw.Bytes(replicaUse * float64(r.task.Declared.Memory))
	}
	return user.Task.Memory
}

// observe draws the latencies of the last second, and passes on what was observed
// before the lag.
func (w *world) observe(k *worker) {
	now := sample{at: w.now}
	for _, r := range k.sorted() {
		usage := jaygw.Usage{
			Attempt: r.task.Attempt(), Lag: reportLag,
			Used: jaygw.Resources{CPU: jaygw.MilliCores(r.cpu(w.user)), Memory: r.memory(w.user)},
		}
		if base := w.baseline[r.task.Owner]; r.script == nil && base > 0 {
			load := w.missing(r.task.Owner)
			for range requestsPerReplica {
				w.latency = append(w.latency, base*r.factor*load*math.Exp(latencySigma*w.random.NormFloat64()))
			}
			measured := base * r.factor * load * math.Exp(latencySigma*2.33+0.03*w.random.NormFloat64())
			usage.Latency = time.Duration(measured * float64(time.Second))
		}
		now.usage = append(now.usage, usage)
	}
	k.reports = append(k.reports, now)
	if first := k.reports[0]; w.now.Sub(first.at) >= reportLag {
		k.reports = k.reports[1:]
		w.policy.Observe(w.machine, k.name, first.usage, w.now)
	}
	for _, order := range w.policy.Orders(k.name, w.now) {
		r := k.running[order.Attempt]
		switch {
		case r == nil:
		case order.Action == jaygw.ActionThrottle:
			r.percent = order.Percent
		case order.Action == jaygw.ActionCheckpoint && r.script != nil:
			r.saved, r.savedAt = r.progress, w.now
			w.report(k, r.task, jaygw.Checkpointed, r.progress)
		}
	}
}

// missing returns by how much the latency rises because replicas of the service
// do not run and the others take their load.
func (w *world) missing(service string) float64 {
	declared, running := 0, 0
	for _, id := range w.machine.TasksOf(w.user.Document.Environment, service) {
		declared++
		if w.machine.State().Tasks[id].State == jaygw.Running {
			running++
		}
	}
	return float64(declared) / float64(max(1, running))
}

func (w *world) finish() {
	for _, task := range w.machine.State().Tasks {
		if task.Class == jaygw.Urgent && !task.State.Ended() && !w.started[task.ID] {
			w.figures.Urgent = max(w.figures.Urgent, w.now.Sub(task.Submitted))
		}
	}
	slices.Sort(w.latency)
	if n := len(w.latency); n > 0 {
		w.figures.P99 = time.Duration(w.latency[n*99/100] * float64(time.Second))
	}
}

// RunRest measures a policy on what is left without the first failure domain.
func RunRest(user *User, scenario *Scenario, policy Policy, seed uint64) Figures {
	rest := *user
	rest.VMs = maps.Clone(user.VMs)
	delete(rest.VMs, slices.Sorted(maps.Keys(user.VMs))[0])
	unchanged := *scenario
	unchanged.Out = &OutScript{At: scenario.Out.At, Away: scenario.Out.Away, Marks: true}
	return Run(&rest, &unchanged, policy, seed)
}
