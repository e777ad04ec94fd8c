// Package bootstrapper bootstraps a replica: it determines the identity with which the replica
// starts, and makes it a member of its control group without an operator.
package bootstrapper

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"github.com/jaygw/jaygw"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

type (
	// Identity is the identity of a replica, which its data folder stores across restarts. A
	// replica with an empty folder gets a new one, because with its old id it could vote twice.
	Identity struct {
		ID      uint64         `json:"id"`                // id of the replica in its group
		Members []jaygw.Member `json:"members,omitempty"` // initial members of a group to bootstrap
		// Seeds holds the seeds of the first start until the initial members are known.
		Seeds []string `json:"seeds,omitempty"`
	}

	// Joiner sends a group the request to add a member.
	Joiner interface {
		Join(ctx context.Context, member jaygw.Member) (jaygw.Result, error)
	}

	// StatusReader reads the status of a replica.
	StatusReader interface {
		Status() jaygw.ReplicaStatus
	}
)

const (
	identityFileName = "identity.json"
	logFolderName    = "log"

	// joinInterval is the interval between two requests to join.
	joinInterval = 300 * time.Millisecond

	// joinTimeout limits one request to join.
	joinTimeout = 900 * time.Millisecond

	// leaderlessLimit is the time without a leader after which a replica requests to join,
	// because the group may have replaced it while it was not running.
	leaderlessLimit = 2 * time.Second

	// domainInterval is the interval between two accepted requests to record the failure domain. A leader of
	// an earlier build accepts them without effect.
	domainInterval = 30 * time.Second
)

// IsFounder reports whether the replica is, or will be, an initial member of its group.
func (i Identity) IsFounder() bool { return len(i.Members) > 0 || len(i.Seeds) > 0 }

// LogFolder returns the path of the replicated log in a data folder.
func LogFolder(folder string) string { return filepath.Join(folder, logFolderName) }

// Open reads the identity of a replica from the disk of its data folder, or creates one and stores it. It is
// durable when Open returns. On the first start of an installation, that of a replica at a seed address is
// not complete: Found determines its initial members.
func Open(disk journaler.Disk, address string, seeds []string, firstStart bool) (Identity, error) {
	var identity Identity
	names, err := disk.List()
	if err != nil {
		return identity, eris.Wrap(err, "list the data folder")
	}
	if slices.Contains(names, identityFileName) {
		data, err := load(disk)
		if err != nil {
			return identity, eris.Wrap(err, "read the identity")
		}
		return identity, eris.Wrap(json.Unmarshal(data, &identity), "read the identity")
	}
	identity = newIdentity(address, seeds, firstStart, rand.Uint64())
	return identity, save(disk, identity)
}

// newIdentity returns the identity of a replica with an empty folder. The random number
// becomes the id of a replica that does not bootstrap the group.
func newIdentity(address string, seeds []string, firstStart bool, random uint64) Identity {
	if !firstStart || !slices.Contains(seeds, address) {
		return Identity{ID: max(random, 1)}
	}
	return Identity{ID: bootstrapID(address), Seeds: seeds}
}

// bootstrapID derives the id of an initial member from its address, so that all replicas
// that bootstrap the group compute the same ids.
func bootstrapID(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return max(h.Sum64(), 1)
}

// MaintainMembership requests to join the group while the replica is not a member, or has been without a
// leader for longer than leaderlessLimit, or while the group does not know its failure domain, which initial
// members do not know of each other. It returns when the context ends. A request from a member whose
// domain is known has no effect.
func MaintainMembership(ctx context.Context, self jaygw.Member, replica StatusReader, group Joiner, bootstrapped bool, log logrus.FieldLogger) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lastLeader, domainSent := time.Now(), time.Time{}
	for {
		status := replica.Status()
		member := slices.ContainsFunc(status.Members, func(m jaygw.Member) bool { return m.ID == self.ID })
		domainKnown := self.Domain == "" || time.Since(domainSent) < domainInterval ||
			!slices.ContainsFunc(status.Members, func(m jaygw.Member) bool { return m.ID == self.ID && m.Domain != self.Domain })
		if status.Leader != 0 {
			lastLeader = time.Now()
		}
		// Until the bootstrapping replicas have elected a first leader, there is no group to
		// join. After a restart a replica has its log but does not know what is committed.
		awaitingFirstLeader := bootstrapped && status.Last == 0
		if !awaitingFirstLeader && (!member || !domainKnown || time.Since(lastLeader) > leaderlessLimit) {
			joinContext, cancel := context.WithTimeout(ctx, joinTimeout)
			result, err := group.Join(joinContext, self)
			cancel()
			if err == nil && result.Refusal == nil {
				domainSent = time.Now()
			}
			log.WithFields(logrus.Fields{
				"member": self.ID, "known": member, "domain-known": domainKnown, "result": result.Err(), "error": err,
			}).Info("control: asked to join")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
