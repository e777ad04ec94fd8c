package client_test

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
)

// goingSilent is a fake leader that stops to respond when it is told to, also to open calls.
type goingSilent struct {
	messenger.DRPCGroupUnimplementedServer

	silent  atomic.Bool
	delay   time.Duration // before a response
	result  jaygw.Result  // of proposals
	calls   atomic.Int64
	address string
}

func (m *goingSilent) respond(ctx context.Context) error {
	m.calls.Add(1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(m.delay):
	}
	if m.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (m *goingSilent) Propose(ctx context.Context, _ *messenger.ProposeRequest) (*messenger.ProposeResponse, error) {
	if err := m.respond(ctx); err != nil {
		return nil, err
	}
	data, err := encoder.Marshal(m.result)
	return &messenger.ProposeResponse{Result: data, LeaderAddress: m.address}, err
}

func (m *goingSilent) Query(ctx context.Context, _ *messenger.CallRequest) (*messenger.CallResponse, error) {
	if err := m.respond(ctx); err != nil {
		return nil, err
	}
	body, err := encoder.Marshal(jaygw.WorkflowQueryResult{Number: 7, Replica: 1})
	return &messenger.CallResponse{Body: body, Leader: m.address}, err
}

func serveGoingSilent(t testing.TB, silent bool) *goingSilent {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &goingSilent{address: listener.Addr().String()}
	m.silent.Store(silent)
	mux := drpcmux.New()
	require.NoError(t, messenger.DRPCRegisterGroup(mux, m))
	go func() { _ = dialer.Serve(t.Context(), listener, mux) }()
	return m
}

func newClient(t testing.TB, addresses ...string) *client.Client {
	t.Helper()
	d := dialer.New()
	t.Cleanup(func() { d.Close() })
	return client.New("main", addresses, d)
}

// callBesideFailure makes a call 300 ms after a query that times out at a silent member, and returns how long
// it took. The result is that of proposals at the next member.
func callBesideFailure(t *testing.T, result jaygw.Result, call func(*client.Client)) time.Duration {
	t.Helper()
	for range 5 {
		silent, next := serveGoingSilent(t, true), serveGoingSilent(t, false)
		next.result = result
		group := newClient(t, silent.address, next.address)
		var calls sync.WaitGroup
		calls.Go(func() { _, _ = group.Query(t.Context(), jaygw.WorkflowQuery{}) })
		time.Sleep(300 * time.Millisecond)
		start := time.Now()
		call(group)
		took := time.Since(start)
		calls.Wait()
		if silent.calls.Load() == 2 {
			return took
		}
		t.Log("the machine stood still until the query had timed out")
	}
	require.Fail(t, "no call was sent to the silent member beside the query")
	return 0
}

// TestQueryWaitsAtSilentMemberAfterAnotherFailed guards against a query that goes on waiting at a silent
// member after an earlier call has timed out there, and is overtaken by later ones.
func TestQueryWaitsAtSilentMemberAfterAnotherFailed(t *testing.T) {
	var result jaygw.WorkflowQueryResult
	var err error
	took := callBesideFailure(t, jaygw.Result{}, func(group *client.Client) {
		result, err = group.Query(t.Context(), jaygw.WorkflowQuery{})
	})
	require.NoError(t, err)
	require.Less(t, took, 700*time.Millisecond, "the first query timed out 400 ms after the second one was sent")
	require.Equal(t, 2, result.Attempts)
}

// TestProposalWaitsAtSilentMemberAfterAnotherFailed guards against a proposal that goes on waiting at a
// silent member, and against a refusal of one that the silent member may have accepted.
func TestProposalWaitsAtSilentMemberAfterAnotherFailed(t *testing.T) {
	command := jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/x"}}
	for name, result := range map[string]jaygw.Result{
		"accepted": {Index: 7}, "refused": jaygw.Refuse(jaygw.RefusedTableFull, "full"),
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			took := callBesideFailure(t, result, func(group *client.Client) {
				_, err = group.ProposeIdempotent(t.Context(), command, time.Second)
			})
			require.Less(t, took, 700*time.Millisecond, "the query timed out 400 ms after the proposal was sent")
			if result.Refusal != nil {
				require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)
			} else {
				require.NoError(t, err)
			}
		})
	}
}

// TestQueryWaitsAtMemberThatBecameUnreachable guards against a query that goes on waiting over an open
// connection at a member to which no new one can be opened.
func TestQueryWaitsAtMemberThatBecameUnreachable(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	next := serveGoingSilent(t, false)
	group := newClient(t, listener.Addr().String(), next.address)
	var calls sync.WaitGroup
	var result jaygw.WorkflowQueryResult
	var queryErr error
	var took time.Duration
	calls.Go(func() {
		start := time.Now()
		result, queryErr = group.Query(t.Context(), jaygw.WorkflowQuery{})
		took = time.Since(start)
	})
	conn, err := listener.Accept()
	require.NoError(t, err)
	defer conn.Close()
	listener.Close()
	_, err = group.Query(t.Context(), jaygw.WorkflowQuery{})
	calls.Wait()
	require.NoError(t, err)
	require.NoError(t, queryErr)
	require.Less(t, took, 500*time.Millisecond)
	require.Equal(t, 2, result.Attempts)
}

