package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// health tells bad workers from bad tasks by where failures happen.
	health struct {
		vms     map[string]*workerRecord
		owners  map[string]map[string]*tally // by owner, then VM
		last    map[jaygw.TaskID]string      // VM of a task's last failure
		failing map[string]bool              // VMs with failures that still count
		order   []string                     // VMs with a record, in the order of their check
	}

	// tally counts ends of attempts with decay.
	tally struct {
		failed, ended float64
		at            jaygw.Time
	}

	workerRecord struct {
		owners     map[string]*tally
		quarantine bool
		since      jaygw.Time // of the quarantine
		open       bool       // for one probe
		probe      jaygw.TaskID
		probeAt    jaygw.Time
		interval   time.Duration
	}
)

const (
	// failureHalfLife is the time after which a failure counts half.
	failureHalfLife = 5 * time.Minute

	// quarantineCharge is the number of failures that the tasks do not explain
	// after which a VM gets no more tasks.
	quarantineCharge = 2.5

	// quarantineRate is the share of failures on the VM that goes with it.
	quarantineRate = 0.5

	// riskPerFailure is added to a VM's score, where the load counts up to 1.
	riskPerFailure = 0.4

	// forgottenCharge is the charge below which a VM counts as sound.
	forgottenCharge = 0.05

	// sweptPerSecond bounds the cost of dropping old tallies.
	sweptPerSecond = 64

	// survival is how long an attempt has to run to count as started well.
	survival = 30 * time.Second

	firstProbe = 20 * time.Second
	lastProbe  = 10 * time.Minute

	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 30 * time.Second

	// maxLastFailures bounds the table of last failures.
	maxLastFailures = 100_000
)

// Backoff returns how long a task waits after a failure. The jitter follows from
// the attempt, so that every run gives the same time.
func Backoff(attempt jaygw.Attempt, failures int) time.Duration {
	full := min(firstBackoff<<min(failures, 10), lastBackoff)
	part := float64(placer.Seed(attempt.Task, attempt.Epoch)%1024) / 1024
	return full/2 + time.Duration(part*float64(full))
}

func newHealth() *health {
	return &health{
		vms: map[string]*workerRecord{}, owners: map[string]map[string]*tally{}, last: map[jaygw.TaskID]string{},
		failing: map[string]bool{},
	}
}

func (h *health) failed(vm, owner string, task jaygw.TaskID, now jaygw.Time) {
	if len(h.last) >= maxLastFailures {
		clear(h.last)
	}
	h.last[task] = vm
	h.tally(vm, owner).add(1, now)
	h.failing[vm] = true
	if r := h.vms[vm]; r.quarantine && r.probe == task {
		r.probe = ""
		r.interval = min(2*r.interval, lastProbe)
		r.probeAt = now.Add(r.interval)
	}
}

// succeeded counts a good end. One success of an attempt that began during the
// quarantine ends it.
func (h *health) succeeded(vm, owner string, began, now jaygw.Time) {
	r, known := h.vms[vm]
	if known && r.quarantine && began >= r.since {
		h.forget(vm)
	}
	h.tally(vm, owner).add(0, now)
}

func (h *health) tally(vm, owner string) *tally {
	r, ok := h.vms[vm]
	if !ok {
		r = &workerRecord{owners: map[string]*tally{}}
		h.vms[vm] = r
		h.order = append(h.order, vm)
	}
	t, ok := r.owners[owner]
	if !ok {
		t = &tally{}
		r.owners[owner] = t
		if h.owners[owner] == nil {
			h.owners[owner] = map[string]*tally{}
		}
		h.owners[owner][vm] = t
	}
	return t
}

func (t *tally) add(failed float64, now jaygw.Time) {
	t.fade(now)
	t.failed += failed
	t.ended++
}

func (t *tally) fade(now jaygw.Time) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		keep := math.Exp2(-float64(elapsed) / float64(failureHalfLife))
		t.failed *= keep
		t.ended *= keep
		t.at = now
	}
}

// charge returns the failures on a VM that its tasks do not explain, and the
// share of ends on it that were failures. A failure counts little for the VM if
// tasks of the same owner fail elsewhere as well.
func (h *health) charge(vm string, now jaygw.Time) (charge, rate float64) {
	r, ok := h.vms[vm]
	if !ok {
		return 0, 0
	}
	var failed, ended float64
	for _, owner := range sortedNames(r.owners) {
		t := r.owners[owner]
		t.fade(now)
		failed += t.failed
		ended += t.ended
		if t.failed == 0 {
			continue
		}
		elsewhere, all := 0.5, 1.0
		for _, other := range sortedNames(h.owners[owner]) {
			if other != vm {
				o := h.owners[owner][other]
				o.fade(now)
				elsewhere += o.failed
				all += o.ended
			}
		}
		charge += t.failed * (1 - elsewhere/all)
	}
	if ended > 0 {
		rate = failed / ended
	}
	return charge, rate
}

