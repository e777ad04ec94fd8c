// Package journaler keeps one replica's log, vote and snapshots in its data
// folder. What its methods have stored survives a crash; after an error of a
// write or a sync nothing more may be stored. A write that a full disk refuses may be
// tried again: nothing was reported as stored.
package journaler

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

type (
	// Journal is an open data folder. Only SaveSnapshot and ReadSnapshot may run
	// beside the other methods.
	Journal struct {
		disk         Disk
		path         string
		identity     identity
		segmentBytes int64
		release      func() error
		full         func(error) bool

		segments []*segment // oldest first
		file     File       // of the last segment
		end      int64      // in file
		last     uint64     // index of the last entry
		failed   error

		mu       sync.Mutex // guards snapshot
		snapshot snapshotFile
	}

	// Option changes a new Journal.
	Option func(*Journal)

	segment struct {
		sequence uint64
		highest  uint64 // index of any entry in it
	}

	snapshotFile struct {
		name string
		head snapshotHead
		data int64 // offset of the data
	}
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporary      = ".new"
	ballotName     = "vote"

	defaultSegmentBytes = 8 << 20
)

// WithSegmentBytes sets the size at which a segment is followed by the next.
func WithSegmentBytes(size int64) Option {
	return func(j *Journal) { j.segmentBytes = size }
}

// WithFull sets a function that is called with each write that a full disk refuses. The
// write is tried again while it returns true. Without it such a write is an error.
func WithFull(full func(error) bool) Option {
	return func(j *Journal) { j.full = full }
}

// Open reads a data folder, or starts one if the folder is empty, and returns
// what it holds. The path is only used in messages.
func Open(disk Disk, path, group string, member uint64, options ...Option) (*Journal, replicator.Restored, error) {
	j := &Journal{
		disk: disk, path: path, segmentBytes: defaultSegmentBytes,
		identity: identity{Format: formatVersion, Group: group, Member: member},
		full:     func(error) bool { return false },
	}
	for _, option := range options {
		option(j)
	}
	var restored replicator.Restored
	var err error
	if j.release, err = disk.Lock(); err != nil {
		return nil, restored, eris.Wrapf(err, "lock the data folder %s", path)
	}
	if restored, err = j.load(); err != nil {
		return nil, restored, errors.Join(err, j.Close())
	}
	return j, restored, nil
}

// Close closes the folder. It stores nothing.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	return errors.Join(err, j.release())
}

// Append stores entries with one sync, or more if they are larger than a frame.
func (j *Journal) Append(entries []replicator.Entry) error {
	for len(entries) > 0 {
		n, size := 0, 0
		for n < len(entries) && (n == 0 || size < maxFrame/2) {
			size += len(entries[n].Data)
			n++
		}
		if err := j.write(record{Entries: entries[:n]}); err != nil {
			return err
		}
		s := j.segments[len(j.segments)-1]
		j.last = entries[n-1].Index
		s.highest = max(s.highest, j.last)
		entries = entries[n:]
	}
	return nil
}

// SaveBallot stores the ballot.
func (j *Journal) SaveBallot(ballot replicator.Ballot) error {
	if j.failed != nil {
		return j.failed
	}
	return j.fail(j.persist(func() error { return j.saveBallot(ballot) }))
}

// persist tries a write again while the disk is full. The write must begin anew each
// time. A failed sync is never tried again.
func (j *Journal) persist(write func() error) error {
	for {
		err := write()
		var failed *SyncError
		if !errors.Is(err, syscall.ENOSPC) || errors.As(err, &failed) || !j.full(err) {
			return err
		}
	}
}

func (j *Journal) saveBallot(ballot replicator.Ballot) error {
	return j.replace(ballotName, func(file File) error {
		head, err := frameOf(0, record{Identity: &j.identity})
		if err != nil {
			return err
		}
		body, err := frameOf(int64(len(head)), record{Ballot: &ballot})
		if err != nil {
			return err
		}
		_, err = file.WriteAt(append(head, body...), 0)
		return err
	})
}

// replace writes a file under another name, syncs it and renames it.
func (j *Journal) replace(name string, write func(File) error) error {
	file, err := j.disk.Create(name + temporary)
	if err != nil {
		return j.named(err, name+temporary)
	}
	if err := errors.Join(write(file)); err != nil {
		return j.named(errors.Join(err, file.Close(), j.disk.Remove(name+temporary)), name+temporary)
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return &SyncError{j.named(err, name+temporary)}
	}
	if err := j.disk.Rename(name+temporary, name); err != nil {
		return j.named(err, name)
	}
	if err := j.disk.SyncFolder(); err != nil {
		return &SyncError{eris.Wrapf(err, "sync the folder %s", j.path)}
	}
	return nil
}

