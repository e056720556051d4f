package disk

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/raft"
)

func entry(index, term uint64) *raft.Entry {
	return &raft.Entry{Index: index, Term: term, Data: []byte("data")}
}

// newFilledFolder returns a folder whose log has three batches of one entry each, and the log's size after each batch.
func newFilledFolder(t *testing.T) (*Folder, []int64) {
	t.Helper()
	is := is.New(t)
	f, err := Open(t.TempDir(), "vm-a")
	is.NoErr(err)
	l, _, err := OpenLog(f)
	is.NoErr(err)
	var sizes []int64
	for i := range uint64(3) {
		is.NoErr(l.Append(&raft.Batch{HardState: &raft.HardState{Term: 1, Commit: i}, Entries: []*raft.Entry{entry(i+1, 1)}}))
		sizes = append(sizes, l.Bytes())
	}
	is.NoErr(l.Close())
	return f, sizes
}

// modifyLog rewrites the log file with the bytes that change returns.
func modifyLog(t *testing.T, f *Folder, change func(data []byte) []byte) {
	t.Helper()
	path := filepath.Join(f.Path, logFile)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(data), 0o640); err != nil {
		t.Fatal(err)
	}
}

func TestOpenLog(t *testing.T) {
	for _, c := range []struct {
		name      string
		change    func(data []byte, sizes []int64) []byte
		entries   int
		wantError bool
	}{
		{"intact", func(d []byte, _ []int64) []byte { return d }, 3, false},
		{"torn in the last body", func(d []byte, _ []int64) []byte { return d[:len(d)-3] }, 2, false},
		{"torn in the last header", func(d []byte, s []int64) []byte { return d[:s[1]+5] }, 2, false},
		{"garbage after the end", func(d []byte, _ []int64) []byte { return append(d, "garbage"...) }, 3, false},
		{"zeros after the end", func(d []byte, _ []int64) []byte { return append(d, make([]byte, 4096)...) }, 3, false},
		{"last record corrupt", func(d []byte, _ []int64) []byte { d[len(d)-1]++; return d }, 2, false},
		{"first record corrupt", func(d []byte, s []int64) []byte { d[s[0]-1]++; return d }, 0, true},
		{"length of the second record corrupt", func(d []byte, s []int64) []byte { d[s[0]+4]++; return d }, 0, true},
		{"magic of the second record corrupt", func(d []byte, s []int64) []byte { d[s[0]]++; return d }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, sizes := newFilledFolder(t)
			modifyLog(t, f, func(d []byte) []byte { return c.change(d, sizes) })
			l, stored, err := OpenLog(f)
			if c.wantError {
				is.True(err != nil && strings.Contains(err.Error(), "corrupt"))
				is.True(strings.Contains(err.Error(), "empty the data folder")) // the remedy
				return
			}
			is.NoErr(err)
			is.Equal(len(stored.Entries), c.entries)
			// An entry appended after the truncation is read back.
			is.NoErr(l.Append(&raft.Batch{Entries: []*raft.Entry{entry(uint64(c.entries)+1, 2)}}))
			is.NoErr(l.Close())
			_, stored, err = OpenLog(f)
			is.NoErr(err)
			is.Equal(len(stored.Entries), c.entries+1)
		})
	}
}

func TestOverwrittenEntries(t *testing.T) {
	is := is.New(t)
	f, _ := newFilledFolder(t)
	l, _, err := OpenLog(f)
	is.NoErr(err)
	is.NoErr(l.Append(&raft.Batch{Entries: []*raft.Entry{entry(2, 5)}}))
	is.NoErr(l.Close())
	_, stored, err := OpenLog(f)
	is.NoErr(err)
	is.Equal(len(stored.Entries), 2)
	is.Equal(stored.Entries[1].Term, uint64(5))
}

// A crash in Compact between the two file writes leaves the new snapshot with the old log. Only entries that follow the
// snapshot and do not conflict with it may be kept.
func TestCrashBetweenSnapshotAndLog(t *testing.T) {
	is := is.New(t)
	for _, snapshot := range []*raft.Snapshot{
		{Index: 2, Term: 1}, // compacted locally: the third entry is kept
		{Index: 2, Term: 4}, // installed from a leader: the third entry conflicts with it
		{Index: 9, Term: 4}, // installed past the end of the log
	} {
		f, _ := newFilledFolder(t)
		record, err := encodeRecord(snapshot)
		is.NoErr(err)
		is.NoErr(f.write(snapshotFile, record))
		_, stored, err := OpenLog(f)
		is.NoErr(err)
		is.Equal(stored.Snapshot.Index, snapshot.Index)
		want := 0
		if snapshot.Term == 1 {
			want = 1
		}
		is.Equal(len(stored.Entries), want)
	}
}

func TestIdentity(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, err := Open(dir, "vm-a")
	is.NoErr(err)
	reopened, err := Open(dir, "vm-a")
	is.NoErr(err)
	is.Equal(first.Identity, reopened.Identity)
	_, err = Open(dir, "vm-b")
	is.True(err != nil) // the folder belongs to another VM
	other, err := Open(t.TempDir(), "vm-a")
	is.NoErr(err)
	is.True(other.Identity.ReplicaID != first.Identity.ReplicaID) // an empty folder is a new replica
}
