package journaler

import (
	"hash/crc32"
	"io"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/rotisserie/eris"
)

// SaveSnapshot stores a snapshot and then removes the one before it. It may run
// beside Append.
func (j *Journal) SaveSnapshot(snapshot replicator.Snapshot) error {
	head := snapshotHead{Meta: snapshot.Meta, Checksum: crc32.Checksum(snapshot.Data, castagnoli)}
	head.Meta.Size = uint64(len(snapshot.Data))
	prefix, err := frameOf(0, record{Identity: &j.identity})
	if err != nil {
		return err
	}
	body, err := frameOf(int64(len(prefix)), record{Snapshot: &head})
	if err != nil {
		return err
	}
	prefix = append(prefix, body...)
	name := snapshotName(snapshot.Meta.Index)

	j.mu.Lock()
	defer j.mu.Unlock()
	if j.snapshot.name != "" && j.snapshot.head.Meta.Index >= snapshot.Meta.Index {
		return nil
	}
	err = j.replace(name, func(file File) error {
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
	j.snapshot = snapshotFile{name: name, head: head, data: int64(len(prefix))}
	if old == "" {
		return nil
	}
	return j.named(j.disk.Remove(old), old)
}

// ReadSnapshot returns a part of the snapshot up to an index. It fails if
// another snapshot has replaced that one.
func (j *Journal) ReadSnapshot(index, offset, length uint64) ([]byte, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.snapshot
	if s.name == "" || s.head.Meta.Index != index || offset > s.head.Meta.Size {
		return nil, eris.Errorf("%s has no snapshot up to index %d", j.path, index)
	}
	file, err := j.disk.Open(s.name)
	if err != nil {
		return nil, j.named(err, s.name)
	}
	defer file.Close()
	data := make([]byte, min(length, s.head.Meta.Size-offset))
	if n, err := file.ReadAt(data, s.data+int64(offset)); n < len(data) {
		return nil, j.named(err, s.name)
	}
	return data, nil
}

// LoadSnapshot returns the data of the newest snapshot, or nil if there is none.
func (j *Journal) LoadSnapshot() ([]byte, error) {
	j.mu.Lock()
	index, size, want := j.snapshot.head.Meta.Index, j.snapshot.head.Meta.Size, j.snapshot.head.Checksum
	name := j.snapshot.name
	j.mu.Unlock()
	if name == "" {
		return nil, nil
	}
	data, err := j.ReadSnapshot(index, 0, size)
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(data, castagnoli) != want {
		return nil, j.damaged(name, eris.New("its data has a wrong checksum"))
	}
	return data, nil
}

// loadSnapshot finds the newest snapshot; an older one was about to be removed.
func (j *Journal) loadSnapshot(names []string) error {
	for _, name := range names {
		index, ok := number(name, snapshotPrefix)
		if !ok || j.snapshot.name != "" && index < j.snapshot.head.Meta.Index {
			continue
		}
		content, err := j.content(name)
		if err != nil {
			return err
		}
		found := snapshotFile{name: name}
		for range 2 {
			if found.data >= int64(len(content)) {
				return j.damaged(name, io.ErrUnexpectedEOF)
			}
			r, next, err := oneRecord(content, found.data)
			if err != nil {
				return j.damaged(name, err)
			}
			if r.Identity != nil {
				if err := j.check(name, *r.Identity); err != nil {
					return err
				}
			}
			if r.Snapshot != nil {
				found.head = *r.Snapshot
			}
			found.data = next
		}
		meta := found.head.Meta
		if meta.Index != index || meta.Size != uint64(int64(len(content))-found.data) {
			return j.damaged(name, eris.New("its length is wrong"))
		}
		j.snapshot = found
	}
	return nil
}
