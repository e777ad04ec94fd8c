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
	// schedule is what happens to a world. It is drawn before the run, so that
	// rapid can shrink it.
	schedule struct {
		Seed  uint64 // of the messages
		Steps []step
	}

	step struct {
		Action string
		VM     int
		Domain string
		Length time.Duration // of a pause or a stall
		Wait   time.Duration // after the step
	}
)

const (
	// checksPerRun takes about ten seconds with the race detector.
	checksPerRun = 120

	// faultSchedules bounds the search for a schedule that shows a fault.
	faultSchedules = 400

	healTime = 400 * time.Second
)

var (
	vmSize = jaygw.Resources{CPU: 4 * jaygw.Core, Memory: 8 * jaygw.GB, Accelerators: 1}
	small  = jaygw.Resources{CPU: jaygw.Core, Memory: jaygw.GB}
	large  = jaygw.Resources{CPU: 3 * jaygw.Core, Memory: 2 * jaygw.GB, Accelerators: 1}

	document = jaygw.Document{
		Environment: "print", Number: 1,
		Domains: []jaygw.DomainSpec{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Teams: []jaygw.TeamSpec{{Name: "press", Quota: jaygw.Resources{
			CPU: 100 * jaygw.Core, Memory: 100 * jaygw.GB, Accelerators: 100,
		}}},
		Services: []jaygw.ServiceSpec{{Name: "proofs", Team: "press", Replicas: 2, Resources: small}},
	}

	actions = []string{
		"wait", "lossy", "slow", "calm", "pause", "cut-off", "join", "crash-agent", "start-agent", "replace", "leave",
		"new-leader", "stall", "flap", "domain-out", "domain-in", "pause-domain", "hang", "cancel", "fail-starts",
	}

	lengths = []time.Duration{300 * time.Millisecond, 2500 * time.Millisecond, 4 * time.Second, 7 * time.Second, 13 * time.Second}
	waits   = []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second}

	// themes are combinations that single rules of leases and grants depend on.
	themes = [][]string{
		{"pause", "cut-off", "join", "submit"},
		{"hang", "domain-in", "wait"},
		{"flap", "flap", "cancel", "wait", "wait", "wait"},
	}
)

// schedules draws schedules. Each one uses a theme or a few actions of its own:
// with all actions at once, the combinations that matter come too seldom.
func schedules(themes [][]string) *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		chosen := append(rapid.SliceOfNDistinct(rapid.SampledFrom(actions), 2, 8, rapid.ID[string]).Draw(t, "actions"), "submit")
		if len(themes) == 1 || rapid.Bool().Draw(t, "themed") {
			chosen = rapid.SampledFrom(themes).Draw(t, "theme")
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Action: rapid.SampledFrom(chosen).Draw(t, "action"),
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
	seeder.Fix(checksPerRun)
	os.Exit(m.Run())
}

// The invariants of tasks must hold under lost, late, doubled and crossed
// messages, crashes, pauses, replaced VMs and changes of the leader, and all work
// must finish once the faults are over.
func TestTasksUnderFaults(t *testing.T) {
	runs, completed := 0, 0
	all := schedules(themes)
	rapid.Check(t, func(t *rapid.T) {
		w, err := play(all.Draw(t, "schedule"), noFault)
		require.NoError(t, err)
		runs += w.oracle.runs
		completed += w.oracle.completed
	})
	t.Logf("%d starts, %d completions", runs, completed)
	require.Positive(t, completed)
}

// Each rule of leases and epochs must be needed: without it, the checks of
// TestTasksUnderFaults fail.
func TestFaultsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		fault  fault
		themes [][]string
	}{
		"ignore the epoch":                    {ignoreEpoch, themes},
		"count the lease from receipt":        {leaseFromReceipt, themes[:1]},
		"release resources at heartbeat loss": {releaseOnSilence, themes},
		"skip the check of the size at apply": {skipApplyCheck, themes[2:]},
		"accept a late permit":                {acceptLatePermit, themes[1:2]},
	} {
		t.Run(name, func(t *testing.T) {
			drawn := schedules(c.themes)
			for i := range faultSchedules {
				if _, err := play(drawn.Example(i), c.fault); err != nil {
					t.Logf("schedule %d: %v", i, err)
					return
				}
			}
			t.Fatalf("no failure in %d schedules", faultSchedules)
		})
	}
}

// play runs a schedule, then heals everything and waits for the work to finish.
func play(s schedule, f fault) (*world, error) {
	w := newWorld(s.Seed, f)
	w.submit(small, false)
	w.advance(time.Second)
	for _, step := range s.Steps {
		w.act(step)
		w.advance(step.Wait)
		if w.err != nil {
			return w, w.err
		}
	}
	if f != noFault {
		w.advance(15 * time.Second)
		return w, w.err
	}
	w.advance(4 * time.Second) // for the later parts of the last actions
	w.heal()
	for end := w.now.Add(healTime); w.err == nil && w.unfinished() != "" && w.now.Before(end); {
		w.advance(time.Second)
	}
	if unfinished := w.unfinished(); unfinished != "" {
		w.failf("%s", unfinished)
	}
	return w, w.err
}

