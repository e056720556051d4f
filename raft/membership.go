package raft

import "google.golang.org/protobuf/proto"

func (c *Core) isVoter(id string) bool {
	for _, r := range c.membership.GetReplicas() {
		if r.Id == id {
			return !r.Learner
		}
	}
	return false
}

func (c *Core) quorum() int {
	return Quorum(c.membership)
}

// Quorum returns the smallest number of voters that is a majority.
func Quorum(m *Membership) int {
	return Voters(m)/2 + 1
}

// Voters returns the number of voting replicas, without learners.
func Voters(m *Membership) int {
	voters := 0
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			voters++
		}
	}
	return voters
}

// ProposeMembership appends a membership that differs from the current one by at most one voter.
// It returns false if this replica is not the leader or is transferring leadership, if the leader has not committed an
// entry of its term, if another change is uncommitted, or if more than one voter changes.
func (c *Core) ProposeMembership(next *Membership) bool {
	if c.role != Leader || c.transferee != "" || c.commit < c.termStartIndex || !c.membershipCommitted() {
		return false
	}
	if votersChanged(c.membership, next) > 1 {
		return false
	}
	data, err := proto.Marshal(next)
	invariant(err == nil, "cannot encode a membership: %v", err)
	c.appendEntry(EntryKind_MEMBERSHIP, data)
	c.membership = next
	c.updateProgress()
	c.broadcastAppend()
	return true
}

// membershipCommitted reports whether the latest membership in the log is committed.
func (c *Core) membershipCommitted() bool {
	for _, e := range c.log.slice(max(c.commit, c.log.base.Index)+1, c.log.last()) {
		if e.Kind == EntryKind_MEMBERSHIP {
			return false
		}
	}
	return true
}

// votersChanged counts the voters that are in only one of the two memberships.
func votersChanged(from, to *Membership) int {
	diff := make(map[string]int)
	for _, r := range from.GetReplicas() {
		if !r.Learner {
			diff[r.Id]++
		}
	}
	for _, r := range to.GetReplicas() {
		if !r.Learner {
			diff[r.Id]--
		}
	}
	changed := 0
	for _, n := range diff {
		if n != 0 {
			changed++
		}
	}
	return changed
}

// updateProgress matches the progress map to the membership: it adds new replicas and removes those that left.
func (c *Core) updateProgress() {
	old := c.progress
	c.progress = make(map[string]*progress)
	for _, r := range c.membership.Replicas {
		c.progress[r.Id] = old[r.Id]
		if c.progress[r.Id] == nil {
			c.progress[r.Id] = &progress{next: c.log.last() + 1, recentlyActive: true, ticksSinceReply: c.ElectionTicks}
		}
	}
	if c.progress[c.ID] == nil {
		c.progress[c.ID] = &progress{}
	}
}

// TransferLeadership starts a leadership transfer to a voter. It returns false if this replica is not the leader or id
// is not another voter. Proposals are refused until the voter takes over or the transfer times out after ElectionTicks.
func (c *Core) TransferLeadership(id string) bool {
	if c.role != Leader || id == c.ID || !c.isVoter(id) {
		return false
	}
	c.transferee = id
	c.transferElapsed = 0
	c.continueTransfer(id, c.progress[id])
	return true
}

// continueTransfer tells the transferee to start an election once it has the whole log, and sends it entries until
// then.
func (c *Core) continueTransfer(id string, p *progress) {
	if c.transferee != id {
		return
	}
	if p.match == c.log.last() {
		c.send(&Message{Kind: MessageKind_TIMEOUT_NOW, To: id})
		return
	}
	c.sendAppend(id)
}

// Compact replaces the applied entries up to index by a snapshot of the state machine at index. The driver has to store
// the returned snapshot, which is nil if the log is compacted up to index already.
func (c *Core) Compact(index uint64, data []byte) *Snapshot {
	s := c.SnapshotAt(index, data)
	if s != nil {
		c.log.compact(s)
	}
	return s
}

// SnapshotAt returns what Compact returns without compacting, for a driver that stores the snapshot first. CompactTo
// follows once it is stored.
func (c *Core) SnapshotAt(index uint64, data []byte) *Snapshot {
	invariant(index <= c.delivered, "entry %d is not applied yet", index)
	if index <= c.log.base.Index {
		return nil
	}
	term, _ := c.log.term(index)
	return &Snapshot{Index: index, Term: term, Membership: c.log.membershipAt(index), Data: data}
}

// CompactTo replaces the entries up to a snapshot of SnapshotAt by the snapshot.
func (c *Core) CompactTo(s *Snapshot) {
	c.log.compact(s)
}

// HandOver returns a message that makes the alive voter with the longest replicated log start an election at once, for a
// leader that can no longer store entries. It returns nil unless this replica leads and has a reply of such a voter. A reply
// implies that the leader's term is stored.
func (c *Core) HandOver(alive map[string]bool) *Message {
	if c.role != Leader {
		return nil
	}
	best, match := "", uint64(0)
	for _, r := range c.membership.Replicas {
		if p := c.progress[r.Id]; !r.Learner && r.Id != c.ID && alive[r.Id] && p != nil && p.match > match {
			best, match = r.Id, p.match
		}
	}
	if best == "" {
		return nil
	}
	return &Message{Kind: MessageKind_TIMEOUT_NOW, Group: c.Group, From: c.ID, To: best, Term: c.term}
}

// Status is a copy of a replica's state. Commit is the index of the last committed entry, Last that of the last entry.
type Status struct {
	ID         string
	Role       Role
	Term       uint64
	Leader     string
	Commit     uint64
	Last       uint64
	Membership *Membership
	// MembershipStable is true if the latest membership is committed and, on a leader, an entry of its term is committed
	// too, so that the membership may be changed.
	MembershipStable bool
	// Match has the index of the last entry that each replica is known to have synced, by replica id; nil unless
	// leader.
	Match map[string]uint64
	// RecentlyActive is true for each replica that replied within the last ElectionTicks/2 ticks; nil unless leader.
	RecentlyActive map[string]bool
}

// Status returns the replica's current state.
func (c *Core) Status() Status {
	s := Status{
		ID: c.ID, Role: c.role, Term: c.term, Leader: c.leader, Commit: c.commit,
		Last: c.log.last(), Membership: c.membership,
		MembershipStable: c.membershipCommitted() && (c.role != Leader || c.commit >= c.termStartIndex),
	}
	if c.role == Leader {
		s.Match = make(map[string]uint64, len(c.progress))
		s.RecentlyActive = make(map[string]bool, len(c.progress))
		for id, p := range c.progress {
			s.Match[id] = p.match
			s.RecentlyActive[id] = id == c.ID || p.ticksSinceReply <= c.ElectionTicks/2
		}
	}
	return s
}

// Entries returns the entries after the snapshot, for a driver that rewrites its log files.
func (c *Core) Entries() []*Entry {
	return c.log.entries
}

// StoredEntriesAfter returns the stored entries after an index.
func (c *Core) StoredEntriesAfter(index uint64) []*Entry {
	return c.StoredEntries()[index-c.log.base.Index:]
}

// StoredEntries returns the entries after the snapshot that Output has returned for storage.
func (c *Core) StoredEntries() []*Entry {
	return c.log.entries[:c.log.firstUnstored-c.log.base.Index-1]
}

// HardState returns the state that Output last returned for storage.
func (c *Core) HardState() *HardState {
	return &HardState{Term: c.storedState.Term, Vote: c.storedState.Vote, Commit: c.storedState.Commit}
}
