package replicator

import (
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// memoryLog is the part of the log that is held in memory. It ends with the last entry
	// and may start before the index of the snapshot.
	memoryLog struct {
		snapshot    SnapshotMeta
		base        uint64 // index before the first entry
		baseTerm    uint64 // term of the entry at base; zero if unknown
		entries     []Entry
		memberships []membership // by index; the first is the one at the snapshot
		hasCommand  bool         // an entry with a command has been in the log
		bytes       int          // estimated size of the entries
	}

	// membership is the list of members that is in force from an index on.
	membership struct {
		index   uint64
		members []jaygw.Member
	}
)

func newLog(recovered RecoveredState, bootstrap []jaygw.Member) memoryLog {
	l := memoryLog{snapshot: recovered.Snapshot, base: recovered.Snapshot.Index, baseTerm: recovered.Snapshot.Term}
	l.entries = recovered.Entries
	if len(l.entries) > 0 && l.entries[0].Index != l.base+1 {
		l.base, l.baseTerm = l.entries[0].Index-1, 0
	}
	members := recovered.Snapshot.Members
	if recovered.Snapshot.Index == 0 {
		members = bootstrap
	}
	l.memberships = []membership{{index: l.snapshot.Index, members: members}}
	for _, e := range l.entries {
		l.recordMembership(e)
	}
	l.bytes = entryBytes(l.entries)
	return l
}

// recordMembership adds the membership that an entry starts, if it starts one.
func (l *memoryLog) recordMembership(e Entry) {
	l.hasCommand = l.hasCommand || e.Kind == CommandEntry
	if e.Kind == MembersEntry && e.Index > l.snapshot.Index {
		l.memberships = append(l.memberships, membership{index: e.Index, members: e.Members})
	}
}

func (l *memoryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

func (l *memoryLog) lastTime() jaygw.Time {
	if len(l.entries) > 0 {
		return l.entries[len(l.entries)-1].Time
	}
	return l.snapshot.Time
}

// term returns the term of the entry at an index, or false if it is unknown.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index == l.base:
		return l.baseTerm, l.base == 0 || l.baseTerm != 0
	case index < l.base || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.base-1].Term, true
	}
}

// between returns the entries after one index up to and including another.
func (l *memoryLog) between(after, last uint64) []Entry {
	return l.entries[after-l.base : last-l.base]
}

// truncateAndAppend appends an entry after it has removed the entry with the same index and
// all later ones.
func (l *memoryLog) truncateAndAppend(e Entry) {
	l.bytes -= entryBytes(l.entries[e.Index-l.base-1:])
	l.entries = append(l.entries[:e.Index-l.base-1], e)
	l.bytes += len(e.Data) + entryOverhead
	for l.memberships[len(l.memberships)-1].index >= e.Index && len(l.memberships) > 1 {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
	l.recordMembership(e)
}

// entryBytes estimates the size of entries in memory.
func entryBytes(entries []Entry) int {
	bytes := 0
	for i := range entries {
		bytes += len(entries[i].Data) + entryOverhead
	}
	return bytes
}

func (l *memoryLog) membership() membership { return l.memberships[len(l.memberships)-1] }

// meta returns the description of a snapshot up to an index.
func (l *memoryLog) meta(index uint64) SnapshotMeta {
	m := SnapshotMeta{Index: index, Time: l.snapshot.Time}
	m.Term, _ = l.term(index)
	if index > l.base {
		m.Time = l.entries[index-l.base-1].Time
	}
	for _, c := range l.memberships {
		if c.index <= index {
			m.Members = c.members
		}
	}
	return m
}

// compact drops the entries that a snapshot covers, except for the last retained ones of about retainedBytes.
func (l *memoryLog) compact(meta SnapshotMeta, retained uint64, retainedBytes int) {
	if meta.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = meta
	later := slices.DeleteFunc(slices.Clone(l.memberships), func(c membership) bool { return c.index <= meta.Index })
	l.memberships = append([]membership{{index: meta.Index, members: meta.Members}}, later...)

	base, bytes := meta.Index, 0
	for base > l.base && meta.Index-base < retained && bytes < retainedBytes {
		bytes += len(l.entries[base-l.base-1].Data) + entryOverhead
		base--
	}
	if base > l.base {
		term, _ := l.term(base)
		l.entries = slices.Clone(l.entries[base-l.base:])
		l.base, l.baseTerm = base, term
		l.bytes = entryBytes(l.entries)
	}
}

// reset replaces the whole log by a snapshot.
func (l *memoryLog) reset(meta SnapshotMeta) {
	*l = memoryLog{
		snapshot: meta, base: meta.Index, baseTerm: meta.Term,
		memberships: []membership{{index: meta.Index, members: meta.Members}},
	}
}
