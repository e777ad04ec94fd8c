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
	// testbed is an entry with its agents and stub upstreams on the loopback interface, together
	// with the paths that it is compared with.
	testbed struct {
		entry          string   // address
		direct         string   // address of the first upstream, without entry and agent
		otherUpstreams []string // addresses of the other upstreams
		chainedProxies string   // address of two chained standard reverse proxies in front of the first upstream
		upstreams      []*stubUpstream
		metrics        metrics.Registry
		cleanups       []func()
	}

	// stubUpstream is an upstream that echoes each request after a delay without using the processor.
	stubUpstream struct {
		server *http.Server
		delay  atomic.Int64 // time until a response, in nanoseconds
	}
)

const (
	testbedService = "booking"
	testbedSlots   = 8
	testbedQueue   = 8
)

// newTestbed starts a testbed whose upstreams respond after the given delay.
func newTestbed(count int, delay time.Duration) (*testbed, error) {
	tb := &testbed{metrics: metrics.NewRegistry()}
	discardLog := logrus.New()
	discardLog.SetOutput(io.Discard)
	view := jaygw.View{
		Index: 1,
		Contracts: map[string]jaygw.Contract{testbedService: {
			Environment: "load", Service: testbedService, Class: jaygw.LatencyCritical,
			Timeout: 10 * time.Second, MaxBody: jaygw.MB, RetryPercent: 10,
		}},
		Upstreams: map[string][]jaygw.Upstream{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	tb.cleanups = append(tb.cleanups, cancel)
	for i := range count {
		u := &stubUpstream{}
		u.delay.Store(int64(delay))
		u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
		address, err := tb.serve(u.server, nil)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			tb.direct = address
		} else {
			tb.otherUpstreams = append(tb.otherUpstreams, address)
		}
		tb.upstreams = append(tb.upstreams, u)
		agent := server.New(address, jaygw.Incarnation(i+1), limiter.New(testbedSlots, testbedQueue))
		mux := drpcmux.New()
		if err := messenger.DRPCRegisterUpstream(mux, agent); err != nil {
			return nil, err
		}
		listener, err := listen()
		if err != nil {
			return nil, err
		}
		go func() { _ = dialer.Serve(ctx, listener, mux) }()
		tb.cleanups = append(tb.cleanups, agent.Close)
		view.Upstreams[testbedService] = append(view.Upstreams[testbedService], jaygw.Upstream{
			VM: fmt.Sprintf("vm-%02d", i), Domain: string(rune('a' + i%3)), Address: listener.Addr().String(),
			Incarnation: jaygw.Incarnation(i + 1),
		})
	}
	routes := router.New("z", 1)
	routes.Update(view, time.Now())
	connections := dialer.New()
	tb.cleanups = append(tb.cleanups, func() { _ = connections.Close() })
	entry := forwarder.New("entry", "1", routes, connections, discardLog, forwarder.WithRegistry(tb.metrics))
	go entry.RenewCredits(ctx)
	var err error
	if tb.entry, err = tb.serve(&http.Server{Handler: entry.Handler(), ReadHeaderTimeout: time.Minute}, forwarder.CheckLengths); err != nil {
		return nil, err
	}
	return tb, tb.startChainedProxies()
}

// startChainedProxies starts two standard reverse proxies, one behind the other, in front of the
// first upstream.
func (tb *testbed) startChainedProxies() error {
	address := tb.direct
	for range 2 {
		target, err := url.Parse("http://" + address)
		if err != nil {
			return err
		}
		transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		proxy := &httputil.ReverseProxy{
			Rewrite:   func(p *httputil.ProxyRequest) { p.SetURL(target); p.SetXForwarded() },
			Transport: transport,
		}
		tb.cleanups = append(tb.cleanups, transport.CloseIdleConnections)
		if address, err = tb.serve(&http.Server{Handler: proxy, ReadHeaderTimeout: time.Minute}, nil); err != nil {
			return err
		}
	}
	tb.chainedProxies = address
	return nil
}

// serve starts an HTTP server on a free port and returns its address; wrap may wrap the listener.
func (tb *testbed) serve(s *http.Server, wrap func(*http.Server, net.Listener) net.Listener) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	address := listener.Addr().String()
	if wrap != nil {
		listener = wrap(s, listener)
	}
	go func() { _ = s.Serve(listener) }()
	tb.cleanups = append(tb.cleanups, func() { s.Close() })
	return address, nil
}

func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func (tb *testbed) close() {
	for _, cleanup := range tb.cleanups {
		cleanup()
	}
}

// ServeHTTP responds with the body of the request after the configured delay.
func (u *stubUpstream) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if delay := time.Duration(u.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = rw.Write(body)
}

func (tb *testbed) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, tb.metrics).Count()
}

func testbedURL(address string) string {
	return "http://" + address + "/" + testbedService + "/confirm"
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
