// Package forwarder implements the HTTP interface of an entry: it sends callers' requests
// to upstreams, through the agents on the upstreams' VMs, and returns the responses.
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
	// Forwarder accepts callers' requests and forwards them to upstreams.
	Forwarder struct {
		name     string
		router   *router.Router
		agents   Connector
		claimer  jaygw.Claimer
		log      logrus.FieldLogger
		registry metrics.Registry
		counters counters
		limits   Limits
		idPrefix string // of the request ids that this process assigns

		lastAttemptID     atomic.Uint64
		lastRequestNumber atomic.Uint64
		inFlight          atomic.Int64 // requests being handled
		bufferedBytes     atomic.Int64 // reserved for the bodies of requests with an idempotency key
		ready             atomic.Bool  // the response of /ready, once there is a view
		faults            faults
	}

	// Connector returns connections to the agents at given addresses.
	Connector interface {
		Conn(ctx context.Context, address string) drpc.Conn
	}

	// Limits bounds the load that an entry accepts.
	Limits struct {
		MaxRequests      int   // requests in flight at the same time
		MaxBodyBytes     int64 // bytes of one request's body
		MaxBufferedBytes int64 // total bytes of the buffered bodies of requests with an idempotency key
	}

	// Option configures a new Forwarder.
	Option func(*Forwarder)

	// faults are injected by tests to show that the checks detect them.
	faults struct {
		retryUnknown bool // a request whose outcome is unknown is sent again
		matchByOrder bool // any response message is assigned to the waiting attempt
	}
)

const (
	defaultMaxRequests = 2048
	defaultMaxBody     = 64 << 20
	defaultMaxBuffered = 64 << 20
	defaultTimeout     = 10 * time.Second
)

// WithClaimer sets the claimer of idempotency keys. Without one, requests with a key are
// refused.
func WithClaimer(claimer jaygw.Claimer) Option {
	return func(f *Forwarder) { f.claimer = claimer }
}

// WithLimits sets the limits; the default applies where a value is zero.
func WithLimits(limits Limits) Option {
	return func(f *Forwarder) {
		if limits.MaxRequests > 0 {
			f.limits.MaxRequests = limits.MaxRequests
		}
		if limits.MaxBodyBytes > 0 {
			f.limits.MaxBodyBytes = limits.MaxBodyBytes
		}
		if limits.MaxBufferedBytes > 0 {
			f.limits.MaxBufferedBytes = limits.MaxBufferedBytes
		}
	}
}

// WithRegistry sets the registry that holds the entry's metrics and that /metrics shows.
func WithRegistry(registry metrics.Registry) Option {
	return func(f *Forwarder) { f.registry = registry }
}

// New returns the forwarder of the entry with the given name. The name and the incarnation,
// an id of the process, make request ids unique.
func New(name, incarnation string, r *router.Router, agents Connector, log logrus.FieldLogger,
	options ...Option,
) *Forwarder {
	f := &Forwarder{
		name: name, router: r, agents: agents, log: log, idPrefix: name + "-" + incarnation + "-",
		registry: metrics.NewRegistry(),
		limits:   Limits{MaxRequests: defaultMaxRequests, MaxBodyBytes: defaultMaxBody, MaxBufferedBytes: defaultMaxBuffered},
	}
	for _, option := range options {
		option(f)
	}
	f.counters = newCounters(f.registry)
	// Attempt ids start at a hash of the prefix. The ids of different entries and
	// incarnations differ, so that a stray message for one is not taken for the
	// response to an attempt of another.
	h := fnv.New64a()
	_, _ = h.Write([]byte(f.idPrefix))
	f.lastAttemptID.Store(h.Sum64())
	f.ready.Store(true)
	return f
}

// SetReady sets whether /ready, which the load balancer polls, may report success.
func (f *Forwarder) SetReady(ready bool) { f.ready.Store(ready) }

// Handler returns the callers' HTTP interface. The first segment of the path names the
// service. It is parsed without a router because mux cleans paths, which must reach the
// upstream unchanged.
func (f *Forwarder) Handler() http.Handler {
	ownRoutes := mux.NewRouter()
	ownRoutes.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	ownRoutes.HandleFunc("/ready", f.serveReady)
	ownRoutes.HandleFunc("/metrics", f.serveMetrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.TransferEncoding) > 0 {
			// The connection closes after a body of unknown length, so that nothing
			// that follows the body is taken for a request.
			w.Header().Set("Connection", "close")
		}
		switch r.URL.Path {
		case "/live", "/ready", "/metrics":
			ownRoutes.ServeHTTP(w, r)
		default:
			f.serve(w, r)
		}
	})
}

func (f *Forwarder) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() || f.router.View().Index == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serviceOf returns the first segment of a path. Paths with "." and ".." segments are
// refused, because the upstream could resolve them to a path of another service.
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

// RenewCredits requests credits, until the context ends, from the agents of upstreams in use
// whose responses have not renewed them in time.
func (f *Forwarder) RenewCredits(ctx context.Context) {
	ticker := time.NewTicker(creditInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, upstream := range f.router.UpstreamsNeedingCredits(now, now.Add(creditMargin)) {
				f.requestCredits(ctx, upstream)
			}
		}
	}
}
