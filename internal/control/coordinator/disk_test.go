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

// failingDisk is a disk whose syncs and writes can be made to fail.
type failingDisk struct {
	journaler.Disk
	failSync atomic.Bool // syncs fail
	full     atomic.Bool // writes fail with ENOSPC
}

// failingFile is a file of a failingDisk.
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
	if f.disk.failSync.Load() {
		return errSync
	}
	return f.File.Sync()
}
