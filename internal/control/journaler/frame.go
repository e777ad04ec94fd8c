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
	// identity is the first record of every file, so that a file of another replica is detected.
	identity struct {
		Format int    `cbor:"1,keyasint"`
		Group  string `cbor:"2,keyasint"`
		Member uint64 `cbor:"3,keyasint"`
	}

	// record is the payload of one frame. Exactly one field is set.
	record struct {
		Identity  *identity                `cbor:"1,keyasint,omitempty"`
		Entries   []replicator.Entry       `cbor:"2,keyasint,omitempty"`
		Start     *replicator.SnapshotMeta `cbor:"3,keyasint,omitempty"` // the log restarts after this snapshot
		VoteState *replicator.VoteState    `cbor:"4,keyasint,omitempty"`
		Snapshot  *snapshotHeader          `cbor:"5,keyasint,omitempty"`
	}

	// snapshotHeader describes the snapshot data after its frame.
	snapshotHeader struct {
		Meta     replicator.SnapshotMeta `cbor:"1,keyasint"`
		Checksum uint32                  `cbor:"2,keyasint"` // of the data after the frame
	}
)

const (
	formatVersion   = 1
	frameHeaderSize = 12       // bytes: magic, payload length, checksum
	maxPayloadSize  = 16 << 20 // bytes of a payload
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	frameMagic = []byte{0xd1, 'j', 'g', 'w'}

	errInvalidFrame = errors.New("invalid frame")
)

// appendFrame appends to data the frame of a payload, to be written at an offset of its file. The
// checksum covers the offset, so that a frame at another offset is invalid.
func appendFrame(data []byte, offset int64, payload []byte) []byte {
	data = append(data, frameMagic...)
	data = binary.BigEndian.AppendUint32(data, uint32(len(payload)))
	data = binary.BigEndian.AppendUint32(data, checksum(offset, payload))
	return append(data, payload...)
}

// checksum returns the CRC-32C of a frame's offset and payload.
func checksum(offset int64, payload []byte) uint32 {
	var position [8]byte
	binary.BigEndian.PutUint64(position[:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

// readFrame returns the payload of the frame at an offset of a file's content.
func readFrame(content []byte, offset int64) ([]byte, error) {
	rest := content[offset:]
	if len(rest) < frameHeaderSize || !bytes.Equal(rest[:len(frameMagic)], frameMagic) {
		return nil, errInvalidFrame
	}
	length := int64(binary.BigEndian.Uint32(rest[4:]))
	if length > maxPayloadSize || length > int64(len(rest))-frameHeaderSize {
		return nil, errInvalidFrame
	}
	payload := rest[frameHeaderSize : frameHeaderSize+length]
	if checksum(offset, payload) != binary.BigEndian.Uint32(rest[8:]) {
		return nil, errInvalidFrame
	}
	return payload, nil
}

// hasFrameAfter reports whether a valid frame starts after an offset. Each frame is synced before the
// next is written, so no valid frame follows one that a crash has torn.
func hasFrameAfter(content []byte, offset int64) bool {
	for offset++; offset < int64(len(content)); offset++ {
		next := bytes.Index(content[offset:], frameMagic)
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

// readRecords calls visit for each record of a file's content and returns the offset after the
// last valid record. It returns an error for damage that a crash cannot cause.
func readRecords(content []byte, visit func(record) error) (end int64, err error) {
	for end < int64(len(content)) {
		payload, err := readFrame(content, end)
		if err != nil {
			if hasFrameAfter(content, end) {
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
		end += frameHeaderSize + int64(len(payload))
	}
	return end, nil
}
