package launcher

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/entry/claimer"
	"github.com/jaygw/jaygw/internal/entry/forwarder"
	"github.com/jaygw/jaygw/internal/entry/router"
	"github.com/rotisserie/eris"
)

const (
	// watchWait is how long the control group may wait for a change of the view before it
	// responds.
	watchWait = 500 * time.Millisecond
	// watchTimeout bounds one request for the view, and watchRetryDelay is the delay after
	// a failed one.
	watchTimeout    = 2 * time.Second
	watchRetryDelay = 200 * time.Millisecond

	// settleTimeout bounds how long a stopping entry waits for the control group to record
	// the outcomes of idempotency keys. Those that are missing then count as unknown.
	settleTimeout = 2 * time.Second
)

// startEntry starts the HTTP proxy for callers, and a control replica if the settings
// have one.
func (p *Process) startEntry(ctx context.Context) error {
	peers := p.settings.Peers
	if p.settings.Control != nil {
		if err := p.startReplica(p.workCtx); err != nil {
			return err
		}
		peers = append([]string{p.listeners.Processes.Addr().String()}, peers...)
	}
	routes := router.New(p.settings.Domain, seedFromName(p.settings.Name))
	control := client.New(p.settings.Group, peers, p.dialer)
	p.group.Go(func() error { p.watch(p.workCtx, control, routes); return nil })

	keyClaims := claimer.New(control, p.log)
	proxy := forwarder.New(p.settings.Name, strconv.FormatUint(rand.Uint64(), 36), routes, p.dialer, p.log,
		forwarder.WithClaimer(keyClaims),
		forwarder.WithRegistry(p.registry),
		forwarder.WithLimits(forwarder.Limits{
			MaxRequests: p.settings.Limits.Requests, MaxBodyBytes: int64(p.settings.Limits.BodyBytes),
		}))
	p.group.Go(func() error { proxy.RenewCredits(p.workCtx); return nil })
	p.serveCallers(ctx, proxy, keyClaims)
	return nil
}

// serveCallers serves callers until the context ends. Then it reports not ready, waits
// until the balancer sends no more connections, and completes the requests in flight
// before it stops the parts of the process that they depend on.
func (p *Process) serveCallers(ctx context.Context, proxy *forwarder.Forwarder, keyClaims *claimer.Claimer) {
	server := p.newHTTPServer(proxy.Handler())
	listener := forwarder.CheckLengths(server, p.listeners.Callers)
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve callers")
		}
		return nil
	})
	p.group.Go(func() error {
		<-ctx.Done()
		defer p.stopWork()
		proxy.SetReady(false)
		time.Sleep(orDefault(p.settings.Limits.BalancerWait.Std(), defaultBalancerWait))
		limit := orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrainTimeout)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
			return eris.Wrap(err, "finish the requests in flight")
		}
		settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		if err := keyClaims.Drain(settleCtx); err != nil {
			p.log.Warnf("entry: outcomes of idempotency keys were not recorded: %v", err)
		}
		return nil
	})
}

// watch keeps the router's view current until the context ends.
func (p *Process) watch(ctx context.Context, control *client.Client, routes *router.Router) {
	var lastView jaygw.View
	for ctx.Err() == nil {
		view, err := watchOnce(ctx, control, p.settings.Name, lastView)
		if err != nil {
			p.log.Debugf("entry: the view was not updated: %v", err)
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
			continue
		}
		lastView = view
		routes.Update(view, time.Now())
	}
}

func watchOnce(ctx context.Context, control *client.Client, node string, lastView jaygw.View) (jaygw.View, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return control.Watch(ctx, node, lastView, watchWait)
}

// seedFromName returns the router's random seed, which differs between entries.
func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
