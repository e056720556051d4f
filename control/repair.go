package control

import (
	"cmp"
	"slices"
	"time"

	"godwitplank/event"
	"godwitplank/raft"
	"godwitplank/vm"
)

// DefaultSpareAfter is how long a voter's VM must be silent before another VM takes its place. A VM that
// returns with an empty data folder is taken back at once.
const DefaultSpareAfter = 60 * time.Second

// repair makes one step towards a group without lost voters.
func (c *Control) repair(now time.Time) {
	if c.replica == nil || c.stopping {
		return
	}
	status := c.replica.core.Status()
	if status.Role != raft.Leader || !status.Settled {
		return
	}
	step, next := raft.NextMembership(status, c.survey(now, status.Membership))
	if next == nil || !c.replica.core.ProposeMembership(next) {
		return
	}
	c.Log.Log(event.MembershipChanged, "step", step, "commit", status.Commit)
}

// survey tells the replication core what this VM knows of the VMs that hold replicas, or might.
func (c *Control) survey(now time.Time, m *raft.Membership) raft.Survey {
	s := raft.Survey{Voters: c.wantedVoters(), Alive: make(map[string]bool), Replaced: make(map[string]bool), Silent: make(map[string]bool)}
	for _, r := range m.GetReplicas() {
		v := c.vms.Find(r.Vm)
		heard := c.start
		if v != nil {
			s.Replaced[r.Id] = v.ReplicaID != r.Id
			s.Alive[r.Id] = v.Alive(now) && v.ReplicaID == r.Id
			heard = v.Heard
		}
		s.Silent[r.Id] = now.Sub(heard) > c.SpareAfter && now.Sub(c.start) > c.SpareAfter
	}
	for _, v := range c.spares(now, m) {
		s.Spares = append(s.Spares, &raft.Replica{Id: v.ReplicaID, Vm: v.Name})
	}
	return s
}

// wantedVoters returns the number of voters of which DiskLosses may lose their disks, 0 for no such number.
func (c *Control) wantedVoters() int {
	if c.DiskLosses == 0 {
		return 0
	}
	return 2*c.DiskLosses + 1
}

// spares returns the VMs that can hold a replica, those in data centres with the fewest members first.
func (c *Control) spares(now time.Time, m *raft.Membership) []vm.Entry {
	members := make(map[string]int)
	for _, r := range m.GetReplicas() {
		if v := c.vms.Find(r.Vm); v != nil {
			members[v.DataCentre]++
		}
	}
	var spares []vm.Entry
	for _, v := range c.vms.Entries() {
		if v.ReplicaID != "" && !v.Stopping && v.Alive(now) {
			spares = append(spares, v)
		}
	}
	slices.SortStableFunc(spares, func(a, b vm.Entry) int { return cmp.Compare(members[a.DataCentre], members[b.DataCentre]) })
	return spares
}

// handOver gives leadership to the voter that has most of the log.
func (c *Control) handOver() {
	if c.replica == nil {
		return
	}
	status := c.replica.core.Status()
	alive := c.survey(c.Clock.Now(), status.Membership).Alive
	best := ""
	for _, r := range status.Membership.GetReplicas() {
		if r.Learner || r.Id == status.ID || !alive[r.Id] || c.vms.Find(r.Vm).Stopping {
			continue
		}
		if best == "" || status.Match[r.Id] > status.Match[best] {
			best = r.Id
		}
	}
	if best != "" && c.replica.core.Transfer(best) {
		c.Log.Log(event.LeaderHandedOver, "to", c.vmOfReplica(best))
	}
}
