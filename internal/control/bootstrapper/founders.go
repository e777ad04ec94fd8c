package bootstrapper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ReplicaFinder asks other processes whether they have a replica that bootstraps the group.
type ReplicaFinder interface {
	HasReplica(ctx context.Context, address string) (bool, error)
}

// founderInterval is the interval between two rounds of questions to the seeds.
const founderInterval = 100 * time.Millisecond

// Found completes the identity of a replica at a seed of the first start, and stores it: the initial
// members are the seeds with a replica. It waits until all seeds have responded. A process stores its
// identity before it responds, so that its response stays the same and all processes find the same members.
// It does nothing if the identity is complete.
func Found(ctx context.Context, disk journaler.Disk, address string, identity Identity, finder ReplicaFinder, log logrus.FieldLogger) (Identity, error) {
	if len(identity.Seeds) == 0 {
		return identity, nil
	}
	started, seeds := time.Now(), identity.Seeds
	replica := map[string]bool{address: true} // by seed that has responded
	ticker := time.NewTicker(founderInterval)
	defer ticker.Stop()
	for askSeeds(ctx, seeds, replica, finder, log); len(replica) < len(seeds); askSeeds(ctx, seeds, replica, finder, log) {
		select {
		case <-ctx.Done():
			return identity, eris.Wrap(ctx.Err(), "wait for the seeds")
		case <-ticker.C:
		}
	}
	identity.Seeds = nil
	for _, seed := range seeds {
		if replica[seed] {
			identity.Members = append(identity.Members, jaygw.Member{ID: bootstrapID(seed), Name: seed, Address: seed, Voter: true})
		}
	}
	log.WithFields(logrus.Fields{
		"seeds": seeds, "members": len(identity.Members), "took": time.Since(started).String(),
	}).Info("control: group is bootstrapped")
	return identity, save(disk, identity)
}

// askSeeds asks the seeds that have not responded yet.
func askSeeds(ctx context.Context, seeds []string, replica map[string]bool, finder ReplicaFinder, log logrus.FieldLogger) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	pending := slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { _, known := replica[seed]; return known })
	for _, seed := range pending {
		calls.Go(func() {
			has, err := finder.HasReplica(ctx, seed)
			if err != nil {
				log.WithField("seed", seed).WithError(err).Debug("control: a seed does not respond yet")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replica[seed] = has
		})
	}
	calls.Wait()
}
