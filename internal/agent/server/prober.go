package server

import (
	"context"
	"io"
	"net/http"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = time.Second
	probePath     = "/health"

	// maxProbeFailures is the number of consecutive failed probes that make the upstream
	// unhealthy. A single failure may be a pause of the upstream that its requests survive.
	maxProbeFailures = 2
)

// Probe checks the health of the upstream until the context ends. Attempts at an unhealthy
// upstream are refused as not executed.
func (s *Server) Probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	failures := 0
	for {
		if s.probe(ctx) {
			failures = 0
		} else {
			failures++
		}
		s.unhealthy.Store(failures >= maxProbeFailures)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe reports whether the upstream responds with a status below 500. An upstream without a
// health endpoint is thus healthy while it responds.
func (s *Server) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.baseURL+probePath, http.NoBody)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, chunkBytes))
	return response.StatusCode < http.StatusInternalServerError
}
