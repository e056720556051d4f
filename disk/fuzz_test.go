package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"

	"godwitplank/raft"
)

// Any log and snapshot files are refused, or what was read from them is read again after an append, with the new entry.
func FuzzOpenLog(f *testing.F) {
	batch, err := encodeRecord(&raft.Batch{HardState: &raft.HardState{Term: 2, Commit: 6}, Entries: []*raft.Entry{entry(6, 2), entry(7, 2)}})
	if err != nil {
		f.Fatal(err)
	}
	snapshot, err := encodeRecord(&raft.Snapshot{Index: 5, Term: 1, Data: []byte("image")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(batch, snapshot)
	f.Add(append(batch, batch[:20]...), snapshot)
	f.Add([]byte("garbage"), []byte{})
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		folder, err := Open(t.TempDir(), "vm-a")
		if err != nil {
			t.Fatal(err)
		}
		// Bodies with a valid checksum reach the decoder.
		for name, data := range map[string][]byte{logFile: withChecksum(log), snapshotFile: withChecksum(snapshot)} {
			if len(data) > 0 && os.WriteFile(filepath.Join(folder.Path, name), data, 0o600) != nil {
				t.Fatal("cannot write the files")
			}
		}
		l, stored, err := OpenLog(folder)
		if err != nil {
			return
		}
		next := stored.Snapshot.GetIndex() + uint64(len(stored.Entries)) + 1
		if err := l.Append(&raft.Batch{Entries: []*raft.Entry{entry(next, max(stored.Snapshot.GetTerm(), 3))}}); err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		l, again, err := OpenLog(folder)
		if err != nil {
			t.Fatalf("what was accepted is refused after an append: %v", err)
		}
		defer l.Close()
		if len(again.Entries) != len(stored.Entries)+1 || !proto.Equal(again.Snapshot, stored.Snapshot) || !proto.Equal(again.HardState, stored.HardState) {
			t.Fatalf("%d entries after %d and an append", len(again.Entries), len(stored.Entries))
		}
	})
}

// withChecksum makes bytes of even length a valid record.
func withChecksum(data []byte) []byte {
	if len(data) < headerBytes || len(data)%2 == 1 {
		return data
	}
	out := bytes.Clone(data)
	out[copy(out, recordPrefix)] = plainForm
	binary.LittleEndian.PutUint32(out[4:], uint32(len(out)-headerBytes))
	binary.LittleEndian.PutUint32(out[8:], crc32.Checksum(out[headerBytes:], crcTable))
	return out
}
