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
	seeder.FixSeed(1000)
	flag.Parse()
	os.Exit(m.Run())
}

// storedState is the state that a journal must have stored.
type storedState struct {
	voteState replicator.VoteState
	meta      replicator.SnapshotMeta
	data      []byte
	entries   []replicator.Entry // after the snapshot
}

func (s storedState) last() uint64 { return s.meta.Index + uint64(len(s.entries)) }

func (s storedState) entry(index uint64) replicator.Entry { return s.entries[index-s.meta.Index-1] }

// compacted returns s with a snapshot up to an index.
func (s storedState) compacted(index uint64, data []byte) storedState {
	term := s.entry(index).Term
	s.entries = slices.Clone(s.entries[index-s.meta.Index:])
	s.meta = replicator.SnapshotMeta{Index: index, Term: term, Size: uint64(len(data))}
	s.data = data
	return s
}

// loadState returns the state that an opened journal has recovered.
func loadState(t require.TestingT, j *Journal, recovered replicator.RecoveredState) storedState {
	data, err := j.LoadSnapshot()
	require.NoError(t, err)
	s := storedState{voteState: recovered.VoteState, meta: recovered.Snapshot, data: data}
	for _, e := range recovered.Entries {
		if e.Index > s.meta.Index {
			s.entries = append(s.entries, e)
		}
	}
	return s
}

// reopen opens a journal with small segments, so that a test needs several.
func reopen(t require.TestingT, disk Disk, options ...Option) (*Journal, storedState) {
	j, recovered, err := Open(disk, "folder", "main", 1, append(options, WithSegmentBytes(300))...)
	require.NoError(t, err)
	return j, loadState(t, j, recovered)
}

// Guards against stored state that is lost, or an interrupted write that is stored in part, after a
// crash at any call of the disk. Writes that are retried on a full disk must be stored too.
func TestStoredStateSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := newFakeDisk()
		retriesLeft := -1 // on a full disk before the journal fails; negative: no limit
		retry := WithDiskFullHook(func(error) bool { retriesLeft--; return retriesLeft != -1 })
		j, current := reopen(t, disk, retry)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "fail") == 0 {
				disk.callsLeft = rapid.IntRange(0, 8).Draw(t, "calls")
			}
			if rapid.IntRange(0, 3).Draw(t, "full") == 0 {
				disk.fullWrites = rapid.IntRange(1, 4).Draw(t, "refused")
				retriesLeft = rapid.IntRange(-1, 5).Draw(t, "retries")
			}
			next, err := storeRandom(t, j, current)
			if err == nil {
				current = next
			}
			if err == nil && rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
				continue
			}
			if err != nil {
				// A failed journal must stay failed: a later successful sync says nothing about earlier writes.
				disk.callsLeft, disk.fullWrites = -1, 0
				require.Error(t, j.Append([]replicator.Entry{{Index: current.last() + 1, Term: 99}}))
			}
			var found storedState
			if rapid.Bool().Draw(t, "process killed first") {
				disk.kill()
				_, found = reopen(t, disk, retry)
				if err != nil && !equal(current, found) {
					current = next
				}
				require.True(t, equal(current, found), "want %+v\nfound %+v after a kill", current, found)
				err = nil // what was found must also survive the crash
			}
			disk.crash(t)
			j, found = reopen(t, disk, retry)
			if err != nil && !equal(current, found) {
				current = next
			}
			require.True(t, equal(current, found), "want %+v\nfound %+v", current, found)
		}
	})
}

// equal compares two states.
func equal(a, b storedState) bool {
	return a.voteState == b.voteState && a.meta.Index == b.meta.Index && a.meta.Term == b.meta.Term &&
		string(a.data) == string(b.data) && slices.EqualFunc(a.entries, b.entries, func(a, b replicator.Entry) bool {
		return a.Index == b.Index && a.Term == b.Term && string(a.Data) == string(b.Data)
	})
}

