package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"godwitplank/disk"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/state"
	"godwitplank/timer"
)

// firstIndex is the log index that a group's initial snapshot covers.
const firstIndex = 1

// CreateGroup creates the Raft group with the named VMs as voters. It is idempotent: a retry returns the same
// group. It returns an error of kind BadRequest, GroupExists or GroupUnreachable if the group cannot be created.
func (c *Control) CreateGroup(ctx context.Context, voters []string) (*raft.Membership, error) {
	voters = slices.Compact(slices.Sorted(slices.Values(voters)))
	if len(voters)%2 == 0 {
		return nil, fault.New(fault.BadRequest, "%d voters were named; name an odd number of VMs that have a data folder", len(voters))
	}
	if known := c.View().Group; known.GetId() != "" {
		// This VM may not have the leader's latest state yet.
		return sameGroup(c.Group(ctx).GetMembership(), voters)
	}
	m := &raft.Membership{}
	for _, name := range voters {
		reply, err := c.sendFormStep(ctx, name, &link.FormGroupRequest{Step: link.FormStep_INSPECT})
		if err != nil {
			return nil, err
		}
		if reply.Membership.GetGroup() != "" && len(reply.Membership.Replicas) == 0 {
			return nil, fault.New(fault.GroupExists, "VM %s belongs to a group already; run the command group show to see it", name)
		}
		m.Replicas = append(m.Replicas, &raft.Replica{Id: reply.Vm.ReplicaId, Vm: name})
	}
	if err := c.do(ctx, func() { m.InitialImage = state.InitialImage(c.storedDocument, c.evacuations.set) }); err != nil {
		return nil, err
	}
	m.Group = groupID(m)
	return m, c.startVoters(ctx, m)
}

// startVoters prepares every voter and starts them only once all are prepared. If one cannot be prepared, it abandons
// the creation on those that are.
func (c *Control) startVoters(ctx context.Context, m *raft.Membership) error {
	for i, r := range m.Replicas {
		_, err := c.sendFormStep(ctx, r.Vm, &link.FormGroupRequest{Step: link.FormStep_PREPARE, Membership: m})
		if err == nil {
			continue
		}
		for _, prepared := range m.Replicas[:i] {
			_, _ = c.sendFormStep(ctx, prepared.Vm, &link.FormGroupRequest{Step: link.FormStep_ABANDON, Membership: m})
		}
		return err
	}
	for _, r := range m.Replicas {
		if _, err := c.sendFormStep(ctx, r.Vm, &link.FormGroupRequest{Step: link.FormStep_START, Membership: m}); err != nil {
			return err
		}
	}
	return nil
}

// groupID derives the group id from the voters and the initial state, so that a retried creation gets the same id.
func groupID(m *raft.Membership) string {
	var ids []string
	for _, r := range m.Replicas {
		ids = append(ids, r.Id)
	}
	ids = append(ids, document.SHA256(m.InitialImage))
	return document.SHA256([]byte(strings.Join(ids, "\n")))[:32]
}

// sameGroup returns m if its voters are on the named VMs, else an error of kind GroupExists.
func sameGroup(m *raft.Membership, voters []string) (*raft.Membership, error) {
	var current []string
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			current = append(current, r.Vm)
		}
	}
	slices.Sort(current)
	current = slices.Compact(current) // a VM has two replicas while a new one replaces its old one
	if slices.Equal(current, voters) {
		return m, nil
	}
	return nil, fault.New(fault.GroupExists, "the group exists with the voters %s; a group is created only once, and lost VMs are replaced automatically", strings.Join(current, ","))
}

