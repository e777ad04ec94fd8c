package applier_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"pgregory.net/rapid"
)

// prepare brings the machines into a state in which most commands succeed.
func (tr *trial) prepare() {
	quota := jaygw.Resources{CPU: 6, Memory: 12, Accelerators: 2}
	one := jaygw.Resources{CPU: 1, Memory: 1}
	tr.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Digest: "1p", Document: jaygw.Document{
		Environment: "print", Number: 1, Teams: []jaygw.TeamSpec{{Name: "x", Quota: quota}, {Name: "y", Quota: quota}},
		Services: []jaygw.ServiceSpec{{Name: "s", Team: "x", Replicas: 1, Resources: one}},
		Jobs:     []jaygw.JobSpec{{Name: "j", Team: "y", Tasks: 2, Resources: one, MaxFailures: 2}},
	}}})
	tr.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: "1p"}})
	for _, vm := range []string{"v1", "v2"} {
		tr.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
			Name: vm, Domain: "a", Incarnation: 1, Size: jaygw.Resources{CPU: 3, Memory: 4, Accelerators: 1},
		}}})
	}
}

// command draws a command. Half of the drawn names refer to what the state
// holds, so that most commands have an effect.
func (tr *trial) command() jaygw.Command {
	makers := []func() jaygw.Command{
		tr.submit, tr.promote, tr.setDomain, tr.announce, tr.expire, tr.removeVM, tr.submitJob, tr.cancelJob,
		tr.submit, tr.promote, tr.submitJob, tr.submitJob, tr.claim, tr.settle,
		tr.grant, tr.grant, tr.grant, tr.grant, tr.grant, tr.grant, tr.grant,
		tr.report, tr.report, tr.report, tr.report, tr.report, tr.report, tr.report,
		tr.evict, tr.resize, tr.claim, tr.settle, tr.claim, tr.settle, tr.claim, tr.settle,
	}
	c := makers[rapid.IntRange(0, len(makers)-1).Draw(tr.t, "kind")]()
	if rapid.IntRange(0, 4).Draw(tr.t, "with client") == 0 {
		c.Client = tr.pick("client", "c1", "c2", "c3")
		c.Sequence = rapid.SampledFrom([]uint64{1, 2, 3, 70, 140}).Draw(tr.t, "sequence")
	}
	return c
}

func (tr *trial) pick(label string, names ...string) string {
	return rapid.SampledFrom(names).Draw(tr.t, label)
}

func (tr *trial) size(label string) jaygw.Resources {
	return jaygw.Resources{
		CPU:          jaygw.MilliCores(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 2, 2, 4, -1}).Draw(tr.t, label)),
		Memory:       jaygw.Bytes(rapid.IntRange(1, 2).Draw(tr.t, label)),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 0, 1, math.MaxInt64}).Draw(tr.t, label),
	}
}

func (tr *trial) submit() jaygw.Command {
	number := rapid.Uint64Range(1, 12).Draw(tr.t, "number")
	d := jaygw.Document{Environment: "print", Number: number, Domains: []jaygw.DomainSpec{{Name: "a", Region: "r"}}}
	for _, team := range []string{"x", "y"} {
		if rapid.IntRange(0, 3).Draw(tr.t, "team") > 0 {
			d.Teams = append(d.Teams, jaygw.TeamSpec{Name: team, Quota: jaygw.Resources{CPU: 6, Memory: 12, Accelerators: 2}})
		}
	}
	if rapid.Bool().Draw(tr.t, "service") {
		d.Services = []jaygw.ServiceSpec{{
			Name: tr.pick("service", "s", "j"), Team: tr.pick("team", "x", "y"),
			Replicas: rapid.IntRange(0, 3).Draw(tr.t, "replicas"), Resources: jaygw.Resources{CPU: 1, Memory: 1},
		}}
	}
	if rapid.Bool().Draw(tr.t, "job") {
		d.Jobs = []jaygw.JobSpec{tr.job()}
	}
	d.Limits.CommitBelowDeclared = rapid.Bool().Draw(tr.t, "below")
	digest := fmt.Sprintf("%d%s", number, tr.pick("digest", "p", "q"))
	return jaygw.Command{Submit: &jaygw.SubmitDocument{Document: d, Digest: digest}}
}

