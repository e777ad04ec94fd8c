// Package generator is an open-loop load generator: requests are sent on a schedule of their own,
// whether or not earlier ones have been answered.
package generator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jaygw/jaygw"
)

type (
	// Plan describes the load to send.
	Plan struct {
		URL       string        // target of the requests
		OtherURLs []string      // further targets; requests go to all targets in turn
		Method    string        // HTTP method
		Body      int           // size of each request body in bytes
		PerSecond float64       // mean number of requests sent per second
		Duration  time.Duration // how long requests are sent
		Timeout   time.Duration // of each request; also sent in the header jaygw-timeout
		Keyed     bool          // sends a new idempotency-key with each request
		Seed      uint64        // of the intervals between requests
	}

	// Report holds the results as a caller observes them. Latencies are measured from the scheduled
	// time of a request, not from the time when it was sent.
	Report struct {
		Seconds   float64 `json:"seconds"`            // time until the last response, at most the planned duration
		PerSecond float64 `json:"offered-per-second"` // planned mean rate
		Sent      int     `json:"sent"`               // requests sent
		Answered  int     `json:"answered"`           // complete responses with status 2xx
		Refused   int     `json:"refused"`            // complete responses that state that the request was not executed
		Unknown   int     `json:"unknown"`            // all other requests, which may or may not have been executed
		Unsent    int     `json:"unsent"`             // not sent because too many requests were in flight
		Goodput   float64 `json:"goodput-per-second"` // answered requests per second
		P50       Millis  `json:"p50-ms"`
		P90       Millis  `json:"p90-ms"`
		P99       Millis  `json:"p99-ms"`
		P999      Millis  `json:"p999-ms"`
		Max       Millis  `json:"max-ms"`
		// SendDelayP99 is the 99th percentile of the delay between the scheduled time of a request and
		// the time when it was sent. The latencies include this delay.
		SendDelayP99 Millis `json:"tool-late-p99-ms"`

		latency *hdrhistogram.Histogram
	}

	// Millis is a duration in milliseconds.
	Millis float64

	// Generator sends the load of one plan.
	Generator struct {
		plan     Plan
		client   *http.Client
		body     []byte
		inFlight atomic.Int64

		mu        sync.Mutex
		report    Report
		latency   *hdrhistogram.Histogram
		sendDelay *hdrhistogram.Histogram
	}
)

const (
	latencyMin        = int64(time.Microsecond)
	latencyMax        = int64(time.Minute)
	significantDigits = 3

	// maxInFlight bounds the memory of the generator when no request is answered.
	maxInFlight = 20_000
	idleConns   = 2048
)

// New returns a generator for a plan.
func New(plan Plan) *Generator {
	return &Generator{
		plan: plan,
		client: &http.Client{
			Timeout: plan.Timeout,
			Transport: &http.Transport{
				MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
			},
		},
		body:      bytes.Repeat([]byte("x"), plan.Body),
		latency:   hdrhistogram.New(latencyMin, latencyMax, significantDigits),
		sendDelay: hdrhistogram.New(1, latencyMax, significantDigits),
	}
}

// Run sends the load and waits for the last response. The intervals between requests are
// exponentially distributed, like those of many independent callers.
func (g *Generator) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(g.plan.Seed, 1))
	var requests sync.WaitGroup
	start := time.Now()
	scheduled := start
	for number := 0; ctx.Err() == nil; number++ {
		scheduled = scheduled.Add(time.Duration(random.ExpFloat64() / g.plan.PerSecond * float64(time.Second)))
		if scheduled.Sub(start) > g.plan.Duration {
			break
		}
		arrival := scheduled
		if wait := time.Until(arrival); wait > 0 {
			time.Sleep(wait)
		}
		if g.inFlight.Load() >= maxInFlight {
			g.mu.Lock()
			g.report.Unsent++
			g.mu.Unlock()
			continue
		}
		g.inFlight.Add(1)
		requests.Go(func() {
			defer g.inFlight.Add(-1)
			g.send(ctx, number, arrival)
		})
	}
	requests.Wait()
	g.client.CloseIdleConnections()
	return g.finish(min(time.Since(start), g.plan.Duration))
}

// send sends one request and records its outcome.
func (g *Generator) send(ctx context.Context, number int, scheduled time.Time) {
	sendDelay := time.Since(scheduled)
	status, executed, complete := g.exchange(ctx, number)
	elapsed := time.Since(scheduled)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Sent++
	_ = g.sendDelay.RecordValue(max(1, min(int64(sendDelay), latencyMax)))
	switch {
	case complete && status/100 == 2:
		g.report.Answered++
		_ = g.latency.RecordValue(min(int64(elapsed), latencyMax))
	case complete && executed == string(jaygw.NotExecuted):
		g.report.Refused++
	default:
		g.report.Unknown++
	}
}

// exchange sends one request and reads the response; complete is false if any part of this failed.
func (g *Generator) exchange(ctx context.Context, number int) (status int, executed string, complete bool) {
	target := g.plan.URL
	if i := number % (len(g.plan.OtherURLs) + 1); i > 0 {
		target = g.plan.OtherURLs[i-1]
	}
	request, err := http.NewRequestWithContext(ctx, g.plan.Method, target, bytes.NewReader(g.body))
	if err != nil {
		return 0, "", false
	}
	if g.plan.Timeout > 0 {
		request.Header.Set(jaygw.HeaderTimeout, g.plan.Timeout.String())
	}
	if g.plan.Keyed {
		request.Header.Set(jaygw.HeaderKey, fmt.Sprintf("load-%d-%d", g.plan.Seed, number))
	}
	response, err := g.client.Do(request)
	if err != nil {
		return 0, "", false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(jaygw.HeaderExecuted), err == nil
}

// finish computes the report from the recorded outcomes.
func (g *Generator) finish(elapsed time.Duration) Report {
	r := g.report
	r.Seconds = elapsed.Seconds()
	r.PerSecond = g.plan.PerSecond
	r.Goodput = float64(r.Answered) / r.Seconds
	millisAt := func(h *hdrhistogram.Histogram, quantile float64) Millis {
		return Millis(float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond))
	}
	r.P50, r.P90, r.P99 = millisAt(g.latency, 50), millisAt(g.latency, 90), millisAt(g.latency, 99)
	r.P999, r.Max = millisAt(g.latency, 99.9), Millis(float64(g.latency.Max())/float64(time.Millisecond))
	r.SendDelayP99 = millisAt(g.sendDelay, 99)
	r.latency = g.latency
	return r
}

// Write writes the report as text.
func (r Report) Write(out io.Writer) {
	fmt.Fprintf(out, "offered   %.0f/s for %.1f s: %d sent, %d unsent\n", r.PerSecond, r.Seconds, r.Sent, r.Unsent)
	fmt.Fprintf(out, "answered  %d (goodput %.1f/s), refused %d, unknown %d\n", r.Answered, r.Goodput, r.Refused, r.Unknown)
	fmt.Fprintf(out, "latency   p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms (tool late p99 %.3f ms)\n",
		r.P50, r.P90, r.P99, r.P999, r.Max, r.SendDelayP99)
}
