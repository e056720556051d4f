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

// Log sizes that trigger compaction into a snapshot.
const (
	compactionEntries = 500
	compactionBytes   = 16 << 20
)

// replica is this VM's member of the Raft group: the Raft core, its log on disk and the state machine.
type replica struct {
	core       *raft.Core
	machine    state.Machine
	log        *disk.Log
	applied    uint64
	waiters    map[string][]chan *state.Result
	lastRole   raft.Role
	lastLeader string
}

// openReplica starts the replica of the data folder, unless the folder has no group or is only prepared for one.
func (c *Control) openReplica() error {
	if c.Folder == nil {
		return nil
	}
	group, err := c.Folder.Group()
	if err != nil || group == nil {
		return err
	}
	log, stored, err := disk.OpenLog(c.Folder)
	if err != nil {
		return err
	}
	if stored.TruncatedBytes > 0 {
		c.Log.Log(event.TailTruncated, "offset", stored.TruncatedAt, "bytes", stored.TruncatedBytes)
	}
	prepared := len(group.Replicas) > 0
	if prepared && !stored.Started() {
		return log.Close()
	}
	c.startReplica(group.Group, log, stored)
	c.flushReplica()
	return c.fatalErr
}

func (c *Control) startReplica(group string, log *disk.Log, stored *disk.Stored) {
	r := &replica{
		core:    &raft.Core{ID: c.Folder.Identity.ReplicaID, Group: group},
		log:     log,
		waiters: make(map[string][]chan *state.Result),
	}
	r.core.Start(stored.HardState, stored.Snapshot, stored.Entries)
	c.replica = r
}

// flushReplica writes and syncs the core's output to disk before it sends messages and applies committed entries.
func (c *Control) flushReplica() {
	for c.replica != nil && c.fatalErr == nil && !c.diskFull.suspended && c.replica.core.HasOutput() {
		c.flushOutput()
	}
	if c.replica != nil {
		c.handleRoleChange(c.replica)
	}
}

func (c *Control) flushOutput() {
	r := c.replica
	out := r.core.Output()
	started := c.Clock.Now()
	stored, err := r.persist(out)
	if err != nil {
		c.handleLogError(err)
		return
	}
	if stored {
		c.Meter.RecordSync(c.Clock.Now().Sub(started))
	}
	r.core.Synced()
	for _, m := range out.Messages {
		c.sendMessage(m)
	}
	c.apply(out)
}

// takeReplies returns the messages that the replica has for another one, unless anything has to be stored first: the sender of the
// messages that they answer would wait for the disk.
func (c *Control) takeReplies(to string) []*raft.Message {
	if c.replica == nil || c.fatalErr != nil || c.diskFull.suspended || c.replica.core.HasUnstored() || !c.replica.core.HasOutput() {
		return nil
	}
	c.replyTo = to
	c.flushOutput()
	out := c.replies
	c.replyTo, c.replies = "", nil
	return out
}

// persist writes and syncs the core's output, and reports whether there was anything to write.
func (r *replica) persist(out raft.Output) (bool, error) {
	if out.Snapshot != nil {
		hardState := out.HardState
		if hardState == nil {
			hardState = r.core.HardState()
		}
		return true, r.log.Compact(out.Snapshot, hardState, out.Entries)
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
			c.fatalErr = fmt.Errorf("cannot decode the snapshot at entry %d: %w; empty the data folder and restart the VM", out.Restore.Index, err)
			return
		}
		r.applied = out.Restore.Index
		for _, d := range r.machine.Departures() {
			c.recordDeparture(d)
		}
		c.Log.Log(event.SnapshotInstalled, "index", r.applied)
	}
	for _, e := range out.Committed {
		c.applyEntry(e)
	}
	// A replica that is catching up applies old documents that were replaced later; these must not become active.
	if r.core.CaughtUp() {
		c.applyDocument(r.machine.Document())
	}
	c.adoptOwnEvacuations()
	c.compact()
}

func (c *Control) applyEntry(e *raft.Entry) {
	r := c.replica
	if e.Index != r.applied+1 {
		panic(fmt.Sprintf("entry %d does not follow the last applied entry %d", e.Index, r.applied))
	}
	r.applied = e.Index
	if e.Kind != raft.EntryKind_COMMAND {
		c.viewStale = true
		return
	}
	command := &state.Command{}
	if err := proto.Unmarshal(e.Data, command); err != nil {
		panic(fmt.Sprintf("cannot decode entry %d: %v", e.Index, err))
	}
	result := r.machine.Apply(command)
	if d := command.GetDeparture(); d != nil {
		c.recordDeparture(d)
	}
	for _, w := range r.waiters[command.Id] {
		w <- result
	}
	delete(r.waiters, command.Id)
}

