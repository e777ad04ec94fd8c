package registrar

import (
	"cmp"
	"slices"

	"github.com/jaygw/jaygw"
)

// LearnEffects records estimates. If the table is full, estimates of new pairs are refused.
func (r *Registrar) LearnEffects(learn jaygw.LearnEffects) jaygw.Result {
	results := make([]jaygw.ItemResult, len(learn.Estimates))
	for i, e := range learn.Estimates {
		if _, known := r.effects[e.Pair]; !known && len(r.effects) >= r.limits.Effects {
			results[i] = jaygw.ItemResult{Code: jaygw.RefusedTableFull, Detail: "the table of effects is full"}
			continue
		}
		r.effects[e.Pair] = e
	}
	return jaygw.Result{Results: results}
}

// Effects returns the estimates of all pairs of images, sorted by pair.
func (r *Registrar) Effects() []jaygw.EffectEstimate {
	effects := make([]jaygw.EffectEstimate, 0, len(r.effects))
	for _, e := range r.effects {
		effects = append(effects, e)
	}
	slices.SortFunc(effects, func(a, b jaygw.EffectEstimate) int {
		return cmp.Or(cmp.Compare(a.Pair.Spare, b.Pair.Spare), cmp.Compare(a.Pair.Serving, b.Pair.Serving))
	})
	return effects
}
