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

// prepare creates a state in which most commands succeed.
func (h *harness) prepare() {
	quota := jaygw.Resources{CPU: 6, Memory: 12, Accelerators: 2}
	one := jaygw.Resources{CPU: 1, Memory: 1}
	h.apply(jaygw.Command{Submit: &jaygw.SubmitDocument{Digest: "1p", Document: jaygw.Document{
		Environment: "print", Number: 1, Teams: []jaygw.TeamSpec{{Name: "x", Quota: quota}, {Name: "y", Quota: quota}},
		Services: []jaygw.ServiceSpec{{Name: "s", Team: "x", Replicas: 1, Resources: one}},
		Jobs:     []jaygw.JobSpec{{Name: "j", Team: "y", Tasks: 2, Resources: one, MaxFailures: 2}},
	}}})
	h.apply(jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: "1p"}})
	for _, vm := range []string{"v1", "v2"} {
		h.apply(jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
			Name: vm, Domain: "a", Incarnation: 1, Size: jaygw.Resources{CPU: 3, Memory: 4, Accelerators: 1},
		}}})
	}
}

// command draws a command. Half of the drawn names refer to objects in the state, so that
// most commands have an effect.
func (h *harness) command() jaygw.Command {
	generators := []func() jaygw.Command{
		h.submit, h.promote, h.setDomain, h.announce, h.expire, h.removeVM, h.submitJob, h.cancelJob,
		h.submit, h.promote, h.submitJob, h.submitJob, h.claim, h.settle,
		h.grant, h.grant, h.grant, h.grant, h.grant, h.grant, h.grant,
		h.report, h.report, h.report, h.report, h.report, h.report, h.report,
		h.evict, h.resize, h.claim, h.settle, h.claim, h.settle, h.claim, h.settle,
	}
	c := generators[rapid.IntRange(0, len(generators)-1).Draw(h.t, "kind")]()
	if rapid.IntRange(0, 4).Draw(h.t, "with client") == 0 {
		c.Client = h.pick("client", "c1", "c2", "c3")
		c.Sequence = rapid.SampledFrom([]uint64{1, 2, 3, 70, 140}).Draw(h.t, "sequence")
	}
	return c
}

func (h *harness) pick(label string, names ...string) string {
	return rapid.SampledFrom(names).Draw(h.t, label)
}

func (h *harness) size(label string) jaygw.Resources {
	return jaygw.Resources{
		CPU:          jaygw.MilliCores(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 2, 2, 4, -1}).Draw(h.t, label)),
		Memory:       jaygw.Bytes(rapid.IntRange(1, 2).Draw(h.t, label)),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 0, 0, 0, 1, math.MaxInt64}).Draw(h.t, label),
	}
}

func (h *harness) submit() jaygw.Command {
	number := rapid.Uint64Range(1, 12).Draw(h.t, "number")
	d := jaygw.Document{Environment: "print", Number: number, Domains: []jaygw.DomainSpec{{Name: "a", Region: "r"}}}
	for _, team := range []string{"x", "y"} {
		if rapid.IntRange(0, 3).Draw(h.t, "team") > 0 {
			d.Teams = append(d.Teams, jaygw.TeamSpec{Name: team, Quota: jaygw.Resources{CPU: 6, Memory: 12, Accelerators: 2}})
		}
	}
	if rapid.Bool().Draw(h.t, "service") {
		d.Services = []jaygw.ServiceSpec{{
			Name: h.pick("service", "s", "j"), Team: h.pick("team", "x", "y"),
			Replicas: rapid.IntRange(0, 3).Draw(h.t, "replicas"), Resources: jaygw.Resources{CPU: 1, Memory: 1},
		}}
	}
	if rapid.Bool().Draw(h.t, "job") {
		d.Jobs = []jaygw.JobSpec{h.job()}
	}
	d.Limits.CommitBelowDeclared = rapid.Bool().Draw(h.t, "below")
	digest := fmt.Sprintf("%d%s", number, h.pick("digest", "p", "q"))
	return jaygw.Command{Submit: &jaygw.SubmitDocument{Document: d, Digest: digest}}
}

