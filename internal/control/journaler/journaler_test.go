package journaler

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/test/seeder"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	seeder.Fix(1000)
	flag.Parse()
	os.Exit(m.Run())
}

// stored is what a journal has to hold.
type stored struct {
	ballot  replicator.Ballot
	meta    replicator.SnapshotMeta
	data    []byte
	entries []replicator.Entry // after the snapshot
}

func (s stored) last() uint64 { return s.meta.Index + uint64(len(s.entries)) }

func (s stored) entry(index uint64) replicator.Entry { return s.entries[index-s.meta.Index-1] }

// compacted returns s with a snapshot up to an index.
func (s stored) compacted(index uint64, data []byte) stored {
	term := s.entry(index).Term
	s.entries = slices.Clone(s.entries[index-s.meta.Index:])
	s.meta = replicator.SnapshotMeta{Index: index, Term: term, Size: uint64(len(data))}
	s.data = data
	return s
}

func read(t require.TestingT, j *Journal, restored replicator.Restored) stored {
	data, err := j.LoadSnapshot()
	require.NoError(t, err)
	s := stored{ballot: restored.Ballot, meta: restored.Snapshot, data: data}
	for _, e := range restored.Entries {
		if e.Index > s.meta.Index {
			s.entries = append(s.entries, e)
		}
	}
	return s
}

func reopen(t require.TestingT, disk Disk, options ...Option) (*Journal, stored) {
	j, restored, err := Open(disk, "folder", "main", 1, append(options, WithSegmentBytes(300))...)
	require.NoError(t, err)
	return j, read(t, j, restored)
}

// What a method has stored must survive a crash at any later call of the disk,
// and what was being stored is there completely or not at all. A write that a full disk
// has refused for a while is stored like any other.
func TestStoredStateSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newFakeDisk()
		patience := -1 // tries on a full disk before the process ends; negative: no limit
		wait := WithFull(func(error) bool { patience--; return patience != -1 })
		j, now := reopen(t, disk, wait)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "fail") == 0 {
				disk.left = rapid.IntRange(0, 8).Draw(t, "calls")
			}
			if rapid.IntRange(0, 3).Draw(t, "full") == 0 {
				disk.refused = rapid.IntRange(1, 4).Draw(t, "refused")
				patience = rapid.IntRange(-1, 5).Draw(t, "patience")
			}
			next, err := store(t, j, now)
			if err == nil {
				now = next
			}
			if err == nil && rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
				continue
			}
			if err != nil {
				// A failed journal must stay failed: a later sync that succeeds proves nothing.
				disk.left, disk.refused = -1, 0
				require.Error(t, j.Append([]replicator.Entry{{Index: now.last() + 1, Term: 99}}))
			}
			disk.crash(t)
			var found stored
			j, found = reopen(t, disk, wait)
			if err != nil && !equal(now, found) {
				now = next
			}
			require.True(t, equal(now, found), "want %+v\nfound %+v", now, found)
		}
	})
}

func equal(a, b stored) bool {
	return a.ballot == b.ballot && a.meta.Index == b.meta.Index && a.meta.Term == b.meta.Term &&
		string(a.data) == string(b.data) && slices.EqualFunc(a.entries, b.entries, func(a, b replicator.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
	})
}

// store stores something drawn and returns what has to be held afterwards.
func store(t *rapid.T, j *Journal, s stored) (stored, error) {
	payload := rapid.SliceOfN(rapid.Byte(), 0, 60)
	switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
	case kind == 0:
		s.ballot.Term++
		s.ballot.Proven = true
		return s, j.SaveBallot(s.ballot)
	case kind == 1:
		meta := replicator.SnapshotMeta{Index: s.last() + 3, Term: s.ballot.Term + 1000 + s.last()}
		data := payload.Draw(t, "snapshot")
		return stored{ballot: s.ballot, meta: meta, data: data}, j.Install(replicator.Snapshot{Meta: meta, Data: data})
	case kind <= 3 && len(s.entries) > 0:
		index := s.meta.Index + uint64(rapid.IntRange(1, len(s.entries)).Draw(t, "up to"))
		next := s.compacted(index, payload.Draw(t, "snapshot"))
		err := j.SaveSnapshot(replicator.Snapshot{Meta: next.meta, Data: next.data})
		if err != nil {
			return next, j.fail(err)
		}
		return next, j.Trim(index)
	default:
		keep := rapid.IntRange(0, len(s.entries)).Draw(t, "keep")
		s.entries = slices.Clone(s.entries[:keep])
		var batch []replicator.Entry
		for range rapid.IntRange(1, 5).Draw(t, "entries") {
			e := replicator.Entry{Index: s.last() + 1, Term: s.meta.Term + 1, Data: payload.Draw(t, "data")}
			s.entries, batch = append(s.entries, e), append(batch, e)
		}
		return s, j.Append(batch)
	}
}

// full returns a folder with several segments and a snapshot.
func full(t *testing.T) (string, stored) {
	folder := t.TempDir()
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, s := reopen(t, disk)
	s.ballot = replicator.Ballot{Term: 3, Vote: 1, Proven: true}
	require.NoError(t, j.SaveBallot(s.ballot))
	for index := uint64(1); index <= 20; index++ {
		e := replicator.Entry{Index: index, Term: 3, Data: make([]byte, 80)}
		require.NoError(t, j.Append([]replicator.Entry{e}))
		s.entries = append(s.entries, e)
	}
	s = s.compacted(8, []byte("state"))
	require.NoError(t, j.SaveSnapshot(replicator.Snapshot{Meta: s.meta, Data: s.data}))
	require.NoError(t, j.Trim(8))
	require.NoError(t, j.Close())
	return folder, s
}

