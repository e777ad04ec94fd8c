package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Images learns how much spare tasks slow the serving tasks beside them, by the two
	// images. It is not safe for concurrent use.
	//
	// Load pattern: of many pairs of images a few press hard, nobody declares which, and
	// the load of a serving task swings by itself. The tasks of one step share their
	// load, so the others show what a task's latency would be without the work beside
	// it. The inverse of a latency falls in proportion to the load of its VM, so the
	// effects of several images add up there.
	Images struct {
		pairs map[jaygw.ImagePair]*pressure
	}

	// pressure is the estimate of one pair.
	pressure struct {
		effect   float64
		variance float64 // of the estimate; grows with time
		at       time.Time
		kept     jaygw.EffectEstimate // as last returned by Changes
	}

	// Pressing is the spare work of one image on a VM.
	Pressing struct {
		Image string
		Share float64 // of the VM's processor time, at the present pace
	}
)

const (
	// assumedEffect is the effect of a pair that has not been seen. It lets single tasks
	// start, which shows more. assumedVariance is its variance: heavy pairs have several
	// times that effect, light ones none.
	assumedEffect   = 4.0
	assumedVariance = 64.0

	// figureVariance is the variance of one observed fall: the figures are rough, and so
	// is what they would be without spare work.
	figureVariance = 0.1

	// effectDrift is added per second without an observation: the pressure of an image
	// changes.
	effectDrift = 0.3

	// keptChange is the change of an effect that is worth keeping, and keptVariance the
	// factor by which its variance has to fall.
	keptChange   = 0.5
	keptVariance = 0.7

	// leastShare is the least share of spare work that an observation needs.
	leastShare = 0.01

	// maxEffect bounds the estimates, and maxFall an observation against outliers of the
	// figures.
	maxEffect = 40.0
	maxFall   = 4.0

	// saturated is the inverse latency below which a worker is so late that more work
	// beside it hardly shows.
	saturated = 0.2
)

// NewImages returns an estimator that has seen nothing.
func NewImages() *Images { return &Images{pairs: map[jaygw.ImagePair]*pressure{}} }

// Effect returns by how much the inverse of the latency of a serving image falls, as a
// multiple of the inverse of its target, per share of a VM that a spare image uses.
func (e *Images) Effect(spare, serving string) float64 {
	p := e.pairs[jaygw.ImagePair{Spare: spare, Serving: serving}]
	if p == nil {
		return assumedEffect
	}
	return p.effect
}

// Fall returns the expected fall by spare work on a VM.
func (e *Images) Fall(serving string, beside []Pressing) float64 {
	fall := 0.0
	for _, p := range beside {
		fall += e.Effect(p.Image, serving) * p.Share
	}
	return fall
}

// Inverse returns the inverse of a latency as a multiple of that of the target, or zero
// if there is no figure.
func Inverse(tail, target time.Duration) float64 {
	if tail <= 0 {
		return 0
	}
	return float64(target) / float64(tail)
}

// Observe takes the inverse latency of a serving task beside spare work, and what it
// would be without. It is a Kalman filter without the covariances: images of which
// little is known take most of the error.
func (e *Images) Observe(serving string, inverse, without float64, beside []Pressing, now time.Time) {
	if inverse <= 0 || without <= 0 {
		return
	}
	fall := min(max(without-inverse, -maxFall), maxFall)
	expected, spread := 0.0, figureVariance
	pairs := make([]*pressure, len(beside))
	for i, p := range beside {
		if p.Share < leastShare {
			continue
		}
		pairs[i] = e.pair(p.Image, serving, now)
		expected += pairs[i].effect * p.Share
		spread += pairs[i].variance * p.Share * p.Share
	}
	if inverse < saturated && expected > fall {
		return
	}
	for i, p := range beside {
		if pairs[i] == nil {
			continue
		}
		gain := pairs[i].variance * p.Share / spread
		pairs[i].effect = min(max(0, pairs[i].effect+gain*(fall-expected)), maxEffect)
		pairs[i].variance *= 1 - gain*p.Share
	}
}

// pair returns the estimate of a pair as it is known now.
func (e *Images) pair(spare, serving string, now time.Time) *pressure {
	key := jaygw.ImagePair{Spare: spare, Serving: serving}
	p := e.pairs[key]
	if p == nil {
		p = &pressure{effect: assumedEffect, variance: assumedVariance, at: now}
		e.pairs[key] = p
	}
	p.variance = min(assumedVariance, p.variance+effectDrift*max(0, now.Sub(p.at).Seconds()))
	p.at = now
	return p
}

// Restore takes estimates that another leader has kept in place of all that is known.
func (e *Images) Restore(estimates []jaygw.EffectEstimate, now time.Time) {
	e.pairs = make(map[jaygw.ImagePair]*pressure, len(estimates))
	for _, known := range estimates {
		e.pairs[known.Pair] = &pressure{effect: known.Effect, variance: known.Variance, at: now, kept: known}
	}
}

// Changes returns the estimates that have changed since they were returned last, at most
// so many, the most changed first.
func (e *Images) Changes(most int) []jaygw.EffectEstimate {
	var changed []jaygw.EffectEstimate
	for pair, p := range e.pairs {
		if p.isChanged() {
			changed = append(changed, jaygw.EffectEstimate{Pair: pair, Effect: p.effect, Variance: p.variance})
		}
	}
	slices.SortFunc(changed, func(a, b jaygw.EffectEstimate) int {
		return cmp.Or(cmp.Compare(e.pairs[b.Pair].drift(), e.pairs[a.Pair].drift()),
			cmp.Compare(a.Pair.Spare, b.Pair.Spare), cmp.Compare(a.Pair.Serving, b.Pair.Serving))
	})
	changed = changed[:min(most, len(changed))]
	for _, c := range changed {
		e.pairs[c.Pair].kept = c
	}
	return changed
}

// drift is how far an effect has moved from what was kept of it.
func (p *pressure) drift() float64 {
	if p.kept.Variance == 0 {
		return maxEffect
	}
	return math.Abs(p.effect - p.kept.Effect)
}

func (p *pressure) isChanged() bool {
	return p.drift() >= keptChange || p.variance < keptVariance*p.kept.Variance
}
