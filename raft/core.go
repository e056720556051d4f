// Package raft implements the Raft consensus algorithm without I/O and without reading a clock.
//
// A driver passes messages and ticks to a Core, stores and syncs what Output returns, then sends the messages and
// applies the committed entries.
package raft

import (
	"fmt"
	"math/rand/v2"
)

// Role is a replica's role in its current term.
type Role int

// Roles of a replica. A PreCandidate asks whether it could win an election before it increments its term.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre_candidate", "candidate", "leader"}[r]
}

// Default timeouts of a Core, in ticks.
const (
	DefaultElectionTicks  = 10
	DefaultHeartbeatTicks = 3
)

// DefaultMaxEntriesPerMessage is the default of Core.MaxEntriesPerMessage.
const DefaultMaxEntriesPerMessage = 256

// maxMessageBytes limits the entry data of one append message; a single larger entry is still sent.
const maxMessageBytes = 1 << 20

// Core is the state of one replica. Set the exported fields, then call Start. It is not safe for concurrent use.
type Core struct {
	// ID is the replica's id; it belongs to the data folder.
	ID string
	// Group is the id of the Raft group; messages of other groups are dropped.
	Group string
	// Random randomizes the election timeout; nil for a randomly seeded generator.
	Random *rand.Rand
	// ElectionTicks is the minimum election timeout in ticks; 0 for the default.
	ElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats in ticks; 0 for the default.
	HeartbeatTicks int
	// MaxEntriesPerMessage is the maximum number of entries in one append message; 0 for the default.
	MaxEntriesPerMessage int

	role   Role
	term   uint64
	vote   string
	leader string
	commit uint64
	// leaderCommit is the highest commit index received from a leader.
	leaderCommit uint64
	// delivered is the index of the last entry or snapshot that Output returned to be applied.
	delivered  uint64
	log        log
	membership *Membership

	progress map[string]*progress
	votes    map[string]bool
	// termStartIndex is the index of the no-op entry that starts a leader's term.
	termStartIndex uint64
	// transferee is the target of a leadership transfer, empty if there is none.
	transferee string

	// electionElapsed counts the ticks since a follower received a message from the leader or granted a vote, or since
	// a leader checked for an active quorum. It and the fields below are in ticks.
	electionElapsed  int
	heartbeatElapsed int
	transferElapsed  int
	electionTimeout  int

	// messages are the ones that Output has not returned yet. storedState is the hard state that it last returned.
	messages          []*Message
	storedState       HardState
	snapshotToRestore *Snapshot
	snapshotToStore   *Snapshot
}

// Output is the work for the driver after a step, to be done in the order of the fields.
type Output struct {
	// Snapshot replaces the stored log, unless nil.
	Snapshot *Snapshot
	// HardState is stored and synced, unless nil.
	HardState *HardState
	// Entries are stored and synced; they replace all stored entries from the index of the first one on.
	Entries []*Entry
	// Messages are sent only after the sync.
	Messages []*Message
	// Restore replaces the state of the state machine before Committed is applied, unless nil.
	Restore *Snapshot
	// Committed entries are applied to the state machine in order.
	Committed []*Entry
}

// Start initializes the replica with the state loaded from the data folder; snapshot is nil only for a replica that has
// no state yet.
func (c *Core) Start(state *HardState, snapshot *Snapshot, entries []*Entry) {
	c.setDefaults()
	c.log = newLog(snapshot, entries)
	c.delivered = c.log.base.GetIndex()
	c.commit = c.delivered
	if snapshot.GetIndex() > 0 {
		c.snapshotToRestore = snapshot
	}
	if state != nil {
		c.term = state.Term
		c.vote = state.Vote
		c.commit = max(c.commit, state.Commit)
		c.storedState = HardState{Term: state.Term, Vote: state.Vote, Commit: state.Commit}
	}
	// A full disk may have taken a snapshot but not the hard state with it.
	if term := c.log.lastTerm(); term > c.term {
		c.term, c.vote = term, ""
	}
	invariant(c.commit <= c.log.last(), "commit index %d is past the last entry %d", c.commit, c.log.last())
	c.membership = c.log.membership()
	c.becomeFollower(c.term, "")
}

func (c *Core) setDefaults() {
	if c.ElectionTicks == 0 {
		c.ElectionTicks = DefaultElectionTicks
	}
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if c.MaxEntriesPerMessage == 0 {
		c.MaxEntriesPerMessage = DefaultMaxEntriesPerMessage
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
}

// Tick advances the replica's logical clock by one tick. It may start an election, send heartbeats or depose a leader
// that has lost its quorum.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout {
		c.electionElapsed = 0
		c.campaign(false)
	}
}

