package raft

import (
	"testing"

	"github.com/matryer/is"
)

// leaderStatus returns the status of leader a with the given voters. A replica's VM is named by the first letter of its
// id.
func leaderStatus(ids ...string) Status {
	s := Status{ID: "a", Role: Leader, Commit: 9, MembershipStable: true, Match: make(map[string]uint64), Membership: &Membership{}}
	for _, id := range ids {
		s.Membership.Replicas = append(s.Membership.Replicas, &Replica{Id: id, Vm: id[:1]})
		s.Match[id] = 9
	}
	return s
}

func TestNextMembership(t *testing.T) {
	addLearner := func(s Status, id string, match uint64) Status {
		s.Membership.Replicas = append(s.Membership.Replicas, &Replica{Id: id, Vm: id[:1], Learner: true})
		s.Match[id] = match
		return s
	}
	behind := leaderStatus("a", "b", "c", "d")
	behind.Match["b"] = 3
	replacedC := GroupHealth{Replaced: map[string]bool{"c": true}, Alive: map[string]bool{"c2": true}, Spares: []*Replica{{Id: "c2", Vm: "c"}}}
	for _, c := range []struct {
		name   string
		status Status
		health GroupHealth
		step   RepairStep
	}{
		{"nothing is lost", leaderStatus("a", "b", "c"), GroupHealth{}, NoStep},
		{"a disk is lost", leaderStatus("a", "b", "c"), replacedC, AddLearner},
		{"the learner lacks a committed entry", addLearner(leaderStatus("a", "b", "c"), "c2", 8), replacedC, NoStep},
		{"the learner has all committed entries", addLearner(leaderStatus("a", "b", "c"), "c2", 9), replacedC, PromoteVoter},
		{"the replacement is a voter", leaderStatus("a", "b", "c", "c2"), replacedC, RemoveVoter},
		{"a lost voter returns after its replacement was promoted", behind, GroupHealth{}, RemoveVoter},
		{"no spare replaces a voter whose VM returns with a new disk", leaderStatus("a", "b", "c"), GroupHealth{Replaced: map[string]bool{"c": true}, Spares: []*Replica{{Id: "s", Vm: "s"}}}, NoStep},
		{"a spare replaces a voter whose VM holds another voter", leaderStatus("a", "c", "c2"), GroupHealth{Replaced: map[string]bool{"c": true}, Spares: []*Replica{{Id: "c2", Vm: "c"}, {Id: "s", Vm: "s"}}}, AddLearner},
		{"a spare replaces an unreachable voter", leaderStatus("a", "b", "c"), GroupHealth{Unreachable: map[string]bool{"c": true}, Spares: []*Replica{{Id: "s", Vm: "s"}}}, AddLearner},
		{"a growing group has a spare", leaderStatus("a", "b", "c"), GroupHealth{TargetVoters: 5, Spares: []*Replica{{Id: "s", Vm: "s"}}}, AddLearner},
		{"a growing group has no spare", leaderStatus("a", "b", "c"), GroupHealth{TargetVoters: 5, Spares: []*Replica{{Id: "b", Vm: "b"}}}, NoStep},
		{"the learner of a growing group lacks a committed entry", addLearner(leaderStatus("a", "b", "c"), "s", 8), GroupHealth{TargetVoters: 5, Alive: map[string]bool{"s": true}}, NoStep},
		{"the learner of a growing group has all committed entries", addLearner(leaderStatus("a", "b", "c"), "s", 9), GroupHealth{TargetVoters: 5, Alive: map[string]bool{"s": true}}, PromoteVoter},
		{"the learner of a growing group is not alive", addLearner(leaderStatus("a", "b", "c"), "s", 9), GroupHealth{TargetVoters: 5, Spares: []*Replica{{Id: "t", Vm: "t"}}}, AddLearner},
		{"four voters grow to five", leaderStatus("a", "b", "c", "d"), GroupHealth{TargetVoters: 5, Spares: []*Replica{{Id: "e", Vm: "e"}}}, AddLearner},
		{"four voters do not grow without a spare", leaderStatus("a", "b", "c", "d"), GroupHealth{TargetVoters: 5}, NoStep},
		{"a growing group loses a disk", leaderStatus("a", "b", "c"), GroupHealth{TargetVoters: 5, Replaced: map[string]bool{"c": true}, Spares: []*Replica{{Id: "c2", Vm: "c"}}}, AddLearner},
		{"a group at its target size removes the replaced voter", leaderStatus("a", "b", "c", "d", "e", "c2"), GroupHealth{TargetVoters: 5, Replaced: map[string]bool{"c": true}}, RemoveVoter},
		{"the group has more voters than the target", leaderStatus("a", "b", "c", "d", "e"), GroupHealth{TargetVoters: 3}, NoStep},
		{"an unneeded learner is removed", addLearner(leaderStatus("a", "b", "c"), "s", 9), GroupHealth{}, RemoveLearner},
	} {
		t.Run(c.name, func(t *testing.T) {
			step, _ := NextMembership(c.status, c.health)
			is.New(t).Equal(step, c.step)
		})
	}
	_, next := NextMembership(behind, GroupHealth{})
	is.New(t).True(!isMember(next, "b")) // the voter that is behind is removed
}
