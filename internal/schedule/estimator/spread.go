package estimator

import (
	"math"

	"github.com/jaygw/jaygw"
)

type (
	// spread estimates how much the usage samples of an owner differ from each other.
	spread struct {
		cpu    moments
		memory moments
	}

	// moments are the exponentially weighted mean and variance of samples.
	moments struct {
		mean     float64
		variance float64
		set      bool // whether there was a sample
	}
)

func (s *spread) add(used jaygw.Resources) {
	s.cpu.add(float64(used.CPU))
	s.memory.add(float64(used.Memory))
}

func (m *moments) add(sample float64) {
	if !m.set {
		*m = moments{mean: sample, set: true}
		return
	}
	delta := sample - m.mean
	m.mean += spreadWeight * delta
	m.variance = (1 - spreadWeight) * (m.variance + spreadWeight*delta*delta)
}

// margin returns the margin to add to the peak, in percent, rounded up.
func (m *moments) margin() int {
	if m.mean <= 0 {
		return defaultMarginPercent
	}
	percent := 100 * marginDeviations * math.Sqrt(m.variance) / m.mean
	return int(math.Ceil(min(defaultMarginPercent, percent)))
}
