package orchestrator

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// grantChecker makes decisions and commits them at once or later, and checks the limits of the VMs after each.
type grantChecker struct {
	*harness
	rt      *rapid.T
	workers map[string]jaygw.PoolWorker
	process map[string]uint64
	late    []jaygw.Command
	catalog uint64
	flows   int
	granted int
	refused int
}

// restoredCopy returns a registrar with the state that a replica restores from a snapshot.
func (c *grantChecker) restoredCopy() *registrar.Registrar {
	data, err := encoder.Marshal(c.state.Snapshot())
	require.NoError(c.rt, err)
	state := &registrar.State{}
	require.NoError(c.rt, encoder.Unmarshal(data, state))
	r := registrar.New(func(domain string) bool { return c.out[domain] })
	r.Restore(state)
	return r
}

// commit applies a command. A decision that is applied to the state that it was made from must not be refused.
func (c *grantChecker) commit(command jaygw.Command, fresh bool) {
	if command.StartRuns == nil {
		c.apply(&command)
		return
	}
	now := jaygw.TimeOf(c.now)
	copied := c.restoredCopy()
	results := c.state.StartRuns(*command.StartRuns, now).Results
	require.Equal(c.rt, results, copied.StartRuns(*command.StartRuns, now).Results, "the restored state differs")
	for i, g := range command.StartRuns.Grants {
		if results[i].Code != "" {
			c.refused++
			require.False(c.rt, fresh, "%s on %s: %s", g.Run.Task, g.VM, results[i].Detail)
			continue
		}
		c.granted++
		c.checkLimits(g)
	}
}

func (c *grantChecker) checkLimits(g jaygw.RunGrant) {
	profile := c.state.Session(g.VM).Profile
	w := c.state.Workflow(g.Run.Task.Workflow)
	step := &w.Spec.Steps[g.Run.Task.Step]
	taken, same := jaygw.Resources{}, 0
	c.state.ForEachPlacement(g.VM, func(p *registrar.Placement) {
		run, ok := c.state.PlacedRun(p)
		require.True(c.rt, ok)
		taken = taken.Add(run.Step.Reserved())
		if key := p.Run.Task; key.Workflow == g.Run.Task.Workflow && key.Step == g.Run.Task.Step {
			same++
		}
	})
	require.True(c.rt, taken.Fits(profile.Size), "%s has %v, taken %v", g.VM, profile.Size, taken)
	require.True(c.rt, step.MaxPerVM == 0 || same <= step.MaxPerVM)
	require.True(c.rt, step.Label == "" || slices.Contains(profile.Labels, step.Label))
	require.False(c.rt, c.out[c.workers[g.VM].Domain], "the domain of %s is out", g.VM)
	if s := w.Occurrences[0].Steps[g.Run.Task.Step]; step.Gang {
		require.Equal(c.rt, len(s.Tasks), s.Held, "a part of a gang")
	}
}

func (c *grantChecker) vm() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.rt, "vm")
}

func (c *grantChecker) number(low, high int) int {
	return rapid.IntRange(low, high).Draw(c.rt, "number")
}

func (c *grantChecker) pollVM() {
	vm := c.vm()
	if state := c.table.vms[vm]; state != nil && state.expiring {
		return
	}
	var ended []jaygw.EndedRun
	var runs []jaygw.ReportedRun
	placed := c.placed(vm)
	slices.SortFunc(placed, registrar.CompareRuns)
	for _, run := range placed {
		switch c.number(0, 5) {
		case 0:
			ended = append(ended, jaygw.EndedRun{Run: run, Outcome: jaygw.RunDone})
		case 1:
			ended = append(ended, jaygw.EndedRun{Run: run, Outcome: jaygw.RunFailed})
		case 2:
			ended = append(ended, jaygw.EndedRun{Run: run, Outcome: jaygw.RunWorkerLost})
		default:
			runs = append(runs, jaygw.ReportedRun{Run: run})
		}
	}
	worker := c.workers[vm]
	c.poll(vm, func(request *jaygw.PollRequest) {
		request.Process, request.Worker, request.Ended, request.Runs = c.process[vm], &worker, ended, runs
		request.RunsUnknown = c.number(0, 1) == 0
	})
}

func (c *grantChecker) changeWorker() {
	vm := c.vm()
	w := c.workers[vm]
	switch c.number(0, 4) {
	case 0:
		w.Service = rapid.SampledFrom([]string{"s", "other"}).Draw(c.rt, "service")
	case 1:
		w.Size.CPU = jaygw.MilliCores(c.number(2, 8)) * jaygw.Core
	case 2:
		w.Labels = rapid.SampledFrom([][]string{nil, {"ssd"}, {"r1", "ssd"}}).Draw(c.rt, "labels")
	case 3:
		w.Incarnation.StartTime++
		c.process[vm] += uint64(c.number(0, 1))
	case 4:
		c.process[vm]++
	}
	c.workers[vm] = w
}