// sendFormStep runs one step of a group creation on the named VM, which may be this one.
func (c *Control) sendFormStep(ctx context.Context, name string, r *link.FormGroupRequest) (*link.FormGroupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, formStepTimeout)
	defer cancel()
	var reply *link.FormGroupReply
	var err error
	if name == c.Name {
		reply, err = c.FormGroup(ctx, r)
	} else {
		p := c.awaitPeer(ctx, name)
		if p == nil {
			return nil, fault.New(fault.GroupUnreachable, "VM %s is not known to this VM; start it, or check --join", name)
		}
		reply, err = callWithReconnect(ctx, p, func(client link.LinkClient) (*link.FormGroupReply, error) { return client.FormGroup(ctx, r) })
	}
	if err != nil {
		return nil, fault.New(fault.GroupUnreachable, "VM %s does not respond (%v); start it and send the same command again", name, err)
	}
	if reply.Refused != "" {
		return nil, fault.New(fault.GroupExists, "VM %s: %s", name, reply.Refused)
	}
	return reply, nil
}

// awaitPeer returns the peer of a VM. It waits for one until ctx ends, since a VM may be known before this VM connects
// to it. It returns nil if there is none.
func (c *Control) awaitPeer(ctx context.Context, name string) *peer {
	for {
		var p *peer
		if c.do(ctx, func() { p = c.peerFor(name) }) != nil {
			return nil
		}
		if p != nil || timer.Wait(ctx, peerPollInterval) != nil {
			return p
		}
	}
}

// Timing of the steps of a group creation.
const (
	formStepTimeout  = 2 * time.Second
	peerPollInterval = 50 * time.Millisecond
)

// FormGroup runs one step of a group creation on this VM. If the VM refuses the step, the reply has the reason.
func (c *Control) FormGroup(ctx context.Context, r *link.FormGroupRequest) (*link.FormGroupReply, error) {
	reply := &link.FormGroupReply{}
	var failure error
	err := c.do(ctx, func() {
		reply.Vm = c.describeSelf()
		reply.Refused, failure = c.handleFormStep(r, reply)
	})
	if err == nil {
		err = failure
	}
	return reply, err
}

func (c *Control) handleFormStep(r *link.FormGroupRequest, reply *link.FormGroupReply) (refused string, err error) {
	if c.Folder == nil {
		return "it has no data folder; name VMs that run with --data_dir", nil
	}
	if !c.Folder.Stored() {
		return "its disk is full and its data folder has no identity yet; free space on the disk", nil
	}
	existing, err := c.Folder.Group()
	if err != nil {
		return "", err
	}
	reply.Membership = existing
	if c.replica != nil && c.replica.core.Group != r.Membership.GetGroup() && r.Step != link.FormStep_INSPECT {
		return "it belongs to another group; run the command group show to see it", nil
	}
	same := existing != nil && existing.Group == r.Membership.GetGroup()
	switch r.Step {
	case link.FormStep_PREPARE:
		if c.knownGroup.GetId() != "" && c.knownGroup.Id != r.Membership.Group {
			return "a group exists already; run the command group show to see it", nil
		}
		if existing != nil && !same {
			return fmt.Sprintf("it is prepared for a group of %s; retry that command, or wait until that creation is abandoned", vmNames(existing)), nil
		}
		return "", c.Folder.SetGroup(r.Membership)
	case link.FormStep_START:
		if !same {
			return "it is not prepared for this group; send the command again", nil
		}
		if c.replica == nil {
			return "", c.startGroup(existing)
		}
	case link.FormStep_ABANDON:
		if same && c.replica == nil {
			return "", c.Folder.SetGroup(nil)
		}
	}
	return "", nil
}

// startGroup stores the initial snapshot, which is the same on all voters, and starts the replica. A start that a full disk
// interrupted is continued from what it stored.
func (c *Control) startGroup(created *raft.Membership) error {
	m := &raft.Membership{Group: created.Group, Replicas: created.Replicas}
	log, stored, err := disk.OpenLog(c.Folder)
	if err != nil {
		return err
	}
	if stored.Started() {
		c.startReplica(m.Group, log, stored)
		return nil
	}
	first := &raft.Snapshot{Index: firstIndex, Term: 1, Membership: m, Data: created.InitialImage}
	hardState := &raft.HardState{Term: 1, Commit: firstIndex}
	if err := log.Compact(first, hardState, nil); err != nil {
		return errors.Join(err, log.Close())
	}
	c.startReplica(m.Group, log, &disk.Stored{HardState: hardState, Snapshot: first})
	c.Log.Log(event.GroupStarted, "group", m.Group, "voters", vmNames(m))
	return nil
}

