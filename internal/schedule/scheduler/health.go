package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/placer"
)

type (
	// health attributes failures to VMs or to tasks by where they occur.
	health struct {
		vms          map[string]*vmRecord
		owners       map[string]map[string]*outcomeCounts // by owner, then VM
		lastFailures map[jaygw.TaskID]string              // VM on which a task failed last
		failing      map[string]bool                      // VMs whose failures have not decayed yet
		cleanupOrder []string                             // VMs with a record, next to be cleaned up first
	}

	// outcomeCounts counts the attempts that have ended, and those that failed, with
	// exponential decay.
	outcomeCounts struct {
		failed, ended float64
		updated       jaygw.Time
	}

	// vmRecord holds the outcomes of attempts on a VM and the state of its quarantine.
	vmRecord struct {
		owners        map[string]*outcomeCounts
		quarantined   bool
		quarantinedAt jaygw.Time
		probeOpen     bool         // the VM takes one task as a probe
		probeTask     jaygw.TaskID // the probe that was granted, or empty
		nextProbe     jaygw.Time   // when the VM takes the next probe, or probeTask counts as ended
		probeInterval time.Duration
	}
)

const (
	// failureHalfLife is the half-life of the counts of failures and ends.
	failureHalfLife = 5 * time.Minute

	// quarantineFailures is the number of failures not explained by the tasks from which on a VM
	// is put into quarantine.
	quarantineFailures = 2.5

	// quarantineFailureRate is the share of the attempts ended on the VM that must have failed
	// for the quarantine.
	quarantineFailureRate = 0.5

	// riskPerFailure is added to a VM's score per unexplained failure, where the load counts up
	// to 1.
	riskPerFailure = 0.4

	// negligibleFailures is the number of unexplained failures below which a VM counts as
	// healthy.
	negligibleFailures = 0.05

	// cleanedPerSecond bounds the VMs whose counts cleanUp checks per call, once per second. It
	// keeps the cleanup cheap.
	cleanedPerSecond = 64

	// minSuccessRun is how long an attempt has to run to count as a success before it ends.
	minSuccessRun = 30 * time.Second

	// firstProbeInterval is the time from the start of a quarantine to the first probe. The
	// interval doubles with each failed probe, up to maxProbeInterval.
	firstProbeInterval = 20 * time.Second
	maxProbeInterval   = 10 * time.Minute

	// firstBackoff is the unit of the backoff, which doubles with each failure of a task, up to
	// maxBackoff.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 30 * time.Second

	// maxLastFailures bounds the table of last failures, which is emptied when it is full.
	maxLastFailures = 100_000
)

// Backoff returns how long a task waits after a failure. The jitter is derived from the attempt,
// so that the result is reproducible.
func Backoff(attempt jaygw.Attempt, failures int) time.Duration {
	backoff := min(firstBackoff<<min(failures, 10), maxBackoff)
	jitter := float64(placer.Seed(attempt.Task, attempt.Epoch)%1024) / 1024
	return backoff/2 + time.Duration(jitter*float64(backoff))
}

func newHealth() *health {
	return &health{
		vms: map[string]*vmRecord{}, owners: map[string]map[string]*outcomeCounts{}, lastFailures: map[jaygw.TaskID]string{},
		failing: map[string]bool{},
	}
}

// recordFailure counts a failed attempt. If it was the probe of a VM in quarantine, the interval
// to the next probe doubles.
func (h *health) recordFailure(vm, owner string, task jaygw.TaskID, now jaygw.Time) {
	if len(h.lastFailures) >= maxLastFailures {
		clear(h.lastFailures)
	}
	h.lastFailures[task] = vm
	h.counts(vm, owner).add(1, now)
	h.failing[vm] = true
	if r := h.vms[vm]; r.quarantined && r.probeTask == task {
		r.probeTask = ""
		r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
		r.nextProbe = now.Add(r.probeInterval)
	}
}

