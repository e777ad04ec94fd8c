// Package launcher builds jaygw's daemons from their settings and runs them.
package launcher

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/config/detector"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/observe/meter"
	"github.com/jaygw/jaygw/internal/observe/recorder"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/limiter"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"
)

type (
	// Process runs one daemon with fixed settings.
	Process struct {
		settings  jaygw.Settings
		listeners Listeners
		log       *logrus.Logger
		recorder  *recorder.Recorder
		registry  metrics.Registry
		dialer    *dialer.Dialer
		tls       *tls.Config
		mux       *drpcmux.Mux
		group     *errgroup.Group

		// workCtx is canceled by stopWork once the requests in flight have ended: the
		// parts of the process that they depend on run until then.
		workCtx  context.Context
		stopWork context.CancelFunc
	}

	// Listeners holds the listening sockets of a process. A nil one is opened at its
	// address in the settings, if there is one.
	Listeners struct {
		Callers   net.Listener // HTTP requests of callers
		Operators net.Listener // HTTP requests of operators
		Processes net.Listener // drpc calls of other processes
	}

	// Option configures a new Process.
	Option func(*Process)
)

const (
	headerTimeout         = 10 * time.Second
	idleTimeout           = 2 * time.Minute
	defaultDrainTimeout   = 30 * time.Second
	defaultBalancerWait   = 5 * time.Second
	defaultMaxHeaderBytes = 64 << 10

	// logTimeFormat has milliseconds, so that lines of several processes can be put in order.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// WithListeners sets listening sockets that are already open.
func WithListeners(listeners Listeners) Option {
	return func(p *Process) { p.listeners = listeners }
}

// WithLogger replaces the logger.
func WithLogger(log *logrus.Logger) Option {
	return func(p *Process) { p.log = log }
}

// New returns a process with settings that have been checked.
func New(settings jaygw.Settings, options ...Option) *Process {
	p := &Process{
		settings: settings,
		recorder: recorder.New(settings.Name, settings.Domain),
		registry: metrics.NewRegistry(),
		mux:      drpcmux.New(),
	}
	for _, option := range options {
		option(p)
	}
	if p.log == nil {
		p.log = NewLogger(settings.Log)
	}
	return p
}

// Run runs the process in a role until the context ends and the requests in flight
// have ended.
func (p *Process) Run(ctx context.Context, role jaygw.Role) error {
	var err error
	if p.tls, err = dialer.ReadTLS(p.settings.TLS); err != nil {
		return err
	}
	p.dialer = dialer.New(dialer.WithTLS(p.tls))
	if err := p.openListeners(); err != nil {
		return err
	}
	defer p.dialer.Close()
	p.group, ctx = errgroup.WithContext(ctx)
	p.workCtx, p.stopWork = context.WithCancel(context.WithoutCancel(ctx))
	defer p.stopWork()
	p.recorder.Record(jaygw.EventProcess, string(role)+" started")
	if err := messenger.DRPCRegisterTimeline(p.mux, collector.NewServer(p.settings.Name, p.recorder)); err != nil {
		return err
	}
	switch role {
	case jaygw.RoleAgent:
		err = p.startAgent(ctx)
	case jaygw.RoleEntry:
		err = p.startEntry(ctx)
	default:
		err = p.startReplica(ctx)
		context.AfterFunc(ctx, p.stopWork)
	}
	if err != nil {
		return err
	}
	p.group.Go(func() error { return dialer.Serve(p.workCtx, dialer.WrapTLS(p.listeners.Processes, p.tls), p.mux) })
	p.log.Infof("%s: started as %s, processes at %s", role, p.settings.Name, p.listeners.Processes.Addr())
	err = p.group.Wait()
	p.log.Infof("%s: stopped", role)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// openListeners opens the missing listeners at their addresses in the settings.
func (p *Process) openListeners() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&p.listeners.Callers, p.settings.Listen.Callers},
		{&p.listeners.Operators, p.settings.Listen.Operators},
		{&p.listeners.Processes, p.settings.Listen.Processes},
	} {
		if *l.listener != nil || l.address == "" {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "listen at %s", l.address)
		}
		*l.listener = listener
	}
	return nil
}

// serveHTTP serves HTTP until the context ends, then calls drain and completes the
// requests in flight.
func (p *Process) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, drain func()) {
	server := p.newHTTPServer(meter.Handler(p.registry, handler))
	limited := p.newLimiter().Limit(server, listener, limiter.Operators)
	p.group.Go(func() error {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve HTTP")
		}
		return nil
	})
	p.group.Go(func() error {
		<-ctx.Done()
		drain()
		limit := orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrainTimeout)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		return eris.Wrap(server.Shutdown(ctx), "drain HTTP")
	})
}

// newLimiter returns the limiter for operators. Without settings for it, the surroundings of the process say what it may use.
func (p *Process) newLimiter() *limiter.Limiter {
	allowance := detector.Detect(jaygw.NodeSettings{}, detector.Look)
	return limiter.New(limiter.LimitsFor(allowance, jaygw.RoleControl), p.log, p.registry)
}

func (p *Process) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    orDefault(p.settings.Limits.HeaderBytes, defaultMaxHeaderBytes),
	}
}

// address returns the address at which other processes reach this one.
func (p *Process) address() string {
	if p.settings.Advertise != "" {
		return p.settings.Advertise
	}
	return p.listeners.Processes.Addr().String()
}

// NewLogger returns a logger for these settings.
func NewLogger(settings jaygw.LogSettings) *logrus.Logger {
	log := logrus.New()
	if settings.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: logTimeFormat})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	if level, err := logrus.ParseLevel(settings.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
