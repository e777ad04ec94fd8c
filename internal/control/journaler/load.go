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

// load reads the folder and repairs what a crash has left unfinished.
func (j *Journal) load() (replicator.Restored, error) {
	var restored replicator.Restored
	names, err := j.disk.List()
	if err != nil {
		return restored, eris.Wrapf(err, "list the data folder %s", j.path)
	}
	if names, err = j.sift(names); err != nil {
		return restored, err
	}
	if len(names) == 0 {
		if err := j.saveBallot(replicator.Ballot{}); err != nil {
			return restored, err
		}
		return restored, j.addSegment()
	}
	if restored.Ballot, err = j.loadBallot(names); err != nil {
		return restored, err
	}
	if err := j.loadSnapshot(names); err != nil {
		return restored, err
	}
	restored.Snapshot = j.snapshot.head.Meta
	log, err := j.loadLog(names)
	if err != nil {
		return restored, err
	}
	if len(j.segments) == 0 {
		if restored.Ballot != (replicator.Ballot{}) || j.snapshot.name != "" {
			return restored, eris.Errorf("%s has no log although the replica has taken part before; "+
				"join it as a new member with an empty folder", j.path)
		}
		return restored, j.addSegment()
	}
	restored.Entries, err = j.joined(log)
	if err != nil {
		return restored, err
	}
	return restored, j.removeOldSnapshots(names)
}

// sift removes temporary files, which no crash-safe step depends on, and refuses
// files of others.
func (j *Journal) sift(names []string) ([]string, error) {
	var kept []string
	for _, name := range names {
		_, isSegment := number(strings.TrimSuffix(name, temporary), segmentPrefix)
		_, isSnapshot := number(strings.TrimSuffix(name, temporary), snapshotPrefix)
		switch {
		case name == lockName || name == "lost+found":
		case !isSegment && !isSnapshot && strings.TrimSuffix(name, temporary) != ballotName:
			return nil, eris.Errorf("%s/%s is not a file of the control state; "+
				"name a folder that holds nothing else", j.path, name)
		case strings.HasSuffix(name, temporary):
			if err := j.disk.Remove(name); err != nil {
				return nil, j.named(err, name)
			}
		default:
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	return kept, nil
}

func (j *Journal) loadBallot(names []string) (replicator.Ballot, error) {
	var ballot replicator.Ballot
	if !slices.Contains(names, ballotName) {
		return ballot, eris.Errorf("%s/%s is missing; without it the replica could vote twice, "+
			"so join it as a new member with an empty folder", j.path, ballotName)
	}
	content, err := j.content(ballotName)
	if err != nil {
		return ballot, err
	}
	found := false
	end, err := readRecords(content, func(r record) error {
		if r.Ballot != nil {
			found, ballot = true, *r.Ballot
		}
		return j.checkRecord(ballotName, r)
	})
	if err == nil && (!found || end < int64(len(content))) {
		err = eris.New("it ends too early")
	}
	return ballot, j.damaged(ballotName, err)
}

// log is what the segments hold.
type log struct {
	found   bool
	base    uint64 // index before the first entry
	term    uint64 // of the base, zero if not known
	entries []replicator.Entry
}

func (l *log) add(entries []replicator.Entry) error {
	for _, e := range entries {
		// Segments before the first one were removed, so its first entry may have
		// been replaced together with one that is gone.
		if !l.found || l.term == 0 && e.Index <= l.base {
			*l = log{found: true, base: e.Index - 1}
		}
		if e.Index <= l.base || e.Index > l.base+uint64(len(l.entries))+1 {
			return eris.Errorf("entry %d follows entry %d", e.Index, l.base+uint64(len(l.entries)))
		}
		l.entries = append(l.entries[:e.Index-l.base-1], e)
	}
	return nil
}

func (j *Journal) loadLog(names []string) (*log, error) {
	l := &log{}
	names = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !strings.HasPrefix(name, segmentPrefix) })
	for i, name := range names {
		sequence, _ := number(name, segmentPrefix)
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
			return l, j.damaged(name, eris.Errorf("the record at byte %d is damaged", end))
		}
		if i == len(names)-1 {
			if err := j.openLast(name, end, size); err != nil {
				return l, err
			}
		}
		j.segments = append(j.segments, s)
	}
	j.last = l.base + uint64(len(l.entries))
	return l, nil
}

