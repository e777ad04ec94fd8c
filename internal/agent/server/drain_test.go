package server

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/stretchr/testify/require"
)

// A replica that stops while a request of it is in flight would cut the request
// off; one that waits for requests of other services would stop late.
func TestDrainServiceWaitsForItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("127.0.0.1:1", 1, limiter.New(8, 8))
		s.count("booking", 1)
		s.count("previews", 1)
		drained := make(chan time.Time, 1)
		begun := time.Now()
		go func() {
			s.DrainService(t.Context(), "booking")
			drained <- time.Now()
		}()
		time.Sleep(2 * viewDelay)
		require.Empty(t, drained)
		s.count("booking", -1)
		require.LessOrEqual(t, (<-drained).Sub(begun), 2*viewDelay+drainPoll)
	})
}

// A replica must stop in time even if a request never ends.
func TestDrainServiceEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New("127.0.0.1:1", 1, limiter.New(8, 8))
		s.count("booking", 1)
		ctx, cancel := context.WithTimeout(t.Context(), 3*viewDelay)
		defer cancel()
		begun := time.Now()
		s.DrainService(ctx, "booking")
		require.Equal(t, 3*viewDelay, time.Since(begun))
	})
}
