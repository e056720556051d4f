package disk

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"godwitplank/raft"
)

// limitTo returns a limit that lets a number of bytes pass, and then refuses writes and syncs with an error.
func limitTo(bytes int, refusal error) func(int) (int, error) {
	return func(n int) (int, error) {
		allowed := min(n, bytes)
		bytes -= allowed
		if allowed < n || bytes == 0 {
			return allowed, refusal
		}
		return allowed, nil
	}
}

// Appends and compactions that a full disk interrupts at any byte leave what was stored before, also after a restart, and the
// log takes appends again once there is space.
func TestFullDiskKeepsStoredState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		dir, err := os.MkdirTemp("", "disk")
		is.NoErr(err)
		defer func() { _ = os.RemoveAll(dir) }()
		f, err := Open(dir, "vm-a")
		is.NoErr(err)
		l, _, err := OpenLog(f)
		is.NoErr(err)
		var last, base uint64 // last stored entry, and the snapshot's index
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				f.Limit = limitTo(rapid.IntRange(0, 200).Draw(t, "bytes"), &os.PathError{Op: "write", Err: syscall.ENOSPC})
			case 1:
				f.Limit = nil
				is.NoErr(f.Recover())
				is.NoErr(l.Recover())
			case 2:
				err := l.Append(&raft.Batch{HardState: &raft.HardState{Term: last + 1}, Entries: []*raft.Entry{entry(last+1, last+1)}})
				is.True(err == nil || errors.Is(err, ErrFull))
				is.True(err == nil || f.Limit != nil)
				if err == nil {
					last++
				}
			case 3:
				if base == last {
					continue
				}
				err := l.Compact(&raft.Snapshot{Index: last, Term: last}, &raft.HardState{Term: last}, nil)
				is.True(err == nil || errors.Is(err, ErrFull))
				if err == nil {
					base = last
				}
			case 4:
				is.NoErr(l.Close())
				l, _, err = OpenLog(f)
				is.NoErr(err)
			}
			stored, err := l.Stored()
			is.NoErr(err)
			is.True(stored.Snapshot.GetIndex() >= base)
			is.Equal(stored.Snapshot.GetIndex()+uint64(len(stored.Entries)), last)
			is.Equal(stored.HardState.GetTerm(), last)
		}
	})
}

// A write that fails in another way than by a lack of space is not taken for a full disk, even if space is lacking too.
func TestOnlyLackOfSpaceIsFull(t *testing.T) {
	is := is.New(t)
	for refusal, full := range map[error]bool{
		syscall.ENOSPC: true, syscall.EDQUOT: true, syscall.EIO: false, syscall.EROFS: false,
	} {
		f, err := Open(t.TempDir(), "vm-a")
		is.NoErr(err)
		f.Limit = limitTo(3, refusal)
		err = f.Write("document", []byte("content"))
		is.Equal(errors.Is(err, ErrFull), full)
		is.True(errors.Is(err, refusal))
		_, err = os.Stat(filepath.Join(f.Path, "document.new"))
		is.True(errors.Is(err, os.ErrNotExist)) // it would take space
	}
	is.True(!errors.Is(asFull(errors.Join(syscall.ENOSPC, syscall.EIO)), ErrFull))
}

// A new folder on a full disk opens without a stored identity, and stores it later.
func TestNewFolderOnFullDisk(t *testing.T) {
	is := is.New(t)
	f := &Folder{Path: t.TempDir(), Limit: limitTo(0, syscall.ENOSPC)}
	is.NoErr(f.Init("vm-a", "replica"))
	is.True(!f.Stored())
	is.True(errors.Is(f.Recover(), ErrFull))
	f.Limit = nil
	is.NoErr(f.Recover())
	is.True(f.Stored())
	reopened, err := Open(f.Path, "vm-a")
	is.NoErr(err)
	is.Equal(reopened.Identity.ReplicaID, "replica")
}