func (h *harness) promote() jaygw.Command {
	digests := []string{"1p", "2q"}
	if e, ok := h.machines[0].State().Environments["print"]; ok {
		for _, number := range slices.Sorted(maps.Keys(e.Trials)) {
			digests = append(digests, e.Trials[number].Digest, e.Trials[number].Digest)
		}
	}
	return jaygw.Command{Promote: &jaygw.PromoteDocument{Environment: "print", Digest: h.pick("digest", digests...)}}
}

func (h *harness) setDomain() jaygw.Command {
	return jaygw.Command{SetDomain: &jaygw.SetDomain{Name: h.pick("domain", "a", "b", "c"), Out: rapid.Bool().Draw(h.t, "out")}}
}

func (h *harness) vm() string { return h.pick("vm", "v1", "v2", "v3", "v4") }

func (h *harness) incarnation() jaygw.Incarnation {
	return jaygw.Incarnation(rapid.SampledFrom([]int{1, 1, 1, 1, 2, 3}).Draw(h.t, "incarnation"))
}

// incarnationOf draws an incarnation, in most cases the present one of the VM.
func (h *harness) incarnationOf(vm string) jaygw.Incarnation {
	if known, ok := h.machines[0].State().VMs[vm]; ok && rapid.IntRange(0, 9).Draw(h.t, "present") > 0 {
		return known.Incarnation
	}
	return h.incarnation()
}

func (h *harness) announce() jaygw.Command {
	return jaygw.Command{AnnounceVM: &jaygw.AnnounceVM{VM: jaygw.VM{
		Name: h.vm(), Domain: h.pick("domain", "a", "a", "b", "c", "d"), Incarnation: h.incarnation(),
		Size:    jaygw.Resources{CPU: jaygw.MilliCores(rapid.IntRange(2, 5).Draw(h.t, "size")), Memory: 4, Accelerators: 1},
		Leaving: rapid.IntRange(0, 5).Draw(h.t, "leaving") == 0,
	}}}
}

func (h *harness) expire() jaygw.Command {
	vm := h.vm()
	kinds := rapid.SampledFrom([][]jaygw.TaskKind{nil, {jaygw.BatchTask}, {jaygw.ServiceTask}}).Draw(h.t, "kinds")
	return jaygw.Command{ExpireVM: &jaygw.ExpireVM{Name: vm, Incarnation: h.incarnationOf(vm), Kinds: kinds}}
}

func (h *harness) removeVM() jaygw.Command {
	return jaygw.Command{RemoveVM: &jaygw.RemoveVM{Name: h.vm()}}
}

func (h *harness) job() jaygw.JobSpec {
	return jaygw.JobSpec{
		Name: h.pick("job", "j", "k", "l", "s"), Environment: "print", Team: h.pick("team", "x", "y"),
		Tasks:       rapid.SampledFrom([]int{1, 1, 2, 2, 3, math.MaxInt}).Draw(h.t, "tasks"),
		Resources:   h.size("job size"),
		MaxFailures: rapid.IntRange(0, 2).Draw(h.t, "failures"),
		Payload:     h.pick("payload", "", "plate", "plates"),
	}
}

func (h *harness) submitJob() jaygw.Command {
	return jaygw.Command{SubmitJob: &jaygw.SubmitJob{Spec: h.job()}}
}

func (h *harness) cancelJob() jaygw.Command {
	return jaygw.Command{CancelJob: &jaygw.CancelJob{Environment: "print", Name: h.pick("job", "j", "k", "l", "s")}}
}

// attempt draws an attempt, in most cases the latest one of a known task, and a VM.
func (h *harness) attempt() (jaygw.Attempt, string) {
	state := h.machines[0].State()
	ids := slices.Sorted(maps.Keys(state.Tasks))
	if len(h.granted) > 0 && rapid.IntRange(0, 5).Draw(h.t, "earlier") == 0 {
		earlier := rapid.SampledFrom(h.granted).Draw(h.t, "attempt")
		return earlier.attempt, earlier.vm
	}
	if len(ids) == 0 || rapid.IntRange(0, 9).Draw(h.t, "unknown") == 0 {
		return jaygw.Attempt{Task: "print/j/0", Epoch: jaygw.Epoch(rapid.IntRange(0, 3).Draw(h.t, "epoch"))}, h.vm()
	}
	task := state.Tasks[rapid.SampledFrom(ids).Draw(h.t, "task")]
	vm := task.LastVM
	if rapid.IntRange(0, 9).Draw(h.t, "other vm") == 0 {
		vm = h.vm()
	}
	return jaygw.Attempt{Task: task.ID, Epoch: task.Epoch - jaygw.Epoch(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(h.t, "old"))}, vm
}

