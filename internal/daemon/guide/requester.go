package guide

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
	// RequestReport is what callers saw.
	RequestReport struct {
		Sent     int
		Answered int
		Refused  int // with "not executed"
		Unknown  int // without a response, or with an unknown outcome
		P50      time.Duration
		P99      time.Duration
	}

	// requester sends requests at a steady rate, whether earlier ones have been
	// answered or not.
	requester struct {
		url      string
		interval time.Duration
		client   *http.Client

		mu       sync.Mutex
		counts   RequestReport
		latency  *hdrhistogram.Histogram
		crossed  []string // responses that do not belong to their request
		inFlight sync.WaitGroup
	}
)

const (
	requestTimeout    = 5 * time.Second
	latencyMin        = int64(time.Microsecond)
	latencyMax        = int64(time.Minute)
	significantDigits = 3
)

func newRequester(callers string, plan Plan) *requester {
	return &requester{
		url:      fmt.Sprintf("http://%s/%s/confirm?work=%s", callers, plan.Service, plan.Work),
		interval: time.Second / time.Duration(plan.PerSecond),
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		latency:  hdrhistogram.New(latencyMin, latencyMax, significantDigits),
	}
}

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
	var echoed []byte
	if err == nil {
		echoed, err = io.ReadAll(response.Body)
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
		if !bytes.Equal(body, echoed) {
			r.crossed = append(r.crossed, fmt.Sprintf("request %d got %q", number, echoed))
		}
	case response.Header.Get(jaygw.HeaderExecuted) == string(jaygw.NotExecuted):
		r.counts.Refused++
	default:
		r.counts.Unknown++
	}
}

func (r *requester) report() RequestReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.counts
	report.P50 = time.Duration(r.latency.ValueAtQuantile(50))
	report.P99 = time.Duration(r.latency.ValueAtQuantile(99))
	return report
}
