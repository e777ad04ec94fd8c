// Package server answers the drpc calls to a control group's replica.
package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

type (
	// Server is one replica as seen by other processes.
	Server struct {
		messenger.DRPCGroupUnimplementedServer

		group      string
		control    jaygw.Control
		dispatcher *dispatcher.Dispatcher
	}
)

const maxHold = time.Second

// New returns the server of a replica and its dispatcher.
func New(group string, control jaygw.Control, d *dispatcher.Dispatcher) *Server {
	return &Server{group: group, control: control, dispatcher: d}
}

// Propose commits a command.
func (s *Server) Propose(ctx context.Context, m *messenger.ProposeRequest) (*messenger.ProposeResponse, error) {
	var command jaygw.Command
	if err := encoder.Unmarshal(m.Command, &command); err != nil {
		return proposeFailure(jaygw.ErrInvalidMessage), nil
	}
	result, err := s.control.Propose(ctx, command)
	if err != nil {
		return proposeFailure(err), nil
	}
	data, err := encoder.Marshal(result)
	return &messenger.ProposeResponse{Result: data}, err
}

func proposeFailure(err error) *messenger.ProposeResponse {
	return &messenger.ProposeResponse{Error: converter.ErrorCode(err)}
}

// Renew renews a VM's lease.
func (s *Server) Renew(ctx context.Context, m *messenger.RenewRequest) (*messenger.RenewResponse, error) {
	if m.Group != s.group {
		return &messenger.RenewResponse{Error: messenger.ErrorCode_ERROR_CODE_WRONG_GROUP}, nil
	}
	result, err := s.dispatcher.Renew(ctx, converter.Renewal(m))
	if err != nil {
		return &messenger.RenewResponse{Error: converter.ErrorCode(err)}, nil
	}
	result.Members = s.members()
	return converter.RenewResponse(result), nil
}

// Watch returns what has changed in the view.
func (s *Server) Watch(ctx context.Context, m *messenger.WatchRequest) (*messenger.WatchResponse, error) {
	if m.Group != s.group {
		return &messenger.WatchResponse{Error: messenger.ErrorCode_ERROR_CODE_WRONG_GROUP}, nil
	}
	view, err := s.dispatcher.Watch(ctx, dispatcher.Seen{
		Node: m.Node, Term: m.Term, Index: jaygw.Index(m.Index), Revision: m.Revision, Hold: min(time.Duration(m.HoldNanos), maxHold),
	})
	if err != nil {
		return &messenger.WatchResponse{Error: converter.ErrorCode(err)}, nil
	}
	view.Group = s.group
	data, err := encoder.Marshal(view)
	return &messenger.WatchResponse{View: data, Members: s.members()}, err
}

// Status describes the replica.
func (s *Server) Status(context.Context, *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	data, err := json.Marshal(s.control.Status())
	return &messenger.StatusResponse{Status: data}, err
}

func (s *Server) members() []string {
	var addresses []string
	for _, member := range s.control.Status().Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
