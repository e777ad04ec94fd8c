// Package connector speaks HTTP and JSON with the platform's worker on a VM.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

type (
	// Connector is the worker on the VM of an agent.
	Connector struct {
		base   string
		client *http.Client
	}

	// Option changes a new Connector.
	Option func(*Connector)

	// StartRequest is the body of a start.
	StartRequest struct {
		Permit jaygw.Permit   `json:"permit"`
		Lease  jaygw.Duration `json:"lease"`
	}

	// ExtendRequest is the body of a lease renewal.
	ExtendRequest struct {
		Kind  jaygw.TaskKind `json:"kind"`
		Lease jaygw.Duration `json:"lease"`
	}

	// ThrottleRequest is the body of a throttle.
	ThrottleRequest struct {
		Attempt jaygw.Attempt `json:"attempt"`
		Percent int           `json:"percent"`
	}

	// StatusError is a refusal of the worker.
	StatusError struct {
		Status int
		Detail string
	}
)

const (
	// Prefix is the path below which the worker's interface is served.
	Prefix = "/platform/tasks"

	callTimeout    = 5 * time.Second
	maxResultBytes = 16 << 20
	maxDetailBytes = 512
)

var _ jaygw.Worker = (*Connector)(nil)

// WithClient replaces the HTTP client.
func WithClient(client *http.Client) Option {
	return func(c *Connector) { c.client = client }
}

// New returns a connector to the worker at an address.
func New(address string, options ...Option) *Connector {
	c := &Connector{base: "http://" + address + Prefix, client: &http.Client{Timeout: callTimeout}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Error returns the worker's words.
func (e *StatusError) Error() string { return e.Detail }

// Start runs an attempt.
func (c *Connector) Start(ctx context.Context, permit jaygw.Permit, lease time.Duration) error {
	_, err := call[struct{}](ctx, c, "/start", StartRequest{Permit: permit, Lease: jaygw.Duration(lease)})
	return err
}

// Extend renews the leases of a kind.
func (c *Connector) Extend(ctx context.Context, kind jaygw.TaskKind, lease time.Duration) error {
	_, err := call[struct{}](ctx, c, "/extend", ExtendRequest{Kind: kind, Lease: jaygw.Duration(lease)})
	return err
}

// Checkpoint makes an attempt write a checkpoint.
func (c *Connector) Checkpoint(ctx context.Context, id jaygw.Attempt) (jaygw.Checkpoint, error) {
	return call[jaygw.Checkpoint](ctx, c, "/checkpoint", id)
}

// Throttle limits an attempt.
func (c *Connector) Throttle(ctx context.Context, id jaygw.Attempt, percent int) error {
	_, err := call[struct{}](ctx, c, "/throttle", ThrottleRequest{Attempt: id, Percent: percent})
	return err
}

// Stop ends an attempt.
func (c *Connector) Stop(ctx context.Context, id jaygw.Attempt) (jaygw.Checkpoint, error) {
	return call[jaygw.Checkpoint](ctx, c, "/stop", id)
}

// List returns the worker's attempts.
func (c *Connector) List(ctx context.Context) ([]jaygw.WorkerTask, error) {
	return call[[]jaygw.WorkerTask](ctx, c, "/list", struct{}{})
}

// Forget drops an ended attempt.
func (c *Connector) Forget(ctx context.Context, id jaygw.Attempt) error {
	_, err := call[struct{}](ctx, c, "/forget", id)
	return err
}

// Usage returns the observed use of the running attempts.
func (c *Connector) Usage(ctx context.Context) ([]jaygw.Usage, error) {
	return call[[]jaygw.Usage](ctx, c, "/usage", struct{}{})
}

func call[A any](ctx context.Context, c *Connector, path string, question any) (A, error) {
	var result A
	body, err := json.Marshal(question)
	if err != nil {
		return result, eris.Wrap(err, "encode the worker's request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result, eris.Wrap(err, "build the worker's request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return result, eris.Wrapf(err, "call the worker's %s", path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
		return result, &StatusError{Status: response.StatusCode, Detail: strings.TrimSpace(string(detail))}
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResultBytes)).Decode(&result)
	return result, eris.Wrapf(err, "read the worker's response to %s", path)
}
