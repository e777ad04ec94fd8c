package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

type (
	// Disk is one flat folder. A change of its names is durable after SyncFolder,
	// a change of a file's content after that file's Sync.
	Disk interface {
		// Lock keeps other processes out of the folder until the release.
		Lock() (release func() error, err error)
		List() ([]string, error)
		Create(name string) (File, error) // or truncates
		Open(name string) (File, error)
		Rename(from, to string) error
		Remove(name string) error
		SyncFolder() error
	}

	// File is one open file.
	File interface {
		ReadAt(p []byte, offset int64) (int, error)
		WriteAt(p []byte, offset int64) (int, error)
		Truncate(size int64) error
		Size() (int64, error)
		Sync() error
		Close() error
	}

	folder struct{ path string }

	osFile struct{ *os.File }
)

const lockName = "lock"

// ErrLocked is returned when another process uses the folder.
var ErrLocked = errors.New("another process uses the folder; stop it first")

// NewFolder returns the disk of a data folder, which it creates if needed.
func NewFolder(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, eris.Wrapf(err, "create the data folder %s", path)
	}
	return folder{path: path}, nil
}

func (f folder) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(f.path, lockName), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		file.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, err
	}
	return file.Close, nil
}

func (f folder) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name()
	}
	return names, err
}

func (f folder) Create(name string) (File, error) {
	return open(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

func (f folder) Open(name string) (File, error) {
	return open(filepath.Join(f.path, name), os.O_RDWR)
}

func open(path string, flags int) (File, error) {
	file, err := os.OpenFile(path, flags, 0o640)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

func (f folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

func (f folder) Remove(name string) error { return os.Remove(filepath.Join(f.path, name)) }

func (f folder) SyncFolder() error {
	dir, err := os.Open(f.path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
