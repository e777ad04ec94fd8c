package journaler

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

type (
	// Disk is one folder of files. A change of names is durable after SyncFolder, a change of a
	// file's content after that file's Sync.
	Disk interface {
		// Lock locks the folder against other processes until unlock is called. It returns
		// ErrLocked if another process holds the lock.
		Lock() (unlock func() error, err error)
		List() ([]string, error)
		Create(name string) (File, error) // truncates an existing file
		Open(name string) (File, error)
		Rename(from, to string) error
		Remove(name string) error
		SyncFolder() error
	}

	// File is an open file of a Disk.
	File interface {
		ReadAt(p []byte, offset int64) (int, error)
		WriteAt(p []byte, offset int64) (int, error)
		Truncate(size int64) error
		Size() (int64, error)
		Sync() error
		Close() error
	}

	// folder is a Disk in a folder of the operating system.
	folder struct{ path string }

	// osFile is a File of the operating system.
	osFile struct{ *os.File }
)

const lockFileName = "lock"

// ErrLocked is returned when another process uses the folder.
var ErrLocked = errors.New("another process uses the folder; stop it first")

// NewFolder returns the Disk of the data folder at a path and creates the folder if necessary.
func NewFolder(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return nil, eris.Wrapf(err, "create the data folder %s", path)
	}
	return folder{path: path}, nil
}

func (f folder) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(f.path, lockFileName), os.O_RDWR|os.O_CREATE, 0o640)
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
