package launcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/poller"
	"github.com/jaygw/jaygw/internal/agent/runner"
	"github.com/jaygw/jaygw/internal/config/detector"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/entry/relay"
	"github.com/jaygw/jaygw/internal/observe/logwriter"
	"github.com/jaygw/jaygw/internal/observe/meter"
	"github.com/jaygw/jaygw/internal/observe/watchdog"
	"github.com/jaygw/jaygw/internal/wire/dialer"
	"github.com/jaygw/jaygw/internal/wire/limiter"
	"github.com/jaygw/jaygw/platform"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

type (
	// Node runs one daemon on a VM that a platform assigns.
	Node struct {
		settings  jaygw.NodeSettings
		reload    func() (jaygw.NodeSettings, error)
		openDisk  DiskOpener
		log       *logrus.Logger
		logWriter *logwriter.Writer
		registry  metrics.Registry
		dialer    *dialer.Dialer
		client    *client.Client
		group     *errgroup.Group
		limiter   *limiter.Limiter
		limits    limiter.Limits

		// workCtx is canceled by stopWork once the requests in flight have ended.
		workCtx  context.Context
		stopWork context.CancelFunc
		stopping atomic.Bool

		replicaAddress string // process address of the replica; empty without one
	}

	// DiskOpener opens the folder at a path, and creates it if necessary.
	DiskOpener func(path string) (journaler.Disk, error)

	// NodeOption configures a Node that NewNode creates.
	NodeOption func(*Node)
)

const (
	// balancerDelay is how long the platform's balancer may still send new connections
	// to a process that is not ready: it checks once per second and stops after two
	// failed checks.
	balancerDelay = 2500 * time.Millisecond

	// exitReserve is the part of the grace time that is reserved for the exit of the
	// process after its requests have ended.
	exitReserve = time.Second

	// defaultGrace is the grace time if the settings have none.
	defaultGrace = 6 * time.Second

	// dialTimeout bounds the time to open a connection between two processes. A round trip
	// takes a few milliseconds within a region and tens of milliseconds between two.
	dialTimeout = 400 * time.Millisecond

	// removeAfter is the time without contact after which a control replica is removed
	// from its group, if the remaining group can still survive the tolerated number of
	// losses. It is longer than a restart takes.
	removeAfter = 6 * time.Second

	// handOverTimeout bounds how long a stopping leader waits until another replica leads, and
	// leaveTimeout how long a stopping replica then waits until another one has taken its place.
	// The process then keeps running for handOverDelay, so that requests in flight are
	// answered or forwarded.
	handOverTimeout = time.Second
	leaveTimeout    = 4 * time.Second
	handOverDelay   = 200 * time.Millisecond

	// reloadInterval is the interval at which a process that does not reach the control group
	// reloads its settings.
	reloadInterval = 2 * time.Second
)

// WithDisks sets the function that opens the data folder and the folder of the log in it.
func WithDisks(open DiskOpener) NodeOption { return func(n *Node) { n.openDisk = open } }

// NewNode returns a daemon with settings that have been checked. Run calls reload to read
// and check them again.
func NewNode(settings jaygw.NodeSettings, reload func() (jaygw.NodeSettings, error), options ...NodeOption) *Node {
	d, log, out := dialer.New(dialer.WithTimeout(dialTimeout)), NewLogger(settings.Log), logwriter.New(os.Stdout)
	log.SetOutput(out)
	n := &Node{
		settings: settings, reload: reload, openDisk: journaler.NewFolder, log: log, logWriter: out,
		registry: metrics.NewRegistry(), dialer: d,
		client: client.New(settings.Group, settings.SeedPeers(), d, client.WithLogger(log)),
	}
	for _, option := range options {
		option(n)
	}
	return n
}

// Run runs the daemon in a role until the context ends and the requests in flight have
// ended. It reloads its settings at each value of hangup.
func (n *Node) Run(ctx context.Context, role jaygw.Role, hangup <-chan struct{}) error {
	defer n.logWriter.Close()
	defer n.dialer.Close()
	n.group, ctx = errgroup.WithContext(ctx)
	n.workCtx, n.stopWork = context.WithCancel(context.WithoutCancel(ctx))
	defer n.stopWork()
	allowance := detector.Detect(n.settings, detector.Look)
	n.log.WithFields(logrus.Fields{
		"role": string(role), "name": n.settings.Name, "seeds": n.settings.Seeds, "first-start": n.settings.FirstStart,
		"memory": allowance.Memory, "memory-source": string(allowance.MemorySource),
		"file-descriptors": allowance.FileDescriptors, "file-descriptors-source": string(allowance.DescriptorsSource),
	}).Info("node: started")
	n.limits = limiter.LimitsFor(allowance, role)
	n.limiter = limiter.New(n.limits, n.log, n.registry)
	if n.limits.ProcessMemory > 0 {
		debug.SetMemoryLimit(n.limits.ProcessMemory)
	}
	err := n.serveMetrics()
	if err != nil {
		return err
	}
	switch role {
	case jaygw.RoleEntry:
		err = n.startEntry(ctx)
	case jaygw.RoleAgent:
		err = n.startAgent(ctx)
	default:
		err = n.startControl(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) { // canceled: stopped while it was starting
		return err
	}
	n.group.Go(func() error { n.watchSettings(n.workCtx, hangup); return nil })
	err = n.group.Wait()
	n.log.WithField("role", string(role)).Info("node: stopped")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// watchSettings reloads the settings at each value of hangup, and while the process does not reach the
// control group: the platform may replace the file without a signal. Of the new settings, only the
// seeds take effect while the process runs.
func (n *Node) watchSettings(ctx context.Context, hangup <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case now := <-ticker.C:
			if n.client.Reached(now) {
				continue
			}
		}
		settings, err := n.reload()
		if err != nil {
			n.log.WithError(err).Error("node: settings not reloaded, the previous ones stay in force")
			continue
		}
		if n.client.SetSeeds(n.seedPeers(settings)) || signaled {
			n.log.WithField("seeds", settings.Seeds).Info("node: settings reloaded")
		}
	}
}

