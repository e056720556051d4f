// Package disk stores a replica's state in its data folder. Writes return only after file and folder are synced.
package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"google.golang.org/protobuf/encoding/protojson"

	"godwitplank/raft"
)

const (
	identityFile = "identity.json"
	groupFile    = "group.json"
)

// Identity identifies a data folder. It is created with the folder and never changes.
type Identity struct {
	ReplicaID string `json:"replica_id"`
	VM        string `json:"vm"`
}

// Folder is an open data folder of one VM.
type Folder struct {
	Path     string
	Identity Identity
	// Limit is called before each write with its size, and with 0 before each sync. It returns how many bytes to write,
	// and the error to return after them. Tests set it to simulate a full disk; nil means no limit.
	Limit func(bytes int) (int, error)

	unstored bool // the identity could not be stored yet
}

// Open opens the data folder of a VM. It creates a missing folder and gives a new one a random replica id.
func Open(path, vm string) (*Folder, error) {
	return OpenWithReplicaID(path, vm, uuid.NewString())
}

// OpenWithReplicaID is like Open but gives a new folder the replica id replicaID. It fails if the folder belongs to
// another VM.
func OpenWithReplicaID(path, vm, replicaID string) (*Folder, error) {
	f := &Folder{Path: path}
	return f, f.Init(vm, replicaID)
}

// Init reads the identity of the folder at Path, or creates the folder. On a full disk the folder is created later, by
// Recover. It fails if the folder belongs to another VM.
func (f *Folder) Init(vm, replicaID string) error {
	err := f.readJSON(identityFile, &f.Identity)
	if errors.Is(err, fs.ErrNotExist) {
		f.Identity = Identity{ReplicaID: replicaID, VM: vm}
		f.unstored = true
		if err = f.create(); errors.Is(err, ErrFull) {
			err = nil
		}
	}
	if err != nil {
		return err
	}
	if f.Identity.VM != vm {
		return fmt.Errorf("the data folder belongs to VM %q, not %q; set --data_dir to this VM's own folder", f.Identity.VM, vm)
	}
	return nil
}

// Group returns the Raft group that this folder was prepared for or takes part in, or nil if there is none.
func (f *Folder) Group() (*raft.Membership, error) {
	data, err := os.ReadFile(filepath.Join(f.Path, groupFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	m := &raft.Membership{}
	return m, protojson.Unmarshal(data, m)
}

// SetGroup stores the Raft group that this folder takes part in; nil removes a prepared group that was never started.
func (f *Folder) SetGroup(m *raft.Membership) error {
	if m == nil {
		if err := os.Remove(filepath.Join(f.Path, groupFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return f.syncEntries()
	}
	data, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	return f.write(groupFile, data)
}

func (f *Folder) readJSON(name string, value any) error {
	data, err := os.ReadFile(filepath.Join(f.Path, name))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, value)
}

func (f *Folder) writeJSON(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return f.write(name, data)
}

// Read returns the content of a file in the folder, or nil if the file does not exist.
func (f *Folder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Join(f.Path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// Write atomically replaces a file in the folder and syncs the file and the folder.
func (f *Folder) Write(name string, data []byte) error {
	return f.write(name, data)
}

func (f *Folder) write(name string, data []byte) error {
	_, err := f.replace(name, data)
	return err
}
