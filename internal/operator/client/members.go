package client

import (
	"context"
	"net/http"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/operator/responder"
)

// WithToken sets the operators' token, which is sent with each request, and returns the same client.
func (c *Client) WithToken(token string) *Client {
	c.token = token
	return c
}

// Members returns the status of the endpoint's replica, with the members of the control group.
func (c *Client) Members(ctx context.Context) (jaygw.ReplicaStatus, error) {
	var response jaygw.ReplicaStatus
	err := c.call(ctx, http.MethodGet, "/v1/members", nil, nil, &response)
	return response, err
}

// ChangeMembers adds a replica to the control group, or removes one.
func (c *Client) ChangeMembers(ctx context.Context, change jaygw.ChangeMembers) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/members", change)
}