// storeRandom stores a drawn change and returns the state that the journal must have afterwards.
func storeRandom(t *rapid.T, j *Journal, s storedState) (storedState, error) {
	payload := rapid.SliceOfN(rapid.Byte(), 0, 60)
	switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
	case kind == 0:
		s.voteState.Term++
		s.voteState.Verified = true
		return s, j.SaveVoteState(s.voteState)
	case kind == 1:
		meta := replicator.SnapshotMeta{Index: s.last() + 3, Term: s.voteState.Term + 1000 + s.last()}
		data := payload.Draw(t, "snapshot")
		return storedState{voteState: s.voteState, meta: meta, data: data}, j.Install(replicator.Snapshot{Meta: meta, Data: data})
	case kind <= 3 && len(s.entries) > 0:
		index := s.meta.Index + uint64(rapid.IntRange(1, len(s.entries)).Draw(t, "up to"))
		next := s.compacted(index, payload.Draw(t, "snapshot"))
		err := j.SaveSnapshot(replicator.Snapshot{Meta: next.meta, Data: next.data})
		if err != nil {
			return next, j.fail(err)
		}
		return next, j.Trim(index)
	default:
		retain := rapid.IntRange(0, len(s.entries)).Draw(t, "keep")
		s.entries = slices.Clone(s.entries[:retain])
		var batch []replicator.Entry
		for range rapid.IntRange(1, 5).Draw(t, "entries") {
			e := replicator.Entry{Index: s.last() + 1, Term: s.meta.Term + 1, Data: payload.Draw(t, "data")}
			s.entries, batch = append(s.entries, e), append(batch, e)
		}
		return s, j.Append(batch)
	}
}

