package dispatcher_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// schedule is a sequence of faults and commands. It is drawn before the simulation runs, so
	// that rapid can shrink it.
	schedule struct {
		Seed  uint64 // seed of the simulation's random numbers
		Steps []step
	}

	// step is one action of a schedule; each action uses only some of the fields.
	step struct {
		Action string        // one of actions, or "submit"
		VM     int           // index of the VM; selects size and urgency of a "submit", and the job of a "cancel"
		Domain string        // name of the failure domain
		Length time.Duration // of a pause or a stall; decides whether "fail-starts" begins or ends
		Wait   time.Duration // time to advance after the action
	}
)

const (
	// checksPerRun is the number of schedules; they take about ten seconds with the race detector.
	checksPerRun = 120

	// maxDefectSchedules bounds the search for a schedule that reveals an injected defect.
	maxDefectSchedules = 400

	// recoveryLimit is the longest virtual time to finish all work after the faults have ended.
	recoveryLimit = 400 * time.Second
)

var (
	vmSize    = jaygw.Resources{CPU: 4 * jaygw.Core, Memory: 8 * jaygw.GB, Accelerators: 1}
	smallSize = jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}
	largeSize = jaygw.Resources{CPU: 3 * jaygw.Core, Memory: 2 * jaygw.GB, Accelerators: 1}

	document = jaygw.Document{
		Environment: "print", Number: 1,
		Domains: []jaygw.DomainSpec{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Teams: []jaygw.TeamSpec{{Name: "press", Quota: jaygw.Resources{
			CPU: 100 * jaygw.Core, Memory: 100 * jaygw.GB, Accelerators: 100,
		}}},
		Services: []jaygw.ServiceSpec{{Name: "proofs", Team: "press", Replicas: 2, Resources: smallSize}},
	}

	actions = []string{
		"wait", "lossy", "slow", "end-message-faults", "pause", "isolate", "reconnect", "crash-agent",
		"start-agent", "replace", "leave", "new-leader", "stall", "flap", "domain-out", "domain-in",
		"pause-domain", "hang", "cancel", "fail-starts",
	}

	lengths = []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second, 13 * time.Second}
	waits   = []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second}

	// scenarios are combinations of actions under which single rules of leases and grants are
	// needed to keep the invariants.
	scenarios = [][]string{
		{"pause", "isolate", "reconnect", "submit"},
		{"hang", "domain-in", "wait"},
		{"flap", "flap", "cancel", "wait", "wait", "wait"},
	}
)

// schedules returns a generator of schedules. Each schedule uses a scenario or a few actions drawn
// at random: with all actions in one schedule, the relevant combinations would be too rare.
func schedules(scenarios [][]string) *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		chosenActions := append(rapid.SliceOfNDistinct(rapid.SampledFrom(actions), 2, 8, rapid.ID[string]).Draw(t, "actions"), "submit")
		if len(scenarios) == 1 || rapid.Bool().Draw(t, "use scenario") {
			chosenActions = rapid.SampledFrom(scenarios).Draw(t, "scenario")
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Action: rapid.SampledFrom(chosenActions).Draw(t, "action"),
				VM:     rapid.IntRange(0, 3).Draw(t, "vm"),
				Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
				Length: rapid.SampledFrom(lengths).Draw(t, "length"),
				Wait:   rapid.SampledFrom(waits).Draw(t, "wait"),
			}
		}), 10, 60).Draw(t, "steps")
		return schedule{Seed: rapid.Uint64().Draw(t, "seed"), Steps: steps}
	})
}

func TestMain(m *testing.M) {
	seeder.FixSeed(checksPerRun)
	os.Exit(m.Run())
}

