package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Interference estimates by how much one task of a batch owner raises a service's tail
	// latency on the same VM, as a share of the service's baseline. An owner is a service or a
	// job. The rise is modeled as a sum over the tasks that ran on the VM, so that the effect of
	// a noisy neighbor is not attributed to another owner. It is not safe for concurrent use.
	Interference struct {
		pairs     map[pair]*effect
		baselines map[string]*baseline
		vms       map[string]*history
		noisy     map[string]bool // owners with an effect of at least noisyEffect
	}

	// pair is a service and a batch owner.
	pair struct{ service, owner string }

	// effect is the estimated rise of a service's latency by one task of an owner.
	effect struct {
		value    float64 // share of the baseline
		variance float64 // of the estimate; grows with time
		updated  jaygw.Time
	}

	// baseline is the tail latency of a service on VMs without batch work.
	baseline struct{ seconds float64 }

	// ownerLoad is the number of tasks of one owner that ran on a VM. A throttled task counts
	// with its share of full speed.
	ownerLoad struct {
		owner string
		tasks float64
	}

	// history records which tasks ran on a VM, and when.
	history struct {
		spans []span
	}

	// span is a time in which a task ran at a constant speed.
	span struct {
		task        jaygw.TaskID
		owner       string
		speed       float64    // share of full speed; 1 without a throttle
		from, until jaygw.Time // until is zero while the attempt runs
	}
)

const (
	// initialVariance is the variance of an effect that was never observed.
	initialVariance = 1.0

	// sampleVariance is the variance of one observed rise around the sum of the effects.
	sampleVariance = 0.01

	// varianceGrowth is added to the variance per second. After five minutes without samples,
	// the standard deviation reaches 10%, so an effect of one task below that counts as zero.
	varianceGrowth = 3e-5

	// effectRetention is the time without samples after which an effect is removed.
	effectRetention = time.Hour

	// The weights of a sample in the moving average of the baseline: for a VM without batch
	// work, and for a VM with batch work if the sample is below or above the baseline. The last
	// one is small but not zero, so that the baseline adapts to a permanent change.
	baselineWeightAlone = 0.1
	baselineWeightDown  = 0.1
	baselineWeightUp    = 0.002

	// historyRetention is how long a span is retained after its end. It is longer than the delay
	// of any report, so that a late report is matched with the tasks of its time.
	historyRetention = 2 * time.Minute

	// noisyEffect is the smallest effect of one task that the placement of its owner's tasks
	// takes into account.
	noisyEffect = 0.03

	// maxRise limits one observed rise, so that a single outlier does not dominate.
	maxRise = 5.0
)

// NewInterference returns an estimator without observations.
func NewInterference() *Interference {
	return &Interference{
		pairs: map[pair]*effect{}, baselines: map[string]*baseline{}, vms: map[string]*history{},
		noisy: map[string]bool{},
	}
}

// TaskStarted records that an attempt of a batch owner may run on a VM from now on.
func (i *Interference) TaskStarted(vm string, task jaygw.TaskID, owner string, now jaygw.Time) {
	h, ok := i.vms[vm]
	if !ok {
		h = &history{}
		i.vms[vm] = h
	}
	h.spans = slices.DeleteFunc(h.spans, func(s span) bool { return s.until != 0 && now.Sub(s.until) > historyRetention })
	h.spans = append(h.spans, span{task: task, owner: owner, speed: 1, from: now})
}

// TaskThrottled records that the attempt runs at a percentage of full speed from now on, so that the
// lower latency is not attributed to a smaller effect of its owner.
func (i *Interference) TaskThrottled(vm string, task jaygw.TaskID, percent int, now jaygw.Time) {
	h, ok := i.vms[vm]
	if !ok {
		return
	}
	for k := range h.spans {
		if h.spans[k].task == task && h.spans[k].until == 0 {
			h.spans[k].until = now
			h.spans = append(h.spans, span{task: task, owner: h.spans[k].owner, speed: float64(percent) / 100, from: now})
			return
		}
	}
}

// TaskEnded records that the attempt no longer runs.
func (i *Interference) TaskEnded(vm string, task jaygw.TaskID, now jaygw.Time) {
	h, ok := i.vms[vm]
	if !ok {
		return
	}
	for k := range h.spans {
		if h.spans[k].task == task && h.spans[k].until == 0 {
			h.spans[k].until = now
		}
	}
}

