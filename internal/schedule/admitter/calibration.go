package admitter

import (
	"slices"
	"time"
)

// calibration holds by how much the latest workflows of a class took longer than predicted. Failed runs and waits
// between steps, which the learned run times do not show, are part of that.
type calibration struct {
	errors []time.Duration
	next   int
}

const (
	// calibrationSize is the number of workflows that a correction covers: some tens, as a burst lasts.
	calibrationSize = 32

	// minCalibration is the number of workflows below which there is no correction.
	minCalibration = 5

	// calibrationRank is the quantile of the correction, like that of a high estimate.
	calibrationRank = 0.9
)

func (c *calibration) add(excess time.Duration) {
	if len(c.errors) < calibrationSize {
		c.errors = append(c.errors, excess)
		return
	}
	c.errors[c.next] = excess
	c.next = (c.next + 1) % calibrationSize
}

// correction returns the time to add to predictions, at least zero.
func (c *calibration) correction() time.Duration {
	if len(c.errors) < minCalibration {
		return 0
	}
	sorted := slices.Sorted(slices.Values(c.errors))
	return max(0, sorted[int(calibrationRank*float64(len(sorted)-1))])
}