// Guards against tasks that break an invariant or never finish because of lost, late, duplicated
// or reordered messages, crashes, pauses, replaced VMs or changes of the leader. All work has to
// finish once the faults have ended.
func TestTasksUnderFaults(t *testing.T) {
	starts, completions := 0, 0
	generator := schedules(scenarios)
	rapid.Check(t, func(t *rapid.T) {
		sim, err := runSchedule(generator.Draw(t, "schedule"), noDefect)
		require.NoError(t, err)
		starts += sim.oracle.startCount
		completions += sim.oracle.completedCount
	})
	t.Logf("%d starts, %d completions", starts, completions)
	require.Positive(t, completions)
}

// Guards against checks that have no effect: without any one of these rules of leases and epochs,
// the checks of TestTasksUnderFaults have to fail.
func TestInjectedDefectsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		defect    defect
		scenarios [][]string
	}{
		"ignore the epoch":                           {ignoreEpoch, scenarios},
		"count the lease from receipt":               {leaseFromReceipt, scenarios[:1]},
		"release resources before the lease expires": {releaseWithoutContact, scenarios},
		"skip the size check at apply":               {skipApplyCheck, scenarios[2:]},
		"accept an expired permit":                   {acceptExpiredPermit, scenarios[1:2]},
	} {
		t.Run(name, func(t *testing.T) {
			generator := schedules(c.scenarios)
			for i := range maxDefectSchedules {
				if _, err := runSchedule(generator.Example(i), c.defect); err != nil {
					t.Logf("schedule %d: %v", i, err)
					return
				}
			}
			t.Fatalf("no failure in %d schedules", maxDefectSchedules)
		})
	}
}

// runSchedule runs a schedule. Without an injected defect, it then ends all faults and waits for
// the work to finish.
func runSchedule(planned schedule, injected defect) (*simulation, error) {
	sim := newSimulation(planned.Seed, injected)
	sim.submitJob(smallSize, false)
	sim.advance(time.Second)
	for _, step := range planned.Steps {
		sim.applyStep(step)
		sim.advance(step.Wait)
		if sim.err != nil {
			return sim, sim.err
		}
	}
	if injected != noDefect {
		sim.advance(15 * time.Second)
		return sim, sim.err
	}
	sim.advance(4 * time.Second) // covers the delayed events of the last actions
	sim.endFaults()
	for end := sim.now.Add(recoveryLimit); sim.err == nil && sim.unfinishedWork() != "" && sim.now.Before(end); {
		sim.advance(time.Second)
	}
	if work := sim.unfinishedWork(); work != "" {
		sim.failf("%s", work)
	}
	return sim, sim.err
}

// applyStep performs the action of a step, or schedules its events.
func (sim *simulation) applyStep(next step) {
	n := sim.nodes[next.VM]
	switch next.Action {
	case "lossy":
		sim.lossPercent = 30
	case "slow":
		sim.slowPercent = 20
	case "end-message-faults":
		sim.lossPercent, sim.slowPercent = 0, 0
	case "pause":
		n.pausedUntil = sim.now.Add(next.Length)
	case "pause-domain":
		sim.pauseDomain(next)
	case "hang":
		// The VMs of a failure domain hang while starts are in progress, and an operator takes
		// the domain out.
		sim.submitJob(smallSize, false)
		sim.after(200*time.Millisecond, func() {
			sim.pauseDomain(next)
			sim.proposeByOperator(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: next.Domain, Out: true}})
		})
	case "isolate":
		n.isolated = true
	case "reconnect":
		n.isolated = false
	case "crash-agent":
		n.agent.ended = true
	case "start-agent":
		if n.agent.ended {
			sim.startAgent(n)
		}
	case "replace":
		n.isolated = true // the previous instance runs on until its leases expire
		sim.addNode(n.name, n.domain, n.clockRate)
	case "leave":
		n.agent.leaving = true
		n.agent.Leave()
	case "new-leader":
		sim.electLeader()
	case "stall":
		sim.leader.stalledUntil = sim.now.Add(next.Length)
	case "flap":
		// Two VMs become unresponsive and return one after the other, while the leader cannot
		// commit its decisions.
		n.pausedUntil = sim.now.Add(4 * time.Second)
		sim.nodes[(next.VM+3)%len(sim.nodes)].pausedUntil = sim.now.Add(7 * time.Second)
		leader := sim.leader
		sim.after(2800*time.Millisecond, func() { sim.submitJob(largeSize, false) })
		sim.after(3*time.Second, func() { leader.stalledUntil = sim.now.Add(next.Length) })
	case "domain-out", "domain-in":
		sim.proposeByOperator(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: next.Domain, Out: next.Action == "domain-out"}})
	case "submit":
		sim.submitJob([]jaygw.Resources{smallSize, largeSize}[next.VM%2], next.VM > 1)
	case "cancel":
		sim.proposeByOperator(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: document.Environment, Name: fmt.Sprintf("job-%d", next.VM)}})
	case "fail-starts":
		n.worker.FailStarts(next.Length > 5*time.Second)
	}
}

