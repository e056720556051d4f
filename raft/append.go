package raft

import "slices"

// progress is a leader's view of one replica's log.
type progress struct {
	match           uint64 // index of the last entry known to be synced
	next            uint64 // index of the next entry to send
	recentlyActive  bool   // replied since the last quorum check
	ticksSinceReply int
	snapshotBackoff int // appends to skip before the snapshot is sent again
}

// Propose appends a command to the log. It returns false if this replica is not the leader or is transferring
// leadership.
func (c *Core) Propose(data []byte) bool {
	if c.role != Leader || c.transferee != "" {
		return false
	}
	c.appendEntry(EntryKind_COMMAND, data)
	c.broadcastAppend()
	return true
}

func (c *Core) appendEntry(kind EntryKind, data []byte) {
	c.log.appendEntries(&Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data})
}

func (c *Core) broadcastAppend() {
	for _, r := range c.membership.Replicas {
		if r.Id != c.ID {
			c.sendAppend(r.Id)
		}
	}
}

// sendAppend sends the next entries to a replica, or a snapshot if they are compacted. Without new entries the append
// is empty: it is the heartbeat, and its rejection reveals lost appends.
func (c *Core) sendAppend(id string) {
	p := c.progress[id]
	if p.next <= c.log.base.Index {
		c.sendSnapshot(id, p)
		return
	}
	prevIndex := p.next - 1
	term, _ := c.log.term(prevIndex)
	entries := c.log.entriesFrom(p.next, c.MaxEntriesPerMessage)
	c.send(&Message{Kind: MessageKind_APPEND, To: id, Index: prevIndex, LogTerm: term, Entries: entries, Commit: c.commit})
	p.next += uint64(len(entries))
}

func (c *Core) sendSnapshot(id string, p *progress) {
	if p.snapshotBackoff > 0 {
		p.snapshotBackoff--
		return
	}
	p.snapshotBackoff = c.ElectionTicks
	c.send(&Message{Kind: MessageKind_SNAPSHOT, To: id, Index: c.log.base.Index, Snapshot: c.log.base, Commit: c.commit})
}

func (c *Core) handleAppend(m *Message) {
	reply := &Message{Kind: MessageKind_APPEND_REPLY, To: m.From}
	if m.Index < c.commit {
		reply.Index = c.commit
		c.send(reply)
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint = c.matchHint(m.Index)
		c.send(reply)
		return
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	if commit := min(m.Commit, reply.Index); commit > c.commit {
		c.setCommit(commit)
	}
	c.send(reply)
}

// matchHint returns the last index that may match the leader's log, skipping all entries of the conflicting term.
func (c *Core) matchHint(index uint64) uint64 {
	if index > c.log.last() {
		return c.log.last()
	}
	conflict, _ := c.log.term(index)
	for index > c.commit {
		index--
		if term, _ := c.log.term(index); term != conflict {
			break
		}
	}
	return index
}

// mergeEntries appends the entries that are not in the log yet and truncates the log at the first conflict.
func (c *Core) mergeEntries(entries []*Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			invariant(e.Index > c.commit, "entry %d is committed and would be truncated", e.Index)
			c.log.truncate(e.Index)
		}
		c.log.appendEntries(entries[i:]...)
		c.membership = c.log.membership()
		return
	}
}

func (c *Core) handleSnapshot(m *Message) {
	s := m.Snapshot
	if s.Index > c.commit {
		if term, ok := c.log.term(s.Index); ok && term == s.Term {
			c.setCommit(s.Index)
		} else {
			c.installSnapshot(s)
		}
	}
	c.send(&Message{Kind: MessageKind_APPEND_REPLY, To: m.From, Index: c.commit})
}

func (c *Core) installSnapshot(s *Snapshot) {
	c.log = newLog(s, nil)
	c.setCommit(s.Index)
	c.delivered = s.Index
	c.membership = s.Membership
	c.snapshotToStore = s
	c.snapshotToRestore = s
}

func (c *Core) handleAppendReply(m *Message) {
	p := c.progress[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.ticksSinceReply = 0
	if m.Reject {
		if m.Index > p.match {
			p.next = max(p.match+1, min(m.Hint+1, m.Index))
			c.sendAppend(m.From)
		}
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		p.snapshotBackoff = 0
	}
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	c.continueTransfer(m.From, p)
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
}

// advanceCommit commits the last entry that a majority has synced, if it is of the leader's own term. A leader that is
// no longer a voter steps down once the membership that removes it is committed.
func (c *Core) advanceCommit() {
	var matches []uint64
	for _, r := range c.membership.Replicas {
		if !r.Learner {
			matches = append(matches, c.progress[r.Id].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	term, _ := c.log.term(index)
	if index <= c.commit || term != c.term {
		return
	}
	c.setCommit(index)
	c.broadcastAppend()
	if !c.isVoter(c.ID) && c.membershipCommitted() {
		c.becomeFollower(c.term, "")
	}
}

// quorumActive reports whether a majority replied since the last call, and starts a new period.
func (c *Core) quorumActive() bool {
	active := 0
	for _, r := range c.membership.Replicas {
		p := c.progress[r.Id]
		if !r.Learner && (r.Id == c.ID || p.recentlyActive) {
			active++
		}
		p.recentlyActive = false
	}
	return active >= c.quorum()
}
