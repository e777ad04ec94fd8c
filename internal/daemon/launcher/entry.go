package launcher

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/entry/forwarder"
	"github.com/jaygw/jaygw/internal/entry/router"
)

const (
	watchHold  = 500 * time.Millisecond
	watchLimit = 2 * time.Second
	watchPause = 200 * time.Millisecond
)

// startEntry starts the callers' HTTP edge, and a replica if the settings have
// one.
func (p *Process) startEntry(ctx context.Context) error {
	peers := p.settings.Peers
	if p.settings.Control != nil {
		if err := p.startReplica(ctx); err != nil {
			return err
		}
		peers = append([]string{p.listeners.Processes.Addr().String()}, peers...)
	}
	routes := router.New(p.settings.Domain, seedOf(p.settings.Name))
	group := client.New(p.settings.Group, peers, p.dialer)
	p.group.Go(func() error { p.watch(ctx, group, routes); return nil })

	edge := forwarder.New(p.settings.Name, routes, p.dialer, p.log)
	p.serveHTTP(ctx, p.listeners.Callers, edge.Handler(), func() {
		edge.SetReady(false)
		time.Sleep(orDefault(p.settings.Limits.BalancerWait.Std(), defaultBalancerWait))
	})
	return nil
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
		routes.Update(view)
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