func (w *world) act(s step) {
	n := w.nodes[s.VM]
	switch s.Action {
	case "lossy":
		w.loss = 30
	case "slow":
		w.slow = 20
	case "calm":
		w.loss, w.slow = 0, 0
	case "pause":
		n.paused = w.now.Add(s.Length)
	case "pause-domain":
		w.pauseDomain(s)
	case "hang":
		// The VMs of a domain hang while starts are on their way, and operators
		// take the domain out.
		w.submit(small, false)
		w.after(200*time.Millisecond, func() {
			w.pauseDomain(s)
			w.operate(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: s.Domain, Out: true}})
		})
	case "cut-off":
		n.cutOff = true
	case "join":
		n.cutOff = false
	case "crash-agent":
		n.agent.dead = true
	case "start-agent":
		if n.agent.dead {
			w.startAgent(n)
		}
	case "replace":
		n.cutOff = true // the last instance goes on until its leases end
		w.addNode(n.name, n.domain, n.rate)
	case "leave":
		n.agent.leaving = true
		n.agent.Leave()
	case "new-leader":
		w.lead()
	case "stall":
		w.leader.stalled = w.now.Add(s.Length)
	case "flap":
		// Two VMs fall silent and return one after the other, while the leader
		// cannot commit what it decides in between.
		n.paused = w.now.Add(4 * time.Second)
		w.nodes[(s.VM+3)%len(w.nodes)].paused = w.now.Add(7 * time.Second)
		leader := w.leader
		w.after(2800*time.Millisecond, func() { w.submit(large, false) })
		w.after(3*time.Second, func() { leader.stalled = w.now.Add(s.Length) })
	case "domain-out", "domain-in":
		w.operate(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: s.Domain, Out: s.Action == "domain-out"}})
	case "submit":
		w.submit([]jaygw.Resources{small, large}[s.VM%2], s.VM > 1)
	case "cancel":
		w.operate(jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: document.Environment, Name: fmt.Sprintf("job-%d", s.VM)}})
	case "fail-starts":
		n.worker.Fail(s.Length > 5*time.Second)
	}
}

func (w *world) pauseDomain(s step) {
	for _, n := range w.nodes {
		if n.domain == s.Domain {
			n.paused = w.now.Add(s.Length)
		}
	}
}

func (w *world) operate(command jaygw.Command) {
	w.leader.propose(w, command, func(jaygw.Result, error) {})
}

func (w *world) submit(size jaygw.Resources, urgent bool) {
	runTime := 15 * time.Second
	if w.chance(25) {
		runTime = time.Minute
	}
	w.operate(jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: jaygw.JobSpec{
		Name: fmt.Sprintf("job-%d", len(w.machine.State().Jobs)), Environment: document.Environment, Team: "press",
		Tasks: 1 + w.random.IntN(6), Resources: size, RunTime: jaygw.Duration(w.random.Int64N(int64(runTime))),
		Urgent: urgent, MaxFailures: 1_000_000,
	}}})
}

func (w *world) heal() {
	w.loss, w.slow = 0, 0
	w.last = nil
	w.leader.stalled = w.now
	for _, n := range w.nodes {
		n.cutOff = false
		n.paused = w.now
		n.worker.Fail(false)
		n.agent.dead = true
		w.startAgent(n)
	}
	for _, domain := range []string{"a", "b"} {
		w.operate(jaygw.Command{SetDomain: &jaygw.SetDomain{Name: domain}})
	}
}

// unfinished names work that is not done.
func (w *world) unfinished() string {
	state := w.machine.State()
	for name, job := range state.Jobs {
		if job.State == jaygw.JobActive {
			return "job " + name + " is not finished"
		}
		if job.State == jaygw.JobDone && job.Done != job.Spec.Tasks || job.State == jaygw.JobFailed {
			return fmt.Sprintf("job %s ended as %s with %d of %d tasks done", name, job.State, job.Done, job.Spec.Tasks)
		}
	}
	for id, task := range state.Tasks {
		if task.Kind == jaygw.ServiceTask && (task.State != jaygw.Running || !w.runs(task)) {
			return fmt.Sprintf("service task %s is %s and does not run", id, task.State)
		}
	}
	return ""
}

func (w *world) runs(task *jaygw.Task) bool {
	for _, n := range w.nodes {
		list, _ := n.worker.List(context.Background(), 0, 0)
		for _, t := range list.Tasks {
			if n.name == task.VM && t.Attempt == task.Attempt() && t.State == jaygw.WorkerRunning {
				return true
			}
		}
	}
	return false
}
