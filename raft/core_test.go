package raft

import (
	"testing"

	"github.com/matryer/is"
)

// newFollower returns a replica that has received an append from leader a in term 1.
func newFollower(id string, m *Membership) *Core {
	c := &Core{ID: id, Group: simulatedGroup}
	c.Start(&HardState{Term: 1, Commit: 1}, &Snapshot{Index: 1, Term: 1, Membership: m}, nil)
	c.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "a", To: id, Term: 1, Index: 1, LogTerm: 1})
	c.Output()
	return c
}

func testMembership() *Membership {
	return &Membership{Group: simulatedGroup, Replicas: []*Replica{
		{Id: "a", Vm: "a"}, {Id: "b", Vm: "b"}, {Id: "c", Vm: "c"}, {Id: "d", Vm: "c", Learner: true},
	}}
}

func preVoteRequest(to string) *Message {
	return &Message{Kind: MessageKind_PRE_VOTE, Group: simulatedGroup, From: "b", To: to, Term: 2, Index: 1, LogTerm: 1}
}

// A learner grants votes after the election timeout: it may have been promoted without having received that entry.
func TestLearnerGrantsPreVoteAfterLeaderTimeout(t *testing.T) {
	is := is.New(t)
	c := newFollower("d", testMembership())
	c.Step(preVoteRequest("d"))
	is.Equal(len(c.Output().Messages), 0) // the leader was active just now
	for range 3 * DefaultElectionTicks {
		c.Tick()
	}
	c.Step(preVoteRequest("d"))
	out := c.Output()
	is.Equal(len(out.Messages), 1)
	is.True(!out.Messages[0].Reject)
}

// A voter returning from a long partition must not depose a leader that is active for the others.
func TestReturningVoterDoesNotDeposeLeader(t *testing.T) {
	is := is.New(t)
	isolated, connected := newFollower("b", testMembership()), newFollower("c", testMembership())
	for range 100 * DefaultElectionTicks {
		isolated.Tick()
	}
	is.Equal(isolated.Status().Term, uint64(1))
	for _, m := range isolated.Output().Messages {
		connected.Step(m)
	}
	is.Equal(connected.Status().Term, uint64(1))
	is.Equal(connected.Status().Leader, "a")
}