// recordSuccess counts a successful attempt. One success of an attempt that began during the
// VM's quarantine ends the quarantine.
func (h *health) recordSuccess(vm, owner string, started, now jaygw.Time) {
	r, known := h.vms[vm]
	if known && r.quarantined && started >= r.quarantinedAt {
		h.removeVM(vm)
	}
	h.counts(vm, owner).add(0, now)
}

// counts returns the counts of an owner's attempts on a VM, and adds them if there are none.
func (h *health) counts(vm, owner string) *outcomeCounts {
	r, ok := h.vms[vm]
	if !ok {
		r = &vmRecord{owners: map[string]*outcomeCounts{}}
		h.vms[vm] = r
		h.cleanupOrder = append(h.cleanupOrder, vm)
	}
	c, ok := r.owners[owner]
	if !ok {
		c = &outcomeCounts{}
		r.owners[owner] = c
		if h.owners[owner] == nil {
			h.owners[owner] = map[string]*outcomeCounts{}
		}
		h.owners[owner][vm] = c
	}
	return c
}

// add counts one ended attempt; failed is 1 for a failure and 0 for a success.
func (c *outcomeCounts) add(failed float64, now jaygw.Time) {
	c.decay(now)
	c.failed += failed
	c.ended++
}

func (c *outcomeCounts) decay(now jaygw.Time) {
	if elapsed := now.Sub(c.updated); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(failureHalfLife))
		c.failed *= factor
		c.ended *= factor
		c.updated = now
	}
}

// unexplainedFailures returns the number of failures on a VM that its tasks do not explain, and
// the share of the attempts ended on it that failed. A failure counts less if tasks of the same
// owner also fail on other VMs.
func (h *health) unexplainedFailures(vm string, now jaygw.Time) (unexplained, rate float64) {
	r, ok := h.vms[vm]
	if !ok {
		return 0, 0
	}
	var failed, ended float64
	for _, owner := range sortedKeys(r.owners) {
		c := r.owners[owner]
		c.decay(now)
		failed += c.failed
		ended += c.ended
		if c.failed == 0 {
			continue
		}
		// Without other data, tasks of the owner count as failing half of the time elsewhere.
		failedElsewhere, endedElsewhere := 0.5, 1.0
		for _, other := range sortedKeys(h.owners[owner]) {
			if other != vm {
				otherCounts := h.owners[owner][other]
				otherCounts.decay(now)
				failedElsewhere += otherCounts.failed
				endedElsewhere += otherCounts.ended
			}
		}
		unexplained += c.failed * (1 - failedElsewhere/endedElsewhere)
	}
	if ended > 0 {
		rate = failed / ended
	}
	return unexplained, rate
}

// removeVM removes the record of a VM, which also ends its quarantine.
func (h *health) removeVM(vm string) {
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
	h.cleanupOrder = slices.DeleteFunc(h.cleanupOrder, func(other string) bool { return other == vm })
}

// cleanUp removes counts that have decayed, for a few VMs per call.
func (h *health) cleanUp(now jaygw.Time) {
	for range min(cleanedPerSecond, len(h.cleanupOrder)) {
		vm := h.cleanupOrder[0]
		h.cleanupOrder = h.cleanupOrder[1:]
		if r, ok := h.vms[vm]; ok {
			if r.removeOldCounts(h, vm, now); h.vms[vm] != nil {
				h.cleanupOrder = append(h.cleanupOrder, vm)
			}
		}
	}
}

func (h *health) lastFailure(task jaygw.TaskID) string { return h.lastFailures[task] }

// awaitsProbe reports whether the VM is in quarantine and takes one task as a probe.
func (h *health) awaitsProbe(vm string) bool {
	r, ok := h.vms[vm]
	return ok && r.quarantined && r.probeOpen
}

// recordGrant records that a task was granted on the VM and reports whether it is a probe. After
// a probe the VM takes no further task.
func (h *health) recordGrant(vm string, task jaygw.TaskID, now jaygw.Time) bool {
	r, ok := h.vms[vm]
	if !ok || !r.quarantined {
		return false
	}
	r.probeOpen = false
	r.probeTask = task
	r.nextProbe = now.Add(r.probeInterval)
	return true
}

