// Package bootstrapper bootstraps a replica: it determines the identity with which the replica
// starts, and makes it a member of its control group without an operator.
package bootstrapper

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
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
)

// LogFolder returns the path of the replicated log in a data folder.
func LogFolder(folder string) string { return filepath.Join(folder, logFolderName) }

// Open reads the identity of a replica from the disk of its data folder, or creates one and stores
// it. On the first start of an installation, the replicas at the seed addresses bootstrap the group.
func Open(disk journaler.Disk, address string, seeds []string, firstStart bool) (Identity, error) {
	var identity Identity
	stored, err := isStored(disk)
	if err != nil {
		return identity, err
	}
	if stored {
		data, err := read(disk)
		if err != nil {
			return identity, eris.Wrap(err, "read the identity")
		}
		if err := json.Unmarshal(data, &identity); err != nil {
			return identity, eris.Wrap(err, "read the identity")
		}
		// The process that stored the identity may have been killed before it synced the name.
		return identity, eris.Wrap(disk.SyncFolder(), "sync the data folder")
	}
	identity = newIdentity(address, seeds, firstStart, rand.Uint64())
	return identity, save(disk, identity)
}

// isStored reports whether a data folder has an identity.
func isStored(disk journaler.Disk) (bool, error) {
	names, err := disk.List()
	return slices.Contains(names, identityFileName), eris.Wrap(err, "list the data folder")
}

// read returns the content of the identity file.
func read(disk journaler.Disk) ([]byte, error) {
	file, err := disk.Open(identityFileName)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	data := make([]byte, size)
	_, err = io.ReadFull(io.NewSectionReader(file, 0, size), data)
	return data, err
}

// newIdentity returns the identity of a replica with an empty folder. The random number
// becomes the id of a replica that does not bootstrap the group.
func newIdentity(address string, seeds []string, firstStart bool, random uint64) Identity {
	if !firstStart || !slices.Contains(seeds, address) {
		return Identity{ID: max(random, 1)}
	}
	identity := Identity{ID: bootstrapID(address)}
	for _, seed := range seeds {
		identity.Members = append(identity.Members, jaygw.Member{ID: bootstrapID(seed), Name: seed, Address: seed, Voter: true})
	}
	return identity
}

// bootstrapID derives the id of an initial member from its address, so that all replicas
// that bootstrap the group compute the same ids.
func bootstrapID(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address))
	return max(h.Sum64(), 1)
}

// save stores the identity durably, before the replica uses it.
func save(disk journaler.Disk, identity Identity) error {
	data, err := json.Marshal(identity)
	if err != nil {
		return eris.Wrap(err, "encode the identity")
	}
	const temporary = identityFileName + ".new"
	file, err := disk.Create(temporary)
	if err != nil {
		return eris.Wrap(err, "write the identity")
	}
	_, err = file.WriteAt(data, 0)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = disk.Rename(temporary, identityFileName)
	}
	if err != nil {
		return eris.Wrap(err, "write the identity")
	}
	return eris.Wrap(disk.SyncFolder(), "sync the data folder")
}

// MaintainMembership requests to join the group while the replica is not a member, or has been without a
// leader for longer than leaderlessLimit. It returns when the context ends. A request from a
// member has no effect.
func MaintainMembership(ctx context.Context, self jaygw.Member, replica StatusReader, group Joiner, bootstrapped bool, log logrus.FieldLogger) error {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	lastLeader := time.Now()
	for {
		status := replica.Status()
		member := slices.ContainsFunc(status.Members, func(m jaygw.Member) bool { return m.ID == self.ID })
		if status.Leader != 0 {
			lastLeader = time.Now()
		}
		// Until the bootstrapping replicas have elected a first leader, there is no group to
		// join.
		awaitingFirstLeader := bootstrapped && status.Commit == 0
		if !awaitingFirstLeader && (!member || time.Since(lastLeader) > leaderlessLimit) {
			joinContext, cancel := context.WithTimeout(ctx, joinTimeout)
			result, err := group.Join(joinContext, self)
			cancel()
			log.WithFields(logrus.Fields{
				"member": self.ID, "known": member, "result": result.Err(), "error": err,
			}).Info("control: asked to join")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}
