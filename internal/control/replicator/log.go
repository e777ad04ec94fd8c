package replicator

import (
	"slices"

	"github.com/jaygw/jaygw"
)

type (
	// memoryLog is the log from some index behind the snapshot to its end.
	memoryLog struct {
		snapshot SnapshotMeta
		base     uint64 // index before the first entry
		baseTerm uint64 // zero if not known
		entries  []Entry
		configs  []config // by index; the first is that of the snapshot
	}

	// config is the members from an index on.
	config struct {
		index   uint64
		members []jaygw.Member
	}
)

func newLog(restored Restored, bootstrap []jaygw.Member) memoryLog {
	l := memoryLog{snapshot: restored.Snapshot, base: restored.Snapshot.Index, baseTerm: restored.Snapshot.Term}
	l.entries = restored.Entries
	if len(l.entries) > 0 && l.entries[0].Index != l.base+1 {
		l.base, l.baseTerm = l.entries[0].Index-1, 0
	}
	members := restored.Snapshot.Members
	if restored.Snapshot.Index == 0 {
		members = bootstrap
	}
	l.configs = []config{{index: l.snapshot.Index, members: members}}
	for _, e := range l.entries {
		l.noteMembers(e)
	}
	return l
}

func (l *memoryLog) noteMembers(e Entry) {
	if e.Kind == MembersEntry && e.Index > l.snapshot.Index {
		l.configs = append(l.configs, config{index: e.Index, members: e.Members})
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

// term returns the term of an entry, or false if it is not known here.
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

func (l *memoryLog) between(after, last uint64) []Entry {
	return l.entries[after-l.base : last-l.base]
}

// put appends an entry after it has cut off what stands in its place.
func (l *memoryLog) put(e Entry) {
	l.entries = append(l.entries[:e.Index-l.base-1], e)
	for l.configs[len(l.configs)-1].index >= e.Index && len(l.configs) > 1 {
		l.configs = l.configs[:len(l.configs)-1]
	}
	l.noteMembers(e)
}

func (l *memoryLog) config() config { return l.configs[len(l.configs)-1] }

// meta describes a snapshot up to an index.
func (l *memoryLog) meta(index uint64) SnapshotMeta {
	m := SnapshotMeta{Index: index, Time: l.snapshot.Time}
	m.Term, _ = l.term(index)
	if index > l.base {
		m.Time = l.entries[index-l.base-1].Time
	}
	for _, c := range l.configs {
		if c.index <= index {
			m.Members = c.members
		}
	}
	return m
}

// compact drops entries that a snapshot covers, except for the last ones.
func (l *memoryLog) compact(meta SnapshotMeta, kept uint64) {
	if meta.Index <= l.snapshot.Index {
		return
	}
	l.snapshot = meta
	later := slices.DeleteFunc(slices.Clone(l.configs), func(c config) bool { return c.index <= meta.Index })
	l.configs = append([]config{{index: meta.Index, members: meta.Members}}, later...)

	base, bytes := meta.Index, 0
	for base > l.base && meta.Index-base < kept && bytes < maxKeptBytes {
		bytes += len(l.entries[base-l.base-1].Data) + entryOverhead
		base--
	}
	if base > l.base {
		term, _ := l.term(base)
		l.entries = slices.Clone(l.entries[base-l.base:])
		l.base, l.baseTerm = base, term
	}
}

// reset replaces everything by a snapshot.
func (l *memoryLog) reset(meta SnapshotMeta) {
	*l = memoryLog{
		snapshot: meta, base: meta.Index, baseTerm: meta.Term,
		configs: []config{{index: meta.Index, members: meta.Members}},
	}
}