// closed reports whether the VM is in quarantine and takes no probe.
func (h *health) closed(vm string) bool {
	r, ok := h.vms[vm]
	return ok && r.quarantined && !r.probeOpen
}

func (h *health) quarantinedVMs() int {
	count := 0
	for _, r := range h.vms {
		if r.quarantined {
			count++
		}
	}
	return count
}

// updateVMHealth updates a VM's risk, puts the VM into quarantine if it has too many unexplained
// failures, and closes it to new tasks or opens it accordingly.
func (s *Scheduler) updateVMHealth(vm string, now jaygw.Time) {
	n := s.index.Node(vm)
	if n == nil || !s.health.failing[vm] && n.Risk == 0 && !s.health.closed(vm) {
		s.index.SetQuarantined(vm, false)
		return
	}
	unexplained, rate := s.health.unexplainedFailures(vm, now)
	n.Risk = riskPerFailure * unexplained
	r := s.health.vms[vm]
	if r != nil && !r.quarantined && unexplained >= quarantineFailures && rate >= quarantineFailureRate &&
		s.health.quarantinedVMs() < s.quarantineLimit() {
		r.quarantined = true
		r.quarantinedAt = now
		r.probeInterval = firstProbeInterval
		r.nextProbe = now.Add(firstProbeInterval)
	}
	s.index.SetQuarantined(vm, s.health.closed(vm))
}

// quarantineLimit returns how many VMs may be in quarantine: the share that the documents allow,
// and at least one if there are three or more VMs.
func (s *Scheduler) quarantineLimit() int {
	limit := s.index.Nodes() * s.quarantinePercent / 100
	if limit == 0 && s.index.Nodes() >= 3 {
		return 1
	}
	return limit
}

// updateQuarantine opens VMs in quarantine for a probe at its scheduled time, and ends the
// quarantine of VMs where the probe has run for minSuccessRun. It also takes the quarantine limit
// from the documents in force.
func (d *decision) updateQuarantine() {
	d.quarantinePercent = 100
	for _, e := range d.state.Environments {
		if e.InForce != nil {
			d.quarantinePercent = min(d.quarantinePercent, e.InForce.Document.Limits.QuarantineLimitPercent())
		}
	}
	d.health.cleanUp(d.now)
	for _, vm := range sortedKeys(d.health.failing) {
		r := d.health.vms[vm]
		if unexplained, _ := d.health.unexplainedFailures(vm, d.now); unexplained < negligibleFailures && !r.quarantined {
			delete(d.health.failing, vm)
		}
		if r.quarantined && r.probeTask != "" {
			task := d.state.Tasks[r.probeTask]
			if task != nil && task.VM == vm && task.State == jaygw.Running && d.now.Sub(task.Since) >= minSuccessRun {
				d.health.recordSuccess(vm, placer.OwnerKey(task), task.Since, d.now)
			}
		} else if r.quarantined && r.nextProbe <= d.now {
			r.probeOpen = true
		}
		if r.quarantined && r.probeTask != "" && r.nextProbe <= d.now && !d.probeActive(r.probeTask, vm) {
			r.probeTask = "" // ended without a result
		}
		d.updateVMHealth(vm, d.now)
	}
}

// probeActive reports whether the probe still holds resources on the VM.
func (d *decision) probeActive(id jaygw.TaskID, vm string) bool {
	task := d.state.Tasks[id]
	return task != nil && task.VM == vm && task.State.Holds()
}

// removeOldCounts removes the counts that have decayed to nearly nothing, and the record if it is
// empty and the VM is not in quarantine.
func (r *vmRecord) removeOldCounts(h *health, vm string, now jaygw.Time) {
	for _, owner := range sortedKeys(r.owners) {
		c := r.owners[owner]
		c.decay(now)
		if c.ended < 0.05 {
			delete(r.owners, owner)
			delete(h.owners[owner], vm)
			if len(h.owners[owner]) == 0 {
				delete(h.owners, owner)
			}
		}
	}
	if len(r.owners) == 0 && !r.quarantined {
		delete(h.vms, vm)
		delete(h.failing, vm)
	}
}
