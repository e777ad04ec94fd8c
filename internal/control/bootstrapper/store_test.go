package bootstrapper_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"testing"

	"github.com/jaygw/jaygw/internal/control/bootstrapper"
	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/stretchr/testify/require"
)

var errKilled = errors.New("the process was killed")

type (
	// fakeDisk forgets names and contents that were not synced when the power is lost.
	fakeDisk struct {
		current, durable map[string]*fakeFile
		callsLeft        int // calls that change the disk, until the process is killed; negative: it is not
	}

	fakeFile struct {
		disk         *fakeDisk
		data, synced []byte
	}
)

func (d *fakeDisk) call() error {
	if d.callsLeft == 0 {
		return errKilled
	}
	d.callsLeft--
	return nil
}

func (d *fakeDisk) Lock() (func() error, error) { return func() error { return nil }, nil }
func (d *fakeDisk) List() ([]string, error)     { return slices.Sorted(maps.Keys(d.current)), nil }

func (d *fakeDisk) Create(name string) (journaler.File, error) {
	file := &fakeFile{disk: d}
	if err := d.call(); err != nil {
		return nil, err
	}
	d.current[name] = file
	return file, nil
}

func (d *fakeDisk) Open(name string) (journaler.File, error) {
	if file, ok := d.current[name]; ok {
		return file, nil
	}
	return nil, fs.ErrNotExist
}

func (d *fakeDisk) Rename(from, to string) error {
	if err := d.call(); err != nil {
		return err
	}
	d.current[to] = d.current[from]
	delete(d.current, from)
	return nil
}

func (d *fakeDisk) Remove(name string) error {
	delete(d.current, name)
	return d.call()
}

func (d *fakeDisk) SyncFolder() error {
	if err := d.call(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.current)
	return nil
}

// losePower forgets everything that was not synced.
func (d *fakeDisk) losePower() {
	d.current = maps.Clone(d.durable)
	for _, file := range d.current {
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

func (f *fakeFile) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.disk.call(); err != nil {
		return 0, err
	}
	f.data = append(f.data[:offset], p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	if err := f.disk.call(); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Truncate(size int64) error { f.data = f.data[:size]; return f.disk.call() }
func (f *fakeFile) Size() (int64, error)      { return int64(len(f.data)), nil }
func (f *fakeFile) Close() error              { return nil }

// TestIdentityForgottenAfterKillAndPowerLoss guards against a replica that uses an identity which its disk
// forgets, and that then finds the log of another one.
func TestIdentityForgottenAfterKillAndPowerLoss(t *testing.T) {
	for calls := range 8 {
		disk := &fakeDisk{current: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, callsLeft: calls}
		open := func() (bootstrapper.Identity, error) {
			return bootstrapper.Open(disk, seeds[0], seeds, false)
		}
		_, err := open()
		if err != nil {
			require.ErrorIs(t, err, errKilled)
		}
		disk.callsLeft = -1
		used, err := open()
		require.NoError(t, err)
		disk.losePower()
		after, err := open()
		require.NoError(t, err)
		require.Equal(t, used, after, "killed after %d calls", calls)
	}
}