// compact replaces the applied part of the log by a snapshot once the log is large enough. The core keeps its entries until
// the snapshot is stored, so that a full disk delays the compaction without effect on the replica.
func (c *Control) compact() {
	r := c.replica
	if c.fatalErr != nil || c.diskFull.active() || len(r.core.Entries()) < compactionEntries && r.log.Bytes() < compactionBytes {
		return
	}
	s := r.core.SnapshotAt(r.applied, r.machine.Image())
	if s == nil {
		return
	}
	if err := r.log.Compact(s, r.core.HardState(), r.core.StoredEntriesAfter(s.Index)); err != nil {
		c.handleWriteError("a snapshot", err)
		return
	}
	r.core.CompactTo(s)
	c.Log.Log(event.SnapshotTaken, "index", s.Index, "bytes", len(s.Data))
}

// handleRoleChange logs a change of role or leader. On loss of leadership it closes the channels of the waiting
// proposers, which then retry.
func (c *Control) handleRoleChange(r *replica) {
	status := r.core.Status()
	if status.Role == r.lastRole && status.Leader == r.lastLeader {
		return
	}
	if r.lastRole == raft.Leader && status.Role != raft.Leader {
		r.closeWaiters()
	}
	r.lastRole, r.lastLeader = status.Role, status.Leader
	c.viewStale = true
	c.Log.Log(event.RoleChanged, "role", status.Role.String(), "term", status.Term, "leader", status.Leader)
}

// closeWaiters closes the channels of all waiting proposers.
func (r *replica) closeWaiters() {
	for id, waiters := range r.waiters {
		for _, w := range waiters {
			close(w)
		}
		delete(r.waiters, id)
	}
}

// sendMessage queues a message to the VM of the receiving replica, and drops it if there is no peer for that VM. A message for the
// replica whose messages are being answered goes into the reply, unless it has entries: those would overtake queued ones.
func (c *Control) sendMessage(m *raft.Message) {
	if m.To == c.replyTo && m.Kind == raft.MessageKind_APPEND_REPLY {
		c.replies = append(c.replies, m)
		return
	}
	name := c.vmForReplica(m.To)
	if p := c.peerFor(name); p != nil {
		p.enqueue(m)
	}
}

func (c *Control) vmForReplica(id string) string {
	if c.replica != nil {
		for _, r := range c.replica.core.Status().Membership.GetReplicas() {
			if r.Id == id {
				return r.Vm
			}
		}
	}
	for _, v := range c.vms.Sorted() {
		if v.ReplicaID == id {
			return v.Name
		}
	}
	return ""
}

// handleMessage passes a message to the Raft core. A data folder without a group joins the group whose messages are
// addressed to its replica id.
func (c *Control) handleMessage(m *raft.Message) {
	if c.Folder == nil || m.To != c.Folder.Identity.ReplicaID || c.diskFull.suspended {
		return
	}
	if c.replica == nil {
		c.joinGroup(m)
	}
	if c.replica != nil {
		c.replica.core.Step(m)
	}
}

// joinGroup starts a replica on a message for a data folder without one. It starts the group that the folder is
// prepared for, or else joins the group of a leader's message.
func (c *Control) joinGroup(m *raft.Message) {
	prepared, err := c.Folder.Group()
	if err != nil {
		c.fatalErr = err
		return
	}
	if prepared != nil && len(prepared.Replicas) > 0 {
		// The START step of a prepared group did not arrive, but other voters already run the group.
		if prepared.Group == m.Group {
			c.handleJoinError(c.startGroup(prepared))
		}
		return
	}
	if m.Kind != raft.MessageKind_APPEND && m.Kind != raft.MessageKind_SNAPSHOT {
		return
	}
	if err := c.Folder.SetGroup(&raft.Membership{Group: m.Group}); err != nil {
		c.handleJoinError(err)
		return
	}
	log, stored, err := disk.OpenLog(c.Folder)
	if err != nil {
		c.fatalErr = err
		return
	}
	c.startReplica(m.Group, log, stored)
}

func (r *replica) close(failure error) error {
	return errors.Join(failure, r.log.Close())
}
