// Package server serves the drpc calls to a replica of a control group.
package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/schedule/orchestrator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// Server serves the calls of other processes to one replica.
	Server struct {
		messenger.DRPCGroupUnimplementedServer

		group        string
		control      jaygw.Control
		dispatcher   *dispatcher.Dispatcher
		orchestrator *orchestrator.Orchestrator
		dialer       *dialer.Dialer
		locator      *locator.Locator
	}

	// Option configures a new Server.
	Option func(*Server)

	// receiver receives the consensus messages of other replicas.
	receiver interface {
		Receive(stream messenger.DRPCGroup_StepStream) error
	}
)

// maxWatchHold limits how long a Watch call waits for a change.
const maxWatchHold = time.Second

// WithDialer makes a replica that is not the leader forward calls to the leader.
func WithDialer(d *dialer.Dialer) Option { return func(s *Server) { s.dialer = d } }

// WithOrchestrator makes the server serve the calls of agents and workflows with an orchestrator.
func WithOrchestrator(o *orchestrator.Orchestrator) Option {
	return func(s *Server) { s.orchestrator = o }
}

// WithLocator makes the server name the members and the leader that a locator knows while the replica
// is not a member.
func WithLocator(l *locator.Locator) Option { return func(s *Server) { s.locator = l } }

// New returns the server of a replica and its dispatcher.
func New(group string, control jaygw.Control, d *dispatcher.Dispatcher, options ...Option) *Server {
	s := &Server{group: group, control: control, dispatcher: d, locator: locator.New(nil)}
	for _, option := range options {
		option(s)
	}
	return s
}

// Step receives the consensus messages of another replica.
func (s *Server) Step(stream messenger.DRPCGroup_StepStream) error {
	replica, ok := s.control.(receiver)
	if !ok {
		return jaygw.ErrNotLeader
	}
	return replica.Receive(stream)
}

// leaderClient returns a client of the leader if another replica is the leader and the call
// may be forwarded. A forwarded call is not forwarded again, since two replicas that each
// consider the other the leader would forward it in a loop.
func (s *Server) leaderClient(ctx context.Context, forwarded bool) (messenger.DRPCGroupClient, bool) {
	status := s.control.Status()
	if s.dialer == nil || forwarded || status.Leader == status.ID {
		return nil, false
	}
	for _, m := range status.Members {
		if m.ID == status.Leader {
			return messenger.NewDRPCGroupClient(s.dialer.Conn(ctx, m.Address)), true
		}
	}
	return nil, false
}

// Propose commits a command, or forwards it to the leader.
func (s *Server) Propose(ctx context.Context, m *messenger.ProposeRequest) (*messenger.ProposeResponse, error) {
	if m.Group != s.group {
		return failedProposal(jaygw.ErrWrongGroup), nil
	}
	var command jaygw.Command
	if err := encoder.Unmarshal(m.Command, &command); err != nil {
		return failedProposal(jaygw.ErrInvalidMessage), nil
	}
	ctx = coordinator.FailFast(ctx)
	if m.Forwarded {
		ctx = coordinator.Forwarded(ctx)
	}
	result, err := s.admitOrPropose(ctx, command)
	if err != nil {
		failure := failedProposal(err)
		failure.Members, failure.LeaderAddress = s.memberAddresses(), s.leaderAddress()
		return failure, nil
	}
	data, err := encoder.Marshal(result)
	return &messenger.ProposeResponse{Result: data, Members: s.memberAddresses(), LeaderAddress: s.leaderAddress()}, err
}

// admitOrPropose proposes a command, unless the leader refuses it.
func (s *Server) admitOrPropose(ctx context.Context, command jaygw.Command) (result jaygw.Result, err error) {
	if s.orchestrator != nil {
		release, refusal := s.orchestrator.Reserve(ctx, &command, time.Now())
		if refusal != nil {
			return jaygw.Result{Refusal: refusal}, nil
		}
		defer func() { release(err) }()
	}
	if command.SubmitWorkflow != nil && s.orchestrator != nil {
		if refusal := s.orchestrator.RefuseSubmission(ctx, command.SubmitWorkflow); refusal != nil {
			return jaygw.Result{Refusal: refusal}, nil
		}
	}
	return s.control.Propose(ctx, command)
}

func failedProposal(err error) *messenger.ProposeResponse {
	return &messenger.ProposeResponse{Error: converter.ErrorCode(err)}
}

// Renew renews the lease of a VM, or forwards the call to the leader.
func (s *Server) Renew(ctx context.Context, m *messenger.RenewRequest) (*messenger.RenewResponse, error) {
	if m.Group != s.group {
		return &messenger.RenewResponse{Error: messenger.ErrorCode_ERROR_CODE_WRONG_GROUP}, nil
	}
	if leader, ok := s.leaderClient(ctx, m.Forwarded); ok {
		m.Forwarded = true
		return leader.Renew(ctx, m)
	}
	result, err := s.dispatcher.Renew(ctx, converter.Renewal(m))
	if err != nil {
		return &messenger.RenewResponse{Error: converter.ErrorCode(err)}, nil
	}
	result.Members = s.memberAddresses()
	return converter.RenewResponse(result), nil
}

// Watch returns the changes of the view since the revision that a node has, once there are
// any or the hold time has passed. It forwards the call if another replica is the leader.
func (s *Server) Watch(ctx context.Context, m *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	if m.Group != s.group {
		return &messenger.WatchResponse{Error: messenger.ErrorCode_ERROR_CODE_WRONG_GROUP}, nil
	}
	if leader, ok := s.leaderClient(ctx, m.Forwarded); ok {
		m.Forwarded = true
		return leader.Watch(ctx, m)
	}
	view, err := s.dispatcher.Watch(ctx, dispatcher.AppliedView{
		Node: m.Node, Term: m.Term, Index: jaygw.Index(m.Index), Revision: m.Revision, Hold: min(time.Duration(m.HoldNanos), maxWatchHold),
	})
	if err != nil {
		return &messenger.WatchResponse{Error: converter.ErrorCode(err)}, nil
	}
	view.Group = s.group
	data, err := encoder.Marshal(view)
	return &messenger.WatchResponse{View: data, Members: s.memberAddresses()}, err
}

// leaderAddress returns the address of the leader, or the empty string if it is not known.
func (s *Server) leaderAddress() string { return s.view().Leader }

// Status returns the status of the replica, encoded as JSON.
func (s *Server) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	data, err := json.Marshal(s.control.Status())
	return &messenger.StatusResponse{Status: data}, err
}

func (s *Server) memberAddresses() []string { return s.view().Members }

// view returns the replica's view of the group, or that of the locator if the replica is not a
// member.
func (s *Server) view() jaygw.GroupView {
	status := s.control.Status()
	if !status.IsMember() {
		return s.locator.View()
	}
	return status.View()
}

// Locate exchanges views of the group.
func (s *Server) Locate(_ context.Context, m *messenger.CallRequest) (*messenger.CallResponse, error) {
	return locate(s.group, s.locator, m), nil
}
