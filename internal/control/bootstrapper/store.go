package bootstrapper

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/jaygw/jaygw/internal/control/journaler"
	"github.com/rotisserie/eris"
)

// load reads the stored identity. It syncs what it reads: a process that was killed may have written it
// without that.
func load(disk journaler.Disk) ([]byte, error) {
	file, err := disk.Open(identityFileName)
	if err != nil {
		return nil, err
	}
	size, err := file.Size()
	data := make([]byte, size)
	if err == nil {
		var n int
		if n, err = file.ReadAt(data, 0); n == len(data) && errors.Is(err, io.EOF) {
			err = nil
		}
	}
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return nil, err
	}
	return data, disk.SyncFolder()
}

// save stores the identity durably, before the replica uses it.
func save(disk journaler.Disk, identity Identity) error {
	data, err := json.Marshal(identity)
	if err != nil {
		return eris.Wrap(err, "encode the identity")
	}
	file, err := disk.Create(identityFileName + ".new")
	if err != nil {
		return eris.Wrap(err, "write the identity")
	}
	_, err = file.WriteAt(data, 0)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = disk.Rename(identityFileName+".new", identityFileName)
	}
	if err != nil {
		return eris.Wrap(err, "write the identity")
	}
	return eris.Wrap(disk.SyncFolder(), "sync the data folder")
}
