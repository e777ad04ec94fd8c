package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestChangeOfPathUnnoticed guards against a response that names no change, or another one than the last, of the queue to
// which a path leads, also after a restart from a snapshot.
func TestChangeOfPathUnnoticed(t *testing.T) {
	paths := []string{"/", "/a/", "/a/b/", "/c"}
	rapid.Check(t, func(t *rapid.T) {
		r := registrar.New(func(string) bool { return false })
		outcomes, changes := map[string]string{}, map[string]uint64{}
		for number := uint64(1); number <= 12; number++ {
			next := jaygw.Catalog{Number: number, Services: []jaygw.PoolSpec{{Name: "s"}, {Name: "t"}}}
			for _, prefix := range paths {
				if service := rapid.SampledFrom([]string{"s", "s", "t", ""}).Draw(t, "service"); service != "" {
					next.Queues = append(next.Queues, jaygw.Queue{Name: prefix, Host: "H", Prefix: prefix, Service: service, Timeout: time.Second})
				}
			}
			require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: next}).Refusal)
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				r = restored(t, r)
			}
			for _, path := range []string{"/", "/a/", "/a/b/x", "/a/y", "/cd", "none"} {
				outcome := ""
				if queue, _ := next.FindQueue("h", path); queue != nil {
					outcome = queue.Prefix + " " + queue.Service
				}
				if outcome != outcomes[path] {
					outcomes[path], changes[path] = outcome, number
				}
				require.Equal(t, changes[path], r.Query(jaygw.WorkflowQuery{Host: "h", Path: path}).ChangedAt, "%s at %d", path, number)
			}
		}
	})
}

// TestRemovedQueuesFillTheState guards against changes of removed queues that are kept for good, and against the loss of
// changes of queues in force.
func TestRemovedQueuesFillTheState(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	limit := registrar.DefaultLimits().RemovedQueues
	const perCatalog = 400
	for number := 1; number <= 2*limit/perCatalog; number++ {
		next := catalog(uint64(number))
		for i := range perCatalog {
			next.Queues = append(next.Queues, jaygw.Queue{
				Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/%d/%d/", number, i), Service: next.Services[0].Name, Timeout: time.Second,
			})
		}
		require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: next}).Refusal)
	}
	last := catalog(uint64(2*limit/perCatalog + 1))
	require.Nil(t, r.PutCatalog(jaygw.PutCatalog{Catalog: last}).Refusal)
	require.Len(t, r.Snapshot().QueueChanges, limit+len(last.Queues))
	require.EqualValues(t, 1, r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/q/"}).ChangedAt)
	require.EqualValues(t, last.Number, r.Query(jaygw.WorkflowQuery{Host: "h", Path: fmt.Sprintf("/%d/1/", last.Number-1)}).ChangedAt)
}
