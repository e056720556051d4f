package disk

import (
	"bytes"
	"encoding/binary"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/raft"
)

// appendTorn appends a record with content to a log, without its last byte.
func appendTorn(t *testing.T, f *Folder, content []byte) {
	t.Helper()
	record, err := encodeRecord(&raft.Batch{Entries: []*raft.Entry{{Index: 4, Term: 1, Data: content}}})
	if err != nil {
		t.Fatal(err)
	}
	modifyLog(t, f, func(data []byte) []byte { return append(data, record[:len(record)-1]...) })
}

// A torn record whose content looks like the starts of records, as a caller's request may, is read in a time in proportion to its size.
// Each of them had its checksum computed up to the end of the file.
func TestTornRecordOfRecordStarts(t *testing.T) {
	is := is.New(t)
	f, sizes := newFilledFolder(t)
	content := make([]byte, 4<<20/headerBytes*headerBytes)
	for i := 0; i < len(content); i += headerBytes {
		content[i+copy(content[i:], recordPrefix)] = plainForm
		binary.LittleEndian.PutUint32(content[i+4:], uint32((len(content)-i)/2))
	}
	appendTorn(t, f, content)
	started := time.Now()
	l, stored, err := OpenLog(f)
	is.NoErr(err)
	defer l.Close()
	is.Equal(len(stored.Entries), 3)
	is.Equal(l.Bytes(), sizes[2])
	if took := time.Since(started); took > 5*time.Second {
		t.Fatalf("reading the log took %v", took)
	}
}

// A torn record whose content has a valid record inside is a torn record. It was taken for a corrupt one, so that the VM did not start
// until its data folder was emptied.
func TestTornRecordAroundRecord(t *testing.T) {
	is := is.New(t)
	f, _ := newFilledFolder(t)
	inside, err := encodeRecord(&raft.Batch{Entries: []*raft.Entry{entry(9, 9)}})
	is.NoErr(err)
	appendTorn(t, f, slices.Concat([]byte("input "), inside, []byte(" more")))
	l, stored, err := OpenLog(f)
	is.NoErr(err)
	is.Equal(len(stored.Entries), 3)
	is.NoErr(l.Close())
}

// Content that has starts of records inside is stored and read as it is, in the log and in the snapshot.
func TestRecordContent(t *testing.T) {
	start := append(bytes.Clone(recordPrefix), plainForm)
	escapedStart := append(bytes.Clone(recordPrefix), escapedForm)
	for name, content := range map[string][]byte{
		"nothing special":   []byte("data"),
		"a prefix":          recordPrefix,
		"an escape":         prefixEscape,
		"starts of records": slices.Concat(start, start, escapedStart, []byte("x"), start),
		"a half prefix":     slices.Concat(recordPrefix[:2], start, recordPrefix[:1]),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, _ := newFilledFolder(t)
			l, _, err := OpenLog(f)
			is.NoErr(err)
			snapshot := &raft.Snapshot{Index: 3, Term: 1, Data: content}
			is.NoErr(l.Compact(snapshot, &raft.HardState{Term: 1}, nil))
			is.NoErr(l.Append(&raft.Batch{Entries: []*raft.Entry{{Index: 4, Term: 1, Data: content}}}))
			size := l.Bytes()
			is.NoErr(l.Append(&raft.Batch{Entries: []*raft.Entry{entry(5, 1)}}))
			is.NoErr(l.Close())
			l, stored, err := OpenLog(f)
			is.NoErr(err)
			is.Equal(stored.Snapshot.Data, content)
			is.Equal(len(stored.Entries), 2)
			is.Equal(stored.Entries[0].Data, content)
			is.NoErr(l.Close())
			modifyLog(t, f, func(data []byte) []byte { data[size-1]++; return data }) // not the last record
			_, _, err = OpenLog(f)
			is.True(err != nil)
		})
	}
}
