// Package forwarder is the HTTP edge of an entry: it answers callers and sends
// their requests to upstreams through the agents beside them.
package forwarder

import (
	"context"
	"hash/fnv"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
)

type (
	// Forwarder serves callers.
	Forwarder struct {
		name     string
		router   *router.Router
		agents   Connector
		claimer  jaygw.Claimer
		log      logrus.FieldLogger
		registry metrics.Registry
		counts   counts
		limits   Limits
		seed     string // of request ids
		attempts atomic.Uint64
		requests atomic.Uint64
		inFlight atomic.Int64
		buffered atomic.Int64 // bytes of bodies of requests with a key
		ready    atomic.Bool
		faults   faults
	}

	// Connector connects to agents.
	Connector interface {
		Conn(ctx context.Context, address string) drpc.Conn
	}

	// Limits bounds what the entry accepts.
	Limits struct {
		Requests int   // at the same time
		Body     int64 // bytes of one request
		Buffered int64 // bytes of the bodies of requests with a key, together
	}

	// Option changes a new Forwarder.
	Option func(*Forwarder)

	// faults are put in by tests, to show that they are found.
	faults struct {
		retryUnknown bool // a request whose outcome is unknown is sent again
		matchByOrder bool // a response belongs to the request that waits
	}
)

const (
	defaultRequests = 2048
	defaultBody     = 64 << 20
	defaultBuffered = 64 << 20
	defaultTimeout  = 10 * time.Second
)

// WithClaimer sets what claims idempotency keys. Without one, requests with a key
// are refused.
func WithClaimer(claimer jaygw.Claimer) Option {
	return func(f *Forwarder) { f.claimer = claimer }
}

// WithLimits replaces the limits; zero values keep the default.
func WithLimits(limits Limits) Option {
	return func(f *Forwarder) {
		if limits.Requests > 0 {
			f.limits.Requests = limits.Requests
		}
		if limits.Body > 0 {
			f.limits.Body = limits.Body
		}
		if limits.Buffered > 0 {
			f.limits.Buffered = limits.Buffered
		}
	}
}

// WithRegistry sets the registry of the metrics that /metrics shows.
func WithRegistry(registry metrics.Registry) Option {
	return func(f *Forwarder) { f.registry = registry }
}

// New returns the forwarder of the entry with this name. The name and the id
// of the process's life make request ids unique.
func New(name, life string, r *router.Router, agents Connector, log logrus.FieldLogger, options ...Option) *Forwarder {
	f := &Forwarder{
		name: name, router: r, agents: agents, log: log, seed: name + "-" + life + "-",
		registry: metrics.NewRegistry(),
		limits:   Limits{Requests: defaultRequests, Body: defaultBody, Buffered: defaultBuffered},
	}
	for _, option := range options {
		option(f)
	}
	f.counts = newCounts(f.registry)
	// Attempt ids of different entries and lives do not meet, so that a stray
	// message of one cannot answer an attempt of another.
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.seed))
	f.attempts.Store(h.Sum64())
	f.ready.Store(true)
	return f
}

// SetReady changes the response of /ready, which the balancer asks for.
func (f *Forwarder) SetReady(ready bool) { f.ready.Store(ready) }

// Handler returns the callers' HTTP interface. Services are found by the first
// segment of the path without a router: mux cleans paths, which are the
// upstream's to interpret.
func (f *Forwarder) Handler() http.Handler {
	own := mux.NewRouter()
	own.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	own.HandleFunc("/ready", f.answerReady)
	own.HandleFunc("/metrics", f.answerMetrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// Nothing that follows a body of unknown length on this connection
			// is taken for a request.
			w.Header().Set("Connection", "close")
		}
		switch r.URL.Path {
		case "/live", "/ready", "/metrics":
			own.ServeHTTP(w, r)
		default:
			f.serve(w, r)
		}
	})
}

func (f *Forwarder) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() || f.router.View().Index == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serviceOf returns the first segment of a path. Paths with "." and ".."
// segments are refused: the upstream could take them for another service's.
func serviceOf(path string) (string, bool) {
	if !strings.HasPrefix(path, "/") {
		return "", false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "", false
		}
	}
	service, _, _ := strings.Cut(path[1:], "/")
	return service, service != ""
}

// KeepCredits asks the agents of upstreams in use for credits when responses do
// not bring them, until the context ends.
func (f *Forwarder) KeepCredits(ctx context.Context) {
	ticker := time.NewTicker(creditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, upstream := range f.router.Stale(now, now.Add(creditMargin)) {
				f.askCredits(ctx, upstream)
			}
		}
	}
}
