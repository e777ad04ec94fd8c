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
	// defaultQueueLength is the number of slots of the usual worker: a request
	// that waits then takes about twice its own time.
	defaultQueueLength = 8
	defaultConnections = 64

	// defaultLeaveWait is how long a leaving agent still accepts requests, until
	// the entries know that it leaves.
	defaultLeaveWait = 3 * time.Second

	// flushDelay is the time for responses that were sent to be read before the
	// connections close.
	flushDelay = 100 * time.Millisecond
)

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
	requests := server.New(worker.Address, incarnation, admission, server.WithConnections(orDefault(worker.Connections, defaultConnections)))
	if err := messenger.DRPCRegisterUpstream(p.mux, requests); err != nil {
		return err
	}
	p.group.Go(func() error { requests.Probe(p.work); return nil })
	vm := jaygw.VM{
		Name: p.settings.Name, Group: p.settings.Group, Region: p.settings.Region, Domain: p.settings.Domain,
		Rack: p.settings.Rack, Size: worker.Size, Slots: worker.Slots, Address: p.address(), Services: worker.Services,
	}
	session := announcer.New(
		client.New(p.settings.Group, p.settings.Peers, p.dialer),
		platform, instance,
		executor.New(p.settings.Group, vm, incarnation),
		announcer.WithLogger(p.log),
		announcer.WithDrain(requests.DrainService))
	// The session outlives the end of the context until the VM has left.
	p.group.Go(func() error { return session.Run(p.work) })
	p.group.Go(func() error {
		<-ctx.Done()
		defer p.stopWork()
		return p.leave(context.WithoutCancel(ctx), session, requests)
	})
	if p.listeners.Operators != nil {
		p.serveHTTP(ctx, p.listeners.Operators, http.NotFoundHandler(), func() {})
	}
	return nil
}

// leave announces that the upstream is leaving, waits until the entries know and
// the tasks have moved, and finishes what is in flight.
func (p *Process) leave(ctx context.Context, session *announcer.Announcer, requests *server.Server) error {
	defer requests.Close()
	ctx, cancel := context.WithTimeout(ctx, orDefault(p.settings.Limits.DrainTimeout.Std(), defaultDrain))
	defer cancel()
	requests.Leave()
	var tasks sync.WaitGroup
	tasks.Go(func() { session.Leave(ctx) })
	defer tasks.Wait()
	time.Sleep(orDefault(p.settings.Limits.BalancerWait.Std(), defaultLeaveWait))
	if err := requests.Drain(ctx); err != nil {
		return eris.Wrap(err, "finish the requests in flight")
	}
	time.Sleep(flushDelay)
	return nil
}
