package launcher

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/jaygw/jaygw/internal/control/server"
	"github.com/jaygw/jaygw/internal/observe/auditor"
	"github.com/jaygw/jaygw/internal/observe/collector"
	"github.com/jaygw/jaygw/internal/operator/responder"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/wire/messenger"
)

// collect merges the events of this process and of others into one time line.
func (p *Process) collect(ctx context.Context, processes []collector.Process, filter collector.Filter) collector.Timeline {
	return collector.Collect(ctx, p.dialer, p.settings.Name, p.recorder, processes, filter)
}

// startReplica starts a control replica, its scheduler, which decides while the replica
// leads, and the operators' interface.
func (p *Process) startReplica(ctx context.Context) error {
	control := p.settings.Control
	scheduler := dispatcher.New(dispatcher.WithLogger(p.log))
	stateMachine := applier.New(p.settings.Group,
		applier.WithObserver(scheduler.Observer()),
		applier.WithObserver(&eventObserver{recorder: p.recorder}),
		applier.WithObserver(auditor.New(p.registry, p.log)),
		applier.WithObserver(newCounterObserver(p.registry)))
	self := jaygw.Member{ID: control.ID, Name: p.settings.Name, Address: p.address(), Domain: p.settings.Domain, Voter: true}
	replica, err := coordinator.Open(
		coordinator.Settings{
			Group: p.settings.Group, Self: self, Folder: control.DataFolder, Members: control.Members, Join: control.Join,
		},
		stateMachine,
		coordinator.WithDialer(p.dialer),
		coordinator.WithLogger(p.log),
		coordinator.WithRegistry(p.registry),
		coordinator.WithLeadershipHook(func(l coordinator.Leadership) {
			scheduler.SetLeadership(l.Term, l.Leads, time.Now())
			if l.Leads {
				p.recorder.Record(jaygw.EventLeader, "elected", "member:"+self.Name)
			}
		}))
	if err != nil {
		return err
	}
	scheduler.SetReplica(replica)
	if err := messenger.DRPCRegisterGroup(p.mux, server.New(p.settings.Group, replica, scheduler, server.WithDialer(p.dialer))); err != nil {
		return err
	}
	p.group.Go(func() error { return replica.Run(ctx) })
	p.group.Go(func() error { return scheduler.Run(ctx) })
	handler := responder.New(replica, p.collect, responder.WithNodes(scheduler.Nodes)).Handler()
	if p.settings.TokenFile != "" {
		token, err := responder.ReadToken(p.settings.TokenFile)
		if err != nil {
			return err
		}
		handler = responder.RequireToken(token)(handler)
	}
	p.serveHTTP(ctx, p.listeners.Operators, handler, func() {})
	return nil
}