func (tr *trial) promote() jaygw.Command {
	digests := []string{"1p", "2q"}
	if e, ok := tr.machines[0].State().Environments["print"]; ok {
		for _, number := range slices.Sorted(maps.Keys(e.Trials)) {
			digests = append(digests, e.Trials[number].Digest, e.Trials[number].Digest)
		}
	}
	return jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: tr.pick("digest", digests...)}}
}

func (tr *trial) setDomain() jaygw.Command {
	return jaygw.Command{SetDomain: &jaygw.SetDomain{Name: tr.pick("domain", "a", "b", "c"), Out: rapid.Bool().Draw(tr.t, "out")}}
}

func (tr *trial) vm() string { return tr.pick("vm", "v1", "v2", "v3", "v4") }

func (tr *trial) incarnation() jaygw.Incarnation {
	return jaygw.Incarnation(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3}).Draw(tr.t, "incarnation"))
}

// incarnationOf returns mostly the VM's present incarnation.
func (tr *trial) incarnationOf(vm string) jaygw.Incarnation {
	if known, ok := tr.machines[0].State().VMs[vm]; ok && rapid.IntRange(0, 9).Draw(tr.t, "present") > 0 {
		return known.Incarnation
	}
	return tr.incarnation()
}

func (tr *trial) announce() jaygw.Command {
	return jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
		Name: tr.vm(), Domain: tr.pick("domain", "a", "a", "b", "c", "d"), Incarnation: tr.incarnation(),
		Size:    jaygw.Resources{CPU: jaygw.MilliCores(rapid.IntRange(2, 5).Draw(tr.t, "size")), Memory: 4, Accelerators: 1},
		Leaving: rapid.IntRange(0, 5).Draw(tr.t, "leaving") == 0,
	}}}
}

func (tr *trial) expire() jaygw.Command {
	vm := tr.vm()
	kinds := rapid.SampledFrom([][]jaygw.TaskKind{nil, {jaygw.BatchTask}, {jaygw.ServiceTask}}).Draw(tr.t, "kinds")
	return jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: vm, Incarnation: tr.incarnationOf(vm), Kinds: kinds}}
}

func (tr *trial) removeVM() jaygw.Command {
	return jaygw.Command{RemoveVM: &jaygw.RemoveVM{Name: tr.vm()}}
}

func (tr *trial) job() jaygw.JobSpec {
	return jaygw.JobSpec{
		Name: tr.pick("job", "j", "k", "l", "s"), Environment: "print", Team: tr.pick("team", "x", "y"),
		Tasks:       rapid.SampledFrom([]int{1, 1, 2, 2, 3, math.MaxInt}).Draw(tr.t, "tasks"),
		Resources:   tr.size("job size"),
		MaxFailures: rapid.IntRange(0, 2).Draw(tr.t, "failures"),
		Payload:     tr.pick("payload", "", "plate", "plates"),
	}
}

func (tr *trial) submitJob() jaygw.Command {
	return jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: tr.job()}}
}

func (tr *trial) cancelJob() jaygw.Command {
	return jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "print", Name: tr.pick("job", "j", "k", "l", "s")}}
}

