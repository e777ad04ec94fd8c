package client_test

import (
	"context"
	"net"
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