// Observe updates the estimates from a service's tail latency on a VM, measured at a time in the
// past. It returns the latency as a multiple of the baseline.
func (i *Interference) Observe(vm, service string, latency time.Duration, at, now jaygw.Time) float64 {
	if latency <= 0 {
		return 1
	}
	value := latency.Seconds()
	b, ok := i.baselines[service]
	if !ok {
		b = &baseline{seconds: value}
		i.baselines[service] = b
	}
	loads := i.loadsAt(vm, at)
	switch {
	case len(loads) == 0:
		b.seconds += baselineWeightAlone * (value - b.seconds)
	case value < b.seconds:
		b.seconds += baselineWeightDown * (value - b.seconds)
	default:
		b.seconds += baselineWeightUp * (min(value, 2*b.seconds) - b.seconds)
	}
	rise := min(value/b.seconds-1, maxRise)
	i.updateEffects(service, loads, rise, now)
	return 1 + rise
}

// updateEffects corrects the effects by an observed rise. It is a Kalman filter without the
// covariances: the effects with the highest variance take most of the error.
func (i *Interference) updateEffects(service string, loads []ownerLoad, rise float64, now jaygw.Time) {
	expected, totalVariance := 0.0, sampleVariance
	effects := make([]*effect, len(loads))
	for k, load := range loads {
		e := i.currentEffect(pair{service, load.owner}, now)
		effects[k] = e
		expected += e.value * load.tasks
		totalVariance += e.variance * load.tasks * load.tasks
	}
	for k, load := range loads {
		e := effects[k]
		gain := e.variance * load.tasks / totalVariance
		e.value = max(0, e.value+gain*(rise-expected))
		e.variance *= 1 - gain*load.tasks
		if e.value >= noisyEffect {
			i.noisy[load.owner] = true
		}
	}
}

// currentEffect returns the effect of a pair with its present variance, and adds it if it is new.
func (i *Interference) currentEffect(p pair, now jaygw.Time) *effect {
	e, ok := i.pairs[p]
	if !ok {
		e = &effect{variance: initialVariance, updated: now}
		i.pairs[p] = e
	}
	e.variance = e.varianceAt(now)
	e.updated = now
	return e
}

func (e *effect) varianceAt(now jaygw.Time) float64 {
	return min(initialVariance, e.variance+varianceGrowth*max(0, now.Sub(e.updated).Seconds()))
}

// loadsAt returns the tasks that ran on a VM at a time, by owner.
func (i *Interference) loadsAt(vm string, at jaygw.Time) []ownerLoad {
	h, ok := i.vms[vm]
	if !ok {
		return nil
	}
	var loads []ownerLoad
	for _, s := range h.spans {
		if s.from > at || s.until != 0 && s.until <= at {
			continue
		}
		k := slices.IndexFunc(loads, func(load ownerLoad) bool { return load.owner == s.owner })
		if k < 0 {
			loads = append(loads, ownerLoad{owner: s.owner})
			k = len(loads) - 1
		}
		loads[k].tasks += s.speed
	}
	return loads
}

// Effect returns the rise of the service's latency that one task of the owner causes, as a share
// of the baseline. It is the estimate less one standard deviation, and at least zero.
func (i *Interference) Effect(service, owner string, now jaygw.Time) float64 {
	e, ok := i.pairs[pair{service, owner}]
	if !ok {
		return 0
	}
	return max(0, e.value-math.Sqrt(e.varianceAt(now)))
}

// Forget removes effects without recent samples, and the histories of VMs that are not known any
// more.
func (i *Interference) Forget(known func(vm string) bool, now jaygw.Time) {
	for p, e := range i.pairs {
		if now.Sub(e.updated) > effectRetention {
			delete(i.pairs, p)
			delete(i.noisy, p.owner)
		}
	}
	for vm := range i.vms {
		if !known(vm) {
			delete(i.vms, vm)
		}
	}
}

// RankOwners returns the owners whose tasks together have an effect of at least minEffect on the
// service, the largest first. The number of tasks by owner counts a throttled task with its share
// of full speed.
func (i *Interference) RankOwners(service string, tasks map[string]float64, minEffect float64, now jaygw.Time) []string {
	effects := map[string]float64{}
	var worst []string
	for owner, count := range tasks {
		if e := count * i.Effect(service, owner, now); e >= minEffect {
			effects[owner] = e
			worst = append(worst, owner)
		}
	}
	slices.SortFunc(worst, func(a, b string) int {
		return cmp.Or(cmp.Compare(effects[b], effects[a]), cmp.Compare(a, b))
	})
	return worst
}

// Noisy reports whether one task of the owner has been estimated to raise the latency of any
// service by noisyEffect or more.
func (i *Interference) Noisy(owner string) bool { return i.noisy[owner] }

// decay returns the part of a value that is left after the elapsed time.
func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
