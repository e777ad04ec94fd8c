// Package connector calls the platform's worker on a VM, with JSON over HTTP.
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
	// Connector is a client of the worker on the VM of an agent. It is safe for concurrent
	// use.
	Connector struct {
		baseURL string
		client  *http.Client

		mu sync.Mutex
		// instance identifies the instance of the VM in the last list; empty before the
		// first list.
		instance string
		// reading is the clock reading of the last response.
		reading clockReading
	}

	// Clock is a reading of the worker's monotonic clock, in nanoseconds.
	Clock int64

	// clockReading pairs a reading of the worker's clock with the agent's time at which the
	// response with it arrived. The worker read its clock earlier, so a time that is
	// converted with the pair comes out early, never late.
	clockReading struct {
		workerClock Clock
		arrived     time.Time
	}

	// Option configures a new Connector.
	Option func(*Connector)

	// StartRequest is the body of a request to start an attempt.
	StartRequest struct {
		// Instance is the instance of the VM that the start is for; the worker of any other
		// instance refuses it.
		Instance string       `json:"instance"`
		Permit   jaygw.Permit `json:"permit"`
		// StartBy is when the worker begins to refuse the start.
		StartBy Clock `json:"by"`
		// LeaseEnd is when the worker ends the attempt unless its lease is extended.
		LeaseEnd Clock `json:"lease-end"`
	}

	// ExtendRequest is the body of a request to extend leases.
	ExtendRequest struct {
		// Instance is the instance of the VM that the request is for; the worker of any
		// other instance refuses it.
		Instance string `json:"instance"`
		// Kind selects the attempts whose leases are extended.
		Kind     jaygw.TaskKind `json:"kind"`
		LeaseEnd Clock          `json:"lease-end"`
	}

	// ListRequest is the body of a request for the list of attempts.
	ListRequest struct {
		// Seen is the revision of the last list; zero before the first one.
		Seen uint64 `json:"seen"`
		// Wait is how long the worker may hold the response until the list changes.
		Wait jaygw.Duration `json:"wait"`
	}

	// ThrottleRequest is the body of a request to throttle an attempt.
	ThrottleRequest struct {
		Attempt jaygw.Attempt `json:"attempt"`
		// Percent is the share of its size that is left to the attempt.
		Percent int `json:"percent"`
	}

	// StatusError is a response of the worker with a status other than 200.
	StatusError struct {
		// Status is the HTTP status.
		Status int
		// Detail is the body of the response, at most 512 bytes of it.
		Detail string
	}
)

const (
	// Prefix is the path below which the worker serves its interface.
	Prefix = "/platform/tasks"

	// ClockHeader is the header of each response with a reading of the worker's clock, in
	// nanoseconds.
	ClockHeader = "jaygw-worker-clock"

	callTimeout    = 5 * time.Second // of the default HTTP client
	maxResultBytes = 16 << 20        // of a successful response
	maxDetailBytes = 512             // of an error response
)

var (
	_ jaygw.Worker = (*Connector)(nil)

	// ErrNoClock is returned by Start and Extend before the first list has arrived.
	ErrNoClock = errors.New("the worker's clock is not known yet")
)

// WithClient sets the HTTP client. The default one limits a call to 5 s.
func WithClient(client *http.Client) Option {
	return func(c *Connector) { c.client = client }
}

// New returns a connector to the worker at an address, a host with a port.
func New(address string, options ...Option) *Connector {
	c := &Connector{baseURL: "http://" + address + Prefix, client: &http.Client{Timeout: callTimeout}}
	for _, option := range options {
		option(c)
	}
	return c
}

// Error returns the text of the worker's response.
func (e *StatusError) Error() string { return e.Detail }

// Start starts an attempt. It converts the times of the window to the worker's clock.
func (c *Connector) Start(ctx context.Context, permit jaygw.Permit, window jaygw.StartWindow) error {
	instance, reading := c.clock()
	if instance == "" {
		return ErrNoClock
	}
	_, err := call[struct{}](ctx, c, "/start", StartRequest{
		Instance: instance, Permit: permit, StartBy: reading.convert(window.StartBy), LeaseEnd: reading.convert(window.LeaseEnd),
	})
	return err
}

// Extend moves the lease end of the attempts of a kind to a later time.
func (c *Connector) Extend(ctx context.Context, kind jaygw.TaskKind, leaseEnd time.Time) error {
	instance, reading := c.clock()
	if instance == "" {
		return ErrNoClock
	}
	_, err := call[struct{}](ctx, c, "/extend", ExtendRequest{Instance: instance, Kind: kind, LeaseEnd: reading.convert(leaseEnd)})
	return err
}

// clock returns the instance of the VM, empty before the first list, and the last reading
// of the worker's clock.
func (c *Connector) clock() (string, clockReading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instance, c.reading
}

// convert converts a time of the agent to a reading of the worker's clock.
func (r clockReading) convert(t time.Time) Clock { return r.workerClock + Clock(t.Sub(r.arrived)) }

// Checkpoint makes an attempt write a checkpoint.
func (c *Connector) Checkpoint(ctx context.Context, id jaygw.Attempt) (jaygw.Checkpoint, error) {
	return call[jaygw.Checkpoint](ctx, c, "/checkpoint", id)
}

// Throttle limits an attempt to a share of its size, in percent.
func (c *Connector) Throttle(ctx context.Context, id jaygw.Attempt, percent int) error {
	_, err := call[struct{}](ctx, c, "/throttle", ThrottleRequest{Attempt: id, Percent: percent})
	return err
}

// Stop ends an attempt and returns how it ended.
func (c *Connector) Stop(ctx context.Context, id jaygw.Attempt) (jaygw.WorkerTask, error) {
	return call[jaygw.WorkerTask](ctx, c, "/stop", id)
}

// List returns the worker's attempts, once the revision of the list differs from seen or
// the wait has expired.
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

// Forget removes an ended attempt from the worker's list.
func (c *Connector) Forget(ctx context.Context, id jaygw.Attempt) error {
	_, err := call[struct{}](ctx, c, "/forget", id)
	return err
}

// Usage returns the latest samples of what the running attempts use.
func (c *Connector) Usage(ctx context.Context) ([]jaygw.Usage, error) {
	return call[[]jaygw.Usage](ctx, c, "/usage", struct{}{})
}

// call sends a request to the worker, stores the clock reading of the response and decodes
// its body.
func call[A any](ctx context.Context, c *Connector, path string, message any) (A, error) {
	var result A
	body, err := json.Marshal(message)
	if err != nil {
		return result, eris.Wrap(err, "encode the worker's request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
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
	if err := c.storeReading(response.Header.Get(ClockHeader)); err != nil {
		return result, err
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResultBytes)).Decode(&result)
	return result, eris.Wrapf(err, "read the worker's response to %s", path)
}

// storeReading stores the clock reading of a response that has just arrived.
func (c *Connector) storeReading(header string) error {
	value, err := strconv.ParseInt(header, 10, 64)
	if err != nil {
		return eris.Errorf("the worker's response has no clock: %s is %q", ClockHeader, header)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = clockReading{workerClock: Clock(value), arrived: time.Now()}
	return nil
}
