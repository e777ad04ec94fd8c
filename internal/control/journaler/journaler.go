// Package journaler stores one replica's log, vote state and snapshots in its data folder. What its
// methods have stored survives a crash. After a failed write or sync, the log and the vote state are
// not written any more. A write that fails on a full disk may be retried first: nothing was reported
// as stored.
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
	// Journal is an open data folder. Only SaveSnapshot and ReadSnapshot may run concurrently
	// with other methods.
	Journal struct {
		disk         Disk
		path         string // of the folder, for messages
		identity     identity
		segmentBytes int64 // size from which the next record starts a new segment
		unlock       func() error
		retryFull    func(error) bool // reports whether to retry a write after ENOSPC

		segments  []*segment // oldest first
		file      File       // of the last segment
		endOffset int64      // after the last record of file
		lastIndex uint64     // index of the last entry
		failure   error      // if not nil, log and vote state are not written any more

		mu       sync.Mutex // guards snapshot
		snapshot snapshotFile
	}

	// Option configures a Journal that Open creates.
	Option func(*Journal)

	// segment is one file of the log.
	segment struct {
		sequence     uint64 // in the file name; consecutive
		highestIndex uint64 // highest index of its entries and Start records
	}

	// snapshotFile is the file of the newest snapshot. Its name is empty if there is none.
	snapshotFile struct {
		name       string
		header     snapshotHeader
		dataOffset int64 // offset of the snapshot data
	}
)

const (
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".new"
	voteFileName    = "vote"

	defaultSegmentBytes = 8 << 20 // 8 MiB
)

// WithSegmentBytes sets the size in bytes from which a segment takes no more records.
func WithSegmentBytes(size int64) Option {
	return func(j *Journal) { j.segmentBytes = size }
}

// WithDiskFullHook sets a function that is called with the error of each write that fails on a full disk.
// The write is retried while the function returns true; by default it is not retried.
func WithDiskFullHook(retryFull func(error) bool) Option {
	return func(j *Journal) { j.retryFull = retryFull }
}

// Open reads a data folder, or initializes it if it is empty, and returns the stored state. The path
// is only used in messages.
func Open(disk Disk, path, group string, member uint64, options ...Option) (*Journal, replicator.RecoveredState, error) {
	j := &Journal{
		disk: disk, path: path, segmentBytes: defaultSegmentBytes,
		identity:  identity{Format: formatVersion, Group: group, Member: member},
		retryFull: func(error) bool { return false },
	}
	for _, option := range options {
		option(j)
	}
	var recovered replicator.RecoveredState
	var err error
	if j.unlock, err = disk.Lock(); err != nil {
		return nil, recovered, eris.Wrapf(err, "lock the data folder %s", path)
	}
	if recovered, err = j.load(); err != nil {
		return nil, recovered, errors.Join(err, j.Close())
	}
	return j, recovered, nil
}

// Close closes the log file and unlocks the folder. It writes nothing.
func (j *Journal) Close() error {
	var err error
	if j.file != nil {
		err = j.file.Close()
	}
	return errors.Join(err, j.unlock())
}

// Append stores entries with one sync, or with one sync per frame if they do not fit into one frame.
func (j *Journal) Append(entries []replicator.Entry) error {
	for len(entries) > 0 {
		n, size := 0, 0
		for n < len(entries) && (n == 0 || size < maxPayloadSize/2) {
			size += len(entries[n].Data)
			n++
		}
		if err := j.appendRecord(record{Entries: entries[:n]}); err != nil {
			return err
		}
		s := j.segments[len(j.segments)-1]
		j.lastIndex = entries[n-1].Index
		s.highestIndex = max(s.highestIndex, j.lastIndex)
		entries = entries[n:]
	}
	return nil
}

// SaveVoteState stores the vote state in place of the previous one.
func (j *Journal) SaveVoteState(voteState replicator.VoteState) error {
	if j.failure != nil {
		return j.failure
	}
	return j.fail(j.retryWhileFull(func() error { return j.saveVoteState(voteState) }))
}

// retryWhileFull calls write, and calls it again while the disk is full and the function of
// WithDiskFullHook returns true. Each call must write from the start. A failed sync is never
// retried.
func (j *Journal) retryWhileFull(write func() error) error {
	for {
		err := write()
		var syncErr *SyncError
		if !errors.Is(err, syscall.ENOSPC) || errors.As(err, &syncErr) || !j.retryFull(err) {
			return err
		}
	}
}

// saveVoteState writes the vote file.
func (j *Journal) saveVoteState(voteState replicator.VoteState) error {
	return j.replaceFile(voteFileName, func(file File) error {
		header, err := encodeFrame(0, record{Identity: &j.identity})
		if err != nil {
			return err
		}
		body, err := encodeFrame(int64(len(header)), record{VoteState: &voteState})
		if err != nil {
			return err
		}
		_, err = file.WriteAt(append(header, body...), 0)
		return err
	})
}

// replaceFile replaces a file atomically: it writes and syncs a temporary file and renames it.
func (j *Journal) replaceFile(name string, write func(File) error) error {
	file, err := j.disk.Create(name + temporarySuffix)
	if err != nil {
		return j.wrapFileError(err, name+temporarySuffix)
	}
	if err := errors.Join(write(file)); err != nil {
		return j.wrapFileError(errors.Join(err, file.Close(), j.disk.Remove(name+temporarySuffix)), name+temporarySuffix)
	}
	if err := errors.Join(file.Sync(), file.Close()); err != nil {
		return &SyncError{j.wrapFileError(err, name+temporarySuffix)}
	}
	if err := j.disk.Rename(name+temporarySuffix, name); err != nil {
		return j.wrapFileError(err, name)
	}
	if err := j.disk.SyncFolder(); err != nil {
		return &SyncError{eris.Wrapf(err, "sync the folder %s", j.path)}
	}
	return nil
}

