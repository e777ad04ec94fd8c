package launcher

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/announcer"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/agent/server"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/platform/connector"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

const defaultQueueLength = 16

// startAgent starts the agent beside an upstream.
func (p *Process) startAgent(ctx context.Context) error {
	worker := p.settings.Worker
	incarnation := jaygw.Incarnation(rand.Uint64())
	admission := limiter.New(worker.Slots, orDefault(p.settings.Limits.QueueLength, defaultQueueLength))
	if err := messenger.DRPCRegisterUpstream(p.mux, server.New(worker.Address, incarnation, admission)); err != nil {
		return err
	}
	vm := jaygw.VM{
		Name: p.settings.Name, Group: p.settings.Group, Region: p.settings.Region, Domain: p.settings.Domain,
		Rack: p.settings.Rack, Size: worker.Size, Slots: worker.Slots, Address: p.address(), Services: worker.Services,
	}
	session := announcer.New(
		client.New(p.settings.Group, p.settings.Peers, p.dialer),
		connector.New(worker.Address),
		executor.New(p.settings.Group, vm, incarnation),
		announcer.WithLogger(p.log))
	p.group.Go(func() error { return session.Run(ctx) })
	if p.listeners.Operators != nil {
		p.serveHTTP(ctx, p.listeners.Operators, http.NotFoundHandler(), func() {})
	}
	return nil
}