// Bad input must give one error that names the file and the remedy, and must
// change nothing: with the cause removed, everything is still there.
func TestBadInputIsRefusedAndLosesNothing(t *testing.T) {
	flip := func(pattern string, at int) func(*testing.T, string) {
		return func(t *testing.T, folder string) {
			names, err := filepath.Glob(filepath.Join(folder, pattern))
			require.NoError(t, err)
			data, err := os.ReadFile(names[0])
			require.NoError(t, err)
			data[at] ^= 0x40
			require.NoError(t, os.WriteFile(names[0], data, 0o600))
		}
	}
	for name, c := range map[string]struct {
		change func(*testing.T, string)
		group  string
		member uint64
		want   []string
	}{
		"segment":    {change: flip("log-*", 70), want: []string{"log-", "is damaged", "restore the file"}},
		"snapshot":   {change: flip("snapshot-*", 20), want: []string{"snapshot-", "restore the file"}},
		"ballot":     {change: flip("vote", 30), want: []string{"vote", "restore the file"}},
		"member":     {member: 2, want: []string{"/", "belongs to member 1, not 2", "correct the id"}},
		"group":      {group: "other", want: []string{"belongs to control group \"main\"", "correct the group"}},
		"other file": {change: func(t *testing.T, folder string) { require.NoError(t, os.WriteFile(folder+"/mail", nil, 0o600)) }, want: []string{"mail", "name a folder that holds nothing else"}},
		"lost segment": {change: func(t *testing.T, folder string) {
			names, _ := filepath.Glob(filepath.Join(folder, "log-*"))
			require.NoError(t, os.Remove(names[1]))
		}, want: []string{"log-", "is missing", "restore it"}},
	} {
		t.Run(name, func(t *testing.T) {
			folder, want := full(t)
			kept := t.TempDir()
			require.NoError(t, os.CopyFS(kept+"/copy", os.DirFS(folder)))
			if c.change != nil {
				c.change(t, folder)
			}
			before := hashes(t, folder)
			disk, err := NewFolder(folder)
			require.NoError(t, err)
			group, member := "main", uint64(1)
			if c.group != "" {
				group = c.group
			}
			if c.member != 0 {
				member = c.member
			}
			_, _, err = Open(disk, folder, group, member)
			require.Error(t, err)
			for _, part := range append(c.want, folder) {
				require.ErrorContains(t, err, part)
			}
			require.Equal(t, before, hashes(t, folder))

			disk, err = NewFolder(kept + "/copy")
			require.NoError(t, err)
			_, found := reopen(t, disk)
			require.True(t, equal(want, found))
		})
	}
}

func hashes(t *testing.T, folder string) map[string]string {
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	all := map[string]string{}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(folder, e.Name()))
		require.NoError(t, err)
		all[e.Name()] = string(data)
	}
	return all
}

// A newer program's folder must not be read with older rules.
func TestNewerFormatIsRefused(t *testing.T) {
	folder := t.TempDir()
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, _, err := Open(disk, folder, "main", 1)
	require.NoError(t, err)
	j.identity.Format = formatVersion + 1
	require.NoError(t, j.SaveBallot(replicator.Ballot{Term: 1}))
	require.NoError(t, j.Close())
	_, _, err = Open(disk, folder, "main", 1)
	require.ErrorContains(t, err, folder+"/vote has format version 2")
	require.ErrorContains(t, err, "run a newer program")
}

// Two processes with one folder would overwrite each other's entries.
func TestFolderIsLocked(t *testing.T) {
	disk, err := NewFolder(t.TempDir())
	require.NoError(t, err)
	j, _ := reopen(t, disk)
	_, _, err = Open(disk, "folder", "main", 1)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, j.Close())
	reopen(t, disk)
}

type fullDisk struct{ Disk }

type fullFile struct{ File }

func (d fullDisk) Create(name string) (File, error) {
	file, err := d.Disk.Create(name)
	return fullFile{file}, err
}

func (fullFile) WriteAt([]byte, int64) (int, error) { return 0, syscall.ENOSPC }

// A full disk must be named as such and must lose nothing that was stored.
func TestFullDisk(t *testing.T) {
	folder, want := full(t)
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, _ := reopen(t, fullDisk{disk})
	err = j.SaveBallot(replicator.Ballot{Term: 9})
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.ErrorContains(t, err, "vote.new cannot be written; free some space")
	require.NoError(t, j.Close())
	_, found := reopen(t, disk)
	require.True(t, equal(want, found))
}

// Damaged bytes must never make the decoder panic or accept another content.
func FuzzReadRecords(f *testing.F) {
	var content []byte
	for _, r := range []record{
		{Identity: &identity{Format: 1, Group: "main", Member: 1}},
		{Entries: []replicator.Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1}}},
		{Start: &replicator.SnapshotMeta{Index: 9, Term: 2}},
	} {
		frame, err := frameOf(int64(len(content)), r)
		require.NoError(f, err)
		content = append(content, frame...)
		f.Add(slices.Clone(content), len(content)-1)
	}
	f.Add([]byte{}, 0)
	f.Add(append(slices.Clone(frameMark), 0xff, 0xff, 0xff, 0xff), 3)
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		var records []record
		end, err := readRecords(content, func(r record) error { records = append(records, r); return nil })
		require.LessOrEqual(t, end, int64(len(content)))
		if err != nil || cut < 0 || int64(cut) > end {
			return
		}
		// A cut content gives a prefix of the records.
		count := 0
		_, err = readRecords(content[:cut], func(r record) error {
			require.Equal(t, records[count], r)
			count++
			return nil
		})
		require.NoError(t, err)
	})
}
