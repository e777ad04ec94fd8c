// Package estimator learns from the measurements that agents report with a delay: how much the
// tasks of an owner use and how long they run, which batch work slows which service, how much
// spare images slow serving images, and how fast the VMs are.
package estimator

import (
	"math"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Usage estimates the sizes and run times of tasks by owner. It is not safe for concurrent
	// use.
	Usage struct {
		owners  map[string]*owner
		changed map[string]bool
	}

	// owner is what is known of the tasks of one owner.
	owner struct {
		peak        jaygw.Resources // highest recent use; decays towards lower samples
		samples     int
		spread      spread
		announced   jaygw.Resources // peak at its last noticeable change; reservations follow it
		runTime     time.Duration   // of one task
		runs        int             // completed tasks
		updated     jaygw.Time      // time of the last sample or of the first grant
		firstGrant  jaygw.Time
		firstSample jaygw.Time
	}
)

const (
	// defaultMarginPercent is added to the observed peak of an owner with few samples. With
	// minSpreadSamples or more, the margin follows from the spread of the samples.
	defaultMarginPercent = 15
	minSpreadSamples     = 50

	// marginDeviations is the margin of an owner with many samples, in standard deviations.
	// The peak is the highest recent sample, and a new one rarely exceeds it by more than that.
	marginDeviations = 2

	// spreadWeight is the weight of the latest sample in the estimated spread.
	spreadWeight = 0.02

	// tolerancePercent is how far a peak may exceed the declared amount and still confirm it.
	// With a margin on such peaks, correctly declared jobs took 15% more of their quota.
	tolerancePercent = 5

	// minDoublingInterval is the shortest time between two doublings of a new job's limit.
	minDoublingInterval = 2 * time.Second

	// maxDoublings is the number of doublings after which a job is not limited.
	maxDoublings = 6

	// reportTimeout is how long a new job stays limited without a first report.
	reportTimeout = 15 * time.Second

	// minSamplesToRaise is the number of samples needed to raise a reservation: a single one may
	// be a spike at the start.
	minSamplesToRaise = 3

	// minSamplesToLower is the number of samples needed to lower a reservation below the declared
	// size, where an error costs more.
	minSamplesToLower = 20

	// peakHalfLife is the time in which the distance between the peak and lower samples halves.
	peakHalfLife = 2 * time.Minute

	// minChangePercent is the smallest change of an estimate that is worth a resize.
	minChangePercent = 10

	// runTimeWeight is the weight of the latest run in the estimated run time.
	runTimeWeight = 0.3

	// ownerRetention is how long an owner is retained without samples.
	ownerRetention = time.Hour
)

// NewUsage returns an estimator without observations.
func NewUsage() *Usage {
	return &Usage{owners: map[string]*owner{}, changed: map[string]bool{}}
}

// Observe updates the estimates from a sample of what one attempt of the owner uses.
func (u *Usage) Observe(name string, used jaygw.Resources, now jaygw.Time) {
	o := u.owner(name)
	weight := decay(now.Sub(o.updated), peakHalfLife)
	o.updated = now
	if o.samples++; o.samples == 1 {
		o.firstSample = now
	}
	if o.samples == 1 {
		weight = 0
	}
	o.spread.add(used)
	o.peak = jaygw.Resources{
		CPU:          decayPeak(o.peak.CPU, used.CPU, weight),
		Memory:       decayPeak(o.peak.Memory, used.Memory, weight),
		Accelerators: max(o.peak.Accelerators, used.Accelerators),
	}
	if o.samples >= minSamplesToRaise && resourcesDiffer(o.peak, o.announced) {
		o.announced = o.peak
		u.changed[name] = true
	}
	if o.samples == minSamplesToLower || o.samples == minSpreadSamples {
		u.changed[name] = true
	}
}

// decayPeak returns the sample if it is higher than the peak. Otherwise it returns the peak moved
// towards the sample; weight is the part of their distance that remains.
func decayPeak[T ~int64](peak, sample T, weight float64) T {
	if sample >= peak {
		return sample
	}
	return sample + T(float64(peak-sample)*weight)
}

// resourcesDiffer reports whether any resource differs enough for a resize.
func resourcesDiffer(a, b jaygw.Resources) bool {
	return amountsDiffer(int64(a.CPU), int64(b.CPU)) || amountsDiffer(int64(a.Memory), int64(b.Memory)) || a.Accelerators != b.Accelerators
}