// discardLostGroup discards the known group if all its replicas have lost their data, so that a new group can be
// created.
func (c *Control) discardLostGroup() {
	if c.knownGroup != nil && c.replica == nil && c.allReplicasReplaced(c.knownGroup.Membership) {
		c.knownGroup = nil
	}
}

// allReplicasReplaced reports whether the VM of every replica is alive with a different data folder. A silent VM does
// not count as replaced: its folder may be intact.
func (c *Control) allReplicasReplaced(m *raft.Membership) bool {
	now := c.Clock.Now()
	for _, r := range m.GetReplicas() {
		if r.Vm == c.Name {
			if c.Folder == nil || c.Folder.Identity.ReplicaID == r.Id {
				return false
			}
			continue
		}
		if v := c.vms.Find(r.Vm); v == nil || !v.Alive(now) || v.ReplicaID == r.Id {
			return false
		}
	}
	return len(m.GetReplicas()) > 0
}

// FetchGroup returns the state of the group if this VM leads it, else an empty reply.
func (c *Control) FetchGroup(ctx context.Context, _ *link.FetchGroupRequest) (*link.FetchGroupReply, error) {
	reply := &link.FetchGroupReply{}
	err := c.do(ctx, func() {
		if c.replica != nil && c.replica.core.Status().Role == raft.Leader {
			reply.Group = c.currentGroup()
		}
	})
	return reply, err
}

// Group asks the leader for the state of the group. If the leader does not reply, it returns the locally known state
// with Repaired set to false, since that state may be stale. It returns nil if no group is known or this VM has
// stopped.
func (c *Control) Group(ctx context.Context) *link.Group {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var p *peer
	var leader string
	var known *link.Group
	err := c.do(ctx, func() {
		leader = c.guessLeader("")
		p = c.peerFor(leader)
		known = proto.CloneOf(c.currentGroup())
	})
	reply := &link.FetchGroupReply{}
	switch {
	case err != nil:
		return nil
	case leader == c.Name:
		reply, _ = c.FetchGroup(ctx, nil)
	case p != nil:
		reply, _ = p.client().FetchGroup(ctx, &link.FetchGroupRequest{})
	}
	if reply.GetGroup() != nil {
		return reply.Group
	}
	if known != nil {
		known.Repaired = false
	}
	return known
}

func vmNames(m *raft.Membership) string {
	var names []string
	for _, r := range m.Replicas {
		names = append(names, r.Vm)
	}
	return strings.Join(names, ",")
}

// updateKnownGroup keeps g if it is at least as new as the known state of the group, by term and commit index.
func (c *Control) updateKnownGroup(g *link.Group) {
	if g.GetId() == "" || c.allReplicasReplaced(g.Membership) {
		return
	}
	if c.knownGroup == nil || g.Id != c.knownGroup.Id || g.Term > c.knownGroup.Term || (g.Term == c.knownGroup.Term && g.Commit >= c.knownGroup.Commit) {
		c.knownGroup = g
	}
}

// currentGroup returns the newest state of the group that this VM knows. A leader builds it from its own replica.
func (c *Control) currentGroup() *link.Group {
	if c.replica == nil {
		return c.knownGroup
	}
	status := c.replica.core.Status()
	if status.Role != raft.Leader {
		if c.knownGroup == nil && len(status.Membership.GetReplicas()) > 0 {
			return &link.Group{Id: c.replica.core.Group, Membership: status.Membership}
		}
		return c.knownGroup
	}
	g := &link.Group{
		Id: c.replica.core.Group, LeaderVm: c.Name, Term: status.Term, Commit: status.Commit,
		Membership: status.Membership, Repaired: raft.Repaired(status, c.replicaHealth(c.Clock.Now(), status.Membership)),
	}
	for _, r := range status.Membership.Replicas {
		g.Positions = append(g.Positions, &link.Position{ReplicaId: r.Id, Match: status.Match[r.Id]})
	}
	c.knownGroup = g
	return g
}
