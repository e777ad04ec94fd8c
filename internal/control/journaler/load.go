package journaler

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

// load reads the data folder, or initializes an empty one. It completes operations that a crash
// interrupted.
func (j *Journal) load() (replicator.RecoveredState, error) {
	var recovered replicator.RecoveredState
	names, err := j.disk.List()
	if err != nil {
		return recovered, eris.Wrapf(err, "list the data folder %s", j.path)
	}
	if names, err = j.filterNames(names); err != nil {
		return recovered, err
	}
	if len(names) == 0 {
		if err := j.saveVoteState(replicator.VoteState{}); err != nil {
			return recovered, err
		}
		return recovered, j.addSegment()
	}
	if recovered.VoteState, err = j.loadVoteState(names); err != nil {
		return recovered, err
	}
	if err := j.loadSnapshot(names); err != nil {
		return recovered, err
	}
	recovered.Snapshot = j.snapshot.header.Meta
	log, err := j.loadLog(names)
	if err != nil {
		return recovered, err
	}
	if len(j.segments) == 0 {
		if recovered.VoteState != (replicator.VoteState{}) || j.snapshot.name != "" {
			return recovered, eris.Errorf("%s has no log although the replica has taken part before; "+
				"join it as a new member with an empty folder", j.path)
		}
		return recovered, j.addSegment()
	}
	recovered.Entries, err = j.reconcileLog(log)
	if err != nil {
		return recovered, err
	}
	return recovered, j.removeOldSnapshots(names)
}

// filterNames removes temporary files, on which nothing stored depends, and returns the sorted
// names of the state files. It returns an error if the folder holds any other file, except for the
// lock file and lost+found.
func (j *Journal) filterNames(names []string) ([]string, error) {
	var stateFiles []string
	for _, name := range names {
		_, isSegment := parseFileNumber(strings.TrimSuffix(name, temporarySuffix), segmentPrefix)
		_, isSnapshot := parseFileNumber(strings.TrimSuffix(name, temporarySuffix), snapshotPrefix)
		switch {
		case name == lockFileName || name == "lost+found":
		case !isSegment && !isSnapshot && strings.TrimSuffix(name, temporarySuffix) != voteFileName:
			return nil, eris.Errorf("%s/%s is not a file of the control state; "+
				"name a folder that holds nothing else", j.path, name)
		case strings.HasSuffix(name, temporarySuffix):
			if err := j.disk.Remove(name); err != nil {
				return nil, j.wrapFileError(err, name)
			}
		default:
			stateFiles = append(stateFiles, name)
		}
	}
	slices.Sort(stateFiles)
	return stateFiles, nil
}

// loadVoteState reads the vote file, which must exist.
func (j *Journal) loadVoteState(names []string) (replicator.VoteState, error) {
	var voteState replicator.VoteState
	if !slices.Contains(names, voteFileName) {
		return voteState, eris.Errorf("%s/%s is missing; without it the replica could vote twice, "+
			"so join it as a new member with an empty folder", j.path, voteFileName)
	}
	content, err := j.readFile(voteFileName)
	if err != nil {
		return voteState, err
	}
	found := false
	end, err := readRecords(content, func(r record) error {
		if r.VoteState != nil {
			found, voteState = true, *r.VoteState
		}
		return j.checkRecord(voteFileName, r)
	})
	if err == nil && (!found || end < int64(len(content))) {
		err = eris.New("the vote record is missing or incomplete")
	}
	return voteState, j.damageError(voteFileName, err)
}

// logContent is the log as read from the segments.
type logContent struct {
	started   bool   // whether an entry or a Start record has been read
	baseIndex uint64 // index before the first entry
	baseTerm  uint64 // term at baseIndex; zero if unknown
	entries   []replicator.Entry
}

// add appends entries. An entry replaces an existing one at its index and all later ones.
func (l *logContent) add(entries []replicator.Entry) error {
	for _, e := range entries {
		// Trim may have removed the segments with the entries up to baseIndex. If a later segment
		// replaces entries from such an index on, the log restarts with the replacing entry.
		if !l.started || l.baseTerm == 0 && e.Index <= l.baseIndex {
			*l = logContent{started: true, baseIndex: e.Index - 1}
		}
		if e.Index <= l.baseIndex || e.Index > l.baseIndex+uint64(len(l.entries))+1 {
			return eris.Errorf("log entry %d cannot follow log entry %d", e.Index, l.baseIndex+uint64(len(l.entries)))
		}
		l.entries = append(l.entries[:e.Index-l.baseIndex-1], e)
	}
	return nil
}

// loadLog reads all segments and opens the last one for writing.
func (j *Journal) loadLog(names []string) (*logContent, error) {
	l := &logContent{}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !strings.HasPrefix(name, segmentPrefix) })
	for i, name := range names {
		sequence, _ := parseFileNumber(name, segmentPrefix)
		if i > 0 && sequence != j.segments[i-1].sequence+1 {
			return l, eris.Errorf("%s/%s is missing; restore it, or join the replica as a new member with an empty folder",
				j.path, segmentName(j.segments[i-1].sequence+1))
		}
		s := &segment{sequence: sequence}
		end, size, err := j.loadSegment(name, s, l)
		if err != nil {
			return l, err
		}
		if end < size && i < len(names)-1 {
			return l, j.damageError(name, eris.Errorf("the record at byte %d is damaged", end))
		}
		if i == len(names)-1 {
			if err := j.openLast(name, end, size); err != nil {
				return l, err
			}
		}
		j.segments = append(j.segments, s)
	}
	j.lastIndex = l.baseIndex + uint64(len(l.entries))
	return l, nil
}

