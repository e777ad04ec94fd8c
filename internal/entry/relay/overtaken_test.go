package relay_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/registrar"
	"github.com/jaygw/jaygw/internal/entry/relay"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// countingGroup applies calls at once and counts them.
type countingGroup struct {
	registrar *registrar.Registrar
	calls     atomic.Int64
	first     func() // called before the first command
}

func (g *countingGroup) Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	g.calls.Add(1)
	return g.registrar.Query(query), ctx.Err()
}

func (g *countingGroup) ProposeIdempotent(ctx context.Context, command jaygw.Command, _ time.Duration) (jaygw.Result, error) {
	if g.calls.Add(1) == 1 && g.first != nil {
		g.first()
	}
	return g.registrar.Submit(*command.SubmitWorkflow, 1), ctx.Err()
}

func numberedCatalog(number uint64, paths ...string) jaygw.PutCatalog {
	catalog := jaygw.Catalog{Number: number, Services: []jaygw.PoolSpec{{Name: "s"}}}
	for _, path := range paths {
		catalog.Queues = append(catalog.Queues, jaygw.Queue{Name: path, Host: "h", Prefix: path, Service: "s", Timeout: time.Second})
	}
	return jaygw.PutCatalog{Catalog: catalog}
}

func newCountingGroup() (*countingGroup, *relay.Relay) {
	g := &countingGroup{registrar: registrar.New(func(string) bool { return false })}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return g, relay.New(g, log, metrics.NewRegistry())
}

func submitOnce(ctx context.Context, service *relay.Relay, path, id string) (jaygw.Result, error) {
	spec := jaygw.WorkflowSpec{ID: id, Steps: []jaygw.Step{{Tasks: 1}}}
	return service.Submit(ctx, jaygw.SubmitWorkflow{Spec: spec, Host: "h", Path: path + id})
}

// TestResendShowsNewerCatalogThanLaterCall guards against a resend that is acknowledged at a path which a newer catalog has
// added, although a later call of the process was answered from an older one.
func TestResendShowsNewerCatalogThanLaterCall(t *testing.T) {
	g := newCatalogGroup()
	g.put(t, "/a/", "/b/")
	service, other := newOrderedRelay(g), newOrderedRelay(g)
	resend, later := send(service, "/c/", true, 1), send(service, "/a/", false, 2)
	later.takeEffect()
	later.deliver()
	require.NoError(t, later.err)
	g.put(t, "/b/", "/c/")
	first := send(other, "/c/", true, 1) // the first copy, at another process
	first.takeEffect()
	first.deliver()
	require.NoError(t, first.err)
	resend.takeEffect()
	resend.deliver()
	require.Error(t, resend.err, "answered 200 by catalog 2, a call that arrived later was answered by catalog 1")
}

// TestResendAtDroppedRoute guards against a process that answers a later call with success at a path for which it has
// answered that no queue exists.
func TestResendAtDroppedRoute(t *testing.T) {
	g, service := newCountingGroup()
	g.registrar.PutCatalog(numberedCatalog(1, "/a/"))
	result, err := submitOnce(context.Background(), service, "/a/", "w")
	require.NoError(t, err)
	require.Nil(t, result.Refusal)
	g.registrar.PutCatalog(numberedCatalog(2))
	state, err := service.Query(context.Background(), jaygw.WorkflowQuery{Host: "h", Path: "/a/w"})
	require.NoError(t, err)
	result, err = submitOnce(context.Background(), service, "/a/", "w")
	require.NoError(t, err)
	require.Equal(t, state.NoQueue, result.Refusal != nil, "the GET says no queue: %t, the POST after it is accepted: %t", state.NoQueue, result.Refusal == nil)
}

// TestSubmissionLoopsUnderCatalogZero guards against a submission that is proposed again for good because the catalog in force
// has the number zero, which the limit of a process without a catalog has too.
func TestSubmissionLoopsUnderCatalogZero(t *testing.T) {
	g, service := newCountingGroup()
	require.Nil(t, g.registrar.PutCatalog(numberedCatalog(0, "/a/")).Refusal)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := submitOnce(ctx, service, "/a/", "w")
	require.NoError(t, err, "%d proposals in 100 ms", g.calls.Load())
}

