package raft

// campaign starts an election, with a pre-vote unless the leader transferred leadership. Replicas that are not voters
// start none.
func (c *Core) campaign(transfer bool) {
	c.leader = ""
	if !c.isVoter(c.ID) {
		return
	}
	c.votes = map[string]bool{c.ID: true}
	if transfer {
		c.becomeCandidate()
	} else {
		c.role = PreCandidate
	}
	c.resetElectionTimer()
	if c.hasVoteQuorum() {
		c.advanceElection()
		return
	}
	c.requestVotes(transfer)
}

func (c *Core) becomeCandidate() {
	c.role = Candidate
	c.term++
	c.vote = c.ID
	c.votes = map[string]bool{c.ID: true}
}

func (c *Core) requestVotes(transfer bool) {
	kind, term := MessageKind_VOTE, c.term
	if c.role == PreCandidate {
		kind, term = MessageKind_PRE_VOTE, c.term+1
	}
	for _, r := range c.membership.Replicas {
		if r.Learner || r.Id == c.ID {
			continue
		}
		c.send(&Message{Kind: kind, To: r.Id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

// hasRecentLeader reports whether this replica received a message from a leader within the minimum election timeout.
func (c *Core) hasRecentLeader() bool {
	return c.leader != "" && c.electionElapsed < c.ElectionTicks
}

// handleVoteRequest replies to a vote or pre-vote request. Only a vote is recorded; a pre-vote changes no state.
func (c *Core) handleVoteRequest(m *Message) {
	preVote := m.Kind == MessageKind_PRE_VOTE
	canVote := c.vote == "" || c.vote == m.From
	upToDate := m.LogTerm > c.log.lastTerm() || (m.LogTerm == c.log.lastTerm() && m.Index >= c.log.last())
	grant := upToDate && (preVote && m.Term > c.term || canVote)
	if preVote && c.hasRecentLeader() {
		grant = false
	}
	reply := &Message{Kind: MessageKind_VOTE_REPLY, To: m.From, Term: m.Term, Reject: !grant}
	if preVote {
		reply.Kind = MessageKind_PRE_VOTE_REPLY
		if !grant {
			reply.Term = c.term
		}
	}
	if grant && !preVote {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(reply)
}

func (c *Core) handleVoteReply(m *Message) {
	preVote := m.Kind == MessageKind_PRE_VOTE_REPLY
	if preVote != (c.role == PreCandidate) || (!preVote && c.role != Candidate) {
		return
	}
	if preVote && !m.Reject && m.Term != c.term+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.hasVoteQuorum() {
		c.advanceElection()
	}
}

func (c *Core) hasVoteQuorum() bool {
	granted := 0
	for _, r := range c.membership.Replicas {
		if !r.Learner && c.votes[r.Id] {
			granted++
		}
	}
	return granted >= c.quorum()
}

// advanceElection moves a replica with a quorum of votes from the pre-vote to the vote, and from the vote to
// leadership.
func (c *Core) advanceElection() {
	if c.role == PreCandidate {
		c.becomeCandidate()
		if !c.hasVoteQuorum() {
			c.requestVotes(false)
			return
		}
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.ID
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.transferee = ""
	c.progress = make(map[string]*progress)
	c.updateProgress()
	c.termStartIndex = c.log.last() + 1
	c.appendEntry(EntryKind_NOOP, nil)
	c.broadcastAppend()
}

func (c *Core) becomeFollower(term uint64, leader string) {
	invariant(term >= c.term, "term decreases from %d to %d", c.term, term)
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	c.role = Follower
	c.leader = leader
	c.progress = nil
	c.transferee = ""
	c.resetElectionTimer()
}

// resetElectionTimer draws a random timeout between ElectionTicks and twice that, so that replicas rarely campaign at
// once.
func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionTimeout = c.ElectionTicks + c.Random.IntN(c.ElectionTicks)
}
