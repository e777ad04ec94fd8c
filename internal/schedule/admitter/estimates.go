package admitter

import (
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/forecaster"
)

type (
	estimateFunc func(queue string, step int, declared time.Duration) forecaster.Estimate

	// estimates holds the learned durations of the steps that the latest summaries have seen, so that Decide does not
	// call View.Estimate.
	estimates map[forecaster.Key]ratios

	// ratios are learned durations as multiples of the declared one.
	ratios struct{ median, high float64 }
)

// maxEstimates bounds the table. The declared durations are used for steps beyond it.
const maxEstimates = 1024

// recording returns a function that estimates like another one and records its results.
func (e estimates) recording(estimate estimateFunc) estimateFunc {
	return func(queue string, step int, declared time.Duration) forecaster.Estimate {
		result := forecaster.Estimate{Median: declared, High: declared}
		if estimate != nil {
			result = estimate(queue, step, declared)
		}
		key := forecaster.Key{Queue: queue, Step: step}
		if _, known := e[key]; declared > 0 && (known || len(e) < maxEstimates) {
			e[key] = ratios{float64(result.Median) / float64(declared), float64(result.High) / float64(declared)}
		}
		return result
	}
}

// ownPath returns the duration of the longest chain of steps by the high estimates, since a step ends with the
// last of its tasks.
func (e estimates) ownPath(queue string, spec *jaygw.WorkflowSpec) time.Duration {
	ends := make([]time.Duration, len(spec.Steps))
	longest := time.Duration(0)
	for i, step := range spec.Steps {
		for _, predecessor := range step.After {
			if predecessor >= 0 && predecessor < i {
				ends[i] = max(ends[i], ends[predecessor])
			}
		}
		took := step.RunTime
		if r, ok := e[forecaster.Key{Queue: queue, Step: i}]; ok {
			took = time.Duration(r.high * float64(took))
		}
		ends[i] += took
		longest = max(longest, ends[i])
	}
	return longest
}
