package disk

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"godwitplank/raft"
)

const (
	snapshotFile = "snapshot"
	logFile      = "log"
	headerBytes  = 12
)

// Each record starts with recordPrefix and a byte for its form. No body contains the start of a record, so that recovery can
// search for a valid record after a corrupt one, which distinguishes corruption from a torn write.
var (
	recordPrefix = []byte{0xd7, 'g', 'w'}
	// plainForm is the form of a body without recordPrefix; most have none.
	plainForm byte = 0x0a
	// escapedForm is that of a body in which prefixEscape stands for each recordPrefix.
	escapedForm  byte = 0x0b
	prefixEscape      = append(bytes.Clone(recordPrefix), 0)
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Log is the stored state of a replica: a snapshot file and a log file of the batches after it. A record in either is
// recordPrefix, its form, the body's length and its CRC-32C (4 bytes each, little endian), and the body.
type Log struct {
	folder *Folder
	file   *os.File // nil while a full disk prevents its creation
	bytes  int64    // size of the stored records in the log file
	// unclean is true while the file may have bytes after the stored records, or the folder's list of files is not synced.
	unclean bool
}

// Stored is the state read when a Log is opened.
type Stored struct {
	HardState *raft.HardState
	Snapshot  *raft.Snapshot
	Entries   []*raft.Entry
	// TruncatedBytes is the size of the torn tail that was truncated, 0 if there was none. TruncatedAt is its offset.
	TruncatedBytes int64
	TruncatedAt    int64
}

// Started reports whether a replica has stored any state.
func (s *Stored) Started() bool {
	return s.Snapshot != nil || s.HardState != nil || len(s.Entries) > 0
}

// OpenLog opens the log and reads the stored state. It truncates a torn last record, left by a crash during a write. It
// fails if an earlier record is corrupt. A full disk is no error: the log then refuses to append until Recover succeeds.
func OpenLog(f *Folder) (*Log, *Stored, error) {
	stored := &Stored{}
	if err := readSnapshot(f.Path, stored); err != nil {
		return nil, nil, err
	}
	path := filepath.Join(f.Path, logFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, err
	}
	validBytes, err := readBatches(data, stored)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	stored.TruncatedAt, stored.TruncatedBytes = validBytes, int64(len(data))-validBytes
	l := &Log{folder: f, bytes: validBytes, unclean: true}
	if err := l.Recover(); err != nil && !errors.Is(err, ErrFull) {
		return nil, nil, err
	}
	return l, stored, nil
}

// Recover truncates the log file to the stored records and syncs the file and the folder, after an append or a compaction
// that failed.
func (l *Log) Recover() error {
	if !l.unclean {
		return nil
	}
	if l.file == nil {
		file, err := os.OpenFile(filepath.Join(l.folder.Path, logFile), os.O_CREATE|os.O_RDWR, 0o640)
		if err != nil {
			return asFull(err)
		}
		l.file = file
	}
	if err := l.file.Truncate(l.bytes); err != nil {
		return asFull(err)
	}
	if _, err := l.file.Seek(l.bytes, 0); err != nil {
		return err
	}
	err := asFull(errors.Join(l.folder.sync(l.file), l.folder.syncEntries()))
	l.unclean = err != nil
	return err
}

// Stored reads the stored state again. Bytes after the stored records, which a failed append left, are not read.
func (l *Log) Stored() (*Stored, error) {
	stored := &Stored{}
	if err := readSnapshot(l.folder.Path, stored); err != nil {
		return nil, err
	}
	path := filepath.Join(l.folder.Path, logFile)
	data, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	if int64(len(data)) < l.bytes {
		return nil, corruptionError(path, len(data))
	}
	validBytes, err := readBatches(data[:l.bytes], stored)
	if err == nil && validBytes < l.bytes {
		err = corruptionError(path, int(validBytes))
	}
	return stored, err
}

// Append writes a batch to the log file and syncs it. After an error the batch is not stored, and the next call first
// truncates what was written of it.
func (l *Log) Append(b *raft.Batch) error {
	if err := l.Recover(); err != nil {
		return err
	}
	record, err := encodeRecord(b)
	if err != nil {
		return err
	}
	if _, err = l.folder.writeTo(l.file, record); err == nil {
		err = l.folder.sync(l.file)
	}
	if err != nil {
		l.unclean = true
		return asFull(errors.Join(err, l.Recover()))
	}
	l.bytes += int64(len(record))
	return nil
}

// Bytes returns the size of the log file, without the snapshot.
func (l *Log) Bytes() int64 {
	return l.bytes
}

// Compact replaces the stored state by a snapshot, the hard state and the entries after the snapshot.
// A crash between the two file writes leaves the new snapshot with the old log; replay skips the entries that the
// snapshot replaces. An error between them leaves the same, and the log takes appends again after Recover.
func (l *Log) Compact(s *raft.Snapshot, state *raft.HardState, entries []*raft.Entry) error {
	if err := l.Recover(); err != nil {
		return err
	}
	snapshot, err := encodeRecord(s)
	if err != nil {
		return err
	}
	l.unclean = true
	if err := l.folder.write(snapshotFile, snapshot); err != nil {
		return err
	}
	record, err := encodeRecord(&raft.Batch{HardState: state, Entries: entries})
	if err != nil {
		return err
	}
	replaced, err := l.folder.replace(logFile, record)
	if !replaced {
		return err
	}
	file, openErr := os.OpenFile(filepath.Join(l.folder.Path, logFile), os.O_RDWR|os.O_APPEND, 0o640)
	if openErr != nil {
		return errors.Join(err, openErr)
	}
	closeErr := l.file.Close()
	l.file = file
	l.bytes = int64(len(record))
	l.unclean = err != nil
	return errors.Join(err, closeErr)
}

// Close closes the log file.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}

// encodeRecord returns a record with the encoded message as its body.
func encodeRecord(m proto.Message) ([]byte, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	form := plainForm
	if bytes.Contains(body, recordPrefix) {
		body, form = bytes.ReplaceAll(body, recordPrefix, prefixEscape), escapedForm
	}
	record := make([]byte, headerBytes, headerBytes+len(body))
	record[copy(record, recordPrefix)] = form
	binary.LittleEndian.PutUint32(record[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(record[8:], crc32.Checksum(body, crcTable))
	return append(record, body...), nil
}

// decodeRecord returns the body and the size of the record at the start of data, and false if the record is incomplete or corrupt.
func decodeRecord(data []byte) (body []byte, size int, ok bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, recordPrefix) {
		return nil, 0, false
	}
	form, length := data[len(recordPrefix)], int64(binary.LittleEndian.Uint32(data[4:]))
	if (form != plainForm && form != escapedForm) || int64(len(data)) < headerBytes+length {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+length]
	if crc32.Checksum(body, crcTable) != binary.LittleEndian.Uint32(data[8:]) {
		return nil, 0, false
	}
	size = headerBytes + len(body)
	if form == escapedForm {
		body = bytes.ReplaceAll(body, prefixEscape, recordPrefix)
	}
	return body, size, true
}

func readSnapshot(folder string, stored *Stored) error {
	path := filepath.Join(folder, snapshotFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	body, _, ok := decodeRecord(data)
	if !ok {
		return corruptionError(path, 0)
	}
	stored.Snapshot = &raft.Snapshot{}
	return proto.Unmarshal(body, stored.Snapshot)
}

// readBatches replays the log into stored and returns the total size of the valid records.
func readBatches(data []byte, stored *Stored) (int64, error) {
	offset := 0
	for offset < len(data) {
		body, size, ok := decodeRecord(data[offset:])
		if !ok {
			if hasValidRecord(data[offset+1:]) {
				return 0, corruptionError(logFile, offset)
			}
			break
		}
		batch := &raft.Batch{}
		if err := proto.Unmarshal(body, batch); err != nil {
			return 0, corruptionError(logFile, offset)
		}
		if err := stored.replay(batch); err != nil {
			return 0, err
		}
		offset += size
	}
	return int64(offset), nil
}

// hasValidRecord reports whether a valid record starts anywhere in data. A body has no start of a record inside, unless it was
// written by a build that did not escape it.
func hasValidRecord(data []byte) bool {
	for {
		i := bytes.Index(data, recordPrefix)
		if i < 0 {
			return false
		}
		if _, _, ok := decodeRecord(data[i:]); ok {
			return true
		}
		data = data[i+1:]
	}
}

// replay applies a batch. Each entry replaces all entries from its index on. Entries up to the snapshot are skipped,
// and so are entries of a term before the snapshot's: they conflict with a snapshot installed from a leader.
func (s *Stored) replay(b *raft.Batch) error {
	if b.HardState != nil {
		s.HardState = b.HardState
	}
	for _, e := range b.Entries {
		if e.Index <= s.Snapshot.GetIndex() || e.Term < s.Snapshot.GetTerm() {
			continue
		}
		position := e.Index - s.Snapshot.GetIndex() - 1
		if position > uint64(len(s.Entries)) {
			return fmt.Errorf("entry %d is missing from the log; %s", s.Snapshot.GetIndex()+uint64(len(s.Entries))+1, corruptionRemedy)
		}
		s.Entries = append(s.Entries[:position], e)
	}
	return nil
}

const corruptionRemedy = "empty the data folder and start again: the VM then joins as a new replica and catches up from the others"

func corruptionError(file string, offset int) error {
	return fmt.Errorf("%s is corrupt at byte %d, before its last record; %s", file, offset, corruptionRemedy)
}
