package raft

import "google.golang.org/protobuf/proto"

// Survey is what a leader knows of the VMs that hold replicas. The maps go by replica id.
type Survey struct {
	// Voters is the number of voters that the group grows to while there are spares; 0 keeps the number it has.
	Voters int
	// Alive has the replicas whose VM was heard lately and still holds them.
	Alive map[string]bool
	// Replaced has the replicas whose VM came back with another data folder.
	Replaced map[string]bool
	// Silent has the replicas whose VM was not heard for so long that a spare may take their place.
	Silent map[string]bool
	// Spares are replicas outside the membership whose VM is alive, in order of preference.
	Spares []*Replica
}

// RepairStep names one step of a repair.
type RepairStep string

// The steps of a repair.
const (
	NoStep        RepairStep = ""
	AddLearner    RepairStep = "add_learner"
	PromoteVoter  RepairStep = "promote_voter"
	RemoveVoter   RepairStep = "remove_voter"
	RemoveLearner RepairStep = "remove_learner"
)

// NextMembership returns one step towards a group of the surveyed number of voters without lost ones: add the
// replacement as a learner, promote it once it has all committed entries, then remove the lost replica. The number
// of copies never falls.
func NextMembership(s Status, v Survey) (RepairStep, *Membership) {
	if s.Role != Leader || !s.Settled {
		return NoStep, nil
	}
	lost := lostVoter(s, v)
	if Voters(s.Membership) < v.Voters {
		return grow(s, v, lost)
	}
	if Voters(s.Membership)%2 == 0 {
		if lost == nil {
			// The lost voter came back after its replacement was promoted.
			lost = laggard(s)
		}
		return RemoveVoter, without(s.Membership, lost.Id)
	}
	if lost == nil {
		return dropLearner(s)
	}
	if step, next, ok := advanceLearner(s, v); ok {
		return step, next
	}
	if spare := replacement(s, v, lost); spare != nil {
		return AddLearner, with(s.Membership, spare)
	}
	return NoStep, nil
}

// grow returns one step towards more voters. It never removes one: where a voter is lost as well, it is replaced once
// the number is reached.
func grow(s Status, v Survey, lost *Replica) (RepairStep, *Membership) {
	if step, next, ok := advanceLearner(s, v); ok {
		return step, next
	}
	if lost != nil {
		if spare := replacement(s, v, lost); spare != nil {
			return AddLearner, with(s.Membership, spare)
		}
	}
	for _, r := range v.Spares {
		if !member(s.Membership, r.Id) && !holdsMember(s.Membership, r.Vm) {
			return AddLearner, with(s.Membership, r)
		}
	}
	return NoStep, nil
}

// advanceLearner removes a learner whose disk is lost, or promotes one that has all committed entries. It reports
// whether there is a learner to wait for.
func advanceLearner(s Status, v Survey) (RepairStep, *Membership, bool) {
	for _, r := range s.Membership.Replicas {
		if r.Learner && v.Replaced[r.Id] {
			return RemoveLearner, without(s.Membership, r.Id), true
		}
	}
	for _, r := range s.Membership.Replicas {
		if !r.Learner || !v.Alive[r.Id] {
			continue
		}
		if s.Match[r.Id] < s.Commit {
			return NoStep, nil, true
		}
		return PromoteVoter, promoted(s.Membership, r.Id), true
	}
	return NoStep, nil, false
}

// Repaired reports whether every voter answers and has synced all committed entries, so that the loss of any
// minority loses nothing. Only the leader knows; what it knows is as old as Status.Recent says.
func Repaired(s Status, v Survey) bool {
	if s.Role != Leader || !s.Settled || Voters(s.Membership)%2 == 0 || Voters(s.Membership) < v.Voters {
		return false
	}
	for _, r := range s.Membership.Replicas {
		if r.Learner || s.Match[r.Id] < s.Commit {
			return false
		}
		if !s.Recent[r.Id] || v.Replaced[r.Id] {
			return false
		}
	}
	return true
}

// lostVoter returns a voter whose disk is lost, else one that is silent for long.
func lostVoter(s Status, v Survey) *Replica {
	for _, lost := range []map[string]bool{v.Replaced, v.Silent} {
		for _, r := range s.Membership.Replicas {
			if !r.Learner && r.Id != s.ID && lost[r.Id] {
				return r
			}
		}
	}
	return nil
}

// laggard returns the voter that has the least of the log, the newest of equals; never the leader itself.
func laggard(s Status) *Replica {
	var least *Replica
	for _, r := range s.Membership.Replicas {
		if r.Learner || r.Id == s.ID {
			continue
		}
		if least == nil || s.Match[r.Id] <= s.Match[least.Id] {
			least = r
		}
	}
	return least
}

// replacement prefers the VM that lost its disk; a spare VM only stands in for a silent one.
func replacement(s Status, v Survey, lost *Replica) *Replica {
	for _, r := range v.Spares {
		if r.Vm == lost.Vm && !member(s.Membership, r.Id) {
			return r
		}
	}
	if v.Replaced[lost.Id] && !holdsOther(s.Membership, lost) {
		return nil // its VM is on its way back
	}
	for _, r := range v.Spares {
		if !member(s.Membership, r.Id) {
			return r
		}
	}
	return nil
}

// holdsMember reports whether a VM holds a member.
func holdsMember(m *Membership, name string) bool {
	for _, r := range m.Replicas {
		if r.Vm == name {
			return true
		}
	}
	return false
}

// holdsOther reports whether the VM of a lost replica holds another member already.
func holdsOther(m *Membership, lost *Replica) bool {
	for _, r := range m.Replicas {
		if r.Vm == lost.Vm && r.Id != lost.Id {
			return true
		}
	}
	return false
}

func dropLearner(s Status) (RepairStep, *Membership) {
	for _, r := range s.Membership.Replicas {
		if r.Learner {
			return RemoveLearner, without(s.Membership, r.Id)
		}
	}
	return NoStep, nil
}

func member(m *Membership, id string) bool {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return true
		}
	}
	return false
}

func without(m *Membership, id string) *Membership {
	next := &Membership{Group: m.Group}
	for _, r := range m.Replicas {
		if r.Id != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

func with(m *Membership, spare *Replica) *Membership {
	next := proto.CloneOf(m)
	next.Replicas = append(next.Replicas, &Replica{Id: spare.Id, Vm: spare.Vm, Learner: true})
	return next
}

func promoted(m *Membership, id string) *Membership {
	next := proto.CloneOf(m)
	for _, r := range next.Replicas {
		if r.Id == id {
			r.Learner = false
		}
	}
	return next
}
