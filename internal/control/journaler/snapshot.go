package journaler

import (
	"hash/crc32"
	"io"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/rotisserie/eris"
)

// SaveSnapshot stores a snapshot and then removes the previous one. It does nothing if a snapshot up
// to the same or a higher index is stored, and may run concurrently with Append.
func (j *Journal) SaveSnapshot(snapshot replicator.Snapshot) error {
	header := snapshotHeader{Meta: snapshot.Meta, Checksum: crc32.Checksum(snapshot.Data, castagnoli)}
	header.Meta.Size = uint64(len(snapshot.Data))
	prefix, err := encodeFrame(0, record{Identity: &j.identity})
	if err != nil {
		return err
	}
	body, err := encodeFrame(int64(len(prefix)), record{Snapshot: &header})
	if err != nil {
		return err
	}
	prefix = append(prefix, body...)
	name := snapshotName(snapshot.Meta.Index)

	j.mu.Lock()
	defer j.mu.Unlock()
	if j.snapshot.name != "" && j.snapshot.header.Meta.Index >= snapshot.Meta.Index {
		return nil
	}
	err = j.replaceFile(name, func(file File) error {
		if _, err := file.WriteAt(prefix, 0); err != nil {
			return err
		}
		_, err := file.WriteAt(snapshot.Data, int64(len(prefix)))
		return err
	})
	if err != nil {
		return err
	}
	old := j.snapshot.name
	j.snapshot = snapshotFile{name: name, header: header, dataOffset: int64(len(prefix))}
	if old == "" {
		return nil
	}
	return j.wrapFileError(j.disk.Remove(old), old)
}

// ReadSnapshot returns at most length bytes from an offset of the data of the snapshot up to an
// index. It returns an error if another snapshot has replaced that one.
func (j *Journal) ReadSnapshot(index, offset, length uint64) ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.snapshot
	if s.name == "" || s.header.Meta.Index != index || offset > s.header.Meta.Size {
		return nil, eris.Errorf("%s has no snapshot up to index %d", j.path, index)
	}
	file, err := j.disk.Open(s.name)
	if err != nil {
		return nil, j.wrapFileError(err, s.name)
	}
	defer file.Close()
	data := make([]byte, min(length, s.header.Meta.Size-offset))
	if n, err := file.ReadAt(data, s.dataOffset+int64(offset)); n < len(data) {
		return nil, j.wrapFileError(err, s.name)
	}
	return data, nil
}

// LoadSnapshot returns the data of the newest snapshot, or nil if there is none.
func (j *Journal) LoadSnapshot() ([]byte, error) {
	j.mu.Lock()
	index, size, wantChecksum := j.snapshot.header.Meta.Index, j.snapshot.header.Meta.Size, j.snapshot.header.Checksum
	name := j.snapshot.name
	j.mu.Unlock()
	if name == "" {
		return nil, nil
	}
	data, err := j.ReadSnapshot(index, 0, size)
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(data, castagnoli) != wantChecksum {
		return nil, j.damageError(name, eris.New("the checksum of the snapshot data does not match"))
	}
	return data, nil
}

// loadSnapshot finds the newest snapshot. A crash may have left an older one.
func (j *Journal) loadSnapshot(names []string) error {
	for _, name := range names {
		index, ok := parseFileNumber(name, snapshotPrefix)
		if !ok || j.snapshot.name != "" && index < j.snapshot.header.Meta.Index {
			continue
		}
		content, err := j.readFile(name)
		if err != nil {
			return err
		}
		found := snapshotFile{name: name}
		for range 2 {
			if found.dataOffset >= int64(len(content)) {
				return j.damageError(name, io.ErrUnexpectedEOF)
			}
			r, next, err := readRecord(content, found.dataOffset)
			if err != nil {
				return j.damageError(name, err)
			}
			if r.Identity != nil {
				if err := j.checkIdentity(name, *r.Identity); err != nil {
					return err
				}
			}
			if r.Snapshot != nil {
				found.header = *r.Snapshot
			}
			found.dataOffset = next
		}
		meta := found.header.Meta
		if meta.Index != index || meta.Size != uint64(int64(len(content))-found.dataOffset) {
			return j.damageError(name, eris.New("the index or size of the snapshot does not match the file"))
		}
		j.snapshot = found
	}
	return nil
}