func (j *Journal) loadSegment(name string, s *segment, l *log) (end, size int64, err error) {
	content, err := j.content(name)
	if err != nil {
		return 0, 0, err
	}
	end, err = readRecords(content, func(r record) error {
		if err := j.checkRecord(name, r); err != nil {
			return err
		}
		if r.Start != nil {
			*l = log{found: true, base: r.Start.Index, term: r.Start.Term}
			s.highest = max(s.highest, r.Start.Index)
		}
		for _, e := range r.Entries {
			s.highest = max(s.highest, e.Index)
		}
		return l.add(r.Entries)
	})
	return end, int64(len(content)), j.damaged(name, err)
}

// openLast opens the last segment for writing, without a torn record.
func (j *Journal) openLast(name string, end, size int64) error {
	file, err := j.disk.Open(name)
	if err != nil {
		return j.named(err, name)
	}
	j.file, j.end = file, end
	if end < size {
		if err := file.Truncate(end); err != nil {
			return j.named(err, name)
		}
	}
	if end == 0 { // a crash came before the first sync of the segment
		head, err := frameOf(0, record{Identity: &j.identity})
		if err != nil {
			return err
		}
		if _, err := file.WriteAt(head, 0); err != nil {
			return j.named(err, name)
		}
		j.end = int64(len(head))
	}
	// What was read may not be durable yet, and messages will depend on it.
	if err := file.Sync(); err != nil {
		return &SyncError{j.named(err, name)}
	}
	if err := j.disk.SyncFolder(); err != nil {
		return &SyncError{j.named(err, name)}
	}
	return nil
}

// joined returns the entries that continue the snapshot.
func (j *Journal) joined(l *log) ([]replicator.Entry, error) {
	index, term := j.snapshot.head.Meta.Index, j.snapshot.head.Meta.Term
	if index == 0 && l.base == 0 {
		return l.entries, nil
	}
	if l.base > index {
		return nil, eris.Errorf("%s: the log begins after entry %d but the snapshot ends at entry %d; "+
			"join the replica as a new member with an empty folder", j.path, l.base, index)
	}
	at := l.term
	if index > l.base+uint64(len(l.entries)) {
		at = 0
	} else if index > l.base {
		at = l.entries[index-l.base-1].Term
	}
	if at == term {
		return l.entries, nil
	}
	// The snapshot came from the leader and the crash before the log's new start.
	meta := j.snapshot.head.Meta
	j.last = index
	return nil, j.write(record{Start: &meta})
}

func (j *Journal) removeOldSnapshots(names []string) error {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && name != j.snapshot.name {
			if err := j.disk.Remove(name); err != nil {
				return j.named(err, name)
			}
		}
	}
	return nil
}

func oneRecord(content []byte, offset int64) (record, int64, error) {
	var r record
	payload, err := readFrame(content, offset)
	if err != nil {
		return r, 0, err
	}
	return r, offset + frameHead + int64(len(payload)), encoder.Unmarshal(payload, &r)
}

func (j *Journal) checkRecord(name string, r record) error {
	if r.Identity == nil {
		return nil
	}
	return j.check(name, *r.Identity)
}

// check compares the head of a file with the replica's identity.
func (j *Journal) check(name string, found identity) error {
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

// identityError is a file of another replica or a newer program.
type identityError struct{ message string }

func (e *identityError) Error() string { return e.message }

func identityErrorf(format string, args ...any) error {
	return &identityError{fmt.Sprintf(format, args...)}
}

func (j *Journal) damaged(name string, err error) error {
	var other *identityError
	if errors.As(err, &other) {
		return other
	}
	return eris.Wrapf(err, "%s/%s cannot be used; nothing was changed; restore the file, "+
		"or join the replica as a new member with an empty folder", j.path, name)
}
