package generator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/agent/server"
	"github.com/jaygw/jaygw/internal/entry/forwarder"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmux"
)

type (
	// rig is an entry, its agents and their stand-in upstreams on loopback, and
	// beside them the paths that they are compared with.
	rig struct {
		entry   string   // address
		direct  string   // address of the first upstream
		others  []string // addresses of the others
		chained string   // address of two chained standard reverse proxies
		workers []*worker
		metrics metrics.Registry
		stops   []func()
	}

	// worker is an upstream that answers after a time and computes nothing.
	worker struct {
		server *http.Server
		work   atomic.Int64 // nanoseconds
	}
)

const (
	rigService = "booking"
	rigSlots   = 8
	rigQueue   = 8
)

func newRig(upstreams int, work time.Duration) (*rig, error) {
	r := &rig{metrics: metrics.NewRegistry()}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	view := jaygw.View{
		Index: 1,
		Contracts: map[string]jaygw.Contract{rigService: {
			Environment: "load", Service: rigService, Class: jaygw.LatencyCritical,
			Timeout: 10 * time.Second, MaxBody: jaygw.MB, RetryPercent: 10,
		}},
		Upstreams: map[string][]jaygw.Upstream{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stops = append(r.stops, cancel)
	for i := range upstreams {
		w := &worker{}
		w.work.Store(int64(work))
		w.server = &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
		address, err := r.serve(w.server, nil)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			r.direct = address
		} else {
			r.others = append(r.others, address)
		}
		r.workers = append(r.workers, w)
		agent := server.New(address, jaygw.Incarnation(i+1), limiter.New(rigSlots, rigQueue))
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterUpstream(mux, agent); err != nil {
			return nil, err
		}
		socket, err := listen()
		if err != nil {
			return nil, err
		}
		go func() { _ = dialer.Serve(ctx, socket, mux) }()
		r.stops = append(r.stops, agent.Close)
		view.Upstreams[rigService] = append(view.Upstreams[rigService], jaygw.Upstream{
			VM: fmt.Sprintf("vm-%02d", i), Domain: string(rune('a' + i%3)), Address: socket.Addr().String(),
			Incarnation: jaygw.Incarnation(i + 1),
		})
	}
	routes := router.New("z", 1)
	routes.Update(view, time.Now())
	connections := dialer.New()
	r.stops = append(r.stops, func() { _ = connections.Close() })
	edge := forwarder.New("entry", "1", routes, connections, quiet, forwarder.WithRegistry(r.metrics))
	go edge.KeepCredits(ctx)
	var err error
	if r.entry, err = r.serve(&http.Server{Handler: edge.Handler(), ReadHeaderTimeout: time.Minute}, forwarder.Guard); err != nil {
		return nil, err
	}
	return r, r.chain()
}

// chain starts two standard reverse proxies in front of the first upstream.
func (r *rig) chain() error {
	next := r.direct
	for range 2 {
		target, err := url.Parse("http://" + next)
		if err != nil {
			return err
		}
		transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		proxy := &httputil.ReverseProxy{
			Rewrite:   func(p *httputil.ProxyRequest) { p.SetURL(target); p.SetXForwarded() },
			Transport: transport,
		}
		r.stops = append(r.stops, transport.CloseIdleConnections)
		if next, err = r.serve(&http.Server{Handler: proxy, ReadHeaderTimeout: time.Minute}, nil); err != nil {
			return err
		}
	}
	r.chained = next
	return nil
}

func (r *rig) serve(s *http.Server, wrap func(*http.Server, net.Listener) net.Listener) (string, error) {
	socket, err := listen()
	if err != nil {
		return "", err
	}
	address := socket.Addr().String()
	if wrap != nil {
		socket = wrap(s, socket)
	}
	go func() { _ = s.Serve(socket) }()
	r.stops = append(r.stops, func() { s.Close() })
	return address, nil
}

func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func (r *rig) close() {
	for _, stop := range r.stops {
		stop()
	}
}

// ServeHTTP answers with the request's body.
func (w *worker) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if work := time.Duration(w.work.Load()); work > 0 {
		time.Sleep(work)
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}

func (r *rig) count(name string) int64 { return metrics.GetOrRegisterCounter(name, r.metrics).Count() }

func rigURL(address string) string { return "http://" + address + "/" + rigService + "/confirm" }

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
