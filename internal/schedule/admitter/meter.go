package admitter

import (
	"time"

	"github.com/jaygw/jaygw"
)

const (
	// meterBuckets and bucketWidth make up the window over which rates are measured. It spans a few runs of a step, so
	// that the ends of one step do not dominate the rate.
	meterBuckets = 10
	bucketWidth  = 500 * time.Millisecond

	// meterWindow is the longest time that a rate covers.
	meterWindow = meterBuckets * bucketWidth
)

// meter measures work per second over the latest meterWindow.
type meter struct {
	buckets [meterBuckets]float64
	current int64 // number of the bucket of the latest call
	since   jaygw.Time
}

func newMeter(now jaygw.Time) meter {
	return meter{current: int64(now) / int64(bucketWidth), since: now}
}

// advance clears the buckets that have left the window. A clock that was set back leaves them as they are.
func (m *meter) advance(now jaygw.Time) {
	number := int64(now) / int64(bucketWidth)
	m.current = max(m.current, number-meterBuckets)
	for m.current < number {
		m.current++
		m.buckets[m.current%meterBuckets] = 0
	}
}

func (m *meter) add(work float64, now jaygw.Time) {
	m.advance(now)
	m.buckets[m.current%meterBuckets] += work
}

// rate returns the work per second, over at least a second.
func (m *meter) rate(now jaygw.Time) float64 {
	m.advance(now)
	sum := 0.0
	for _, work := range m.buckets {
		sum += work
	}
	start := jaygw.Time((m.current - meterBuckets + 1) * int64(bucketWidth))
	return sum / max(1, now.Sub(max(start, m.since)).Seconds())
}
