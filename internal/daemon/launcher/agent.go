package launcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/agent/announcer"
	"github.com/jaygw/jaygw/internal/agent/executor"
	"github.com/jaygw/jaygw/internal/agent/limiter"
	"github.com/jaygw/jaygw/internal/agent/server"
	"github.com/jaygw/jaygw/internal/control/client"
	"github.com/jaygw/jaygw/internal/platform/connector"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/rotisserie/eris"
)

const (
	// defaultQueueLength equals the number of slots of a typical worker, so that a queued
	// request takes about twice the time of its execution.
	defaultQueueLength = 8
	defaultConnections = 64

	// defaultLeaveWait is how long a leaving agent still accepts requests. The entries are
	// notified within this time that it is leaving.
	defaultLeaveWait = 3 * time.Second

	// flushDelay is the time for the entries to read the last responses before the
	// connections are closed.
	flushDelay = 100 * time.Millisecond
)

// startAgent starts the agent of the upstream on the same VM.
func (p *Process) startAgent(ctx context.Context) error {
	workerSettings := p.settings.Worker
	worker := connector.New(workerSettings.Address)
	instance, err := announcer.Instance(ctx, worker, p.log)
	if err != nil {
		return err
	}
	incarnation := jaygw.NewIncarnation(instance, rand.Uint32())
	admission := limiter.New(workerSettings.Slots, orDefault(p.settings.Limits.QueueLength, defaultQueueLength))
	requestServer := server.New(workerSettings.Address, incarnation, admission, server.WithConnections(orDefault(workerSettings.Connections, defaultConnections)))
	if err := messenger.DRPCRegisterUpstream(p.mux, requestServer); err != nil {
		return err
	}
	p.group.Go(func() error { requestServer.Probe(p.workCtx); return nil })
	vm := jaygw.VM{
		Name: p.settings.Name, Group: p.settings.Group, Region: p.settings.Region, Domain: p.settings.Domain,
		Rack: p.settings.Rack, Size: workerSettings.Size, Slots: workerSettings.Slots, Address: p.address(), Services: workerSettings.Services,
	}
	session := announcer.New(
		client.New(p.settings.Group, p.settings.Peers, p.dialer),
		worker, instance,
		executor.New(p.settings.Group, vm, incarnation),
		announcer.WithLogger(p.log),
		announcer.WithDrain(requestServer.DrainService))
	// The session continues after the end of the context, until the VM has left.
	p.group.Go(func() error { return session.Run(p.workCtx) })
	p.group.Go(func() error {
		<-ctx.Done()
		defer p.stopWork()
		return p.leave(context.WithoutCancel(ctx), session, requestServer)
	})
	if p.listeners.Operators != nil {
		p.serveHTTP(ctx, p.listeners.Operators, http.NotFoundHandler(), func() {})
	}
	return nil
}

// leave announces that the upstream is leaving, waits until the entries have been notified
// and the tasks have moved, and completes the requests in flight.
func (p *Process) leave(ctx context.Context, session *announcer.Announcer, requestServer *server.Server) error {
	defer requestServer.Close()
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrainTimeout))
	defer cancel()
	requestServer.Leave()
	var group sync.WaitGroup
	group.Go(func() { session.Leave(ctx) })
	defer group.Wait()
	time.Sleep(orDefault(p.settings.Limits.BalancerWait.Std(), defaultLeaveWait))
	if err := requestServer.Drain(ctx); err != nil {
		return eris.Wrap(err, "finish the requests in flight")
	}
	time.Sleep(flushDelay)
	return nil
}
