// Package forecaster learns how long the runs of each step of a queue take, and predicts when
// runs end. It performs no I/O and reads no clock.
package forecaster

import (
	"slices"
	"time"

	"github.com/jaygw/jaygw"
)

type (
	// Key names the runs that are expected to behave alike: those of one step position of a queue.
	Key struct {
		Queue string
		Step  int
	}

	// Estimate is the expected duration of a run.
	Estimate struct {
		Median time.Duration
		// High is the duration that nine runs in ten do not exceed.
		High time.Duration
		// Samples is the number of observations behind the estimate, zero if it is only declared.
		Samples int
	}

	// Forecaster holds the observations by key. It is not safe for concurrent use.
	Forecaster struct {
		ratios map[Key]*window
	}

	// window holds the latest observations in a ring.
	window struct {
		values []float64 // durations as multiples of the declared run time
		next   int
		sorted []float64 // nil after a new observation
	}
)

const (
	// windowSize is the number of observations that are kept for a key. A step has tens of tasks,
	// so that the window covers the last few workflows of a queue.
	windowSize = 128

	// minSamples is the number of observations below which the declared run time is used.
	minSamples = 8

	// maxKeys bounds the table; queues beyond it are estimated by their declared run times.
	maxKeys = 1024

	// highRank is the quantile of Estimate.High.
	highRank = 0.9
)

// New returns a forecaster without observations.
func New() *Forecaster { return &Forecaster{ratios: map[Key]*window{}} }

// Observe records the duration of a run that has ended as done. Runs without a declared run time
// are ignored.
func (f *Forecaster) Observe(key Key, declared, took time.Duration) {
	if declared <= 0 || took < 0 {
		return
	}
	w := f.ratios[key]
	if w == nil {
		if len(f.ratios) >= maxKeys {
			return
		}
		w = &window{}
		f.ratios[key] = w
	}
	w.add(float64(took) / float64(declared))
}

// Estimate returns the expected duration of a run with a declared run time. Without enough
// observations both of its durations are the declared one.
func (f *Forecaster) Estimate(key Key, declared time.Duration) Estimate {
	w := f.ratios[key]
	if w == nil || len(w.values) < minSamples {
		return Estimate{Median: declared, High: declared}
	}
	return Estimate{
		Median: time.Duration(w.quantile(0.5) * float64(declared)), High: time.Duration(w.quantile(highRank) * float64(declared)),
		Samples: len(w.values),
	}
}

// ExpectedEnd returns when a run that began at a time is expected to end. A run beyond its median is
// expected to end at the high estimate, and one beyond that to take as long again as it has run.
func ExpectedEnd(since, now jaygw.Time, e Estimate) jaygw.Time {
	elapsed := now.Sub(since)
	switch {
	case elapsed < e.Median:
		return since.Add(e.Median)
	case elapsed < e.High:
		return since.Add(e.High)
	}
	return now.Add(max(0, elapsed))
}

func (w *window) add(value float64) {
	w.sorted = nil
	if len(w.values) < windowSize {
		w.values = append(w.values, value)
		return
	}
	w.values[w.next] = value
	w.next = (w.next + 1) % windowSize
}

func (w *window) quantile(rank float64) float64 {
	if w.sorted == nil {
		w.sorted = slices.Sorted(slices.Values(w.values))
	}
	return w.sorted[int(rank*float64(len(w.sorted)-1))]
}