// seedPeers returns the process addresses at which the process searches for the control group: those of
// the seeds, and its own if it has a replica.
func (n *Node) seedPeers(settings jaygw.NodeSettings) []string {
	peers := settings.SeedPeers()
	if n.replicaAddress != "" && !slices.Contains(peers, n.replicaAddress) {
		peers = append(peers, n.replicaAddress)
	}
	return peers
}

// grace returns how long requests in flight may still take after the signal to stop.
func (n *Node) grace() time.Duration {
	return orDefault(n.settings.Grace.Std(), defaultGrace) - exitReserve
}

func (n *Node) listen(address string, options ...func(*net.ListenConfig)) (net.Listener, error) {
	var config net.ListenConfig
	for _, option := range options {
		option(&config)
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, eris.Wrapf(err, "listen at %s", address)
}

// withReadBuffer sets the size of the receive buffers of the connections that a listener accepts. They inherit it from
// the listener: a buffer that shrinks once a connection is open would drop what its client may already have sent. Zero leaves
// it to the system.
func withReadBuffer(bytes int) func(*net.ListenConfig) {
	return func(config *net.ListenConfig) {
		if bytes == 0 {
			return
		}
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
			})
			return errors.Join(err, optionErr)
		}
	}
}

// serve starts an HTTP server for a class of clients that is closed once workCtx ends.
func (n *Node) serve(address string, handler http.Handler, class limiter.Class) (*http.Server, error) {
	listener, err := n.listen(address, withReadBuffer(n.limits.ReadBuffer))
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler} //nolint:gosec // the limiter bounds the time of headers
	limited := n.limiter.Limit(server, listener, class)
	n.group.Go(func() error {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve HTTP")
		}
		return nil
	})
	context.AfterFunc(n.workCtx, func() { server.Close() })
	return server, nil
}

func (n *Node) serveMetrics() error {
	if n.settings.Listen.Metrics == "" {
		return nil
	}
	_, err := n.serve(n.settings.Listen.Metrics, meter.Text(n.registry), limiter.Probes)
	return err
}

func (n *Node) startEntry(ctx context.Context) error {
	workflowRelay := relay.New(n.client, n.log, n.registry)
	callers, err := n.serve(n.settings.Listen.Callers, platform.Callers(workflowRelay), limiter.Callers)
	if err != nil {
		return err
	}
	if _, err := n.serve(n.settings.Listen.Ready, platform.Ready(func() bool { return !n.stopping.Load() && workflowRelay.ControlReached() }), limiter.Probes); err != nil {
		return err
	}
	n.group.Go(func() error { return workflowRelay.PingControl(n.workCtx) })
	n.group.Go(func() error { return workflowRelay.WatchLimits(n.workCtx, n.limiter.SetCatalogLimits) })
	n.group.Go(func() error { return n.client.Locate(n.workCtx) })
	n.group.Go(func() error { return n.drain(ctx, callers) })
	return nil
}

// drain stops the callers' server once the context has ended. The process reports not ready
// until the balancer sends no new connections, and each open connection closes after its
// request.
func (n *Node) drain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	defer n.stopWork()
	n.stopping.Store(true)
	n.log.Info("node: stopping")
	bounded, cancel := context.WithTimeout(n.workCtx, n.grace())
	defer cancel()
	callers.SetKeepAlivesEnabled(false)
	select {
	case <-bounded.Done():
	case <-time.After(balancerDelay):
	}
	return eris.Wrap(callers.Shutdown(bounded), "finish the requests in flight")
}

func (n *Node) startAgent(ctx context.Context) error {
	worker := platform.NewWorker(n.settings.Worker)
	session := poller.New(n.client, worker,
		runner.New(n.settings.Name, rand.Uint64(), n.settings.LongestLease.Std()), poller.WithLogger(n.log),
		poller.WithRegistry(n.registry))
	if _, err := n.serve(n.settings.Listen.Operators, platform.Agent(session, worker, n.settings.Domains), limiter.Operators); err != nil {
		return err
	}
	n.group.Go(func() error { return session.Run(n.workCtx) })
	n.group.Go(func() error { return n.client.Locate(n.workCtx) })
	context.AfterFunc(ctx, n.stopWork)
	return nil
}

func (n *Node) serveOperators() error {
	pauses := watchdog.New(watchdog.WithLogger(n.log))
	n.group.Go(func() error { return pauses.Run(n.workCtx) })
	workflowRelay := relay.New(n.client, n.log, n.registry, relay.WithWatchdog(pauses))
	_, err := n.serve(n.settings.Listen.Operators, platform.Operators(workflowRelay, n.settings.Domains), limiter.Operators)
	return err
}