func frameOf(offset int64, r record) ([]byte, error) {
	payload, err := encoder.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxFrame {
		return nil, eris.Errorf("a record of %d bytes is larger than %d", len(payload), maxFrame)
	}
	return appendFrame(make([]byte, 0, frameHead+len(payload)), offset, payload), nil
}

// write appends one frame to the last segment and syncs it.
func (j *Journal) write(r record) error {
	if j.failed != nil {
		return j.failed
	}
	if j.end >= j.segmentBytes {
		if err := j.persist(j.addSegment); err != nil {
			return j.fail(err)
		}
	}
	frame, err := frameOf(j.end, r)
	if err != nil {
		return err
	}
	name := segmentName(j.segments[len(j.segments)-1].sequence)
	err = j.persist(func() error {
		_, err := j.file.WriteAt(frame, j.end)
		return j.named(err, name)
	})
	if err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(&SyncError{j.named(err, name)})
	}
	j.end += int64(len(frame))
	return nil
}

// addSegment starts the next segment.
func (j *Journal) addSegment() error {
	sequence := uint64(1)
	if n := len(j.segments); n > 0 {
		sequence = j.segments[n-1].sequence + 1
	}
	name := segmentName(sequence)
	head, err := frameOf(0, record{Identity: &j.identity})
	if err != nil {
		return err
	}
	file, err := j.disk.Create(name)
	if err != nil {
		return j.named(err, name)
	}
	if _, err := file.WriteAt(head, 0); err != nil {
		return j.named(errors.Join(err, file.Close()), name)
	}
	if err := errors.Join(file.Sync(), j.disk.SyncFolder()); err != nil {
		return &SyncError{j.named(errors.Join(err, file.Close()), name)}
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.end = file, int64(len(head))
	j.segments = append(j.segments, &segment{sequence: sequence})
	return nil
}

// Trim removes the segments that a snapshot up to an index covers. The entry at
// the index stays: it tells whether the log continues the snapshot.
func (j *Journal) Trim(index uint64) error {
	if j.failed != nil {
		return j.failed
	}
	for len(j.segments) > 1 && j.segments[0].highest < index {
		name := segmentName(j.segments[0].sequence)
		if err := j.disk.Remove(name); err != nil {
			return j.fail(j.named(err, name))
		}
		// Names must vanish in order: a gap would look like a lost segment.
		if err := j.disk.SyncFolder(); err != nil {
			return j.fail(&SyncError{j.named(err, name)})
		}
		j.segments = slices.Delete(j.segments, 0, 1)
	}
	return nil
}

// Install stores a snapshot from the leader and starts the log anew behind it.
func (j *Journal) Install(snapshot replicator.Snapshot) error {
	if j.failed != nil {
		return j.failed
	}
	if err := j.persist(func() error { return j.SaveSnapshot(snapshot) }); err != nil {
		return j.fail(err)
	}
	if err := j.write(record{Start: &snapshot.Meta}); err != nil {
		return err
	}
	j.last = snapshot.Meta.Index
	s := j.segments[len(j.segments)-1]
	s.highest = max(s.highest, j.last)
	return j.Trim(j.last)
}

func (j *Journal) fail(err error) error {
	if err != nil {
		j.failed = err
	}
	return err
}

// named adds the file's name and the remedy to an error of the disk.
func (j *Journal) named(err error, name string) error {
	if errors.Is(err, syscall.ENOSPC) {
		return eris.Wrapf(err, "%s/%s cannot be written; free some space", j.path, name)
	}
	return eris.Wrapf(err, "%s/%s", j.path, name)
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

func number(name, prefix string) (uint64, bool) {
	var n uint64
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != 20 {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%d", &n)
	return n, err == nil
}

func (j *Journal) content(name string) ([]byte, error) {
	file, err := j.disk.Open(name)
	if err != nil {
		return nil, j.named(err, name)
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, j.named(err, name)
	}
	data := make([]byte, size)
	if n, err := file.ReadAt(data, 0); int64(n) < size {
		return nil, j.named(errors.Join(err, io.ErrUnexpectedEOF), name)
	}
	return data, nil
}

// SyncError is a failed sync. The kernel may have dropped what was not written,
// so the process has to stop.
type SyncError struct{ cause error }

// Error returns the cause.
func (e *SyncError) Error() string { return "sync: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error { return e.cause }
