package registrar_test

import (
	"fmt"
	"testing"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
)

// TestEffectsSurviveASnapshot guards against estimates that are missing in a snapshot, so that they
// are lost when the log is truncated, and against a table that grows without bound.
func TestEffectsSurviveASnapshot(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	limit := registrar.DefaultLimits().Effects
	var learn jaygw.LearnEffects
	for i := range limit + 1 {
		learn.Estimates = append(learn.Estimates, jaygw.EffectEstimate{
			Pair: jaygw.ImagePair{Spare: fmt.Sprintf("%06d", i), Serving: "search"}, Effect: float64(i), Variance: 1,
		})
	}
	result := r.LearnEffects(learn)
	require.Empty(t, result.Results[limit-1].Code)
	require.Equal(t, jaygw.RefusedTableFull, result.Results[limit].Code)
	learn.Estimates[0].Effect = 7
	require.Empty(t, r.LearnEffects(jaygw.LearnEffects{Estimates: learn.Estimates[:1]}).Results[0].Code)

	restored := registrar.New(func(string) bool { return false })
	restored.Restore(r.Snapshot())
	require.Equal(t, learn.Estimates[:limit], restored.Effects())
}
