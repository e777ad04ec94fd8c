// Package client calls the operators' HTTP interface.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/gatherer"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/rotisserie/eris"
)

type (
	// Client calls one operator endpoint.
	Client struct {
		base   string
		http   *http.Client
		id     string
		token  string // shown with each request, unless empty
		number uint64
		pause  time.Duration
	}

	// Failure is an error response of the endpoint.
	Failure struct {
		Status   int
		Message  string
		Findings jaygw.Findings
	}
)

const (
	callTimeout = 10 * time.Second
	resends     = 5
	resendPause = 300 * time.Millisecond
)

// New returns a client of the endpoint at an address.
func New(address string) *Client {
	return &Client{
		base: "http://" + address, http: &http.Client{Timeout: callTimeout}, id: "operator-" + rand.Text(), pause: resendPause,
	}
}

// Error returns the endpoint's message and findings.
func (f *Failure) Error() string {
	if len(f.Findings) > 0 {
		return f.Message + "\n" + f.Findings.Error()
	}
	return f.Message
}

// Submit puts a document on trial.
func (c *Client) Submit(ctx context.Context, document jaygw.Document, author string) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/documents", responder.SubmitRequest{Document: document, Author: author})
}

// Promote puts the document with a digest in force.
func (c *Client) Promote(ctx context.Context, environment, digest, author string) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/documents/promote", responder.PromoteRequest{Environment: environment, Digest: digest, Author: author})
}

// Plan lists what a document would change.
func (c *Client) Plan(ctx context.Context, document jaygw.Document) (responder.PlanResponse, error) {
	var response responder.PlanResponse
	err := c.call(ctx, http.MethodPost, "/v1/plan", nil, responder.SubmitRequest{Document: document}, &response)
	return response, err
}

// SetDomain takes a failure domain out or returns it.
func (c *Client) SetDomain(ctx context.Context, name string, out bool) (responder.ChangeResponse, error) {
	way := "in"
	if out {
		way = "out"
	}
	return c.change(ctx, "/v1/domains/"+url.PathEscape(name)+"/"+way, nil)
}

// SubmitJob adds a batch job.
func (c *Client) SubmitJob(ctx context.Context, spec jaygw.JobSpec) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/jobs", spec)
}

// CancelJob cancels a batch job.
func (c *Client) CancelJob(ctx context.Context, environment, name string) (responder.ChangeResponse, error) {
	return c.change(ctx, jobPath(environment, name)+"/cancel", nil)
}

// Job shows a batch job.
func (c *Client) Job(ctx context.Context, environment, name string) (responder.JobStatus, error) {
	var response responder.JobStatus
	err := c.call(ctx, http.MethodGet, jobPath(environment, name), nil, nil, &response)
	return response, err
}

// Status describes the estate.
func (c *Client) Status(ctx context.Context) (responder.StatusResponse, error) {
	var response responder.StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &response)
	return response, err
}

// Timeline returns the events of all processes. The query may hold subject, kind,
// since and until.
func (c *Client) Timeline(ctx context.Context, query url.Values) (gatherer.Timeline, error) {
	var response gatherer.Timeline
	err := c.call(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, nil, &response)
	return response, err
}

func jobPath(environment, name string) string {
	return "/v1/jobs/" + url.PathEscape(environment) + "/" + url.PathEscape(name)
}

// change sends a change and resends it, with the same number, while its outcome
// is unknown.
func (c *Client) change(ctx context.Context, path string, body any) (responder.ChangeResponse, error) {
	c.number++
	header := http.Header{}
	header.Set(responder.HeaderClient, c.id)
	header.Set(responder.HeaderSequence, strconv.FormatUint(c.number, 10))
	var response responder.ChangeResponse
	var err error
	for range resends {
		err = c.call(ctx, http.MethodPost, path, header, body, &response)
		var failure *Failure
		if err == nil || errors.As(err, &failure) && failure.Status < http.StatusInternalServerError {
			return response, err
		}
		select {
		case <-ctx.Done():
			return response, err
		case <-time.After(c.pause):
		}
	}
	return response, err
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, target any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encode the request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "build the request")
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(err, "reach the operator endpoint")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusConflict {
		var detail responder.ErrorResponse
		if err := json.NewDecoder(response.Body).Decode(&detail); err != nil {
			detail.Error = response.Status
		}
		return &Failure{Status: response.StatusCode, Message: detail.Error, Findings: detail.Findings}
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(target), "read the response")
}
