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

	// probeFailures in a row make the upstream unhealthy. A single one may be a
	// pause of the upstream that its requests survive.
	probeFailures = 2
)

// Probe checks the upstream until the context ends. Attempts at an upstream that
// fails its checks are refused as not executed.
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
		s.unhealthy.Store(failures >= probeFailures)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// probe passes when the upstream answers with any status below 500: an upstream
// without a health endpoint counts as healthy while it answers.
func (s *Server) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.base+probePath, http.NoBody)
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
