package server

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/wire/converter"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// Guide serves the calls to a control process without a replica: it names the members and the leader
// that it knows, and rejects all other requests.
type Guide struct {
	messenger.DRPCGroupUnimplementedServer

	group   string
	locator *locator.Locator
}

// NewGuide returns a guide to a group.
func NewGuide(group string, l *locator.Locator) *Guide { return &Guide{group: group, locator: l} }

// Locate exchanges views of the group.
func (g *Guide) Locate(_ context.Context, m *messenger.CallRequest) (*messenger.CallResponse, error) {
	return locate(g.group, g.locator, m), nil
}

// Propose names the leader.
func (g *Guide) Propose(context.Context, *messenger.ProposeRequest) (*messenger.ProposeResponse, error) {
	view := g.locator.View()
	failure := failedProposal(jaygw.ErrNotLeader)
	failure.Members, failure.LeaderAddress = view.Members, view.Leader
	return failure, nil
}

// Attend names the leader.
func (g *Guide) Attend(context.Context, *messenger.CallRequest) (*messenger.CallResponse, error) {
	return g.reject(), nil
}

// Query names the leader.
func (g *Guide) Query(context.Context, *messenger.CallRequest) (*messenger.CallResponse, error) {
	return g.reject(), nil
}

// Join names the leader.
func (g *Guide) Join(context.Context, *messenger.CallRequest) (*messenger.CallResponse, error) {
	return g.reject(), nil
}

func (g *Guide) reject() *messenger.CallResponse {
	view := g.locator.View()
	return &messenger.CallResponse{Error: converter.ErrorCode(jaygw.ErrNotLeader), Members: view.Members, Leader: view.Leader}
}

// locate handles an exchange of views.
func locate(group string, l *locator.Locator, m *messenger.CallRequest) *messenger.CallResponse {
	response := &messenger.CallResponse{}
	err := jaygw.ErrWrongGroup
	if m.Group == group {
		var request jaygw.LocateRequest
		if err = encoder.Unmarshal(m.Body, &request); err != nil {
			err = jaygw.ErrInvalidMessage
		} else {
			response.Body, err = encoder.Marshal(l.HandleRequest(request, time.Now()))
		}
	}
	response.Error = converter.ErrorCode(err)
	return response
}