// pauseDomain pauses all VMs of a failure domain.
func (sim *simulation) pauseDomain(next step) {
	for _, n := range sim.nodes {
		if n.domain == next.Domain {
			n.pausedUntil = sim.now.Add(next.Length)
		}
	}
}

// proposeByOperator proposes an operator's command; its outcome is ignored.
func (sim *simulation) proposeByOperator(command jaygw.Command) {
	sim.leader.propose(sim, command, func(jaygw.Result, error) {})
}

// submitJob submits a job with a random number of tasks and a random run time.
func (sim *simulation) submitJob(size jaygw.Resources, urgent bool) {
	runTime := 15 * time.Second
	if sim.chance(25) {
		runTime = time.Minute
	}
	sim.proposeByOperator(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{
		Name: fmt.Sprintf("job-%d", len(sim.machine.State().Jobs)), Environment: document.Environment, Team: "press",
		Tasks: 1 + sim.random.IntN(6), Resources: size, RunTime: jaygw.Duration(sim.random.Int64N(int64(runTime))),
		Urgent: urgent, MaxFailures: 1_000_000,
	}}})
}

// endFaults ends all faults and restarts all agents.
func (sim *simulation) endFaults() {
	sim.lossPercent, sim.slowPercent = 0, 0
	sim.previous = nil
	sim.leader.stalledUntil = sim.now
	for _, n := range sim.nodes {
		n.isolated = false
		n.pausedUntil = sim.now
		n.worker.FailStarts(false)
		n.agent.ended = true
		sim.startAgent(n)
	}
	for _, domain := range []string{"a", "b"} {
		sim.proposeByOperator(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: domain}})
	}
}

// unfinishedWork describes a job that is not done or a service task that does not run, or returns
// the empty string.
func (sim *simulation) unfinishedWork() string {
	state := sim.machine.State()
	for name, job := range state.Jobs {
		if job.State == jaygw.JobActive {
			return "job " + name + " is not finished"
		}
		if job.State == jaygw.JobDone && job.Done != job.Spec.Tasks || job.State == jaygw.JobFailed {
			return fmt.Sprintf("job %s ended as %s with %d of %d tasks done", name, job.State, job.Done, job.Spec.Tasks)
		}
	}
	for id, task := range state.Tasks {
		if task.Kind == jaygw.ServiceTask && (task.State != jaygw.Running || !sim.isRunning(task)) {
			return fmt.Sprintf("service task %s is %s and does not run", id, task.State)
		}
	}
	return ""
}

// isRunning reports whether the worker of a task's VM runs the task's current attempt.
func (sim *simulation) isRunning(task *jaygw.Task) bool {
	for _, n := range sim.nodes {
		list, _ := n.worker.List(context.Background(), 0, 0)
		for _, t := range list.Tasks {
			if n.name == task.VM && t.Attempt == task.Attempt() && t.State == jaygw.WorkerRunning {
				return true
			}
		}
	}
	return false
}