// newFilledFolder returns a data folder with several segments and a snapshot, and the state in it.
func newFilledFolder(t *testing.T) (string, storedState) {
	folder := t.TempDir()
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, s := reopen(t, disk)
	s.voteState = replicator.VoteState{Term: 3, Vote: 1, Verified: true}
	require.NoError(t, j.SaveVoteState(s.voteState))
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

// Guards against a damaged or foreign folder that is opened or modified, and against an error that
// names neither the file nor the remedy. A copy made before the damage must open completely.
func TestBadInputIsRefusedAndLosesNothing(t *testing.T) {
	flipBit := func(pattern string, offset int) func(*testing.T, string) {
		return func(t *testing.T, folder string) {
			names, err := filepath.Glob(filepath.Join(folder, pattern))
			require.NoError(t, err)
			data, err := os.ReadFile(names[0])
			require.NoError(t, err)
			data[offset] ^= 0x40
			require.NoError(t, os.WriteFile(names[0], data, 0o600))
		}
	}
	for name, tc := range map[string]struct {
		change func(*testing.T, string)
		group  string
		member uint64
		want   []string
	}{
		"segment":    {change: flipBit("log-*", 70), want: []string{"log-", "is damaged", "restore the file"}},
		"snapshot":   {change: flipBit("snapshot-*", 20), want: []string{"snapshot-", "restore the file"}},
		"vote state": {change: flipBit("vote", 30), want: []string{"vote", "restore the file"}},
		"member":     {member: 2, want: []string{"/", "belongs to member 1, not 2", "correct the id"}},
		"group":      {group: "other", want: []string{"belongs to control group \"main\"", "correct the group"}},
		"other file": {change: func(t *testing.T, folder string) { require.NoError(t, os.WriteFile(folder+"/mail", nil, 0o600)) }, want: []string{"mail", "name a folder that holds nothing else"}},
		"lost segment": {change: func(t *testing.T, folder string) {
			names, _ := filepath.Glob(filepath.Join(folder, "log-*"))
			require.NoError(t, os.Remove(names[1]))
		}, want: []string{"log-", "is missing", "restore it"}},
	} {
		t.Run(name, func(t *testing.T) {
			folder, want := newFilledFolder(t)
			backup := t.TempDir()
			require.NoError(t, os.CopyFS(backup+"/copy", os.DirFS(folder)))
			if tc.change != nil {
				tc.change(t, folder)
			}
			before := readFolder(t, folder)
			disk, err := NewFolder(folder)
			require.NoError(t, err)
			group, member := "main", uint64(1)
			if tc.group != "" {
				group = tc.group
			}
			if tc.member != 0 {
				member = tc.member
			}
			_, _, err = Open(disk, folder, group, member)
			require.Error(t, err)
			for _, part := range append(tc.want, folder) {
				require.ErrorContains(t, err, part)
			}
			require.Equal(t, before, readFolder(t, folder))

			disk, err = NewFolder(backup + "/copy")
			require.NoError(t, err)
			_, found := reopen(t, disk)
			require.True(t, equal(want, found))
		})
	}
}

// readFolder returns the contents of the files of a folder by name.
func readFolder(t *testing.T, folder string) map[string]string {
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	contents := map[string]string{}
	for _, e := range entries {
		data, err := os.ReadFile(filepath.Join(folder, e.Name()))
		require.NoError(t, err)
		contents[e.Name()] = string(data)
	}
	return contents
}

// Guards against reading a folder that a newer program has written in a newer format.
func TestNewerFormatIsRefused(t *testing.T) {
	folder := t.TempDir()
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, _, err := Open(disk, folder, "main", 1)
	require.NoError(t, err)
	j.identity.Format = formatVersion + 1
	require.NoError(t, j.SaveVoteState(replicator.VoteState{Term: 1}))
	require.NoError(t, j.Close())
	_, _, err = Open(disk, folder, "main", 1)
	require.ErrorContains(t, err, folder+"/vote has format version 2")
	require.ErrorContains(t, err, "run a newer program")
}

// Guards against two processes that open one folder and overwrite each other's entries.
func TestFolderIsLocked(t *testing.T) {
	disk, err := NewFolder(t.TempDir())
	require.NoError(t, err)
	j, _ := reopen(t, disk)
	_, _, err = Open(disk, "folder", "main", 1)
	require.ErrorIs(t, err, ErrLocked)
	require.NoError(t, j.Close())
	reopen(t, disk)
}

// fullDisk is a disk on which every write to a created file fails with ENOSPC.
type fullDisk struct{ Disk }

// fullFile is a file created on a fullDisk.
type fullFile struct{ File }

func (d fullDisk) Create(name string) (File, error) {
	file, err := d.Disk.Create(name)
	return fullFile{file}, err
}

func (fullFile) WriteAt([]byte, int64) (int, error) { return 0, syscall.ENOSPC }

// Guards against an unspecific error for a full disk, and against the loss of stored state.
func TestFullDisk(t *testing.T) {
	folder, want := newFilledFolder(t)
	disk, err := NewFolder(folder)
	require.NoError(t, err)
	j, _ := reopen(t, fullDisk{disk})
	err = j.SaveVoteState(replicator.VoteState{Term: 9})
	require.ErrorIs(t, err, syscall.ENOSPC)
	require.ErrorContains(t, err, "vote.new cannot be written; free some space")
	require.NoError(t, j.Close())
	_, found := reopen(t, disk)
	require.True(t, equal(want, found))
}

// Guards against damaged bytes that make the decoder panic, and against a truncated file that yields
// other records than the whole one.
func FuzzReadRecords(f *testing.F) {
	var content []byte
	for _, r := range []record{
		{Identity: &identity{Format: 1, Group: "main", Member: 1}},
		{Entries: []replicator.Entry{{Index: 1, Term: 1, Data: []byte("a")}, {Index: 2, Term: 1}}},
		{Start: &replicator.SnapshotMeta{Index: 9, Term: 2}},
	} {
		frame, err := encodeFrame(int64(len(content)), r)
		require.NoError(f, err)
		content = append(content, frame...)
		f.Add(slices.Clone(content), len(content)-1)
	}
	f.Add([]byte{}, 0)
	f.Add(append(slices.Clone(frameMagic), 0xff, 0xff, 0xff, 0xff), 3)
	f.Fuzz(func(t *testing.T, content []byte, cut int) {
		var records []record
		end, err := readRecords(content, func(r record) error { records = append(records, r); return nil })
		require.LessOrEqual(t, end, int64(len(content)))
		if err != nil || cut < 0 || int64(cut) > end {
			return
		}
		// Truncated content must yield a prefix of the records.
		count := 0
		_, err = readRecords(content[:cut], func(r record) error {
			require.Equal(t, records[count], r)
			count++
			return nil
		})
		require.NoError(t, err)
	})
}
