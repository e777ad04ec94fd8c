// Package limiter bounds what clients of an HTTP server take: memory of bodies and headers, connections and
// time. It never refuses a request whose handling has begun to change state.
package limiter

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jaygw/jaygw"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

type (
	// Limiter holds the limits of one process. Its servers share one budget of bytes.
	Limiter struct {
		limits   Limits
		budget   *budget
		catalog  atomic.Pointer[jaygw.CatalogLimits]
		registry metrics.Registry
		log      logrus.FieldLogger
		lastLog  atomic.Int64 // Unix time of the last log line, in nanoseconds

		// Gauges of the bytes of the budget in use and of the connections of the main listener.
		bytes, connections metrics.Gauge
	}

	// Class is a kind of clients.
	Class int

	// timing holds the limits of requests of one class.
	timing struct {
		header, idle           time.Duration
		headerBytes, bodyBytes int
	}

	requestKey struct{}
)

const (
	// Callers are the clients of an entry. The limits of the catalog in force apply to them.
	Callers Class = iota
	// Operators are operators of a control process, or the worker of an agent.
	Operators
	// Probes read metrics or the readiness.
	Probes
)

const (
	// callerBodyBytes bounds callers' bodies if the catalog is not known or declares no bound.
	callerBodyBytes = 262_144

	// The limits of other clients, and those of callers that the catalog does not declare.
	otherHeaderBytes   = 64 << 10
	otherBodyBytes     = 4 << 20
	otherHeaderTimeout = 10 * time.Second
	otherIdleTimeout   = time.Minute

	// maxHeaderBytes bounds the headers of any request, whatever the catalog declares.
	maxHeaderBytes = 64 << 10

	// logInterval is the least time between two log lines.
	logInterval = 10 * time.Second
)

// New returns a limiter. Its metrics are held in a registry.
func New(limits Limits, log logrus.FieldLogger, registry metrics.Registry) *Limiter {
	return &Limiter{
		limits: limits, budget: newBudget(limits.Bytes), log: log, registry: registry,
		bytes:       metrics.GetOrRegisterGauge("clients.bytes", registry),
		connections: metrics.GetOrRegisterGauge("clients.connections", registry),
	}
}

// SetCatalogLimits puts the limits of a catalog in force. Zero values stand for the defaults.
func (l *Limiter) SetCatalogLimits(limits jaygw.CatalogLimits) { l.catalog.Store(&limits) }

// Limit makes a server keep the limits of a class. It returns the listener that the server has to serve.
func (l *Limiter) Limit(server *http.Server, listener net.Listener, class Class) net.Listener {
	limited := newListener(l, listener, class)
	server.MaxHeaderBytes = maxHeaderBytes
	server.DisableGeneralOptionsHandler = true // it reads bodies without a time limit
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*limitedConn); ok {
			c.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connKey{}).(*limitedConn)
		if headerBytes(r) > l.timingOf(class).headerBytes {
			l.count("refused-headers", r.RemoteAddr)
			refuse(w, conn, "the headers are too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		request := &request{limiter: l, class: class, conn: conn, account: newAccount(conn)}
		defer func() {
			l.budget.release(request.account)
			l.bytes.Update(l.budget.inUse())
		}()
		deadline := time.Time{}
		if r.ContentLength != 0 { // the server reads the rest of a body that the handler does not read
			deadline = time.Now().Add(bodyTimeout)
		}
		conn.setBodyDeadline(deadline)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, request)))
	})
	return limited
}

// timingOf returns the limits in force for a class.
func (l *Limiter) timingOf(class Class) timing {
	if class != Callers {
		return timing{otherHeaderTimeout, otherIdleTimeout, otherHeaderBytes, otherBodyBytes}
	}
	t := timing{otherHeaderTimeout, otherIdleTimeout, otherHeaderBytes, callerBodyBytes}
	if c := l.catalog.Load(); c != nil {
		t.header, t.idle = positiveOr(c.HeaderTimeout, t.header), positiveOr(c.IdleTimeout, t.idle)
		t.headerBytes, t.bodyBytes = positiveOr(c.HeaderBytes, t.headerBytes), positiveOr(c.BodyBytes, t.bodyBytes)
	}
	t.bodyBytes = min(t.bodyBytes, otherBodyBytes)
	return t
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// count counts a refusal and logs it, at most once in logInterval.
func (l *Limiter) count(event, client string) {
	counter := metrics.GetOrRegisterCounter("clients."+event, l.registry)
	counter.Inc(1)
	now, last := time.Now().UnixNano(), l.lastLog.Load()
	if now-last >= int64(logInterval) && l.lastLog.CompareAndSwap(last, now) {
		l.log.WithFields(logrus.Fields{
			"event": event, "client": client, "count": counter.Count(), "bytes": l.budget.inUse(), "budget": l.limits.Bytes,
		}).Warn("clients: a client was refused or cut off")
	}
}

// headerBytes returns the size of a request's line and headers.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}