// TestCanceledCallMarksMemberAsFailed guards against a caller that goes away and makes the other callers
// leave a member that responds.
func TestCanceledCallMarksMemberAsFailed(t *testing.T) {
	command := jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/x"}}
	ends := map[string]func(context.Context) (context.Context, context.CancelFunc){
		"deadline": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 50*time.Millisecond)
		},
		"cancellation": func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx, cancel
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			slow, next := serveGoingSilent(t, false), serveGoingSilent(t, false)
			slow.delay = 200 * time.Millisecond
			group := newClient(t, slow.address, next.address)
			var calls sync.WaitGroup
			var result jaygw.WorkflowQueryResult
			var err, queryErr, proposalErr error
			calls.Go(func() { result, err = group.Query(t.Context(), jaygw.WorkflowQuery{}) })
			query, cancel := end(t.Context())
			defer cancel()
			_, queryErr = group.Query(query, jaygw.WorkflowQuery{})
			proposal, cancel := end(t.Context())
			defer cancel()
			_, proposalErr = group.ProposeIdempotent(proposal, command, time.Second)
			calls.Wait()
			require.Zero(t, next.calls.Load(), "the first member responds, and remains the one to call")
			require.EqualValues(t, 3, slow.calls.Load())
			require.NoError(t, err)
			require.Equal(t, 1, result.Attempts, "the calls that have ended tell nothing about the others")
			require.Error(t, queryErr)
			require.ErrorIs(t, proposalErr, jaygw.ErrOutcomeUnknown)
		})
	}
}

// TestSilentMemberKeptByShortDeadlines guards against callers whose deadlines are shorter than an attempt
// and who are all sent to a silent member.
func TestSilentMemberKeptByShortDeadlines(t *testing.T) {
	silent, next := serveGoingSilent(t, true), serveGoingSilent(t, false)
	group := newClient(t, silent.address, next.address)
	for try := range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 550*time.Millisecond)
		_, err := group.Query(ctx, jaygw.WorkflowQuery{})
		cancel()
		require.Equal(t, try == 0, err != nil, "%v", err)
	}
}

// TestLoadedMemberNeverCompletesCall guards against calls at a loaded member that are ended whenever another
// one has timed out there, so that none is completed.
func TestLoadedMemberNeverCompletesCall(t *testing.T) {
	loaded, next := serveGoingSilent(t, true), serveGoingSilent(t, false)
	loaded.delay = 100 * time.Millisecond
	group := newClient(t, loaded.address, next.address)
	var calls sync.WaitGroup
	calls.Go(func() { _, _ = group.Query(t.Context(), jaygw.WorkflowQuery{}) })
	time.Sleep(2 * loaded.delay)
	loaded.silent.Store(false)
	var attempts [40]int
	for i := range attempts {
		calls.Go(func() {
			result, _ := group.Query(t.Context(), jaygw.WorkflowQuery{})
			attempts[i] = result.Attempts
		})
		time.Sleep(20 * time.Millisecond)
	}
	calls.Wait()
	for _, n := range attempts {
		require.Equal(t, 1, n, "the first query timed out while the member responded to the others")
	}
}

// TestBusyLoopWhileNoMemberResponds guards against calls that free each other again and again, and against
// goroutines that remain of them.
func TestBusyLoopWhileNoMemberResponds(t *testing.T) {
	const calls, limit, interval = 20, 2 * time.Second, 100 * time.Millisecond
	for name, silent := range map[string]bool{"silent": true, "unreachable": false} {
		t.Run(name, func(t *testing.T) {
			addresses := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
			if silent {
				for i := range addresses {
					addresses[i] = serveGoingSilent(t, true).address
				}
			}
			time.Sleep(interval) // until the goroutines of the members run
			before := runtime.NumGoroutine()
			d := dialer.New()
			group := client.New("main", addresses, d)
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			var attempts [calls]int
			var waiting sync.WaitGroup
			for i := range attempts {
				waiting.Go(func() {
					result, _ := group.Query(ctx, jaygw.WorkflowQuery{})
					attempts[i] = result.Attempts
				})
			}
			waiting.Wait()
			for _, n := range attempts {
				require.LessOrEqual(t, n, 2*int(limit/interval)+1, "a call pauses before every other attempt")
			}
			d.Close()
			for end := time.Now().Add(5 * time.Second); runtime.NumGoroutine() > before && time.Now().Before(end); {
				time.Sleep(20 * time.Millisecond)
			}
			require.LessOrEqual(t, runtime.NumGoroutine(), before)
		})
	}
}

// BenchmarkLongestWaitAtSilentMember reports the longest and the mean time of a query, and
// how many of 40 took over 700 ms, while one arrives each 50 ms and
// the leader goes silent.
func BenchmarkLongestWaitAtSilentMember(b *testing.B) {
	var longest, total time.Duration
	var queries, slow int
	for range b.N {
		silent, next := serveGoingSilent(b, false), serveGoingSilent(b, false)
		group := newClient(b, silent.address, next.address)
		var mu sync.Mutex
		var calls sync.WaitGroup
		for i := range 40 {
			if i == 10 {
				silent.silent.Store(true)
			}
			calls.Go(func() {
				start := time.Now()
				_, err := group.Query(b.Context(), jaygw.WorkflowQuery{})
				took := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					b.Error(err)
				}
				if took > 700*time.Millisecond {
					slow++
				}
				longest, total, queries = max(longest, took), total+took, queries+1
			})
			time.Sleep(50 * time.Millisecond)
		}
		calls.Wait()
	}
	b.ReportMetric(float64(slow)/float64(b.N), "over-700-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
	b.ReportMetric(float64(total.Milliseconds())/float64(queries), "mean-ms")
}
