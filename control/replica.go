package control

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwitplank/disk"
	"godwitplank/event"
	"godwitplank/raft"
	"godwitplank/state"
)

// Sizes at which the log is compacted.
const (
	compactEntries = 500
	compactBytes   = 16 << 20
)

// replica drives the replication core with the data folder's log.
type replica struct {
	core    *raft.Core
	machine state.Machine
	log     *disk.Log
	applied uint64
	waiters map[string][]chan *state.Result
	role    raft.Role
	leader  string
}

// openReplica starts the replica of a data folder that takes part in a group.
func (c *Control) openReplica() error {
	if c.Folder == nil {
		return nil
	}
	group, err := c.Folder.Group()
	if err != nil || group == nil {
		return err
	}
	l, stored, err := disk.OpenLog(c.Folder)
	if err != nil {
		return err
	}
	if stored.CutBytes > 0 {
		c.Log.Log(event.TailCut, "offset", stored.CutAt, "bytes", stored.CutBytes)
	}
	started := stored.Snapshot != nil || stored.HardState != nil || len(stored.Entries) > 0
	prepared := len(group.Replicas) > 0
	if prepared && !started {
		return l.Close()
	}
	c.startReplica(group.Group, l, stored)
	c.flushReplica()
	return c.failure
}

func (c *Control) startReplica(group string, l *disk.Log, stored *disk.Stored) {
	r := &replica{
		core:    &raft.Core{ID: c.Folder.Identity.ReplicaID, Group: group},
		log:     l,
		waiters: make(map[string][]chan *state.Result),
	}
	r.core.Start(stored.HardState, stored.Snapshot, stored.Entries)
	c.replica = r
}

// flushReplica stores and syncs what the core changed, and only then sends and applies.
func (c *Control) flushReplica() {
	r := c.replica
	for r != nil && c.failure == nil && r.core.Pending() {
		out := r.core.Output()
		begun := c.Clock.Now()
		stored, err := r.store(out)
		if err != nil {
			c.failure = fmt.Errorf("cannot store the replicated log: %w; mend the disk and start the VM again", err)
			return
		}
		if stored {
			c.Meter.Sync(c.Clock.Now().Sub(begun))
		}
		r.core.Synced()
		for _, m := range out.Messages {
			c.post(m)
		}
		c.apply(out)
	}
	if r != nil {
		c.noteRole(r)
	}
}

// store writes and syncs what changed, and reports whether there was anything.
func (r *replica) store(out raft.Output) (bool, error) {
	if out.Snapshot != nil {
		state := out.HardState
		if state == nil {
			state = r.core.HardState()
		}
		return true, r.log.Compact(out.Snapshot, state, out.Entries)
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return false, nil
	}
	return true, r.log.Append(&raft.Batch{HardState: out.HardState, Entries: out.Entries})
}

func (c *Control) apply(out raft.Output) {
	r := c.replica
	if out.Restore != nil {
		if err := r.machine.Restore(out.Restore.Data); err != nil {
			c.failure = fmt.Errorf("the snapshot at entry %d does not decode: %w; empty the data folder and start again", out.Restore.Index, err)
			return
		}
		r.applied = out.Restore.Index
		c.Log.Log(event.SnapshotInstalled, "index", r.applied)
	}
	for _, e := range out.Committed {
		c.applyEntry(e)
	}
	// A replica that catches up passes through documents that were replaced long ago.
	if r.core.CaughtUp() {
		c.adopt(r.machine.Document())
	}
	c.compact()
}

func (c *Control) applyEntry(e *raft.Entry) {
	r := c.replica
	if e.Index != r.applied+1 {
		panic(fmt.Sprintf("entry %d is applied after entry %d", e.Index, r.applied))
	}
	r.applied = e.Index
	if e.Kind != raft.EntryKind_COMMAND {
		c.dirty = true
		return
	}
	command := &state.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		panic(fmt.Sprintf("entry %d does not decode: %v", e.Index, err))
	}
	result := r.machine.Apply(command)
	for _, w := range r.waiters[command.Id] {
		w <- result
	}
	delete(r.waiters, command.Id)
}

func (c *Control) compact() {
	r := c.replica
	if c.failure != nil || len(r.core.Entries()) < compactEntries && r.log.Bytes() < compactBytes {
		return
	}
	s := r.core.Compact(r.applied, r.machine.Image())
	if s == nil {
		return
	}
	if err := r.log.Compact(s, r.core.HardState(), r.core.StoredEntries()); err != nil {
		c.failure = fmt.Errorf("cannot store a snapshot: %w; mend the disk and start the VM again", err)
		return
	}
	c.Log.Log(event.SnapshotTaken, "index", s.Index, "bytes", len(s.Data))
}

// noteRole wakes the proposers of a replica that is leader no more.
func (c *Control) noteRole(r *replica) {
	status := r.core.Status()
	if status.Role == r.role && status.Leader == r.leader {
		return
	}
	if r.role == raft.Leader && status.Role != raft.Leader {
		for id, waiters := range r.waiters {
			for _, w := range waiters {
				close(w)
			}
			delete(r.waiters, id)
		}
	}
	r.role, r.leader = status.Role, status.Leader
	c.dirty = true
	c.Log.Log(event.RoleChanged, "role", status.Role.String(), "term", status.Term, "leader", status.Leader)
}

// post queues a message for the VM that holds the replica it goes to.
func (c *Control) post(m *raft.Message) {
	name := c.vmOfReplica(m.To)
	if p := c.peerOf(name); p != nil {
		p.post(m)
	}
}

func (c *Control) vmOfReplica(id string) string {
	if c.replica != nil {
		for _, r := range c.replica.core.Status().Membership.GetReplicas() {
			if r.Id == id {
				return r.Vm
			}
		}
	}
	for _, v := range c.vms.Entries() {
		if v.ReplicaID == id {
			return v.Name
		}
	}
	return ""
}

// takeMessage hands a message to the core. A data folder without a group joins the one that addresses its replica id.
func (c *Control) takeMessage(m *raft.Message) {
	if c.Folder == nil || m.To != c.Folder.Identity.ReplicaID {
		return
	}
	if c.replica == nil {
		c.joinGroup(m)
	}
	if c.replica != nil {
		c.replica.core.Step(m)
	}
}

func (c *Control) joinGroup(m *raft.Message) {
	prepared, err := c.Folder.Group()
	if err != nil {
		c.failure = err
		return
	}
	if prepared != nil && len(prepared.Replicas) > 0 {
		// The start of a prepared group was lost; the others run already.
		if prepared.Group == m.Group {
			c.failure = c.startGroup(prepared)
		}
		return
	}
	if m.Kind != raft.MessageKind_APPEND && m.Kind != raft.MessageKind_SNAPSHOT {
		return
	}
	if err := c.Folder.SetGroup(&raft.Membership{Group: m.Group}); err != nil {
		c.failure = err
		return
	}
	l, stored, err := disk.OpenLog(c.Folder)
	if err != nil {
		c.failure = err
		return
	}
	c.startReplica(m.Group, l, stored)
}

func (r *replica) close(failure error) error {
	return errors.Join(failure, r.log.Close())
}
