package generator

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/stretchr/testify/require"
)

// TestSlowResponsesDoNotDelayRequests guards against a generator that waits for responses before it
// sends more requests, which would hide the latencies of an overloaded system.
func TestSlowResponsesDoNotDelayRequests(t *testing.T) {
	var mu sync.Mutex
	arrived := 0
	release := make(chan struct{})
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		arrived++
		last := arrived == 50
		mu.Unlock()
		if last {
			close(release)
		}
		<-release // no response before 50 requests have arrived
		_, _ = io.Copy(w, r.Body)
	}))
	defer target.Close()
	report := New(Plan{
		URL: target.URL, Method: http.MethodPost, Body: 10, PerSecond: 500, Duration: 400 * time.Millisecond,
		Timeout: time.Minute, Seed: 1,
	}).Run(t.Context())
	require.GreaterOrEqual(t, report.Sent, 50)
	require.Equal(t, report.Sent, report.Answered)
	// The first request waited for the fiftieth, which was scheduled about 100 ms later.
	require.Greater(t, float64(report.Max), 10.0)
}

// TestOutcomesAreDistinguished guards against refusals that count as answered, and against a
// truncated response that counts as anything but unknown.
func TestOutcomesAreDistinguished(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		count   func(Report) int
	}{
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(jaygw.HeaderExecuted, string(jaygw.NotExecuted))
			w.WriteHeader(http.StatusServiceUnavailable)
		}, func(r Report) int { return r.Refused }},
		{
			"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
			func(r Report) int { return r.Unknown },
		},
		{"cut off", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, func(r Report) int { return r.Unknown }},
	} {
		t.Run(c.name, func(t *testing.T) {
			target := httptest.NewServer(c.handler)
			defer target.Close()
			report := New(Plan{
				URL: target.URL, Method: http.MethodPost, PerSecond: 200, Duration: 100 * time.Millisecond,
				Timeout: time.Minute, Seed: 1,
			}).Run(t.Context())
			require.Positive(t, report.Sent)
			require.Equal(t, report.Sent, c.count(report))
			require.Zero(t, report.Answered)
		})
	}
}

// TestPlotIsWellFormed guards against a plot that is not well-formed XML for a report with few or no
// latencies.
func TestPlotIsWellFormed(t *testing.T) {
	g := New(Plan{})
	for range 3 {
		var out bytes.Buffer
		require.NoError(t, g.finish(time.Second).Plot(&out))
		decoder := xml.NewDecoder(&out)
		for {
			_, err := decoder.Token()
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err)
		}
		require.NoError(t, g.latency.RecordValue(int64(time.Millisecond)))
	}
}

// TestTestbedPathsRespond guards against a testbed in which the entry, the agents and the proxies are
// not connected: requests on each path must be answered.
func TestTestbedPathsRespond(t *testing.T) {
	tb, err := newTestbed(2, time.Millisecond)
	require.NoError(t, err)
	defer tb.close()
	x := Experiments{Rounds: 1, MeasurementDuration: 200 * time.Millisecond, Seed: 1}
	for _, address := range []string{tb.direct, tb.chainedProxies, tb.entry} {
		report := x.runLoad(t.Context(), address, 100, nil)
		require.Positive(t, report.Sent)
		require.Equal(t, report.Sent, report.Answered)
	}
}
