package server

import (
	"context"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// Attend handles the long poll of an agent, or forwards it to the leader.
func (s *Server) Attend(ctx context.Context, m *messenger.CallRequest) (*messenger.CallResponse, error) {
	if leader, ok := s.leaderClient(ctx, m.Forwarded); ok && m.Group == s.group {
		return leader.Attend(ctx, forwardedRequest(m))
	}
	var request jaygw.PollRequest
	return s.call(m, &request, func() (any, error) { return s.orchestrator.Poll(ctx, request) })
}

// Query reads workflows from a confirmed state. A replica that is not a member rejects the call at
// once, since it cannot confirm its state.
func (s *Server) Query(ctx context.Context, m *messenger.CallRequest) (*messenger.CallResponse, error) {
	var query jaygw.WorkflowQuery
	return s.call(m, &query, func() (any, error) {
		if !s.control.Status().IsMember() {
			return nil, jaygw.ErrNotLeader
		}
		return s.orchestrator.Query(ctx, query)
	})
}

// Join adds a replica as a learner, which becomes a voter once it has caught up. The response
// is the result of the committed membership change.
func (s *Server) Join(ctx context.Context, m *messenger.CallRequest) (*messenger.CallResponse, error) {
	if leader, ok := s.leaderClient(ctx, m.Forwarded); ok && m.Group == s.group {
		return leader.Join(ctx, forwardedRequest(m))
	}
	var member jaygw.Member
	return s.call(m, &member, func() (any, error) {
		status := s.control.Status()
		if status.Leader != status.ID {
			return nil, jaygw.ErrNotLeader
		}
		for _, other := range status.Members {
			if other.Address == member.Address && other.ID != member.ID {
				member.Replaces = other.ID
			}
		}
		return s.control.Propose(ctx, jaygw.Command{Members: &jaygw.ChangeMembers{Add: &member, ReplaceUnresponsive: true}})
	})
}

func forwardedRequest(m *messenger.CallRequest) *messenger.CallRequest {
	return &messenger.CallRequest{Group: m.Group, Body: m.Body, Forwarded: true}
}

// call decodes a request into the target, calls the handler and encodes its result.
func (s *Server) call(m *messenger.CallRequest, target any, handler func() (any, error)) (*messenger.CallResponse, error) {
	response := &messenger.CallResponse{Leader: s.leaderAddress()}
	err := jaygw.ErrWrongGroup
	if m.Group == s.group {
		err = encoder.Unmarshal(m.Body, target)
		if err != nil {
			err = jaygw.ErrInvalidMessage
		}
	}
	if err == nil && s.orchestrator == nil {
		err = jaygw.ErrStopped
	}
	if err == nil {
		var result any
		if result, err = handler(); err == nil {
			response.Body, err = encoder.Marshal(result)
		}
	}
	response.Error = converter.ErrorCode(err)
	response.Members = s.memberAddresses()
	return response, nil
}
