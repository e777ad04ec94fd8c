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
	watchHold  = 500 * time.Millisecond
	watchLimit = 2 * time.Second
	watchPause = 200 * time.Millisecond

	// settleWait bounds how long a leaving entry waits for the control group to
	// record outcomes; those that are missing count as unknown.
	settleWait = 2 * time.Second
)

// startEntry starts the callers' HTTP edge, and a replica if the settings have
// one.
func (p *Process) startEntry(ctx context.Context) error {
	peers := p.settings.Peers
	if p.settings.Control != nil {
		if err := p.startReplica(p.work); err != nil {
			return err
		}
		peers = append([]string{p.listeners.Processes.Addr().String()}, peers...)
	}
	routes := router.New(p.settings.Domain, seedOf(p.settings.Name))
	group := client.New(p.settings.Group, peers, p.dialer)
	p.group.Go(func() error { p.watch(p.work, group, routes); return nil })

	keys := claimer.New(group, p.log)
	edge := forwarder.New(p.settings.Name, strconv.FormatUint(rand.Uint64(), 36), routes, p.dialer, p.log,
		forwarder.WithClaimer(keys),
		forwarder.WithRegistry(p.registry),
		forwarder.WithLimits(forwarder.Limits{
			Requests: p.settings.Limits.Requests, Body: int64(p.settings.Limits.BodyBytes),
		}))
	p.group.Go(func() error { edge.KeepCredits(p.work); return nil })
	p.serveCallers(ctx, edge, keys)
	return nil
}

// serveCallers serves until the context ends. Then it reports not ready, waits for
// the balancer to send no more callers, and finishes what is in flight before
// anything that it depends on is stopped.
func (p *Process) serveCallers(ctx context.Context, edge *forwarder.Forwarder, keys *claimer.Claimer) {
	server := p.newHTTP(edge.Handler())
	listener := forwarder.Guard(server, p.listeners.Callers)
	p.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve callers")
		}
		return nil
	})
	p.group.Go(func() error {
		<-ctx.Done()
		defer p.stopWork()
		edge.SetReady(false)
		time.Sleep(orDefault(p.settings.Limits.BalancerWait.Std(), defaultBalancerWait))
		limit := orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrain)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
			return eris.Wrap(err, "finish the requests in flight")
		}
		settle, cancel := context.WithTimeout(ctx, settleWait)
		defer cancel()
		if err := keys.Drain(settle); err != nil {
			p.log.Warnf("entry: outcomes of idempotency keys were not recorded: %v", err)
		}
		return nil
	})
}

// watch keeps the router's view current until the context ends.
func (p *Process) watch(ctx context.Context, group *client.Client, routes *router.Router) {
	var seen jaygw.View
	for ctx.Err() == nil {
		view, err := watchOnce(ctx, group, p.settings.Name, seen)
		if err != nil {
			p.log.Debugf("entry: the view is not confirmed: %v", err)
			select {
			case <-ctx.Done():
			case <-time.After(watchPause):
			}
			continue
		}
		seen = view
		routes.Update(view, time.Now())
	}
}

func watchOnce(ctx context.Context, group *client.Client, node string, seen jaygw.View) (jaygw.View, error) {
	ctx, cancel := context.WithTimeout(ctx, watchLimit)
	defer cancel()
	return group.Watch(ctx, node, seen, watchHold)
}

func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
