package coordinator

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// journal is an append-only file of records with a length and a checksum.
type journal struct {
	file *os.File
}

const (
	journalName    = "log"
	headerBytes    = 8
	maxRecordBytes = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// openJournal opens the journal in a folder and calls replay for each record. A
// record that was torn by a crash is cut off.
func openJournal(folder string, replay func(record []byte) error) (*journal, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, eris.Wrapf(err, "create the data folder %s", folder)
	}
	path := filepath.Join(folder, journalName)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	end, err := replayAll(file, replay)
	if err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "read %s", path)
	}
	if err := errors.Join(file.Truncate(end), syncFolder(folder)); err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "repair %s", path)
	}
	if _, err := file.Seek(end, io.SeekStart); err != nil {
		file.Close()
		return nil, eris.Wrapf(err, "seek in %s", path)
	}
	return &journal{file: file}, nil
}

func replayAll(file *os.File, replay func([]byte) error) (int64, error) {
	reader := bufio.NewReader(file)
	var end int64
	for {
		var header [headerBytes]byte
		if n, _ := io.ReadFull(reader, header[:]); n < headerBytes {
			return end, nil
		}
		length := binary.BigEndian.Uint32(header[:4])
		if length > maxRecordBytes {
			return end, eris.Errorf("the record at byte %d has length %d, more than %d", end, length, maxRecordBytes)
		}
		record := make([]byte, length)
		if n, _ := io.ReadFull(reader, record); n < len(record) {
			return end, nil
		}
		if crc32.Checksum(record, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
			if _, err := reader.ReadByte(); err == nil {
				return end, eris.Errorf("the record at byte %d has a wrong checksum", end)
			}
			return end, nil
		}
		if err := replay(record); err != nil {
			return end, err
		}
		end += headerBytes + int64(length)
	}
}

// append writes records and syncs once.
func (j *journal) append(records [][]byte) error {
	var data []byte
	for _, record := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = binary.BigEndian.AppendUint32(data, crc32.Checksum(record, castagnoli))
		data = append(data, record...)
	}
	if _, err := j.file.Write(data); err != nil {
		return eris.Wrap(err, "write the log")
	}
	return eris.Wrap(j.file.Sync(), "sync the log")
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