func (c *grantChecker) submitFlow() {
	c.flows++
	var steps []jaygw.Step
	for i := range c.number(1, 3) {
		s := jaygw.Step{
			Tasks: c.number(1, 4), MaxPerVM: c.number(0, 2), Gang: c.number(0, 2) == 0, Spare: c.number(0, 2) == 0, RunTime: time.Second,
			Size:  jaygw.Resources{CPU: jaygw.MilliCores(c.number(0, 5)) * jaygw.Core, Memory: jaygw.Bytes(c.number(0, 4)) * jaygw.GB, Accelerators: int64(c.number(0, 8) / 8)},
			Label: rapid.SampledFrom([]string{"", "", "ssd"}).Draw(c.rt, "label"),
		}
		if i > 0 && c.number(0, 1) == 0 {
			s.After = []int{i - 1}
		}
		steps = append(steps, s)
	}
	c.submit(fmt.Sprintf("w%d", c.flows), steps...)
}

func (c *grantChecker) actions() map[string]func(*rapid.T) {
	with := func(do func()) func(*rapid.T) { return func(rt *rapid.T) { c.rt = rt; do() } }
	decide := func() []jaygw.Command { return c.table.decide(c.state, c.out, c.now, jaygw.TimeOf(c.now)) }
	return map[string]func(*rapid.T){
		"wait":   with(func() { c.now = c.now.Add(time.Duration(c.number(1, 700)) * time.Millisecond) }),
		"poll":   with(c.pollVM),
		"poll 2": with(c.pollVM),
		"poll 3": with(c.pollVM),
		"worker": with(c.changeWorker),
		"submit": with(c.submitFlow),
		"cancel": with(func() {
			if id := fmt.Sprintf("w%d", c.number(0, max(0, c.flows))); c.state.Workflow(id) != nil {
				c.state.Cancel(jaygw.CancelWorkflow{Host: "h", Path: "/q/" + id}, jaygw.TimeOf(c.now))
			}
		}),
		"stop": with(func() {
			vm := c.vm()
			placed := c.placed(vm)
			slices.SortFunc(placed, registrar.CompareRuns)
			if len(placed) > 0 {
				stops := []jaygw.StoppedRun{{Run: placed[c.number(0, len(placed)-1)], VM: vm}}
				c.commit(jaygw.Command{StopRuns: &jaygw.StopRuns{Stops: stops}}, true)
			}
		}),
		"domain": with(func() { c.out["d"] = c.number(0, 3) == 0 }),
		"catalog": with(func() {
			c.catalog++
			c.state.PutCatalog(jaygw.PutCatalog{Catalog: jaygw.Catalog{
				Number: c.catalog, Services: []jaygw.PoolSpec{{Name: "s"}, {Name: "other"}},
				Queues: []jaygw.Queue{{
					Name: "q", Host: "h", Prefix: "/q/", Service: rapid.SampledFrom([]string{"s", "s", "other"}).Draw(c.rt, "pool"),
					MaxAttempts: 3, Timeout: time.Second, Stretch: 2,
				}},
			}})
		}),
		"decide": with(func() {
			for _, command := range decide() {
				c.commit(command, true)
			}
		}),
		"decide, committed late": with(func() { c.late = append(c.late, decide()...) }),
		"commit": with(func() {
			for _, command := range c.late {
				c.commit(command, false)
			}
			c.late = nil
		}),
	}
}

// reduceChecks divides the number of checks during a test whose checks take long.
func reduceChecks(t *testing.T, divisor int) {
	checks := flag.Lookup("rapid.checks").Value.String()
	number, err := strconv.Atoi(checks)
	require.NoError(t, err)
	require.NoError(t, flag.Set("rapid.checks", strconv.Itoa(max(1, number/divisor))))
	t.Cleanup(func() { require.NoError(t, flag.Set("rapid.checks", checks)) })
}

// TestDecisionFitsItsState guards against a grant that the allocator makes and that the control state refuses each
// time, against limits that a late decision breaks, and against replicas that differ after a restore.
func TestDecisionFitsItsState(t *testing.T) {
	granted, refused := 0, 0
	reduceChecks(t, 10)
	rapid.Check(t, func(rt *rapid.T) {
		c := &grantChecker{harness: newHarness(t), rt: rt, workers: map[string]jaygw.PoolWorker{}, process: map[string]uint64{}, catalog: 1}
		for _, vm := range []string{"a", "b", "c"} {
			c.process[vm] = 1
			c.workers[vm] = jaygw.PoolWorker{
				Incarnation: jaygw.WorkerIncarnation{Name: vm, StartTime: 1}, Service: "s", Domain: "d",
				Size: jaygw.Resources{CPU: 8 * jaygw.Core, Memory: 8 * jaygw.GB, Accelerators: 1},
			}
		}
		rt.Repeat(c.actions())
		granted, refused = granted+c.granted, refused+c.refused
	})
	t.Logf("%d grants accepted, %d late ones refused", granted, refused)
}