// waiting returns the latest attempts of all waiting tasks.
func (h *harness) waiting() []jaygw.Attempt {
	state := h.machines[0].State()
	var attempts []jaygw.Attempt
	for _, id := range slices.Sorted(maps.Keys(state.Tasks)) {
		if task := state.Tasks[id]; task.State == jaygw.Waiting {
			attempts = append(attempts, task.Attempt())
		}
	}
	return attempts
}

func (h *harness) grant() jaygw.Command {
	attempt, _ := h.attempt()
	if waiting := h.waiting(); len(waiting) > 0 && rapid.IntRange(0, 4).Draw(h.t, "waiting") > 0 {
		attempt = rapid.SampledFrom(waiting).Draw(h.t, "waiting task")
	}
	reserve := h.size("reserve")
	if task, ok := h.machines[0].State().Tasks[attempt.Task]; ok && rapid.IntRange(0, 5).Draw(h.t, "declared") > 0 {
		reserve = task.Declared
	}
	vm := h.vm()
	return jaygw.Command{Grant: &jaygw.GrantTasks{Grants: []jaygw.Grant{
		{Task: attempt.Task, After: attempt.Epoch, VM: vm, Incarnation: h.incarnationOf(vm), Reserve: reserve},
	}}}
}

func (h *harness) report() jaygw.Command {
	attempt, vm := h.attempt()
	kind := rapid.SampledFrom([]jaygw.ReportKind{
		jaygw.Started, jaygw.Started, jaygw.Checkpointed, jaygw.Completed, jaygw.Completed, jaygw.AttemptFailed,
		jaygw.Stopped, jaygw.NotStarted, "other",
	}).Draw(h.t, "report")
	report := jaygw.Report{Attempt: attempt, Kind: kind}
	return jaygw.Command{Report: &jaygw.ReportTasks{VM: vm, Incarnation: h.incarnationOf(vm), Reports: []jaygw.Report{report, report}}}
}

func (h *harness) evict() jaygw.Command {
	attempt, _ := h.attempt()
	return jaygw.Command{Evict: &jaygw.EvictTasks{Evictions: []jaygw.Eviction{{Attempt: attempt}}}}
}

func (h *harness) resize() jaygw.Command {
	attempt, _ := h.attempt()
	return jaygw.Command{Resize: &jaygw.ResizeTasks{Resizes: []jaygw.Resize{{Attempt: attempt, Reserve: h.size("resize")}}}}
}

func (h *harness) claim() jaygw.Command {
	return jaygw.Command{Claim: &jaygw.ClaimKeys{Claims: []jaygw.KeyClaim{{
		Key: h.pick("key", "k1", "k2", "k3"), Digest: h.pick("digest", "p", "q"), Request: h.pick("request", "r1", "r2"),
		Expires: h.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(h.t, "expires")) * time.Hour),
	}}}}
}

func (h *harness) settle() jaygw.Command {
	outcome := rapid.SampledFrom([]jaygw.KeyOutcome{
		jaygw.KeyCompleted, jaygw.KeyUnknown, jaygw.KeyNotExecuted, jaygw.KeyPending,
	}).Draw(h.t, "outcome")
	return jaygw.Command{Settle: &jaygw.SettleKeys{Settlements: []jaygw.Settlement{{
		Key: h.pick("key", "k1", "k2", "k3"), Request: h.pick("request", "r1", "r2"), Outcome: outcome,
		Response: &jaygw.StoredResponse{Status: 200, Body: make([]byte, rapid.IntRange(0, 800).Draw(h.t, "body"))},
	}}}}
}
