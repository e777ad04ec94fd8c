package journaler

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"pgregory.net/rapid"
)

var errDisk = errors.New("the disk failed")

type (
	// fakeDisk distinguishes synced from merely written data. It can fail after a number of calls
	// and refuse a number of writes as a full disk does.
	fakeDisk struct {
		current         map[string]*fakeFile         // files by name, as the process sees them
		durable         map[string]*fakeFile         // files by name, as of the last SyncFolder
		unsyncedChanges []func(map[string]*fakeFile) // name changes since the last SyncFolder
		locked          bool
		callsLeft       int // calls until every call fails; negative: none fails
		fullWrites      int // writes that will fail with ENOSPC
	}

	// fakeFile is a file of a fakeDisk.
	fakeFile struct {
		disk         *fakeDisk
		data, synced []byte
	}
)

func newFakeDisk() *fakeDisk {
	return &fakeDisk{current: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, callsLeft: -1}
}

// countCall counts a call and returns an error once no calls are left.
func (d *fakeDisk) countCall() error {
	if d.callsLeft == 0 {
		return errDisk
	}
	if d.callsLeft > 0 {
		d.callsLeft--
	}
	return nil
}

// checkSpace counts a write and returns an error while the disk is full.
func (d *fakeDisk) checkSpace() error {
	if d.fullWrites == 0 {
		return d.countCall()
	}
	d.fullWrites--
	return syscall.ENOSPC
}

// changeNames applies a change of names, which becomes durable with SyncFolder.
func (d *fakeDisk) changeNames(f func(map[string]*fakeFile)) error {
	if err := d.countCall(); err != nil {
		return err
	}
	f(d.current)
	d.unsyncedChanges = append(d.unsyncedChanges, f)
	return nil
}

func (d *fakeDisk) Lock() (func() error, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

func (d *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.current)), nil }

func (d *fakeDisk) Create(name string) (File, error) {
	file := &fakeFile{disk: d}
	return file, d.changeNames(func(m map[string]*fakeFile) { m[name] = file })
}

func (d *fakeDisk) Open(name string) (File, error) {
	if file, ok := d.current[name]; ok {
		return file, nil
	}
	return nil, fs.ErrNotExist
}

func (d *fakeDisk) Rename(from, to string) error {
	return d.changeNames(func(m map[string]*fakeFile) {
		if file, ok := m[from]; ok {
			m[to] = file
			delete(m, from)
		}
	})
}

func (d *fakeDisk) Remove(name string) error {
	return d.changeNames(func(m map[string]*fakeFile) { delete(m, name) })
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.countCall(); err != nil {
		return err
	}
	for _, f := range d.unsyncedChanges {
		f(d.durable)
	}
	d.unsyncedChanges = nil
	return nil
}

// kill ends the process that uses the disk: nothing is lost, and nothing more becomes durable.
func (d *fakeDisk) kill() { d.locked, d.callsLeft, d.fullWrites = false, -1, 0 }

// crash discards name changes and writes that were not synced: all of them, or except for a drawn
// part, which may have a hole of zeros. Each change of a name is kept or lost by itself.
func (d *fakeDisk) crash(t *rapid.T) {
	forgetAll := rapid.Bool().Draw(t, "forget all")
	for _, f := range d.unsyncedChanges {
		if !forgetAll && rapid.Bool().Draw(t, "name kept") {
			f(d.durable)
		}
	}
	d.unsyncedChanges = nil
	d.kill()
	d.current = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.current)) {
		file := d.current[name]
		if forgetAll {
			file.data = slices.Clone(file.synced)
			continue
		}
		if len(file.data) > len(file.synced) {
			unsynced := slices.Clone(file.data[len(file.synced):rapid.IntRange(len(file.synced), len(file.data)).Draw(t, "bytes kept")])
			if len(unsynced) > 0 && rapid.Bool().Draw(t, "hole") {
				from := rapid.IntRange(0, len(unsynced)-1).Draw(t, "hole from")
				clear(unsynced[from:rapid.IntRange(from, len(unsynced)).Draw(t, "hole to")])
			}
			file.synced = append(slices.Clone(file.synced), unsynced...)
		} else if rapid.Bool().Draw(t, "truncated") {
			file.synced = slices.Clone(file.data)
		}
		file.data = slices.Clone(file.synced)
	}
}

func (f *fakeFile) ReadAt(p []byte, offset int64) (int, error) {
	n := copy(p, f.data[min(offset, int64(len(f.data))):])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// WriteAt writes only the first half of p when it fails.
func (f *fakeFile) WriteAt(p []byte, offset int64) (int, error) {
	err := f.disk.checkSpace()
	if err != nil {
		p = p[:len(p)/2]
	}
	if newSize := int(offset) + len(p); newSize > len(f.data) {
		f.data = append(f.data, make([]byte, newSize-len(f.data))...)
	}
	return copy(f.data[offset:], p), err
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.disk.countCall(); err != nil {
		return err
	}
	f.data = slices.Clone(f.data[:size])
	return nil
}

func (f *fakeFile) Size() (int64, error) { return int64(len(f.data)), nil }

func (f *fakeFile) Sync() error {
	if err := f.disk.countCall(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