func (h *health) forget(vm string) {
	r, ok := h.vms[vm]
	if !ok {
		return
	}
	for owner := range r.owners {
		delete(h.owners[owner], vm)
		if len(h.owners[owner]) == 0 {
			delete(h.owners, owner)
		}
	}
	delete(h.vms, vm)
	delete(h.failing, vm)
	h.order = slices.DeleteFunc(h.order, func(other string) bool { return other == vm })
}

// sweep drops old tallies of a few VMs per call.
func (h *health) sweep(now jaygw.Time) {
	for range min(sweptPerSecond, len(h.order)) {
		vm := h.order[0]
		h.order = h.order[1:]
		if r, ok := h.vms[vm]; ok {
			if r.forgetOld(h, vm, now); h.vms[vm] != nil {
				h.order = append(h.order, vm)
			}
		}
	}
}

func (h *health) lastFailure(task jaygw.TaskID) string { return h.last[task] }

// probing reports whether the VM is in quarantine and open to one task.
func (h *health) probing(vm string) bool {
	r, ok := h.vms[vm]
	return ok && r.quarantine && r.open
}

// probed notes that a task was granted on the VM, and reports whether it is a
// probe, after which the VM is closed.
func (h *health) probed(vm string, task jaygw.TaskID, now jaygw.Time) bool {
	r, ok := h.vms[vm]
	if !ok || !r.quarantine {
		return false
	}
	r.open = false
	r.probe = task
	r.probeAt = now.Add(r.interval)
	return true
}

// barred reports whether the VM is in quarantine and not open to a probe.
func (h *health) barred(vm string) bool {
	r, ok := h.vms[vm]
	return ok && r.quarantine && !r.open
}

func (h *health) quarantined() int {
	count := 0
	for _, r := range h.vms {
		if r.quarantine {
			count++
		}
	}
	return count
}

// judge updates a VM's risk and puts it into quarantine, or out of it, after the
// end of an attempt.
func (s *Scheduler) judge(vm string, now jaygw.Time) {
	n := s.index.Node(vm)
	if n == nil || !s.health.failing[vm] && n.Risk == 0 && !s.health.barred(vm) {
		s.index.SetBarred(vm, false)
		return
	}
	charge, rate := s.health.charge(vm, now)
	n.Risk = riskPerFailure * charge
	r := s.health.vms[vm]
	if r != nil && !r.quarantine && charge >= quarantineCharge && rate >= quarantineRate &&
		s.health.quarantined() < s.quarantineLimit() {
		r.quarantine = true
		r.since = now
		r.interval = firstProbe
		r.probeAt = now.Add(firstProbe)
	}
	s.index.SetBarred(vm, s.health.barred(vm))
}

// quarantineLimit returns how many VMs may be in quarantine: the share that the
// documents allow, and at least one of three.
func (s *Scheduler) quarantineLimit() int {
	limit := s.index.Nodes() * s.quarantineShare / 100
	if limit == 0 && s.index.Nodes() >= 3 {
		return 1
	}
	return limit
}

// probe opens VMs in quarantine for one task when it is time, and ends the
// quarantine of those where the probe has run for a while.
func (d *decision) probe() {
	d.quarantineShare = 100
	for _, e := range d.state.Environments {
		if e.InForce != nil {
			d.quarantineShare = min(d.quarantineShare, e.InForce.Document.Limits.QuarantineShare())
		}
	}
	d.health.sweep(d.now)
	for _, vm := range sortedNames(d.health.failing) {
		r := d.health.vms[vm]
		if charge, _ := d.health.charge(vm, d.now); charge < forgottenCharge && !r.quarantine {
			delete(d.health.failing, vm)
		}
		if r.quarantine && r.probe != "" {
			task := d.state.Tasks[r.probe]
			if task != nil && task.VM == vm && task.State == jaygw.Running && d.now.Sub(task.Since) >= survival {
				d.health.succeeded(vm, placer.OwnerKey(task), task.Since, d.now)
			}
		} else if r.quarantine && r.probeAt <= d.now {
			r.open = true
		}
		if r.quarantine && r.probe != "" && r.probeAt <= d.now && !d.probeHolds(r.probe, vm) {
			r.probe = "" // ended without a result
		}
		d.judge(vm, d.now)
	}
}

func (d *decision) probeHolds(id jaygw.TaskID, vm string) bool {
	task := d.state.Tasks[id]
	return task != nil && task.VM == vm && task.State.Holds()
}

// forgetOld drops tallies that no longer count.
func (r *workerRecord) forgetOld(h *health, vm string, now jaygw.Time) {
	for _, owner := range sortedNames(r.owners) {
		t := r.owners[owner]
		t.fade(now)
		if t.ended < 0.05 {
			delete(r.owners, owner)
			delete(h.owners[owner], vm)
			if len(h.owners[owner]) == 0 {
				delete(h.owners, owner)
			}
		}
	}
	if len(r.owners) == 0 && !r.quarantine {
		delete(h.vms, vm)
		delete(h.failing, vm)
	}
}