// encodeFrame returns the frame of a record for an offset of its file.
func encodeFrame(offset int64, r record) ([]byte, error) {
	payload, err := encoder.Marshal(r)
	if err != nil {
		return nil, err
	}
	if len(payload) > maxPayloadSize {
		return nil, eris.Errorf("a record of %d bytes exceeds the limit of %d bytes", len(payload), maxPayloadSize)
	}
	return appendFrame(make([]byte, 0, frameHeaderSize+len(payload)), offset, payload), nil
}

// appendRecord appends one frame to the last segment and syncs it.
func (j *Journal) appendRecord(r record) error {
	if j.failure != nil {
		return j.failure
	}
	if j.endOffset >= j.segmentBytes {
		if err := j.retryWhileFull(j.addSegment); err != nil {
			return j.fail(err)
		}
	}
	frame, err := encodeFrame(j.endOffset, r)
	if err != nil {
		return err
	}
	name := segmentName(j.segments[len(j.segments)-1].sequence)
	err = j.retryWhileFull(func() error {
		_, err := j.file.WriteAt(frame, j.endOffset)
		return j.wrapFileError(err, name)
	})
	if err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(&SyncError{j.wrapFileError(err, name)})
	}
	j.endOffset += int64(len(frame))
	return nil
}

// addSegment creates the next segment.
func (j *Journal) addSegment() error {
	sequence := uint64(1)
	if n := len(j.segments); n > 0 {
		sequence = j.segments[n-1].sequence + 1
	}
	name := segmentName(sequence)
	header, err := encodeFrame(0, record{Identity: &j.identity})
	if err != nil {
		return err
	}
	file, err := j.disk.Create(name)
	if err != nil {
		return j.wrapFileError(err, name)
	}
	if _, err := file.WriteAt(header, 0); err != nil {
		return j.wrapFileError(errors.Join(err, file.Close()), name)
	}
	if err := errors.Join(file.Sync(), j.disk.SyncFolder()); err != nil {
		return &SyncError{j.wrapFileError(errors.Join(err, file.Close()), name)}
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.endOffset = file, int64(len(header))
	j.segments = append(j.segments, &segment{sequence: sequence})
	return nil
}

// Trim removes the segments that a snapshot up to an index covers. It retains the entry at the
// index, whose term shows whether the log continues the snapshot.
func (j *Journal) Trim(index uint64) error {
	if j.failure != nil {
		return j.failure
	}
	for len(j.segments) > 1 && j.segments[0].highestIndex < index {
		name := segmentName(j.segments[0].sequence)
		if err := j.disk.Remove(name); err != nil {
			return j.fail(j.wrapFileError(err, name))
		}
		// Sync each removal, so that a crash leaves no gap: a gap is reported as a lost segment.
		if err := j.disk.SyncFolder(); err != nil {
			return j.fail(&SyncError{j.wrapFileError(err, name)})
		}
		j.segments = slices.Delete(j.segments, 0, 1)
	}
	return nil
}

// Install stores a snapshot from the leader and restarts the log after it.
func (j *Journal) Install(snapshot replicator.Snapshot) error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.retryWhileFull(func() error { return j.SaveSnapshot(snapshot) }); err != nil {
		return j.fail(err)
	}
	if err := j.appendRecord(record{Start: &snapshot.Meta}); err != nil {
		return err
	}
	j.lastIndex = snapshot.Meta.Index
	s := j.segments[len(j.segments)-1]
	s.highestIndex = max(s.highestIndex, j.lastIndex)
	return j.Trim(j.lastIndex)
}

// fail records and returns an error. If it is not nil, log and vote state are not written any more.
func (j *Journal) fail(err error) error {
	if err != nil {
		j.failure = err
	}
	return err
}

// wrapFileError adds the file's path to an error of the disk, and the remedy if the disk is full. A
// nil error stays nil.
func (j *Journal) wrapFileError(err error, name string) error {
	if errors.Is(err, syscall.ENOSPC) {
		return eris.Wrapf(err, "%s/%s cannot be written; free some space", j.path, name)
	}
	return eris.Wrapf(err, "%s/%s", j.path, name)
}

func segmentName(sequence uint64) string { return fmt.Sprintf("%s%020d", segmentPrefix, sequence) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, index) }

// parseFileNumber returns the number in the name of a segment or snapshot with the given prefix.
func parseFileNumber(name, prefix string) (uint64, bool) {
	var n uint64
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok || len(rest) != 20 {
		return 0, false
	}
	_, err := fmt.Sscanf(rest, "%d", &n)
	return n, err == nil
}

// readFile returns the content of a file.
func (j *Journal) readFile(name string) ([]byte, error) {
	file, err := j.disk.Open(name)
	if err != nil {
		return nil, j.wrapFileError(err, name)
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, j.wrapFileError(err, name)
	}
	data := make([]byte, size)
	if n, err := file.ReadAt(data, 0); int64(n) < size {
		return nil, j.wrapFileError(errors.Join(err, io.ErrUnexpectedEOF), name)
	}
	return data, nil
}

// SyncError is the error of a failed sync. The kernel may have dropped unwritten data, so the
// process has to stop.
type SyncError struct{ cause error }

// Error returns the message of the cause after "sync: ".
func (e *SyncError) Error() string { return "sync: " + e.cause.Error() }

// Unwrap returns the cause of the failed sync.
func (e *SyncError) Unwrap() error { return e.cause }
