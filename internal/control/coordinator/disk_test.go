package coordinator_test

import (
	"errors"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/stretchr/testify/require"
)

var errSync = errors.New("the sync failed")

type failingDisk struct {
	journaler.Disk
	fail atomic.Bool
	full atomic.Bool
}

type failingFile struct {
	journaler.File
	disk *failingDisk
}

func newFailingDisk(t *testing.T, folder string) *failingDisk {
	disk, err := journaler.NewFolder(folder)
	require.NoError(t, err)
	return &failingDisk{Disk: disk}
}

func (d *failingDisk) Create(name string) (journaler.File, error) {
	file, err := d.Disk.Create(name)
	return failingFile{file, d}, err
}

func (d *failingDisk) Open(name string) (journaler.File, error) {
	file, err := d.Disk.Open(name)
	return failingFile{file, d}, err
}

func (f failingFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.WriteAt(p, offset)
}

func (f failingFile) Sync() error {
	if f.disk.fail.Load() {
		return errSync
	}
	return f.File.Sync()
}