// attempt draws an attempt, mostly the latest one of a known task.
func (tr *trial) attempt() (jaygw.Attempt, string) {
	state := tr.machines[0].State()
	ids := slices.Sorted(maps.Keys(state.Tasks))
	if len(tr.granted) > 0 && rapid.IntRange(0, 5).Draw(tr.t, "earlier") == 0 {
		earlier := rapid.SampledFrom(tr.granted).Draw(tr.t, "attempt")
		return earlier.attempt, earlier.vm
	}
	if len(ids) == 0 || rapid.IntRange(0, 9).Draw(tr.t, "unknown") == 0 {
		return jaygw.Attempt{Task: "print/j/0", Epoch: jaygw.Epoch(rapid.IntRange(0, 3).Draw(tr.t, "epoch"))}, tr.vm()
	}
	task := state.Tasks[rapid.SampledFrom(ids).Draw(tr.t, "task")]
	vm := task.LastVM
	if rapid.IntRange(0, 9).Draw(tr.t, "other vm") == 0 {
		vm = tr.vm()
	}
	return jaygw.Attempt{Task: task.ID, Epoch: task.Epoch - jaygw.Epoch(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(tr.t, "old"))}, vm
}

// waiting returns the last attempts of the tasks that wait.
func (tr *trial) waiting() []jaygw.Attempt {
	state := tr.machines[0].State()
	var attempts []jaygw.Attempt
	for _, id := range slices.Sorted(maps.Keys(state.Tasks)) {
		if task := state.Tasks[id]; task.State == jaygw.Waiting {
			attempts = append(attempts, task.Attempt())
		}
	}
	return attempts
}

func (tr *trial) grant() jaygw.Command {
	attempt, _ := tr.attempt()
	if waiting := tr.waiting(); len(waiting) > 0 && rapid.IntRange(0, 4).Draw(tr.t, "waiting") > 0 {
		attempt = rapid.SampledFrom(waiting).Draw(tr.t, "waiting task")
	}
	reserve := tr.size("reserve")
	if task, ok := tr.machines[0].State().Tasks[attempt.Task]; ok && rapid.IntRange(0, 5).Draw(tr.t, "declared") > 0 {
		reserve = task.Declared
	}
	vm := tr.vm()
	return jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{
		{Task: attempt.Task, After: attempt.Epoch, VM: vm, Incarnation: tr.incarnationOf(vm), Reserve: reserve},
	}}}
}

func (tr *trial) report() jaygw.Command {
	attempt, vm := tr.attempt()
	kind := rapid.SampledFrom([]jaygw.ReportKind{
		jaygw.Started, jaygw.Started, jaygw.Checkpointed, jaygw.Completed, jaygw.Completed, jaygw.AttemptFailed,
		jaygw.Stopped, jaygw.NotStarted, "other",
	}).Draw(tr.t, "report")
	report := jaygw.Report{Attempt: attempt, Kind: kind}
	return jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: tr.incarnationOf(vm), Reports: []jaygw.Report{report, report}}}
}

func (tr *trial) evict() jaygw.Command {
	attempt, _ := tr.attempt()
	return jaygw.Command{Evict: &jaygw.EvictTasks{Evictions: []jaygw.Eviction{{Attempt: attempt}}}}
}

func (tr *trial) resize() jaygw.Command {
	attempt, _ := tr.attempt()
	return jaygw.Command{Resize: &jaygw.ResizeTasks{Resizes: []jaygw.Resize{{Attempt: attempt, Reserve: tr.size("resize")}}}}
}

func (tr *trial) claim() jaygw.Command {
	return jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{
		Key: tr.pick("key", "k1", "k2", "k3"), Digest: tr.pick("digest", "p", "q"), Request: tr.pick("request", "r1", "r2"),
		Expires: tr.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(tr.t, "expires")) * time.Hour),
	}}}}
}

func (tr *trial) settle() jaygw.Command {
	outcome := rapid.SampledFrom([]jaygw.KeyOutcome{
		jaygw.KeyCompleted, jaygw.KeyUnknown, jaygw.KeyNotExecuted, jaygw.KeyPending,
	}).Draw(tr.t, "outcome")
	return jaygw.Command{Settle: &jaygw.SettleKeys{Settlements: []jaygw.Settlement{{
		Key: tr.pick("key", "k1", "k2", "k3"), Request: tr.pick("request", "r1", "r2"), Outcome: outcome,
		Response: &jaygw.StoredResponse{Status: 200, Body: make([]byte, rapid.IntRange(0, 800).Draw(tr.t, "body"))},
	}}}}
}