// loadSegment adds the records of a segment to the log. It returns the offset after the last valid
// record and the size of the file.
func (j *Journal) loadSegment(name string, s *segment, l *logContent) (end, size int64, err error) {
	content, err := j.readFile(name)
	if err != nil {
		return 0, 0, err
	}
	end, err = readRecords(content, func(r record) error {
		if err := j.checkRecord(name, r); err != nil {
			return err
		}
		if r.Start != nil {
			*l = logContent{started: true, baseIndex: r.Start.Index, baseTerm: r.Start.Term}
			s.highestIndex = max(s.highestIndex, r.Start.Index)
		}
		for _, e := range r.Entries {
			s.highestIndex = max(s.highestIndex, e.Index)
		}
		return l.add(r.Entries)
	})
	return end, int64(len(content)), j.damageError(name, err)
}

// openLast opens the last segment for writing and truncates a torn record.
func (j *Journal) openLast(name string, end, size int64) error {
	file, err := j.disk.Open(name)
	if err != nil {
		return j.wrapFileError(err, name)
	}
	j.file, j.endOffset = file, end
	if end < size {
		if err := file.Truncate(end); err != nil {
			return j.wrapFileError(err, name)
		}
	}
	if end == 0 { // a crash before the first sync of the segment
		header, err := encodeFrame(0, record{Identity: &j.identity})
		if err != nil {
			return err
		}
		if _, err := file.WriteAt(header, 0); err != nil {
			return j.wrapFileError(err, name)
		}
		j.endOffset = int64(len(header))
	}
	// Sync what was read: it may not be durable yet, and messages to other replicas depend on it.
	if err := file.Sync(); err != nil {
		return &SyncError{j.wrapFileError(err, name)}
	}
	if err := j.disk.SyncFolder(); err != nil {
		return &SyncError{j.wrapFileError(err, name)}
	}
	return nil
}

// reconcileLog returns the entries of the log if the log continues the snapshot. Otherwise it
// restarts the log after the snapshot and returns no entries.
func (j *Journal) reconcileLog(l *logContent) ([]replicator.Entry, error) {
	index, term := j.snapshot.header.Meta.Index, j.snapshot.header.Meta.Term
	if index == 0 && l.baseIndex == 0 {
		return l.entries, nil
	}
	if l.baseIndex > index {
		return nil, eris.Errorf("%s: the log begins after entry %d but the snapshot ends at entry %d; "+
			"join the replica as a new member with an empty folder", j.path, l.baseIndex, index)
	}
	logTerm := l.baseTerm
	if index > l.baseIndex+uint64(len(l.entries)) {
		logTerm = 0
	} else if index > l.baseIndex {
		logTerm = l.entries[index-l.baseIndex-1].Term
	}
	if logTerm == term {
		return l.entries, nil
	}
	// A crash interrupted Install after the snapshot was stored and before the log was restarted.
	meta := j.snapshot.header.Meta
	j.lastIndex = index
	return nil, j.appendRecord(record{Start: &meta})
}

// removeOldSnapshots removes all snapshots except the newest.
func (j *Journal) removeOldSnapshots(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != j.snapshot.name {
			if err := j.disk.Remove(name); err != nil {
				return j.wrapFileError(err, name)
			}
		}
	}
	return nil
}

// readRecord returns the record at an offset and the offset after it.
func readRecord(content []byte, offset int64) (record, int64, error) {
	var r record
	payload, err := readFrame(content, offset)
	if err != nil {
		return r, 0, err
	}
	return r, offset + frameHeaderSize + int64(len(payload)), encoder.Unmarshal(payload, &r)
}

// checkRecord checks the identity that a record holds, if any.
func (j *Journal) checkRecord(name string, r record) error {
	if r.Identity == nil {
		return nil
	}
	return j.checkIdentity(name, *r.Identity)
}

// checkIdentity compares the identity in a file with the replica's identity.
func (j *Journal) checkIdentity(name string, found identity) error {
	switch {
	case found.Format > formatVersion:
		return identityErrorf("%s/%s has format version %d and this program reads up to %d; run a newer program",
			j.path, name, found.Format, formatVersion)
	case found.Group != j.identity.Group:
		return identityErrorf("%s/%s belongs to control group %q, not %q; correct the group or the data folder in the settings",
			j.path, name, found.Group, j.identity.Group)
	case found.Member != j.identity.Member:
		return identityErrorf("%s/%s belongs to member %d, not %d; correct the id or the data folder in the settings",
			j.path, name, found.Member, j.identity.Member)
	}
	return nil
}

// identityError reports a file of another replica or of a newer program.
type identityError struct{ message string }

func (e *identityError) Error() string { return e.message }

func identityErrorf(format string, args ...any) error {
	return &identityError{fmt.Sprintf(format, args...)}
}

// damageError adds the file's path and the remedy to the error of an unreadable file. It returns an
// identityError unchanged, since that names its own remedy, and nil for nil.
func (j *Journal) damageError(name string, err error) error {
	var other *identityError
	if errors.As(err, &other) {
		return other
	}
	return eris.Wrapf(err, "%s/%s cannot be used; nothing was changed; restore the file, "+
		"or join the replica as a new member with an empty folder", j.path, name)
}
