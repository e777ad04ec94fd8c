package client_test

import (
	"context"
	"net"
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

// member is a fake replica that responds to proposals with queued responses, and does not
// respond while the queue is empty.
type member struct {
	messenger.DRPCGroupUnimplementedServer

	responses chan func() (*messenger.ProposeResponse, error)
}

func (m *member) Propose(ctx context.Context, _ *messenger.ProposeRequest) (*messenger.ProposeResponse, error) {
	select {
	case respond := <-m.responses:
		return respond()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Query responds like Propose, with a catalog of the number 7 if the proposal is accepted.
func (m *member) Query(ctx context.Context, _ *messenger.CallRequest) (*messenger.CallResponse, error) {
	response, err := m.Propose(ctx, nil)
	if err != nil {
		return nil, err
	}
	body, err := encoder.Marshal(jaygw.WorkflowQueryResult{Number: 7})
	return &messenger.CallResponse{Error: response.Error, Body: body, Members: response.Members, Leader: response.LeaderAddress}, err
}

func serve(t *testing.T) (*member, string) {
	t.Helper()
	m := &member{responses: make(chan func() (*messenger.ProposeResponse, error), 8)}
	mux := drpcmux.New()
	require.NoError(t, messenger.DRPCRegisterGroup(mux, m))
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = dialer.Serve(t.Context(), listener, mux) }()
	return m, listener.Addr().String()
}

func errorResponse(code messenger.ErrorCode) func() (*messenger.ProposeResponse, error) {
	return func() (*messenger.ProposeResponse, error) { return &messenger.ProposeResponse{Error: code}, nil }
}

func refusalResponse(t *testing.T) func() (*messenger.ProposeResponse, error) {
	data, err := encoder.Marshal(jaygw.Refuse(jaygw.RefusedTableFull, "full"))
	require.NoError(t, err)
	return func() (*messenger.ProposeResponse, error) { return &messenger.ProposeResponse{Result: data}, nil }
}

// TestDecideReportsUnknownOutcome guards against a refusal, which means that a workflow never
// runs, after an attempt whose outcome is unknown, and against an unknown outcome where no
// member was reached.
func TestDecideReportsUnknownOutcome(t *testing.T) {
	command := jaygw.Command{CancelWorkflow: &jaygw.CancelWorkflow{Host: "h", Path: "/q/x"}}
	m, address := serve(t)
	d := dialer.New()
	defer d.Close()
	group := client.New("main", []string{address}, d)

	m.responses <- errorResponse(messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN)
	m.responses <- refusalResponse(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := group.ProposeIdempotent(ctx, command, time.Second)
	require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)

	m.responses <- errorResponse(messenger.ErrorCode_ERROR_CODE_NOT_LEADER)
	m.responses <- refusalResponse(t)
	result, err := group.ProposeIdempotent(ctx, command, time.Second)
	require.NoError(t, err)
	require.Equal(t, jaygw.RefusedTableFull, result.Refusal.Code)

	// The first attempt may have been accepted, and all later ones are rejected until the
	// context of the caller ends.
	m.responses <- errorResponse(messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN)
	for range 3 {
		m.responses <- errorResponse(messenger.ErrorCode_ERROR_CODE_NOT_LEADER)
	}
	brief, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
	defer cancel()
	_, err = group.ProposeIdempotent(brief, command, time.Second)
	require.ErrorIs(t, err, jaygw.ErrOutcomeUnknown)
	require.NotErrorIs(t, err, jaygw.ErrNotLeader, "this error means that the command never runs")
	for len(m.responses) > 0 {
		<-m.responses
	}

	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener.Close()
	unreachable := client.New("main", []string{listener.Addr().String()}, d)
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = unreachable.ProposeIdempotent(short, command, time.Second)
	require.ErrorIs(t, err, jaygw.ErrNotLeader)
	require.NotErrorIs(t, err, jaygw.ErrOutcomeUnknown)

	start := time.Now()
	_, err = unreachable.ProposeIdempotent(ctx, command, 50*time.Millisecond)
	require.ErrorIs(t, err, jaygw.ErrNotLeader)
	require.Less(t, time.Since(start), 2*time.Second, "a command that was never sent must fail after the wait limit")
}

// TestStaleSubmissionIsUndecided guards against a submission that is given up as undecided after a lost attempt, although the
// group has refused it as stale, which no earlier attempt can have escaped.
func TestStaleSubmissionIsUndecided(t *testing.T) {
	m, address := serve(t)
	d := dialer.New()
	defer d.Close()
	stale, err := encoder.Marshal(jaygw.Refuse(jaygw.RefusedStale, "catalog 6 is in force"))
	require.NoError(t, err)
	m.responses <- errorResponse(messenger.ErrorCode_ERROR_CODE_OUTCOME_UNKNOWN)
	m.responses <- func() (*messenger.ProposeResponse, error) { return &messenger.ProposeResponse{Result: stale}, nil }
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	command := jaygw.Command{SubmitWorkflow: &jaygw.SubmitWorkflow{Host: "h", Path: "/q/x"}}
	result, err := client.New("main", []string{address}, d).ProposeIdempotent(ctx, command, time.Second)
	require.NoError(t, err)
	require.Equal(t, jaygw.RefusedStale, result.Refusal.Code)
}