// TestSubmissionLoopsAfterAnswerWithoutCatalog guards against a submission that is proposed again for good because a later call
// was answered that there is no catalog yet, and no change of its path is known.
func TestSubmissionLoopsAfterAnswerWithoutCatalog(t *testing.T) {
	g, service := newCountingGroup()
	g.first = func() { // while the submission waits: an answer to a ping, then the first catalog
		_, _ = service.Query(context.Background(), jaygw.WorkflowQuery{})
		g.registrar.PutCatalog(numberedCatalog(1, "/a/"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := submitOnce(ctx, service, "/none/", "w")
	require.NotErrorIs(t, err, context.DeadlineExceeded, "%d proposals in 100 ms", g.calls.Load())
}

// TestQueryRepeatedWithoutPause guards against a query that is sent again without a pause while a group answers from an older
// catalog than the process knows, such as one whose state was lost or restored.
func TestQueryRepeatedWithoutPause(t *testing.T) {
	g, service := newCountingGroup()
	g.registrar.PutCatalog(numberedCatalog(6, "/a/"))
	_, err := service.Query(context.Background(), jaygw.WorkflowQuery{Host: "h", Path: "/a/"})
	require.NoError(t, err)
	g.registrar = registrar.New(func(string) bool { return false })
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, _ = service.Query(ctx, jaygw.WorkflowQuery{Host: "h", Path: "/a/"})
	require.Less(t, g.calls.Load(), int64(10), "calls to the group in 100 ms")
}

// TestPingOvertakesCalls guards against a call that is refused because of the answer to a ping of the process, which no caller
// has seen.
func TestPingOvertakesCalls(t *testing.T) {
	g := newCatalogGroup()
	g.put(t, "/a/")
	service := newOrderedRelay(g)
	waiting := send(service, "/c/", false, 1)
	ping := &heldCall{arrived: make(chan struct{}), ended: make(chan struct{}), effect: make(chan struct{}), delivery: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), heldCallKey{}, ping))
	go func() {
		defer close(ping.ended)
		_ = service.PingControl(ctx)
	}()
	<-ping.arrived
	ping.takeEffect()
	close(ping.delivery)
	time.Sleep(20 * time.Millisecond)
	cancel()
	<-ping.ended
	g.put(t, "/a/", "/c/")
	waiting.takeEffect()
	waiting.deliver()
	require.NoError(t, waiting.err)
}

// TestLateFailureHidesReachedGroup guards against a process that reports the control group as lost, and is not ready, because a
// call to a silent member ends after a later call has been answered.
func TestLateFailureHidesReachedGroup(t *testing.T) {
	g := newCatalogGroup()
	g.put(t, "/a/")
	silent := &silentGroup{catalogGroup: g, sent: make(chan struct{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	service := relay.New(silent, log, metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	ended := make(chan error)
	go func() {
		_, err := service.Query(ctx, jaygw.WorkflowQuery{Host: "h", Path: "/silent/"})
		ended <- err
	}()
	<-silent.sent
	_, err := service.Query(context.Background(), jaygw.WorkflowQuery{Host: "h", Path: "/a/"})
	require.NoError(t, err)
	require.True(t, service.ControlReached())
	require.Error(t, <-ended)
	require.True(t, service.ControlReached(), "the group was reached by a call that began after the failed one")
}

// silentGroup does not respond to queries of one path.
type silentGroup struct {
	*catalogGroup
	sent chan struct{}
}

func (g *silentGroup) Query(ctx context.Context, query jaygw.WorkflowQuery) (jaygw.WorkflowQueryResult, error) {
	if query.Path == "/silent/" {
		close(g.sent)
		<-ctx.Done()
		return jaygw.WorkflowQueryResult{}, ctx.Err()
	}
	return g.registrar.Query(query), nil
}
