// Package client calls the operators' HTTP interface.
package client

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/rotisserie/eris"
)

type (
	// Client calls one operator endpoint. Its changes must not be sent concurrently.
	Client struct {
		baseURL  string
		http     *http.Client
		id       string        // identifies the client in the headers of changes
		token    string        // sent with each request, unless empty
		sequence uint64        // sequence number of the last change
		pause    time.Duration // wait before a change is sent again
	}

	// Failure is an error response of the endpoint.
	Failure struct {
		Status   int // HTTP status
		Message  string
		Findings jaygw.Findings // faults of the request's body
	}
)

const (
	callTimeout = 10 * time.Second
	maxSends    = 5 // maximum number of sends of one change, including the first
	resendPause = 300 * time.Millisecond
)

// New returns a client of the endpoint at an address of the form host:port. It has a random id, so
// that its changes are not taken for those of another client.
func New(address string) *Client {
	return &Client{
		baseURL: "http://" + address, http: &http.Client{Timeout: callTimeout}, id: "operator-" + rand.Text(), pause: resendPause,
	}
}

// Error returns the endpoint's message and findings.
func (f *Failure) Error() string {
	if len(f.Findings) > 0 {
		return f.Message + "\n" + f.Findings.Error()
	}
	return f.Message
}

// Submit puts a document on trial; author is the operator who submits it.
func (c *Client) Submit(ctx context.Context, document jaygw.Document, author string) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/documents", responder.SubmitRequest{Document: document, Author: author})
}

// Promote puts the document with the given digest in force; author is the promoting operator.
func (c *Client) Promote(ctx context.Context, environment, digest, author string) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/documents/promote", responder.PromoteRequest{Environment: environment, Digest: digest, Author: author})
}

// Plan lists what a document would change, without submitting it.
func (c *Client) Plan(ctx context.Context, document jaygw.Document) (responder.PlanResponse, error) {
	var response responder.PlanResponse
	err := c.call(ctx, http.MethodPost, "/v1/plan", nil, responder.SubmitRequest{Document: document}, &response)
	return response, err
}

// SetDomain takes a failure domain out or returns it, unless another order on the domain is accepted
// meanwhile.
func (c *Client) SetDomain(ctx context.Context, name string, out bool) (responder.ChangeResponse, error) {
	direction := "in"
	if out {
		direction = "out"
	}
	var status responder.StatusResponse
	err := c.resend(ctx, func() (err error) {
		status, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return responder.ChangeResponse{}, err
	}
	previous := uint64(0)
	for _, domain := range status.Domains {
		if domain.Name == name {
			previous = domain.Order
		}
	}
	return c.change(ctx, fmt.Sprintf("/v1/domains/%s/%s?previous=%d", url.PathEscape(name), direction, previous), nil)
}

// SubmitJob adds a batch job.
func (c *Client) SubmitJob(ctx context.Context, spec jaygw.JobSpec) (responder.ChangeResponse, error) {
	return c.change(ctx, "/v1/jobs", spec)
}

// CancelJob cancels a batch job.
func (c *Client) CancelJob(ctx context.Context, environment, name string) (responder.ChangeResponse, error) {
	return c.change(ctx, jobPath(environment, name)+"/cancel", nil)
}

// Job returns the status of a batch job, with its open tasks.
func (c *Client) Job(ctx context.Context, environment, name string) (responder.JobStatus, error) {
	var response responder.JobStatus
	err := c.call(ctx, http.MethodGet, jobPath(environment, name), nil, nil, &response)
	return response, err
}

// Status returns the status of the estate.
func (c *Client) Status(ctx context.Context) (responder.StatusResponse, error) {
	var response responder.StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &response)
	return response, err
}

// Timeline returns the events of all processes. The query may hold subject, kind, since and until;
// the last two are times in RFC 3339.
func (c *Client) Timeline(ctx context.Context, query url.Values) (collector.Timeline, error) {
	var response collector.Timeline
	err := c.call(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil, nil, &response)
	return response, err
}

func jobPath(environment, name string) string {
	return "/v1/jobs/" + url.PathEscape(environment) + "/" + url.PathEscape(name)
}

// change sends a change, and resends it with the same sequence number. A resent change is applied at
// most once.
func (c *Client) change(ctx context.Context, path string, body any) (responder.ChangeResponse, error) {
	c.sequence++
	header := http.Header{}
	header.Set(responder.HeaderClient, c.id)
	header.Set(responder.HeaderSequence, strconv.FormatUint(c.sequence, 10))
	var response responder.ChangeResponse
	err := c.resend(ctx, func() error { return c.call(ctx, http.MethodPost, path, header, body, &response) })
	return response, err
}

// resend sends a request, up to maxSends times, until it gets a response with a status below 500.
func (c *Client) resend(ctx context.Context, send func() error) error {
	var err error
	for range maxSends {
		err = send()
		var failure *Failure
		if err == nil || errors.As(err, &failure) && failure.Status < http.StatusInternalServerError {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(c.pause):
		}
	}
	return err
}

// call sends a request and decodes the response into target. A status other than 200 and 409 is
// returned as a Failure. The response to a refused change has the status 409 and is decoded.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body, target any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "encode the request")
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
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
