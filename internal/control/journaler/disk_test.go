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
	// fakeDisk keeps what was synced apart from what was only written. After
	// the given number of further calls every call fails.
	fakeDisk struct {
		names   map[string]*fakeFile
		durable map[string]*fakeFile
		pending []func(map[string]*fakeFile)
		locked  bool
		left    int // calls before the failure; negative: no failure
		refused int // writes that the full disk refuses
	}

	fakeFile struct {
		disk         *fakeDisk
		data, synced []byte
	}
)

func newFakeDisk() *fakeDisk {
	return &fakeDisk{names: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, left: -1}
}

func (d *fakeDisk) call() error {
	if d.left == 0 {
		return errDisk
	}
	if d.left > 0 {
		d.left--
	}
	return nil
}

// room refuses a write while the disk is full.
func (d *fakeDisk) room() error {
	if d.refused == 0 {
		return d.call()
	}
	d.refused--
	return syscall.ENOSPC
}

func (d *fakeDisk) change(f func(map[string]*fakeFile)) error {
	if err := d.call(); err != nil {
		return err
	}
	f(d.names)
	d.pending = append(d.pending, f)
	return nil
}

func (d *fakeDisk) Lock() (func() error, error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	return func() error { d.locked = false; return nil }, nil
}

func (d *fakeDisk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *fakeDisk) Create(name string) (File, error) {
	file := &fakeFile{disk: d}
	return file, d.change(func(m map[string]*fakeFile) { m[name] = file })
}

func (d *fakeDisk) Open(name string) (File, error) {
	if file, ok := d.names[name]; ok {
		return file, nil
	}
	return nil, fs.ErrNotExist
}

func (d *fakeDisk) Rename(from, to string) error {
	return d.change(func(m map[string]*fakeFile) {
		if file, ok := m[from]; ok {
			m[to] = file
			delete(m, from)
		}
	})
}

func (d *fakeDisk) Remove(name string) error {
	return d.change(func(m map[string]*fakeFile) { delete(m, name) })
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.call(); err != nil {
		return err
	}
	for _, f := range d.pending {
		f(d.durable)
	}
	d.pending = nil
	return nil
}

// crash loses names and writes that were not synced. Of the lost writes a drawn
// part reaches the disk, with a hole in it.
func (d *fakeDisk) crash(t *rapid.T) {
	for _, f := range d.pending[:rapid.IntRange(0, len(d.pending)).Draw(t, "names kept")] {
		f(d.durable)
	}
	d.pending, d.locked, d.left, d.refused = nil, false, -1, 0
	d.names = maps.Clone(d.durable)
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		file := d.names[name]
		if len(file.data) > len(file.synced) {
			tail := slices.Clone(file.data[len(file.synced):rapid.IntRange(len(file.synced), len(file.data)).Draw(t, "bytes kept")])
			if len(tail) > 0 && rapid.Bool().Draw(t, "hole") {
				from := rapid.IntRange(0, len(tail)-1).Draw(t, "hole from")
				clear(tail[from:rapid.IntRange(from, len(tail)).Draw(t, "hole to")])
			}
			file.synced = append(slices.Clone(file.synced), tail...)
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

// WriteAt writes half of p when it fails.
func (f *fakeFile) WriteAt(p []byte, offset int64) (int, error) {
	err := f.disk.room()
	if err != nil {
		p = p[:len(p)/2]
	}
	if need := int(offset) + len(p); need > len(f.data) {
		f.data = append(f.data, make([]byte, need-len(f.data))...)
	}
	return copy(f.data[offset:], p), err
}

func (f *fakeFile) Truncate(size int64) error {
	if err := f.disk.call(); err != nil {
		return err
	}
	f.data = slices.Clone(f.data[:size])
	return nil
}

func (f *fakeFile) Size() (int64, error) { return int64(len(f.data)), nil }

func (f *fakeFile) Sync() error {
	if err := f.disk.call(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Close() error { return nil }
