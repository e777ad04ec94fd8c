// Package connector speaks HTTP and JSON with the platform's worker on a VM.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/rotisserie/eris"
)

type (
	// Connector is the worker on the VM of an agent.
	Connector struct {
		base   string
		client *http.Client

		mu       sync.Mutex
		instance string
		reading  reading
	}

	// Clock is a reading of the worker's monotonic clock, in nanoseconds.
	Clock int64

	// reading is the worker's clock in a response, and when that response had
	// arrived. The clock was read earlier, so a time that is converted with it
	// comes out early, never late.
	reading struct {
		worker Clock
		agent  time.Time
	}

	// Option changes a new Connector.
	Option func(*Connector)

	// StartRequest is the body of a start.
	StartRequest struct {
		Instance string       `json:"instance"`
		Permit   jaygw.Permit `json:"permit"`
		By       Clock        `json:"by"`
		LeaseEnd Clock        `json:"lease-end"`
	}

	// ExtendRequest is the body of a lease renewal.
	ExtendRequest struct {
		Instance string         `json:"instance"`
		Kind     jaygw.TaskKind `json:"kind"`
		LeaseEnd Clock          `json:"lease-end"`
	}

	// ListRequest is the body of a list.
	ListRequest struct {
		Seen uint64         `json:"seen"`
		Wait jaygw.Duration `json:"wait"`
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

	// ClockHeader carries the worker's clock in each response.
	ClockHeader = "jaygw-worker-clock"

	callTimeout    = 5 * time.Second
	maxResultBytes = 16 << 20
	maxDetailBytes = 512
)

var (
	_ jaygw.Worker = (*Connector)(nil)

	// ErrNoClock is returned for starts and lease ends before the first list.
	ErrNoClock = errors.New("the worker's clock is not known yet")
)

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
func (c *Connector) Start(ctx context.Context, permit jaygw.Permit, window jaygw.StartWindow) error {
	instance, at := c.clock()
	if instance == "" {
		return ErrNoClock
	}
	_, err := call[struct{}](ctx, c, "/start", StartRequest{
		Instance: instance, Permit: permit, By: at.convert(window.By), LeaseEnd: at.convert(window.LeaseEnd),
	})
	return err
}

// Extend moves the lease end of the attempts of a kind.
func (c *Connector) Extend(ctx context.Context, kind jaygw.TaskKind, leaseEnd time.Time) error {
	instance, at := c.clock()
	if instance == "" {
		return ErrNoClock
	}
	_, err := call[struct{}](ctx, c, "/extend", ExtendRequest{Instance: instance, Kind: kind, LeaseEnd: at.convert(leaseEnd)})
	return err
}

func (c *Connector) clock() (string, reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance, c.reading
}

// convert returns the worker's clock at a time of the agent.
func (r reading) convert(t time.Time) Clock { return r.worker + Clock(t.Sub(r.agent)) }

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
func (c *Connector) Stop(ctx context.Context, id jaygw.Attempt) (jaygw.WorkerTask, error) {
	return call[jaygw.WorkerTask](ctx, c, "/stop", id)
}

// List returns the worker's attempts.
func (c *Connector) List(ctx context.Context, seen uint64, wait time.Duration) (jaygw.WorkerList, error) {
	list, err := call[jaygw.WorkerList](ctx, c, "/list", ListRequest{Seen: seen, Wait: jaygw.Duration(wait)})
	if err != nil {
		return list, err
	}
	if list.Instance == "" {
		return list, eris.New("the worker's list does not name its instance")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instance = list.Instance
	return list, nil
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
	if err := c.read(response.Header.Get(ClockHeader)); err != nil {
		return result, err
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResultBytes)).Decode(&result)
	return result, eris.Wrapf(err, "read the worker's response to %s", path)
}

// read takes the worker's clock from a response that has just arrived.
func (c *Connector) read(header string) error {
	value, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return eris.Errorf("the worker's response has no clock: %s is %q", ClockHeader, header)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading{worker: Clock(value), agent: time.Now()}
	return nil
}
