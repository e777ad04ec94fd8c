// Package generator is an open-loop load tool: arrivals follow their own schedule,
// whether earlier requests have been answered or not.
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
	// Plan says what load to send.
	Plan struct {
		URL       string
		Others    []string // further targets; the requests go to all in turn
		Method    string
		Body      int           // bytes
		PerSecond float64       // mean rate of arrivals
		Duration  time.Duration // of the arrivals
		Timeout   time.Duration // of one request; also sent as jaygw-timeout
		Keyed     bool          // each request has a new idempotency-key
		Seed      uint64
	}

	// Report is what callers saw. Latencies count from the time that the request
	// was due.
	Report struct {
		Seconds   float64 `json:"seconds"`
		PerSecond float64 `json:"offered-per-second"`
		Sent      int     `json:"sent"`
		Answered  int     `json:"answered"` // whole responses with status 2xx
		Refused   int     `json:"refused"`  // not executed
		Unknown   int     `json:"unknown"`  // everything else
		Unsent    int     `json:"unsent"`   // beyond the tool's own limit of requests in flight
		Goodput   float64 `json:"goodput-per-second"`
		P50       Millis  `json:"p50-ms"`
		P90       Millis  `json:"p90-ms"`
		P99       Millis  `json:"p99-ms"`
		P999      Millis  `json:"p999-ms"`
		Max       Millis  `json:"max-ms"`
		// Late is the 99th percentile of how late the tool itself was; it is part
		// of the latencies.
		Late Millis `json:"tool-late-p99-ms"`

		latency *hdrhistogram.Histogram
	}

	// Millis is a duration in milliseconds.
	Millis float64

	// Generator sends load.
	Generator struct {
		plan     Plan
		client   *http.Client
		body     []byte
		inFlight atomic.Int64

		mu      sync.Mutex
		report  Report
		latency *hdrhistogram.Histogram
		late    *hdrhistogram.Histogram
	}
)

const (
	latencyMin        = int64(time.Microsecond)
	latencyMax        = int64(time.Minute)
	significantDigits = 3

	// maxInFlight bounds the tool's memory when nothing is answered.
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
		body:    bytes.Repeat([]byte("x"), plan.Body),
		latency: hdrhistogram.New(latencyMin, latencyMax, significantDigits),
		late:    hdrhistogram.New(1, latencyMax, significantDigits),
	}
}

// Run sends the load and waits for the last response. The gaps between arrivals are
// exponential, as those of many independent callers are.
func (g *Generator) Run(ctx context.Context) Report {
	random := rand.New(rand.NewPCG(g.plan.Seed, 1))
	var sends sync.WaitGroup
	start := time.Now()
	due := start
	for number := 0; ctx.Err() == nil; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.plan.PerSecond * float64(time.Second)))
		if due.Sub(start) > g.plan.Duration {
			break
		}
		arrival := due
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
		sends.Go(func() {
			defer g.inFlight.Add(-1)
			g.send(ctx, number, arrival)
		})
	}
	sends.Wait()
	g.client.CloseIdleConnections()
	return g.finish(min(time.Since(start), g.plan.Duration))
}

func (g *Generator) send(ctx context.Context, number int, due time.Time) {
	late := time.Since(due)
	status, executed, whole := g.exchange(ctx, number)
	took := time.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Sent++
	_ = g.late.RecordValue(max(1, min(int64(late), latencyMax)))
	switch {
	case whole && status/100 == 2:
		g.report.Answered++
		_ = g.latency.RecordValue(min(int64(took), latencyMax))
	case whole && executed == string(jaygw.NotExecuted):
		g.report.Refused++
	default:
		g.report.Unknown++
	}
}

func (g *Generator) exchange(ctx context.Context, number int) (status int, executed string, whole bool) {
	target := g.plan.URL
	if n := number % (len(g.plan.Others) + 1); n > 0 {
		target = g.plan.Others[n-1]
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

func (g *Generator) finish(took time.Duration) Report {
	r := g.report
	r.Seconds = took.Seconds()
	r.PerSecond = g.plan.PerSecond
	r.Goodput = float64(r.Answered) / r.Seconds
	at := func(h *hdrhistogram.Histogram, quantile float64) Millis {
		return Millis(float64(h.ValueAtQuantile(quantile)) / float64(time.Millisecond))
	}
	r.P50, r.P90, r.P99 = at(g.latency, 50), at(g.latency, 90), at(g.latency, 99)
	r.P999, r.Max = at(g.latency, 99.9), Millis(float64(g.latency.Max())/float64(time.Millisecond))
	r.Late = at(g.late, 99)
	r.latency = g.latency
	return r
}

// Write writes the report as text.
func (r Report) Write(out io.Writer) {
	fmt.Fprintf(out, "offered   %.0f/s for %.1f s: %d sent, %d unsent\n", r.PerSecond, r.Seconds, r.Sent, r.Unsent)
	fmt.Fprintf(out, "answered  %d (goodput %.1f/s), refused %d, unknown %d\n", r.Answered, r.Goodput, r.Refused, r.Unknown)
	fmt.Fprintf(out, "latency   p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, p99.9 %.3f ms, max %.3f ms (tool late p99 %.3f ms)\n",
		r.P50, r.P90, r.P99, r.P999, r.Max, r.Late)
}
