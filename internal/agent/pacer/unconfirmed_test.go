package pacer_test

import (
	"testing"
	"time"

	"github.com/jaygw/jaygw/internal/agent/pacer"
	"github.com/stretchr/testify/require"
)

// TestLatePaceStays guards against a spare run that stays suspended, or works on beside a serving run over its target,
// because an order without a response was carried out after newer ones.
func TestLatePaceStays(t *testing.T) {
	const sample = 500 * time.Millisecond
	p, now := pacer.New(), time.Unix(0, 0)
	spare := spareRun("spare", 0.3, 0, 0)
	worker := 100 // pace that the worker has
	var late []pacer.Pace
	step := func(tailLatency time.Duration, lost bool) {
		now = now.Add(sample)
		for _, order := range p.Decide([]pacer.Observation{servingRun(tailLatency), spare}, now) {
			if lost {
				late = append(late, order)
				p.Unconfirmed(order.Run, now)
				continue
			}
			worker = order.Percent
			p.SetPace(order)
		}
	}
	for len(late) == 0 {
		step(300*time.Millisecond, true)
	}
	require.Zero(t, late[0].Percent)
	for range 8 {
		step(300*time.Millisecond, false)
	}
	for range 8 {
		step(10*time.Millisecond, false)
	}
	require.Equal(t, 100, worker)
	worker = late[0].Percent // 8 s after it was sent
	for range 3 {
		step(10*time.Millisecond, false)
	}
	require.Equal(t, 100, worker)
	for range 40 {
		step(10*time.Millisecond, false)
	}
	worker = -1
	for range 4 {
		step(10*time.Millisecond, false)
	}
	require.Equal(t, -1, worker, "a pace is not repeated for good")
}
