package placer_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	seeder.FixSeed(200)
	os.Exit(m.Run())
}

func size(t *rapid.T, label string, limit int) jaygw.Resources {
	return jaygw.Resources{
		CPU:          jaygw.MilliCores(rapid.IntRange(0, limit).Draw(t, label+" cpu")),
		Memory:       jaygw.Bytes(rapid.IntRange(0, limit).Draw(t, label+" memory")),
		Accelerators: int64(rapid.IntRange(0, 2).Draw(t, label+" accelerators")),
	}
}

// TestFindMatchesFullScan guards against an index that differs from a scan of all VMs after any
// sequence of changes: work would wait although a VM is free, or a decision would overcommit a VM.
func TestFindMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := placer.NewIndex()
		vms := map[string]*jaygw.VM{}
		unresponsive, quarantined, out := map[string]bool{}, map[string]bool{}, map[string]bool{}
		planned := map[string]jaygw.Resources{}
		domains := rapid.SampledFrom([]string{"a", "b", "c"})
		names := rapid.Custom(func(t *rapid.T) string { return fmt.Sprintf("vm-%d", rapid.IntRange(0, 20).Draw(t, "vm")) })
		free := func(vm *jaygw.VM) jaygw.Resources { return vm.Size.Sub(vm.Committed).Sub(planned[vm.Name]) }
		resetPlan := func() {
			x.ResetPlan()
			clear(planned)
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) {
				name := names.Draw(t, "name")
				vm := &jaygw.VM{Name: name, Domain: domains.Draw(t, "domain"), Size: size(t, "size", 10)}
				vm.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
				vm.Committed = size(t, "committed", 5).Min(vm.Size)
				if old := vms[name]; old != nil && old.Domain != vm.Domain {
					resetPlan()
					x.RemoveVM(name)
				}
				vms[name] = vm
				x.SetVM(vm)
				x.SetUnresponsive(name, unresponsive[name])
				x.SetQuarantined(name, quarantined[name])
			},
			"remove": func(t *rapid.T) {
				name := names.Draw(t, "name")
				resetPlan()
				x.RemoveVM(name)
				delete(vms, name)
			},
			"stop or resume contact": func(t *rapid.T) {
				name := names.Draw(t, "name")
				unresponsive[name] = !unresponsive[name]
				x.SetUnresponsive(name, unresponsive[name])
			},
			"enter or leave quarantine": func(t *rapid.T) {
				name := names.Draw(t, "name")
				quarantined[name] = !quarantined[name]
				x.SetQuarantined(name, quarantined[name])
			},
			"take out or return": func(t *rapid.T) {
				name := domains.Draw(t, "domain")
				out[name] = !out[name]
				x.SetDomain(&jaygw.FailureDomain{Name: name, Out: out[name]})
			},
			"plan": func(t *rapid.T) {
				if n := x.Find(placer.Request{Size: size(t, "task", 5), Seed: rapid.Uint64().Draw(t, "seed")}); n != nil {
					used := size(t, "used", 3).Min(n.Free())
					planned[n.VM.Name] = planned[n.VM.Name].Add(used)
					x.Plan(n, used)
				}
			},
			"reset the plan": func(*rapid.T) { resetPlan() },
			"": func(t *rapid.T) {
				r := placer.Request{Size: size(t, "requested", 10), Seed: rapid.Uint64().Draw(t, "seed")}
				if rapid.Bool().Draw(t, "limited") {
					r.Domains = []string{domains.Draw(t, "allowed")}
				}
				fits, total := map[string]bool{}, jaygw.Resources{}
				for name, vm := range vms {
					if !vm.Leaving && !out[vm.Domain] {
						total = total.Add(vm.Size)
					}
					if !vm.Leaving && !out[vm.Domain] && !unresponsive[name] && !quarantined[name] &&
						r.Size.Fits(free(vm)) && placer.Allows(r.Domains, vm.Domain) {
						fits[name] = true
					}
				}
				found := x.Find(r)
				require.Equal(t, len(fits) > 0, found != nil)
				if found != nil {
					require.True(t, fits[found.VM.Name], found.VM.Name)
				}
				require.Equal(t, total, x.Total())
			},
		})
	})
}

// TestReplicasAreSpread guards against replicas of a service that share a domain, rack or VM while
// others are free: a single failure would stop all of them.
func TestReplicasAreSpread(t *testing.T) {
	x := placer.NewIndex()
	for i := range 24 {
		x.SetVM(&jaygw.VM{
			Name: fmt.Sprintf("vm-%02d", i), Domain: fmt.Sprint(i % 3), Rack: fmt.Sprint(i % 6),
			Size: jaygw.Resources{CPU: 8, Memory: 8},
		})
	}
	domains, racks, vms := map[string]int{}, map[string]int{}, map[string]int{}
	for i := range 6 {
		task := &jaygw.Task{
			ID: jaygw.TaskID(fmt.Sprint(i)), Environment: "e", Owner: "s", Kind: jaygw.ServiceTask, State: jaygw.Running,
		}
		n := x.Find(placer.Request{
			Owner: "e/s", Size: jaygw.Resources{CPU: 1, Memory: 1}, Spread: true, Seed: placer.Seed(task.ID, 1),
		})
		task.VM = n.VM.Name
		x.AddTask(task)
		domains[n.VM.Domain]++
		racks[n.VM.Rack]++
		vms[n.VM.Name]++
	}
	require.Equal(t, map[string]int{"0": 2, "1": 2, "2": 2}, domains)
	require.Len(t, racks, 6)
	require.Len(t, vms, 6)
}

// TestQueueReturnsTasksInOrder guards against tasks of a team that are not returned oldest first,
// are returned before their backoff has ended or after their removal, or get lost.
func TestQueueReturnsTasksInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := placer.NewQueue()
		waiting := map[jaygw.TaskID]*jaygw.Task{}
		now := jaygw.Time(0)
		number := rapid.IntRange(0, 30)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				n := number.Draw(t, "task")
				task := &jaygw.Task{
					ID: jaygw.TaskID(fmt.Sprintf("%02d", n)), Environment: "e", Owner: fmt.Sprint(n % 5), Team: fmt.Sprint(n % 2),
					Class: jaygw.Bulk, Submitted: jaygw.Time(n % 5), NotBefore: jaygw.Time(rapid.IntRange(0, 20).Draw(t, "not before")),
				}
				waiting[task.ID] = task
				q.Add(task)
			},
			"remove": func(t *rapid.T) {
				id := jaygw.TaskID(fmt.Sprintf("%02d", number.Draw(t, "task")))
				delete(waiting, id)
				q.Remove(id)
			},
			"time passes": func(t *rapid.T) {
				now += jaygw.Time(rapid.IntRange(1, 5).Draw(t, "time"))
			},
			"": func(t *rapid.T) {
				q.Advance(now)
				want := map[string][]jaygw.TaskID{}
				for submitted := range jaygw.Time(5) {
					for n := range 31 {
						task := waiting[jaygw.TaskID(fmt.Sprintf("%02d", n))]
						if task != nil && task.Submitted == submitted && task.NotBefore <= now {
							want["e/"+task.Team] = append(want["e/"+task.Team], task.ID)
						}
					}
				}
				got := map[string][]jaygw.TaskID{}
				var taken []placer.Taken
				for _, team := range q.Teams(2) {
					for g := team.Group(); g != nil; g = team.Group() {
						got[team.Key] = append(got[team.Key], g.Head().ID)
						taken = append(taken, g.Take())
					}
				}
				q.PutBack(taken)
				require.Equal(t, want, got)
				require.Equal(t, len(waiting), q.Len())
			},
		})
	})
}