// A leader without replies from a majority steps down.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	is := is.New(t)
	c := newFollower("b", testMembership())
	for c.Status().Role != PreCandidate {
		c.Tick()
	}
	c.Step(&Message{Kind: MessageKind_PRE_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	c.Step(&Message{Kind: MessageKind_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	is.Equal(c.Status().Role, Leader)
	for range 3 * DefaultElectionTicks {
		c.Tick()
	}
	is.True(c.Status().Role != Leader)
}

// votersChanged guards membership changes: with more than one voter changed, the old and the new membership could each
// form a majority without the other.
func TestVotersChanged(t *testing.T) {
	is := is.New(t)
	is.Equal(votersChanged(testMembership(), withoutReplica(withoutReplica(testMembership(), "a"), "b")), 2)
	is.Equal(votersChanged(testMembership(), withPromoted(withoutReplica(testMembership(), "c"), "d")), 2)
	is.Equal(votersChanged(testMembership(), withPromoted(testMembership(), "d")), 1)
}

// newUncommittedLeader returns replica b as the new leader of term 2, whose first entry is not committed yet.
func newUncommittedLeader(t *testing.T) *Core {
	t.Helper()
	c := newFollower("b", testMembership())
	for c.Status().Role != PreCandidate {
		c.Tick()
	}
	c.Step(&Message{Kind: MessageKind_PRE_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	c.Step(&Message{Kind: MessageKind_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	c.Output()
	c.Synced()
	return c
}

func appendReply(from string, index uint64) *Message {
	return &Message{Kind: MessageKind_APPEND_REPLY, Group: simulatedGroup, From: from, To: "b", Term: 2, Index: index}
}

// A membership change is refused until the leader's first entry and the previous change are committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	is := is.New(t)
	c := newUncommittedLeader(t)
	is.True(!c.ProposeMembership(withPromoted(testMembership(), "d"))) // nothing of term 2 is committed
	c.Step(appendReply("c", 2))
	is.True(c.ProposeMembership(withPromoted(testMembership(), "d")))
	is.True(!c.ProposeMembership(withoutReplica(withPromoted(testMembership(), "d"), "a"))) // the first change is uncommitted
	c.Output()
	c.Synced()
	c.Step(appendReply("c", 3))
	is.True(!c.Status().MembershipStable) // four voters need three copies
	c.Step(appendReply("d", 3))
	is.True(c.ProposeMembership(withoutReplica(withPromoted(testMembership(), "d"), "a")))
}

// A follower commits only entries that the append proves to match; later entries may come from an older leader.
func TestFollowerCommitsOnlyMatchedEntries(t *testing.T) {
	is := is.New(t)
	c := &Core{ID: "b", Group: simulatedGroup}
	entries := []*Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}
	c.Start(&HardState{Term: 1, Commit: 1}, &Snapshot{Index: 1, Term: 1, Membership: testMembership()}, entries)
	c.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1, Entries: entries[:1], Commit: 4})
	is.Equal(c.Status().Commit, uint64(2))
}

// Messages of another group are dropped, whatever their term.
func TestMessageOfOtherGroupIsDropped(t *testing.T) {
	is := is.New(t)
	c := newFollower("b", testMembership())
	c.Step(&Message{Kind: MessageKind_APPEND, Group: "other", From: "a", To: "b", Term: 9, Index: 1, LogTerm: 1})
	is.Equal(c.Status().Term, uint64(1))
}

// An entry of an older term is committed only together with an entry of the leader's own term, even if all replicas
// have it.
func TestEntryOfOldTermIsNotCommittedAlone(t *testing.T) {
	is := is.New(t)
	c := &Core{ID: "b", Group: simulatedGroup}
	c.Start(&HardState{Term: 1, Commit: 1}, &Snapshot{Index: 1, Term: 1, Membership: testMembership()}, []*Entry{{Index: 2, Term: 1}})
	for c.Status().Role != PreCandidate {
		c.Tick()
	}
	c.Step(&Message{Kind: MessageKind_PRE_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	c.Step(&Message{Kind: MessageKind_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	c.Output()
	c.Synced()
	c.Step(appendReply("a", 2))
	c.Step(appendReply("c", 2))
	is.Equal(c.Status().Commit, uint64(1))
	c.Step(appendReply("c", 3))
	is.Equal(c.Status().Commit, uint64(3))
}

// CaughtUp stays false until the replica has everything that the leader has committed.
func TestCaughtUp(t *testing.T) {
	is := is.New(t)
	c := newFollower("b", testMembership())
	is.True(c.CaughtUp())
	is.True(!c.Current()) // no contact with a leader yet
	page := []*Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}}
	c.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "a", To: "b", Term: 1, Index: 1, LogTerm: 1, Entries: page, Commit: 4})
	is.True(!c.CaughtUp())
	c.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "a", To: "b", Term: 1, Index: 3, LogTerm: 1, Entries: []*Entry{{Index: 4, Term: 1}}, Commit: 4})
	is.True(c.CaughtUp())
	is.True(c.Current())
}

// A leader that cannot store entries hands over to the alive voter with the longest log, which wins also while the other voters
// have a recent leader.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	leader, follower := newFollower("b", testMembership()), newFollower("c", testMembership())
	is.Equal(leader.HandOver(map[string]bool{"a": true, "c": true}), nil) // a follower
	for leader.Status().Role != PreCandidate {
		leader.Tick()
	}
	leader.Step(&Message{Kind: MessageKind_PRE_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	leader.Step(&Message{Kind: MessageKind_VOTE_REPLY, Group: simulatedGroup, From: "c", To: "b", Term: 2})
	leader.Output()
	is.Equal(leader.HandOver(map[string]bool{"a": true, "c": true}), nil) // no reply in this term yet
	for from, index := range map[string]uint64{"a": 1, "c": 2, "d": 2} {
		leader.Step(&Message{Kind: MessageKind_APPEND_REPLY, Group: simulatedGroup, From: from, To: "b", Term: 2, Index: index})
	}
	is.Equal(leader.HandOver(map[string]bool{"a": true, "d": true}).To, "a")
	m := leader.HandOver(map[string]bool{"a": true, "c": true, "d": true})
	is.Equal(m.To, "c")
	follower.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "b", To: "c", Term: 2, Index: 1, LogTerm: 1, Entries: leader.Entries()})
	follower.Step(m)
	other := newFollower("a", testMembership())
	other.Step(&Message{Kind: MessageKind_APPEND, Group: simulatedGroup, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1})
	other.Output()
	granted := false
	for _, request := range follower.Output().Messages {
		other.Step(request)
	}
	for _, reply := range other.Output().Messages {
		granted = granted || reply.Kind == MessageKind_VOTE_REPLY && !reply.Reject
	}
	is.True(granted)
}

// A snapshot whose hard state was refused by a full disk raises the term at the next start, so that terms never decrease in the
// log.
func TestStartRaisesTermToLog(t *testing.T) {
	is := is.New(t)
	c := &Core{ID: "b", Group: simulatedGroup}
	c.Start(&HardState{Term: 2, Vote: "a", Commit: 1}, &Snapshot{Index: 9, Term: 4, Membership: testMembership()}, nil)
	is.Equal(c.Status().Term, uint64(4))
	is.Equal(c.Status().Commit, uint64(9))
	is.Equal(c.Output().HardState.GetVote(), "")
}
