package registrar_test

import (
	"fmt"
	"strings"
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

func withQueue(number uint64, prefix string) jaygw.PutCatalog {
	c := catalog(number)
	c.Queues = append(c.Queues, jaygw.Queue{Name: "added", Host: "h", Prefix: prefix, Service: c.Services[0].Name, Timeout: time.Second})
	return jaygw.PutCatalog{Catalog: c}
}

// TestReplicaFromEarlierSnapshotDiffers guards against replicas of one build that accept a submission and refuse it, because one
// has played the log and the other one has restored a snapshot of an earlier build, which holds no changes of queues.
func TestReplicaFromEarlierSnapshotDiffers(t *testing.T) {
	played := registrar.New(func(string) bool { return false })
	played.PutCatalog(jaygw.PutCatalog{Catalog: catalog(3)})
	played.PutCatalog(withQueue(6, "/c/"))
	snapshot := played.Snapshot()
	snapshot.QueueChanges = nil // as an earlier build writes it
	restored := registrar.New(func(string) bool { return false })
	restored.Restore(snapshot)
	limit := uint64(3)
	submit := jaygw.SubmitWorkflow{Spec: spec("w"), Host: "h", Path: "/c/w", CatalogLimit: &limit}
	require.Equal(t, played.Submit(submit, 1).Refusal == nil, restored.Submit(submit, 1).Refusal == nil)
	require.Len(t, restored.Active(), len(played.Active()))
}

// TestLongPathHoldsReplica guards against a call whose path makes a replica look up each of its prefixes, of which each takes the
// time of its length, while it holds its state. Callers may send 64 kB of headers.
func TestLongPathHoldsReplica(t *testing.T) {
	r := registrar.New(func(string) bool { return false })
	r.PutCatalog(jaygw.PutCatalog{Catalog: catalog(1)})
	start := time.Now()
	r.Query(jaygw.WorkflowQuery{Host: "h", Path: "/none/" + strings.Repeat("x", 60_000)})
	require.Less(t, time.Since(start), 50*time.Millisecond)
}
