package raft

import "google.golang.org/protobuf/proto"

// GroupHealth is a leader's view of the VMs that hold or could hold replicas. The maps are keyed by replica id.
type GroupHealth struct {
	// TargetVoters is the number of voters that the group grows to while there are spares; 0 keeps the current number.
	TargetVoters int
	// Alive has the replicas whose VM is alive and still holds them.
	Alive map[string]bool
	// Replaced has the replicas whose VM now has another data folder: their disk is lost.
	Replaced map[string]bool
	// Unreachable has the replicas whose VM has been unreachable for long enough to be replaced by a spare.
	Unreachable map[string]bool
	// Spares are replicas on live VMs that may be added, in order of preference. Members among them are skipped.
	Spares []*Replica
}

// RepairStep is the kind of a membership change that repairs or grows a group.
type RepairStep string

// Kinds of repair steps.
const (
	NoStep        RepairStep = ""
	AddLearner    RepairStep = "add_learner"
	PromoteVoter  RepairStep = "promote_voter"
	RemoveVoter   RepairStep = "remove_voter"
	RemoveLearner RepairStep = "remove_learner"
)

// NextMembership returns the next change towards the target number of voters without lost ones, or NoStep and nil. It
// adds a replacement as a learner, promotes it once it has all committed entries, then removes the lost replica, so
// that the number of copies never decreases.
func NextMembership(s Status, health GroupHealth) (RepairStep, *Membership) {
	if s.Role != Leader || !s.MembershipStable {
		return NoStep, nil
	}
	lost := lostVoter(s, health)
	if Voters(s.Membership) < health.TargetVoters {
		return growGroup(s, health, lost)
	}
	if Voters(s.Membership)%2 == 0 {
		if lost == nil {
			// The lost voter returned after its replacement was promoted.
			lost = mostBehindVoter(s)
		}
		return RemoveVoter, withoutReplica(s.Membership, lost.Id)
	}
	if lost == nil {
		return removeUnneededLearner(s)
	}
	if step, next, ok := advanceLearner(s, health); ok {
		return step, next
	}
	if spare := chooseReplacement(s, health, lost); spare != nil {
		return AddLearner, withLearner(s.Membership, spare)
	}
	return NoStep, nil
}

// growGroup returns the next change towards more voters. It removes no voter: a lost one is removed only once the
// target number is reached.
func growGroup(s Status, health GroupHealth, lost *Replica) (RepairStep, *Membership) {
	if step, next, ok := advanceLearner(s, health); ok {
		return step, next
	}
	if lost != nil {
		if spare := chooseReplacement(s, health, lost); spare != nil {
			return AddLearner, withLearner(s.Membership, spare)
		}
	}
	for _, r := range health.Spares {
		if !isMember(s.Membership, r.Id) && !vmHasMember(s.Membership, r.Vm) {
			return AddLearner, withLearner(s.Membership, r)
		}
	}
	return NoStep, nil
}

// advanceLearner removes a learner whose disk is lost, or promotes a live one that has all committed entries. It
// returns false if there is no such learner and none that is still catching up.
func advanceLearner(s Status, health GroupHealth) (RepairStep, *Membership, bool) {
	for _, r := range s.Membership.Replicas {
		if r.Learner && health.Replaced[r.Id] {
			return RemoveLearner, withoutReplica(s.Membership, r.Id), true
		}
	}
	for _, r := range s.Membership.Replicas {
		if !r.Learner || !health.Alive[r.Id] {
			continue
		}
		if s.Match[r.Id] < s.Commit {
			return NoStep, nil, true
		}
		return PromoteVoter, withPromoted(s.Membership, r.Id), true
	}
	return NoStep, nil, false
}

// Repaired reports whether the group has its target number of voters, no learners, and every voter replies and has
// synced all committed entries, so that the loss of any minority of the voters loses no data. It is false for the
// status of a replica other than the leader. A voter's state may be as old as Status.RecentlyActive allows.
func Repaired(s Status, health GroupHealth) bool {
	if s.Role != Leader || !s.MembershipStable || Voters(s.Membership)%2 == 0 || Voters(s.Membership) < health.TargetVoters {
		return false
	}
	for _, r := range s.Membership.Replicas {
		if r.Learner || s.Match[r.Id] < s.Commit {
			return false
		}
		if !s.RecentlyActive[r.Id] || health.Replaced[r.Id] {
			return false
		}
	}
	return true
}

// lostVoter returns a voter whose disk is lost, else one that has been unreachable for too long, else nil.
func lostVoter(s Status, health GroupHealth) *Replica {
	for _, set := range []map[string]bool{health.Replaced, health.Unreachable} {
		for _, r := range s.Membership.Replicas {
			if !r.Learner && r.Id != s.ID && set[r.Id] {
				return r
			}
		}
	}
	return nil
}

// mostBehindVoter returns the voter other than the leader with the lowest match index; of several, the last added.
func mostBehindVoter(s Status) *Replica {
	var mostBehind *Replica
	for _, r := range s.Membership.Replicas {
		if r.Learner || r.Id == s.ID {
			continue
		}
		if mostBehind == nil || s.Match[r.Id] <= s.Match[mostBehind.Id] {
			mostBehind = r
		}
	}
	return mostBehind
}

// chooseReplacement returns a spare to replace the lost voter, or nil. It prefers the voter's own VM. Another VM is
// used only if the voter's VM is unreachable or holds another member already.
func chooseReplacement(s Status, health GroupHealth, lost *Replica) *Replica {
	for _, r := range health.Spares {
		if r.Vm == lost.Vm && !isMember(s.Membership, r.Id) {
			return r
		}
	}
	if health.Replaced[lost.Id] && !vmHasOtherMember(s.Membership, lost) {
		return nil // wait until its VM, which has a new data folder, is a spare
	}
	for _, r := range health.Spares {
		if !isMember(s.Membership, r.Id) {
			return r
		}
	}
	return nil
}

// vmHasMember reports whether a replica on the VM is in the membership.
func vmHasMember(m *Membership, vmName string) bool {
	for _, r := range m.Replicas {
		if r.Vm == vmName {
			return true
		}
	}
	return false
}

// vmHasOtherMember reports whether another replica on the VM of the lost one is in the membership.
func vmHasOtherMember(m *Membership, lost *Replica) bool {
	for _, r := range m.Replicas {
		if r.Vm == lost.Vm && r.Id != lost.Id {
			return true
		}
	}
	return false
}

func removeUnneededLearner(s Status) (RepairStep, *Membership) {
	for _, r := range s.Membership.Replicas {
		if r.Learner {
			return RemoveLearner, withoutReplica(s.Membership, r.Id)
		}
	}
	return NoStep, nil
}

func isMember(m *Membership, id string) bool {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return true
		}
	}
	return false
}

func withoutReplica(m *Membership, id string) *Membership {
	next := &Membership{Group: m.Group}
	for _, r := range m.Replicas {
		if r.Id != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

func withLearner(m *Membership, spare *Replica) *Membership {
	next := proto.CloneOf(m)
	next.Replicas = append(next.Replicas, &Replica{Id: spare.Id, Vm: spare.Vm, Learner: true})
	return next
}

func withPromoted(m *Membership, id string) *Membership {
	next := proto.CloneOf(m)
	for _, r := range next.Replicas {
		if r.Id == id {
			r.Learner = false
		}
	}
	return next
}
