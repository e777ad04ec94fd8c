package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// caller stands in for clients and the operator.
type caller struct {
	rec  *record
	http *http.Client
}

const (
	serviceName = "huvo11a"
	hostName    = "nony24.example"
	jobPrefix   = "/lohu930/"

	callTime = 3 * time.Second // a client's time budget

	// formationTime is how long a new deployment may take until it acknowledges a config.
	formationTime = 20 * time.Second

	configBody = `{"version":%d,"routes":[{"name":"r-wrr6x73","host":"` + hostName + `","path-prefix":"` + jobPrefix + `","kind":"non_idempotent",` +
		`"timeout-ms":3000,"target-latency-ms":1000,"priority":0,"service":"` + serviceName + `","max-attempts":4,"stretch":2.0}],` +
		`"services":[{"name":"` + serviceName + `","health-path":"/health","max-connections":64,"protocol":"h1","tls":false,"cold-start-s":0.0,` +
		`"cold-per-s":0.0,"admission-control":false,"spare":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,` +
		`"header-timeout-ms":3000,"idle-timeout-ms":15000}}`
)

func newCaller(rec *record) *caller {
	return &caller{rec: rec, http: &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends a request and returns the status, or zero without a response, and the body.
func (c *caller) call(ctx context.Context, method, address, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Milliseconds", fmt.Sprint(callTime.Milliseconds()))
	sent := time.Now()
	status, answer := 0, ""
	response, err := c.http.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		status, answer = response.StatusCode, strings.TrimSpace(string(data))
	}
	if err != nil {
		status, answer = 0, err.Error()
	}
	c.rec.line("%s %s%s -> %d %.120s (%d ms)", method, address, path, status, answer, time.Since(sent).Milliseconds())
	return status, answer
}

// putConfig sends the first config to operators' addresses in turn until it is acknowledged.
func (c *caller) putConfig(ctx context.Context, addresses []string) error {
	turn := 0
	return await(ctx, "the config is acknowledged", formationTime, func() bool {
		status, _ := c.call(ctx, http.MethodPost, addresses[turn%len(addresses)], "/jaygw/configuration/replace", fmt.Sprintf(configBody, 1))
		turn++
		return status == http.StatusOK
	})
}

// order sends an operator's order to addresses in turn until it is acknowledged, with increasing backoff. It reports whether
// it was. A client error ends it.
func (c *caller) order(ctx context.Context, path, body string, addresses []string, turn int) bool {
	for backoff := 100 * time.Millisecond; backoff < 4*time.Second; backoff *= 2 {
		status, _ := c.call(ctx, http.MethodPost, addresses[turn%len(addresses)], path, body)
		if status == http.StatusOK || status >= 400 && status < 500 {
			return status == http.StatusOK
		}
		turn++
		if pause(ctx, backoff) != nil {
			return false
		}
	}
	return false
}

// submit sends a job to entries in turn until it is accepted.
func (c *caller) submit(ctx context.Context, id string, spec jobSpec, entries []string, limit time.Duration) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	turn := 0
	return await(ctx, "job "+id+" is accepted", limit, func() bool {
		status, _ := c.call(ctx, http.MethodPost, entries[turn%len(entries)], jobPrefix+id, string(body))
		turn++
		return status == http.StatusOK
	})
}

// state asks entries in turn for the state of a job until one answers, for as long as a client waits.
func (c *caller) state(ctx context.Context, id string, entries []string) (string, error) {
	turn, state := 0, ""
	err := await(ctx, "the state of job "+id, callTime, func() bool {
		status, body := c.call(ctx, http.MethodGet, entries[turn%len(entries)], jobPrefix+id, "")
		turn++
		var answer struct {
			State string `json:"state"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
			return false
		}
		state = answer.State
		return true
	})
	return state, err
}
