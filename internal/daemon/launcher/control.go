package launcher

import (
	"context"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/applier"
	"github.com/jaygw/jaygw/internal/control/bootstrapper"
	"github.com/jaygw/jaygw/internal/control/coordinator"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/jaygw/jaygw/internal/control/locator"
	"github.com/jaygw/jaygw/internal/control/server"
	"github.com/jaygw/jaygw/internal/schedule/dispatcher"
	"github.com/jaygw/jaygw/internal/schedule/orchestrator"
	"github.com/jaygw/jaygw/internal/wire/messenger"
	"github.com/jaygw/jaygw/platform"
	"storj.io/drpc/drpcmux"
)

// startControl starts a control replica and the operators' interface. On a VM without a
// disk, whose settings name no data folder, it starts only the interface: a replica there
// would have to join as a new member after each loss of power.
func (n *Node) startControl(ctx context.Context) error {
	address := n.settings.ProcessAddress(n.settings.Address)
	n.client.Locator().Configure(locator.WithAddress(address))
	if n.settings.DataFolder == "" {
		if _, err := n.serveGuide(address); err != nil {
			return err
		}
		n.log.Info("control: no data folder, serving operators without a replica")
		context.AfterFunc(ctx, n.stopWork)
		return n.announce()
	}
	disk, err := n.openDisk(n.settings.DataFolder)
	if err != nil {
		return err
	}
	// The folder of the log exists before the identity is stored, whose sync covers both names.
	logDisk, err := n.openDisk(bootstrapper.LogFolder(n.settings.DataFolder))
	if err != nil {
		return err
	}
	identity, err := bootstrapper.Open(disk, address, n.settings.SeedPeers(), n.settings.FirstStart)
	if err != nil {
		return err
	}
	if identity.IsFounder() {
		n.client.Locator().Configure(locator.WithReplica())
	}
	group, err := n.serveGuide(address)
	if err != nil {
		return err
	}
	n.replicaAddress = address
	n.client.SetSeeds(n.seedPeers(n.settings))
	if len(identity.Seeds) == 0 {
		if err := n.startReplica(ctx, address, identity, logDisk, group); err != nil {
			return err
		}
		return n.announce()
	}
	if err := n.announce(); err != nil {
		return err
	}
	n.group.Go(func() error {
		identity, err := bootstrapper.Found(ctx, disk, address, identity, n.client, n.log)
		if err != nil {
			n.stopWork()
			return err
		}
		return n.startReplica(ctx, address, identity, logDisk, group)
	})
	return nil
}

// startReplica starts a replica with an identity, which then serves the calls of other processes.
func (n *Node) startReplica(ctx context.Context, address string, identity bootstrapper.Identity, logDisk journaler.Disk, group *groupHandler) error {
	self := jaygw.Member{ID: identity.ID, Name: n.settings.Name, Address: address, Domain: n.settings.Domain}
	scheduler, workflows := dispatcher.New(dispatcher.WithLogger(n.log)), orchestrator.New(orchestrator.WithLogger(n.log), orchestrator.WithRegistry(n.registry),
		orchestrator.WithLookAhead(n.settings.LookAhead), orchestrator.WithCopies(!n.settings.CopiesOff),
		orchestrator.WithPaceByUrgency(n.settings.PaceByUrgency), orchestrator.WithAdmission(n.settings.Admission),
		orchestrator.WithStateLimits(orchestrator.StateLimits{State: n.limits.State, Log: n.limits.Log}))
	stateMachine := applier.New(n.settings.Group, applier.WithObserver(scheduler.Observer()))
	replica, err := coordinator.Open(
		coordinator.Settings{
			Group: n.settings.Group, Self: self, Folder: bootstrapper.LogFolder(n.settings.DataFolder),
			Members: identity.Members, Join: len(identity.Members) == 0, RemoveUnresponsiveAfter: removeAfter,
			Tolerated: n.settings.ToleratedLosses,
		},
		stateMachine,
		coordinator.WithDisk(logDisk),
		coordinator.WithDialer(n.dialer),
		coordinator.WithLogger(n.log),
		coordinator.WithRegistry(n.registry),
		coordinator.WithLogBytes(n.limits.Log),
		coordinator.WithStateBytes(n.limits.State),
		coordinator.WithLeadershipHook(func(l coordinator.Leadership) {
			now := time.Now()
			scheduler.SetLeadership(l.Term, l.Leads, now)
			workflows.SetLeadership(l.Term, l.Leads, now)
		}))
	if err != nil {
		return err
	}
	scheduler.SetReplica(replica)
	workflows.SetReplica(replica)
	handlers := drpcmux.New()
	err = messenger.DRPCRegisterGroup(handlers, server.New(n.settings.Group, replica, scheduler,
		server.WithDialer(n.dialer), server.WithOrchestrator(workflows), server.WithLocator(n.client.Locator())))
	if err != nil {
		return err
	}
	n.client.Locator().Configure(locator.WithReplicaView(func() jaygw.GroupView {
		status := replica.Status()
		if !status.IsMember() {
			return jaygw.GroupView{}
		}
		return status.View()
	}))
	group.replace(handlers)
	n.group.Go(func() error { return replica.Run(n.workCtx) })
	n.group.Go(func() error { return scheduler.Run(n.workCtx) })
	n.group.Go(func() error { return workflows.Run(n.workCtx) })
	if n.settings.Adviser != "" {
		n.group.Go(func() error { return workflows.RequestAdvice(n.workCtx, platform.NewAdviser(n.settings.Adviser)) })
	}
	n.group.Go(func() error {
		return bootstrapper.MaintainMembership(n.workCtx, self, replica, n.client, len(identity.Members) > 0, n.log)
	})
	n.group.Go(func() error {
		<-ctx.Done()
		defer n.stopWork()
		n.log.Info("node: stopping")
		bounded, cancel := context.WithTimeout(n.workCtx, handOverTimeout)
		defer cancel()
		replica.HandOver(bounded)
		leaving, cancel := context.WithTimeout(n.workCtx, leaveTimeout)
		defer cancel()
		replica.Leave(leaving)
		time.Sleep(handOverDelay)
		return nil
	})
	return nil
}