func (c *Core) tickLeader() {
	for _, p := range c.progress {
		p.ticksSinceReply++
	}
	if c.electionElapsed >= c.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.transferee != "" {
		c.transferElapsed++
		if c.transferElapsed > c.ElectionTicks {
			c.transferee = ""
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastAppend()
	}
}

// Step handles a message from another replica.
func (c *Core) Step(m *Message) {
	if m.Group != c.Group || m.To != c.ID {
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	if m.Term < c.term {
		c.replyToStaleTerm(m)
		return
	}
	switch m.Kind {
	case MessageKind_APPEND:
		c.followLeader(m)
		c.handleAppend(m)
	case MessageKind_SNAPSHOT:
		c.followLeader(m)
		c.handleSnapshot(m)
	case MessageKind_APPEND_REPLY:
		c.handleAppendReply(m)
	case MessageKind_PRE_VOTE, MessageKind_VOTE:
		c.handleVoteRequest(m)
	case MessageKind_PRE_VOTE_REPLY, MessageKind_VOTE_REPLY:
		c.handleVoteReply(m)
	case MessageKind_TIMEOUT_NOW:
		if c.role == Follower {
			c.campaign(true)
		}
	}
}

// adoptTerm handles a message of a newer term and reports whether Step should still process it. Vote and pre-vote
// requests are ignored while a leader is active, so that a returning replica cannot depose it. Pre-votes do not change
// the term.
func (c *Core) adoptTerm(m *Message) bool {
	voteRequest := m.Kind == MessageKind_PRE_VOTE || m.Kind == MessageKind_VOTE
	if voteRequest && !m.Transfer && c.hasRecentLeader() {
		return false
	}
	if m.Kind == MessageKind_PRE_VOTE {
		c.handleVoteRequest(m)
		return false
	}
	if m.Kind == MessageKind_PRE_VOTE_REPLY && !m.Reject {
		c.handleVoteReply(m)
		return false
	}
	leader := ""
	if m.Kind == MessageKind_APPEND || m.Kind == MessageKind_SNAPSHOT {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// replyToStaleTerm sends the current term to a deposed leader or a pre-candidate that has an older one.
func (c *Core) replyToStaleTerm(m *Message) {
	switch m.Kind {
	case MessageKind_APPEND, MessageKind_SNAPSHOT:
		c.send(&Message{Kind: MessageKind_APPEND_REPLY, To: m.From, Reject: true, Index: m.Index, Hint: c.commit})
	case MessageKind_PRE_VOTE:
		c.send(&Message{Kind: MessageKind_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

// followLeader records the sender of m as the leader and resets the election timer.
func (c *Core) followLeader(m *Message) {
	invariant(c.role != Leader, "two leaders %s and %s in term %d", c.ID, m.From, m.Term)
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	c.leaderCommit = max(c.leaderCommit, m.Commit)
}

// Output returns the work that arose since the last call. The driver stores and syncs it before the next Step.
func (c *Core) Output() Output {
	out := Output{
		Snapshot: c.snapshotToStore,
		Entries:  c.log.takeUnstored(),
		Messages: c.messages,
		Restore:  c.snapshotToRestore,
	}
	c.snapshotToStore, c.snapshotToRestore, c.messages = nil, nil, nil
	if c.storedState.Term != c.term || c.storedState.Vote != c.vote || c.storedState.Commit != c.commit {
		c.storedState = HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
		out.HardState = &HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	}
	if c.commit > c.delivered {
		out.Committed = c.log.slice(c.delivered+1, c.commit)
		c.delivered = c.commit
	}
	return out
}

// Synced reports that the last Output is synced to disk, so that a leader counts its own copy towards the quorum.
func (c *Core) Synced() {
	if c.role != Leader {
		return
	}
	c.progress[c.ID].match = c.log.last()
	c.advanceCommit()
}

// HasUnstored reports whether the driver has to store anything of the next Output.
func (c *Core) HasUnstored() bool {
	return c.snapshotToStore != nil || c.log.hasUnstored() ||
		c.storedState.Term != c.term || c.storedState.Vote != c.vote || c.storedState.Commit != c.commit
}

// HasOutput reports whether Output would return any work.
func (c *Core) HasOutput() bool {
	return c.HasUnstored() || c.snapshotToRestore != nil || len(c.messages) > 0 || c.commit > c.delivered
}

func (c *Core) send(m *Message) {
	m.From = c.ID
	m.Group = c.Group
	if m.Term == 0 {
		m.Term = c.term
	}
	c.messages = append(c.messages, m)
}

func (c *Core) setCommit(index uint64) {
	invariant(index >= c.commit, "commit index decreases from %d to %d", c.commit, index)
	invariant(index <= c.log.last(), "commit index %d is past the last entry %d", index, c.log.last())
	c.commit = index
}

// invariant panics if the condition is false, so that a corrupt state does not reach other replicas or the disk.
func invariant(condition bool, format string, args ...any) {
	if !condition {
		panic("raft invariant: " + fmt.Sprintf(format, args...))
	}
}

// CaughtUp reports whether this replica has committed everything up to the highest commit index received from a leader.
func (c *Core) CaughtUp() bool {
	return c.commit >= c.leaderCommit
}

// Current reports whether this replica leads or follows a leader and has committed everything that was committed before
// that leader's term began, and everything up to the highest commit index received. An entry of the current term is
// required since a new leader does not know at first which entries of earlier terms are committed.
func (c *Core) Current() bool {
	if c.leader == "" || !c.CaughtUp() || (c.role != Leader && c.leaderCommit == 0) {
		return false
	}
	term, ok := c.log.term(c.commit)
	return ok && term == c.term
}
