package control

import (
	"net/netip"
	"slices"
	"strings"

	"godwitplank/document"
	"godwitplank/raft"
)

// SeedReplicaID returns the replica id of an initial voter. It depends only on the VM's link address, so that every
// initial voter can compute the initial membership without contacting the others.
func SeedReplicaID(linkAddr netip.AddrPort) string {
	return "seed-" + linkAddr.String()
}

// IsSeed reports whether a link address belongs to an initial voter, given the joined addresses.
func IsSeed(linkAddr netip.AddrPort, join []netip.AddrPort) bool {
	return slices.Contains(initialVoters(join), linkAddr)
}

// initialVoters returns the joined addresses that form the initial group, sorted and without duplicates. The last one
// is left out if their number is even.
func initialVoters(join []netip.AddrPort) []netip.AddrPort {
	voters := slices.Clone(join)
	slices.SortFunc(voters, netip.AddrPort.Compare)
	voters = slices.Compact(voters)
	if len(voters) > 0 && len(voters)%2 == 0 {
		voters = voters[:len(voters)-1]
	}
	return voters
}

// initialMembership returns the membership of the initial group. It is the same on every VM that has the same joined
// addresses. VMs are named by their IP addresses.
func initialMembership(join []netip.AddrPort) *raft.Membership {
	m := &raft.Membership{}
	var ids []string
	for _, addr := range initialVoters(join) {
		id := SeedReplicaID(addr)
		ids = append(ids, id)
		m.Replicas = append(m.Replicas, &raft.Replica{Id: id, Vm: addr.Addr().String()})
	}
	m.Group = document.SHA256([]byte(strings.Join(ids, "\n")))[:32]
	return m
}

// bootstrap starts the initial group on an initial voter. The settings determine the membership, so that the voters
// need not contact each other first, and starting again creates the same group.
func (c *Control) bootstrap() error {
	if !c.Bootstrap || c.Folder == nil || c.replica != nil {
		return nil
	}
	m := initialMembership(c.Join)
	if !slices.ContainsFunc(m.Replicas, func(r *raft.Replica) bool { return r.Id == c.Folder.Identity.ReplicaID }) {
		return nil
	}
	existing, err := c.Folder.Group()
	if err != nil || (existing != nil && existing.Group != m.Group) {
		return err
	}
	if existing == nil {
		if err := c.Folder.SetGroup(m); err != nil {
			return err
		}
	}
	return c.startGroup(m)
}
