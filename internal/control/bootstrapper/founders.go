package bootstrapper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// ReplicaFinder asks other processes whether they have a replica.
type ReplicaFinder interface {
	HasReplica(ctx context.Context, address string) (bool, error)
}

const (
	// founderInterval is the interval between two rounds of questions to the seeds.
	founderInterval = 100 * time.Millisecond

	// founderTimeout is the time after which a seed that has not responded counts as one with a replica,
	// as long as a majority of the seeds is known to have one.
	founderTimeout = 5 * time.Second
)

// Founders returns the seeds that bootstrap the group: those with a replica. A seed without one would
// never vote. Processes may consider different seeds as founders if one does not respond, but that one
// has no vote, so that all majorities still overlap. On a restart, Founders returns the seeds.
func Founders(ctx context.Context, disk journaler.Disk, address string, seeds []string, firstStart bool, finder ReplicaFinder, log logrus.FieldLogger) ([]string, error) {
	stored, err := isStored(disk)
	if err != nil || stored || !firstStart || !slices.Contains(seeds, address) {
		return seeds, err
	}
	started := time.Now()
	replica := map[string]bool{address: true} // by seed that has responded
	ticker := time.NewTicker(founderInterval)
	defer ticker.Stop()
	for {
		askSeeds(ctx, seeds, replica, finder, log)
		founders, complete := selectFounders(seeds, replica, time.Since(started))
		if complete {
			log.WithFields(logrus.Fields{
				"seeds": seeds, "founders": founders, "responded": len(replica), "took": time.Since(started).String(),
			}).Info("control: group is bootstrapped")
			return founders, nil
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrap(ctx.Err(), "wait for the seeds")
		case <-ticker.C:
		}
	}
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

// selectFounders returns the seeds that bootstrap the group, and whether enough of them have responded.
func selectFounders(seeds []string, replica map[string]bool, elapsed time.Duration) (founders []string, complete bool) {
	confirmed := 0
	for _, seed := range seeds {
		has, known := replica[seed]
		if has {
			confirmed++
		}
		if has || !known {
			founders = append(founders, seed)
		}
	}
	complete = confirmed == len(founders) || elapsed >= founderTimeout && confirmed > len(seeds)/2
	return founders, complete
}
