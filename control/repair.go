package control

import (
	"cmp"
	"slices"
	"time"

	"godwitplank/event"
	"godwitplank/raft"
	"godwitplank/vm"
)

// DefaultSpareAfter is the default of Control.SpareAfter. A VM that returns with an empty data folder is added to the
// group again without this delay.
const DefaultSpareAfter = 60 * time.Second

// repair proposes the next membership change that replaces lost voters, if this VM leads and no change is in flight.
func (c *Control) repair(now time.Time) {
	if c.replica == nil || c.stopping {
		return
	}
	status := c.replica.core.Status()
	if status.Role != raft.Leader {
		c.learnerContacts = nil
		return
	}
	c.noteLearners(now, status)
	if !status.MembershipStable {
		return
	}
	step, next := raft.NextMembership(status, c.replicaHealth(now, status.Membership))
	if next == nil || !c.replica.core.ProposeMembership(next) {
		return
	}
	c.Log.Log(event.MembershipChanged, "step", step, "commit", status.Commit)
}

// replicaHealth describes the VMs that hold the replicas of m, and those that could hold one, to the Raft core.
func (c *Control) replicaHealth(now time.Time, m *raft.Membership) raft.GroupHealth {
	health := raft.GroupHealth{TargetVoters: c.targetVoters(), Alive: make(map[string]bool), Replaced: make(map[string]bool), Unreachable: make(map[string]bool)}
	for _, r := range m.GetReplicas() {
		v := c.vms.Find(r.Vm)
		lastSeen := c.start
		if v != nil {
			health.Replaced[r.Id] = v.ReplicaID != r.Id
			health.Alive[r.Id] = v.Alive(now) && v.ReplicaID == r.Id && !c.learnerSilent(now, r.Id)
			lastSeen = v.LastSeen
		}
		health.Unreachable[r.Id] = now.Sub(lastSeen) > c.SpareAfter && now.Sub(c.start) > c.SpareAfter
	}
	for _, v := range c.spareVMs(now, m) {
		health.Spares = append(health.Spares, &raft.Replica{Id: v.ReplicaID, Vm: v.Name})
	}
	return health
}

// targetVoters returns the number of voters that tolerates DiskLosses lost disks, 0 to keep the current number.
func (c *Control) targetVoters() int {
	if c.DiskLosses == 0 {
		return 0
	}
	return 2*c.DiskLosses + 1
}

// spareVMs returns the alive VMs that have a data folder and are not stopping, those in the data centres with the
// fewest replicas first.
func (c *Control) spareVMs(now time.Time, m *raft.Membership) []*vm.Entry {
	members := make(map[string]int)
	for _, r := range m.GetReplicas() {
		if v := c.vms.Find(r.Vm); v != nil {
			members[v.DataCentre]++
		}
	}
	var spares []*vm.Entry
	for _, v := range c.vms.Sorted() {
		if v.ReplicaID != "" && !v.Stopping && v.Alive(now) {
			spares = append(spares, v)
		}
	}
	slices.SortStableFunc(spares, func(a, b *vm.Entry) int { return cmp.Compare(members[a.DataCentre], members[b.DataCentre]) })
	return spares
}

// transferLeadership transfers Raft leadership to the voter with the longest replicated log whose VM is alive and not
// stopping.
func (c *Control) transferLeadership() {
	if c.replica == nil {
		return
	}
	status := c.replica.core.Status()
	alive := c.replicaHealth(c.Clock.Now(), status.Membership).Alive
	best := ""
	for _, r := range status.Membership.GetReplicas() {
		if r.Learner || r.Id == status.ID || !alive[r.Id] || c.vms.Find(r.Vm).Stopping {
			continue
		}
		if best == "" || status.Match[r.Id] > status.Match[best] {
			best = r.Id
		}
	}
	if best != "" && c.replica.core.TransferLeadership(best) {
		c.Log.Log(event.LeadershipTransferred, "to", c.vmForReplica(best))
	}
}