func amountsDiffer(a, b int64) bool { return 100*max(a-b, b-a) > minChangePercent*max(a, b) }

// Completed updates the run time from the total time that a completed task of the owner has run.
func (u *Usage) Completed(name string, ran time.Duration) {
	o := u.owner(name)
	o.runs++
	if o.runs == 1 {
		o.runTime = ran
		return
	}
	o.runTime += time.Duration(runTimeWeight * float64(ran-o.runTime))
}

// RunTime returns the expected run time of a task of the owner, or the declared one if none has
// completed.
func (u *Usage) RunTime(name string, declared time.Duration) time.Duration {
	if o, ok := u.owners[name]; ok && o.runs > 0 {
		return o.runTime
	}
	return declared
}

// Granted records that a task of the owner was granted.
func (u *Usage) Granted(name string, now jaygw.Time) {
	if o := u.owner(name); o.firstGrant == 0 {
		o.firstGrant = now
		o.updated = now
	}
}

// MaxRunning returns how many tasks of the owner may run at once. A new job, of which nothing is
// known, starts with the initial number of tasks, and its limit doubles regularly once reports
// arrive. Jobs with at least the initial number of completed tasks, and those on platforms that
// report nothing, are not limited.
func (u *Usage) MaxRunning(name string, initial int, now jaygw.Time) int {
	o, ok := u.owners[name]
	switch {
	case !ok || o.firstGrant == 0:
		return initial
	case o.runs >= initial || o.samples == 0 && now.Sub(o.firstGrant) > reportTimeout:
		return math.MaxInt
	case o.samples == 0:
		return initial
	}
	// The time from the first grant to the first report shows the delay of reports. A report
	// that shows the effect of one doubling arrives after the same delay.
	doublings := now.Sub(o.firstSample) / max(minDoublingInterval, o.firstSample.Sub(o.firstGrant)+time.Second)
	if doublings >= maxDoublings {
		return math.MaxInt
	}
	return initial << doublings
}

// Reserve returns the resources to commit for a task of the owner: the larger of the declared
// size and the estimate, at most the limit. If mayLower is set and there are enough samples, it
// uses the estimate even if that is below the declared size.
func (u *Usage) Reserve(name string, declared, limit jaygw.Resources, mayLower bool) jaygw.Resources {
	o, ok := u.owners[name]
	if !ok || o.samples < minSamplesToRaise {
		return declared
	}
	mayLower = mayLower && o.samples >= minSamplesToLower
	cpu, memory := defaultMarginPercent, defaultMarginPercent
	if o.samples >= minSpreadSamples {
		cpu, memory = o.spread.cpu.margin(), o.spread.memory.margin()
	}
	estimate := jaygw.Resources{
		CPU:          withMargin(o.announced.CPU, declared.CPU, cpu, mayLower),
		Memory:       withMargin(o.announced.Memory, declared.Memory, memory, mayLower),
		Accelerators: declared.Accelerators,
	}
	return estimate.Min(limit.Max(declared))
}

// withMargin returns the larger of the declared amount and the peak with its margin, or just the
// latter if mayLower is set. A peak near the declared amount confirms it and needs no margin.
func withMargin[T ~int64](peak, declared T, percent int, mayLower bool) T {
	padded := max(1, peak*T(100+percent)/100)
	switch {
	case mayLower:
		return padded
	case 100*peak <= (100+tolerancePercent)*declared:
		return max(peak, declared)
	}
	return max(padded, declared)
}

// Changed returns the owners whose estimates have changed noticeably since the last call.
func (u *Usage) Changed() map[string]bool {
	changed := u.changed
	u.changed = map[string]bool{}
	return changed
}

// Forget removes owners without recent samples.
func (u *Usage) Forget(now jaygw.Time) {
	for name, o := range u.owners {
		if now.Sub(o.updated) > ownerRetention {
			delete(u.owners, name)
		}
	}
}

// owner returns what is known of an owner, and adds it if it is new.
func (u *Usage) owner(name string) *owner {
	o, ok := u.owners[name]
	if !ok {
		o = &owner{}
		u.owners[name] = o
	}
	return o
}
