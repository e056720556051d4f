package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// ErrFull is wrapped by errors of writes that failed only for a lack of space. The stored state is then as before the
// write, once Log.Recover and Folder.Recover succeed.
var ErrFull = errors.New("the disk refuses writes for a lack of space")

const (
	probeFile = "probe"
	// probeBytes is more than a typical batch of the log, so that a disk with a few free bytes does not count as
	// writable again and refuse the next batch.
	probeBytes = 64 << 10
)

// asFull wraps an error with ErrFull if all the errors joined in it are a lack of space, else returns it unchanged.
func asFull(err error) error {
	if err == nil || errors.Is(err, ErrFull) || !isLackOfSpace(err) {
		return err
	}
	return fmt.Errorf("%w: %w", ErrFull, err)
}

// isLackOfSpace reports whether all the errors joined in err are a lack of space. A full disk that also fails in another way
// is not writable again once space is freed.
func isLackOfSpace(err error) bool {
	switch e := err.(type) {
	case interface{ Unwrap() []error }:
		for _, joined := range e.Unwrap() {
			if !isLackOfSpace(joined) {
				return false
			}
		}
		return true
	case interface{ Unwrap() error }:
		return isLackOfSpace(e.Unwrap())
	}
	return err == ErrFull || err == io.ErrShortWrite || err == syscall.ENOSPC || err == syscall.EDQUOT
}

// Stored reports whether the folder's identity is stored. A new folder on a full disk has none yet, and must not take part in
// a group: after a restart it would have another one.
func (f *Folder) Stored() bool {
	return !f.unstored
}

// Recover checks that the folder takes writes, and stores its identity if that is still to be done.
func (f *Folder) Recover() error {
	if f.unstored {
		if err := f.create(); err != nil {
			return err
		}
	}
	return f.probe()
}

// create creates the folder and stores its identity.
func (f *Folder) create() error {
	if err := os.MkdirAll(f.Path, 0o750); err != nil {
		return asFull(fmt.Errorf("cannot create the data folder: %w; set --data_dir to a writable folder", err))
	}
	err := f.writeJSON(identityFile, f.Identity)
	f.unstored = err != nil
	return err
}

// probe writes, syncs and removes a file.
func (f *Folder) probe() error {
	path := filepath.Join(f.Path, probeFile)
	err := f.writeNew(path, make([]byte, probeBytes))
	return asFull(errors.Join(err, removeIfExists(path)))
}

// writeNew writes and syncs a file.
func (f *Folder) writeNew(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o640)
	if err != nil {
		return err
	}
	if _, err = f.writeTo(file, data); err == nil {
		err = f.sync(file)
	}
	return errors.Join(err, file.Close())
}

// replace atomically replaces a file in the folder and syncs the file and the folder. It reports whether the file was
// replaced, which may be so despite an error. A temporary file that was not completed is removed, since it takes space.
func (f *Folder) replace(name string, data []byte) (bool, error) {
	path := filepath.Join(f.Path, name)
	if err := f.writeNew(path+".new", data); err != nil {
		return false, asFull(errors.Join(err, removeIfExists(path+".new")))
	}
	if err := os.Rename(path+".new", path); err != nil {
		return false, asFull(err)
	}
	return true, f.syncEntries()
}

// syncEntries syncs the folder's list of files.
func (f *Folder) syncEntries() error {
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	return asFull(errors.Join(f.sync(d), d.Close()))
}

// writeTo writes data to a file within the limit.
func (f *Folder) writeTo(file *os.File, data []byte) (int, error) {
	if f.Limit == nil {
		return file.Write(data)
	}
	allowed, refusal := f.Limit(len(data))
	n, err := file.Write(data[:allowed])
	return n, errors.Join(err, refusal)
}

// sync syncs a file unless the limit refuses it.
func (f *Folder) sync(file *os.File) error {
	if f.Limit != nil {
		if _, err := f.Limit(0); err != nil {
			return err
		}
	}
	return file.Sync()
}

func removeIfExists(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}
