package launcher

import (
	"context"
	"math/rand/v2"

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
	platform := connector.New(worker.Address)
	instance, err := announcer.Instance(ctx, platform, p.log)
	if err != nil {
		return err
	}
	incarnation := jaygw.NewIncarnation(instance, rand.Uint32())
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
		platform, instance,
		executor.New(p.settings.Group, vm, incarnation),
		announcer.WithLogger(p.log))
	// The session outlives the end of the context until the VM has left.
	sessionCtx, end := context.WithCancel(context.WithoutCancel(ctx))
	p.group.Go(func() error {
		defer end()
		return session.Run(sessionCtx)
	})
	p.group.Go(func() error {
		defer end()
		select {
		case <-ctx.Done():
		case <-sessionCtx.Done():
			return nil
		}
		limit := orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrain)
		leaveCtx, cancel := context.WithTimeout(sessionCtx, limit)
		defer cancel()
		session.Leave(leaveCtx)
		return nil
	})
	return nil
}
