package relay_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/relay"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// slowGroup answers a command after a time and records how many bytes wait for it.
type slowGroup struct {
	delay time.Duration

	mu            sync.Mutex
	waiting, most int64
	calls         int
}

// begin records a command that waits, and returns a function that records its end.
func (g *slowGroup) begin(bytes int64) (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
	g.waiting += bytes
	g.most = max(g.most, g.waiting)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.waiting -= bytes
	}
}

func (g *slowGroup) ProposeIdempotent(_ context.Context, command jaygw.Command, _ time.Duration) (jaygw.Result, error) {
	defer g.begin(command.SubmitWorkflow.Spec.SpecBytes())()
	time.Sleep(g.delay)
	return jaygw.Result{Catalog: 1}, nil
}

func (g *slowGroup) Query(context.Context, jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	return jaygw.WorkflowQueryResult{Number: 1}, nil
}

func submission(id string, text int) jaygw.SubmitWorkflow {
	step := jaygw.Step{Tasks: 1, Image: strings.Repeat("a", text)}
	return jaygw.SubmitWorkflow{Host: "h", Path: "/q/" + id, Spec: jaygw.WorkflowSpec{ID: id, Steps: []jaygw.Step{step}}}
}

// TestSubmissionsInFlight guards against entries that hand the leader more submissions at a time than it can hold, and against large
// ones that keep small ones out.
func TestSubmissionsInFlight(t *testing.T) {
	metrics.NewTimer().Stop() // the first one starts a goroutine that never ends, which must not be in the bubble
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		g := &slowGroup{delay: time.Second}
		service := relay.New(g, log, metrics.NewRegistry())
		var accepted, refused atomic.Int64
		submit := func(bytes int) {
			result, err := service.Submit(t.Context(), submission("w", bytes))
			require.NoError(t, err)
			if result.Refusal == nil {
				accepted.Add(1)
				return
			}
			require.Equal(t, jaygw.RefusedOverload, result.Refusal.Code)
			require.Positive(t, result.Refusal.RetryAfter)
			refused.Add(1)
		}
		for range 100 {
			go submit(240_000)
		}
		synctest.Wait()
		go submit(1000)
		synctest.Wait()
		require.Equal(t, 3, g.calls, "two large ones and the small one")
		require.LessOrEqual(t, g.most, int64(520<<10))
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, int64(98), refused.Load())
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, int64(3), accepted.Load())
		submit(2 << 20)
		require.Equal(t, int64(4), accepted.Load(), "larger than the bound, but alone")
	})
}
