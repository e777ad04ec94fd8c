package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"

	"github.com/jaygw/jaygw/internal/control/replicator"
	"github.com/jaygw/jaygw/internal/wire/encoder"
	"github.com/rotisserie/eris"
)

type (
	// identity heads every file, so that a file of another folder is noticed.
	identity struct {
		Format int    `cbor:"1,keyasint"`
		Group  string `cbor:"2,keyasint"`
		Member uint64 `cbor:"3,keyasint"`
	}

	// record is the content of one frame. Exactly one field is set.
	record struct {
		Identity *identity                `cbor:"1,keyasint,omitempty"`
		Entries  []replicator.Entry       `cbor:"2,keyasint,omitempty"`
		Start    *replicator.SnapshotMeta `cbor:"3,keyasint,omitempty"` // the log starts anew after this index
		Ballot   *replicator.Ballot       `cbor:"4,keyasint,omitempty"`
		Snapshot *snapshotHead            `cbor:"5,keyasint,omitempty"`
	}

	snapshotHead struct {
		Meta     replicator.SnapshotMeta `cbor:"1,keyasint"`
		Checksum uint32                  `cbor:"2,keyasint"` // of the data after the frame
	}
)

const (
	formatVersion = 1
	frameHead     = 12
	maxFrame      = 16 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	frameMark  = []byte{0xd1, 'j', 'g', 'w'}

	errBadFrame = errors.New("no valid frame")
)

// appendFrame appends a frame for a payload that will start at an offset of its
// file. The checksum covers the offset, so that a frame that was copied or
// misplaced is not valid.
func appendFrame(data []byte, offset int64, payload []byte) []byte {
	data = append(data, frameMark...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.BigEndian.AppendUint32(data, checksum(offset, payload))
	return append(data, payload...)
}

func checksum(offset int64, payload []byte) uint32 {
	var position [8]byte
	binary.BigEndian.PutUint64(position[:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// readFrame returns the payload of the frame at an offset of a file's content.
func readFrame(content []byte, offset int64) ([]byte, error) {
	rest := content[offset:]
	if len(rest) < frameHead || !bytes.Equal(rest[:len(frameMark)], frameMark) {
		return nil, errBadFrame
	}
	length := int64(binary.BigEndian.Uint32(rest[4:]))
	if length > maxFrame || length > int64(len(rest))-frameHead {
		return nil, errBadFrame
	}
	payload := rest[frameHead : frameHead+length]
	if checksum(offset, payload) != binary.BigEndian.Uint32(rest[8:]) {
		return nil, errBadFrame
	}
	return payload, nil
}

// frameAfter reports whether a valid frame begins after an offset. One sync
// covers one frame, so what follows a torn frame is never valid.
func frameAfter(content []byte, offset int64) bool {
	for offset++; offset < int64(len(content)); offset++ {
		next := bytes.Index(content[offset:], frameMark)
		if next < 0 {
			return false
		}
		offset += int64(next)
		if _, err := readFrame(content, offset); err == nil {
			return true
		}
	}
	return false
}

// readRecords calls visit for each record of a file's content and returns where
// the valid records end. The error names a fault that a crash cannot explain.
func readRecords(content []byte, visit func(record) error) (end int64, err error) {
	for end < int64(len(content)) {
		payload, err := readFrame(content, end)
		if err != nil {
			if frameAfter(content, end) {
				return end, eris.Errorf("the record at byte %d is damaged and valid records follow it", end)
			}
			return end, nil
		}
		var r record
		if err := encoder.Unmarshal(payload, &r); err != nil {
			return end, eris.Wrapf(err, "the record at byte %d", end)
		}
		if err := visit(r); err != nil {
			return end, eris.Wrapf(err, "the record at byte %d", end)
		}
		end += frameHead + int64(len(payload))
	}
	return end, nil
}
