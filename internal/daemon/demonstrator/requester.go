package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jaygw/jaygw"
)

type (
	// RequestReport counts requests by their outcome for the caller.
	RequestReport struct {
		Sent     int
		Answered int           // with status 200
		Refused  int           // refused as not executed
		Unknown  int           // without a response, or with an unknown outcome
		P50      time.Duration // of the latency of answered requests
		P99      time.Duration // of the same
	}

	// requester sends requests at a fixed rate and does not wait for the responses to
	// earlier ones.
	requester struct {
		url      string
		interval time.Duration
		client   *http.Client

		mu         sync.Mutex
		counts     RequestReport
		latency    *hdrhistogram.Histogram
		mismatches []string // one line for each response whose body differs from the request's
		inFlight   sync.WaitGroup
	}
)

const (
	requestTimeout    = 5 * time.Second
	latencyMin        = int64(time.Microsecond) // of the histogram
	latencyMax        = int64(time.Minute)
	significantDigits = 3
)

func newRequester(address string, plan Plan) *requester {
	return &requester{
		url:      fmt.Sprintf("http://%s/%s/confirm?work=%s", address, plan.Service, plan.ServiceTime),
		interval: time.Second / time.Duration(plan.RequestRate),
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		latency:  hdrhistogram.New(latencyMin, latencyMax, significantDigits),
	}
}

// run sends requests until the context ends and then waits for their responses.
func (r *requester) run(ctx context.Context) {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	defer r.inFlight.Wait()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.inFlight.Go(func() { r.send(context.WithoutCancel(ctx), number) })
	}
}

func (r *requester) send(ctx context.Context, number int) {
	body := fmt.Appendf(nil, "request %d of the tour", number)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url, bytes.NewReader(body))
	if err != nil {
		return
	}
	start := time.Now()
	response, err := r.client.Do(request)
	var received []byte
	if err == nil {
		received, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	elapsed := time.Since(start)

	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Sent++
	switch {
	case err != nil:
		r.counts.Unknown++
	case response.StatusCode == http.StatusOK:
		r.counts.Answered++
		_ = r.latency.RecordValue(min(int64(elapsed), latencyMax))
		if !bytes.Equal(body, received) {
			r.mismatches = append(r.mismatches, fmt.Sprintf("request %d got %q", number, received))
		}
	case response.Header.Get(jaygw.HeaderExecuted) == string(jaygw.NotExecuted):
		r.counts.Refused++
	default:
		r.counts.Unknown++
	}
}

// report returns the counts and the latency so far.
func (r *requester) report() RequestReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.counts
	report.P50 = time.Duration(r.latency.ValueAtQuantile(50))
	report.P99 = time.Duration(r.latency.ValueAtQuantile(99))
	return report
}
