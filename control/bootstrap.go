package control

import (
	"net/netip"
	"slices"
	"strings"

	"godwitplank/document"
	"godwitplank/raft"
)

// SeedReplica returns the replica id of a VM that is one of the first voters. It depends on the VM's link address
// alone, so that each of them knows the whole first membership without asking.
func SeedReplica(link netip.AddrPort) string {
	return "seed-" + link.String()
}

// IsSeed reports whether a link address is among those that a first group is made of.
func IsSeed(link netip.AddrPort, join []netip.AddrPort) bool {
	return slices.Contains(firstVoters(join), link)
}

// firstVoters returns the joined addresses that make the first group: an odd number of them, in order.
func firstVoters(join []netip.AddrPort) []netip.AddrPort {
	voters := slices.Clone(join)
	slices.SortFunc(voters, netip.AddrPort.Compare)
	voters = slices.Compact(voters)
	if len(voters) > 0 && len(voters)%2 == 0 {
		voters = voters[:len(voters)-1]
	}
	return voters
}

// firstMembership is the same at every VM with the same joined addresses. A VM is named by its IP address.
func firstMembership(join []netip.AddrPort) *raft.Membership {
	m := &raft.Membership{}
	var ids []string
	for _, addr := range firstVoters(join) {
		id := SeedReplica(addr)
		ids = append(ids, id)
		m.Replicas = append(m.Replicas, &raft.Replica{Id: id, Vm: addr.Addr().String()})
	}
	m.Group = document.SHA256([]byte(strings.Join(ids, "\n")))[:32]
	return m
}

// bootstrap starts the first group at a VM that is one of its voters. Since the membership is fixed by the settings,
// the voters need not hear of each other first, and a second start makes the same group.
func (c *Control) bootstrap() error {
	if !c.Bootstrap || c.Folder == nil || c.replica != nil {
		return nil
	}
	m := firstMembership(c.Join)
	if !slices.ContainsFunc(m.Replicas, func(r *raft.Replica) bool { return r.Id == c.Folder.Identity.ReplicaID }) {
		return nil
	}
	have, err := c.Folder.Group()
	if err != nil || (have != nil && have.Group != m.Group) {
		return err
	}
	if have == nil {
		if err := c.Folder.SetGroup(m); err != nil {
			return err
		}
	}
	return c.startGroup(m)
}
