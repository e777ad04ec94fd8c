package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/stretchr/testify/require"
)

// A replica that stops while one of its requests is in flight would truncate that request; a
// replica that waits for requests of other services would stop late.
func TestDrainServiceWaitsForItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("127.0.0.1:1", 1, limiter.New(8, 8))
		s.addInFlight("booking", 1)
		s.addInFlight("previews", 1)
		drained := make(chan time.Time, 1)
		start := time.Now()
		go func() {
			s.DrainService(t.Context(), "booking")
			drained <- time.Now()
		}()
		time.Sleep(2 * viewDelay)
		require.Empty(t, drained)
		s.addInFlight("booking", -1)
		require.LessOrEqual(t, (<-drained).Sub(start), 2*viewDelay+drainCheckInterval)
	})
}

// DrainService must return when its context ends, even if a request never ends, so that the replica
// stops in time.
func TestDrainServiceEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("127.0.0.1:1", 1, limiter.New(8, 8))
		s.addInFlight("booking", 1)
		ctx, cancel := context.WithTimeout(t.Context(), 3*viewDelay)
		defer cancel()
		start := time.Now()
		s.DrainService(ctx, "booking")
		require.Equal(t, 3*viewDelay, time.Since(start))
	})
}
