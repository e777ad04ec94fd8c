package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// ImageEffects learns how much spare tasks slow the serving tasks on the same VM, for each pair
	// of a spare and a serving image. It is not safe for concurrent use.
	//
	// A few of the many pairs have a strong effect, nobody declares which, and the load of a
	// serving task also varies by itself. The tasks of one step share its load, so those on
	// other VMs show what the latency of a task would be without co-located spare work. The
	// inverse latency (target divided by tail latency) falls in proportion to the load of the
	// VM, so the effects of several spare images on a VM add up.
	ImageEffects struct {
		pairs map[jaygw.ImagePair]*pairEffect
	}

	// pairEffect is the estimated effect of one pair of images.
	pairEffect struct {
		effect   float64
		variance float64 // of the estimate; grows with time
		updated  time.Time
		stored   jaygw.EffectEstimate // as last returned by Changes or set by Restore
	}

	// ImageLoad is the load of spare tasks of one image on a VM.
	ImageLoad struct {
		Image string
		Share float64 // share of the VM's processor time that the tasks use at their present pace
	}
)

const (
	// assumedEffect is the effect of a pair without observations. It is low enough to let
	// single tasks start, which provide observations. assumedVariance is its variance: strong
	// pairs have several times that effect, weak ones none.
	assumedEffect   = 4.0
	assumedVariance = 64.0

	// dropVariance is the variance of one observed drop of the inverse latency: the latencies are
	// measured in whole milliseconds, and those of the other tasks of a step are up to a second
	// older or newer, in which time the load may change the inverse latency by half.
	dropVariance = 0.3

	// effectVarianceGrowth is added to the variance per second without an observation, as the
	// load that the tasks of an image cause changes with time.
	effectVarianceGrowth = 0.3

	// A changed estimate is stored if its effect has moved by at least minStoredChange, or if
	// its variance has fallen below storedVarianceRatio times the stored one.
	minStoredChange     = 0.5
	storedVarianceRatio = 0.7

	// minShare is the smallest share of spare work that an observation takes into account.
	minShare = 0.01

	// maxEffect is the upper limit of the estimates. maxDrop limits one observed drop in both
	// directions, against outliers of the measured latencies.
	maxEffect = 40.0
	maxDrop   = 4.0

	// saturatedInverseLatency is the inverse latency below which a serving task is so slow that
	// more co-located work hardly changes its latency.
	saturatedInverseLatency = 0.2
)

// NewImageEffects returns an estimator without observations.
func NewImageEffects() *ImageEffects { return &ImageEffects{pairs: map[jaygw.ImagePair]*pairEffect{}} }

// Effect returns how much tasks of a spare image slow co-located tasks of a serving image: the
// drop of their inverse latency for each VM's worth of processor time that the spare tasks use.
func (e *ImageEffects) Effect(spare, serving string) float64 {
	p := e.pairs[jaygw.ImagePair{Spare: spare, Serving: serving}]
	if p == nil {
		return assumedEffect
	}
	return p.effect
}

// InverseLatencyDrop returns the expected drop of the inverse latency of a serving image by the spare work on
// its VM.
func (e *ImageEffects) InverseLatencyDrop(serving string, colocated []ImageLoad) float64 {
	drop := 0.0
	for _, p := range colocated {
		drop += e.Effect(p.Image, serving) * p.Share
	}
	return drop
}

// InverseLatency returns the inverse latency, which is the target divided by the tail latency, or zero
// if there is no measurement.
func InverseLatency(tailLatency, target time.Duration) float64 {
	if tailLatency <= 0 {
		return 0
	}
	return float64(target) / float64(tailLatency)
}

// Observe updates the effects from the inverse latency of a serving task that shares its VM with
// spare work, and the inverse latency that it would have without that work. It is a Kalman
// filter without the covariances: the estimates with the highest variance take most of the error.
func (e *ImageEffects) Observe(serving string, inverseLatency, undisturbed float64, colocated []ImageLoad, now time.Time) {
	if inverseLatency <= 0 || undisturbed <= 0 {
		return
	}
	drop := min(max(undisturbed-inverseLatency, -maxDrop), maxDrop)
	expected, totalVariance := 0.0, dropVariance
	pairs := make([]*pairEffect, len(colocated))
	for i, p := range colocated {
		if p.Share < minShare {
			continue
		}
		pairs[i] = e.estimate(p.Image, serving, now)
		expected += pairs[i].effect * p.Share
		totalVariance += pairs[i].variance * p.Share * p.Share
	}
	if inverseLatency < saturatedInverseLatency && expected > drop {
		return
	}
	for i, p := range colocated {
		if pairs[i] == nil {
			continue
		}
		gain := pairs[i].variance * p.Share / totalVariance
		pairs[i].effect = min(max(0, pairs[i].effect+gain*(drop-expected)), maxEffect)
		pairs[i].variance *= 1 - gain*p.Share
	}
}

// estimate returns the estimate of a pair with its present variance, and adds it if it is new.
func (e *ImageEffects) estimate(spare, serving string, now time.Time) *pairEffect {
	key := jaygw.ImagePair{Spare: spare, Serving: serving}
	p := e.pairs[key]
	if p == nil {
		p = &pairEffect{effect: assumedEffect, variance: assumedVariance, updated: now}
		e.pairs[key] = p
	}
	p.variance = min(assumedVariance, p.variance+effectVarianceGrowth*max(0, now.Sub(p.updated).Seconds()))
	p.updated = now
	return p
}

// Restore replaces all estimates by those that another leader has stored.
func (e *ImageEffects) Restore(estimates []jaygw.EffectEstimate, now time.Time) {
	e.pairs = make(map[jaygw.ImagePair]*pairEffect, len(estimates))
	for _, estimate := range estimates {
		e.pairs[estimate.Pair] = &pairEffect{effect: estimate.Effect, variance: estimate.Variance, updated: now, stored: estimate}
	}
}

// Changes returns the estimates that have changed noticeably since they were last returned or
// restored, the most changed first and at most limit of them.
func (e *ImageEffects) Changes(limit int) []jaygw.EffectEstimate {
	var changed []jaygw.EffectEstimate
	for pair, p := range e.pairs {
		if p.hasChanged() {
			changed = append(changed, jaygw.EffectEstimate{Pair: pair, Effect: p.effect, Variance: p.variance})
		}
	}
	slices.SortFunc(changed, func(a, b jaygw.EffectEstimate) int {
		return cmp.Or(cmp.Compare(e.pairs[b.Pair].changeSinceStored(), e.pairs[a.Pair].changeSinceStored()),
			cmp.Compare(a.Pair.Spare, b.Pair.Spare), cmp.Compare(a.Pair.Serving, b.Pair.Serving))
	})
	changed = changed[:min(limit, len(changed))]
	for _, c := range changed {
		e.pairs[c.Pair].stored = c
	}
	return changed
}

// changeSinceStored returns how far an effect has moved from its stored value, or maxEffect if
// it was never stored.
func (p *pairEffect) changeSinceStored() float64 {
	if p.stored.Variance == 0 {
		return maxEffect
	}
	return math.Abs(p.effect - p.stored.Effect)
}

func (p *pairEffect) hasChanged() bool {
	return p.changeSinceStored() >= minStoredChange || p.variance < storedVarianceRatio*p.stored.Variance
}
