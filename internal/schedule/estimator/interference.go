package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Interference estimates by how much a batch owner's tasks raise a service's
	// tail latency on the same VM. It fits the logarithm of latency over
	// baseline as the sum of the effects of the owners that ran there, so that a
	// quiet owner is not blamed for its noisy neighbor. It is not safe for
	// concurrent use.
	Interference struct {
		pairs     map[pair]*effect
		baselines map[string]*baseline
		vms       map[string]*history
	}

	pair struct{ service, owner string }

	effect struct {
		value  float64 // of the logarithm
		weight float64 // decayed number of samples
		at     jaygw.Time
	}

	// baseline keeps the lower end of a service's latencies.
	baseline struct {
		log     float64
		samples int
	}

	// history is which owners' tasks were on a VM, and when.
	history struct {
		spans []span
	}

	span struct {
		task       jaygw.TaskID
		owner      string
		from, till jaygw.Time // till is zero while the attempt runs
	}
)

const (
	// learningRate is the share of a sample's error that its owners take over.
	learningRate = 0.25

	// effectHalfLife is the time after which half of the confidence in an effect
	// is gone.
	effectHalfLife = 10 * time.Minute

	// confidentAfter is the number of samples with a confidence of one half.
	confidentAfter = 3

	// The baseline follows lower latencies quickly and higher ones slowly.
	baselineDown = 0.3
	baselineUp   = 0.005

	// historyKept is longer than any lag of a report.
	historyKept = 2 * time.Minute

	// maxLog bounds one sample, so that one outlier does not decide.
	maxLog = 2.0
)

// NewInterference returns an estimator that has seen nothing.
func NewInterference() *Interference {
	return &Interference{
		pairs: map[pair]*effect{}, baselines: map[string]*baseline{}, vms: map[string]*history{},
	}
}

// Began notes that an attempt of a batch owner may run on a VM from now on.
func (i *Interference) Began(vm string, task jaygw.TaskID, owner string, now jaygw.Time) {
	h, ok := i.vms[vm]
	if !ok {
		h = &history{}
		i.vms[vm] = h
	}
	h.spans = slices.DeleteFunc(h.spans, func(s span) bool { return s.till != 0 && now.Sub(s.till) > historyKept })
	h.spans = append(h.spans, span{task: task, owner: owner, from: now})
}

// Ended notes that the attempt no longer runs.
func (i *Interference) Ended(vm string, task jaygw.TaskID, now jaygw.Time) {
	h, ok := i.vms[vm]
	if !ok {
		return
	}
	for k := range h.spans {
		if h.spans[k].task == task && h.spans[k].till == 0 {
			h.spans[k].till = now
		}
	}
}

// Observe takes a service's tail latency on a VM as it was at a time in the past,
// and returns by how much it was above the baseline, as a factor.
func (i *Interference) Observe(vm, service string, latency time.Duration, at, now jaygw.Time) float64 {
	if latency <= 0 {
		return 1
	}
	value := math.Log(latency.Seconds())
	b, ok := i.baselines[service]
	if !ok {
		b = &baseline{log: value}
		i.baselines[service] = b
	}
	b.samples++
	owners := i.ranAt(vm, at)
	if value < b.log {
		b.log += baselineDown * (value - b.log)
	} else if len(owners) == 0 {
		b.log += baselineUp * 10 * (value - b.log)
	} else {
		b.log += baselineUp * (value - b.log)
	}
	rise := min(max(value-b.log, 0), maxLog)
	i.learn(service, owners, rise, now)
	return math.Exp(rise)
}

func (i *Interference) learn(service string, owners []string, rise float64, now jaygw.Time) {
	if len(owners) == 0 {
		return
	}
	expected := 0.0
	effects := make([]*effect, len(owners))
	for k, owner := range owners {
		e := i.effect(pair{service, owner}, now)
		effects[k] = e
		expected += e.value
	}
	step := learningRate * (rise - expected) / float64(len(owners))
	for _, e := range effects {
		e.value = max(0, e.value+step*max(1, 4/(1+e.weight)))
		e.weight++
	}
}

// effect returns the pair's effect after the decay of its confidence.
func (i *Interference) effect(p pair, now jaygw.Time) *effect {
	e, ok := i.pairs[p]
	if !ok {
		e = &effect{at: now}
		i.pairs[p] = e
	}
	e.weight *= decay(now.Sub(e.at), effectHalfLife)
	e.at = now
	return e
}

func (i *Interference) ranAt(vm string, at jaygw.Time) []string {
	h, ok := i.vms[vm]
	if !ok {
		return nil
	}
	var owners []string
	for _, s := range h.spans {
		if s.from <= at && (s.till == 0 || s.till > at) && !slices.Contains(owners, s.owner) {
			owners = append(owners, s.owner)
		}
	}
	return owners
}

// Effect returns the rise of the service's latency that the owner's tasks cause,
// as the logarithm of a factor, times the confidence in it.
func (i *Interference) Effect(service, owner string, now jaygw.Time) float64 {
	e, ok := i.pairs[pair{service, owner}]
	if !ok {
		return 0
	}
	weight := e.weight * decay(now.Sub(e.at), effectHalfLife)
	return e.value * weight / (weight + confidentAfter)
}

// Forget drops effects without confidence and histories of VMs that are gone.
func (i *Interference) Forget(known func(vm string) bool, now jaygw.Time) {
	for p, e := range i.pairs {
		if now.Sub(e.at) > 6*effectHalfLife {
			delete(i.pairs, p)
		}
	}
	for vm := range i.vms {
		if !known(vm) {
			delete(i.vms, vm)
		}
	}
}

// Worst returns the owners in the order of their effect on the service, the
// largest first, without those below the floor.
func (i *Interference) Worst(service string, owners []string, floor float64, now jaygw.Time) []string {
	effects := map[string]float64{}
	var worst []string
	for _, owner := range owners {
		if e := i.Effect(service, owner, now); e >= floor {
			effects[owner] = e
			worst = append(worst, owner)
		}
	}
	slices.SortFunc(worst, func(a, b string) int {
		return cmp.Or(cmp.Compare(effects[b], effects[a]), cmp.Compare(a, b))
	})
	return worst
}

func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
