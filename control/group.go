package control

import (
	"context"
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

// firstIndex is the entry that the first snapshot of a group stands for.
const firstIndex = 1

// CreateGroup makes the group once, with the named VMs as voters. The same call again answers the same.
func (c *Control) CreateGroup(ctx context.Context, voters []string) (*raft.Membership, error) {
	voters = slices.Compact(slices.Sorted(slices.Values(voters)))
	if len(voters)%2 == 0 {
		return nil, fault.New(fault.BadRequest, "%d voters were named; name an odd number of VMs that have a data folder", len(voters))
	}
	if known := c.View().Group; known.GetId() != "" {
		// The leader's news may not be here yet.
		return sameGroup(c.Group(ctx).GetMembership(), voters)
	}
	m := &raft.Membership{}
	for _, name := range voters {
		reply, err := c.form(ctx, name, &link.FormGroupRequest{Step: link.FormStep_INSPECT})
		if err != nil {
			return nil, err
		}
		if reply.Membership.GetGroup() != "" && len(reply.Membership.Replicas) == 0 {
			return nil, fault.New(fault.GroupExists, "VM %s belongs to a group already; ask for it with group show", name)
		}
		m.Replicas = append(m.Replicas, &raft.Replica{Id: reply.Vm.ReplicaId, Vm: name})
	}
	if err := c.do(ctx, func() { m.InitialImage = state.FirstImage(c.stored) }); err != nil {
		return nil, err
	}
	m.Group = groupID(m)
	return m, c.formAll(ctx, m)
}

// formAll prepares every voter, and starts them only once all are prepared.
func (c *Control) formAll(ctx context.Context, m *raft.Membership) error {
	for i, r := range m.Replicas {
		_, err := c.form(ctx, r.Vm, &link.FormGroupRequest{Step: link.FormStep_PREPARE, Membership: m})
		if err == nil {
			continue
		}
		for _, prepared := range m.Replicas[:i] {
			_, _ = c.form(ctx, prepared.Vm, &link.FormGroupRequest{Step: link.FormStep_ABANDON, Membership: m})
		}
		return err
	}
	for _, r := range m.Replicas {
		if _, err := c.form(ctx, r.Vm, &link.FormGroupRequest{Step: link.FormStep_START, Membership: m}); err != nil {
			return err
		}
	}
	return nil
}

// groupID is the same for the same voters and first state, so that a resent creation names the same group.
func groupID(m *raft.Membership) string {
	var ids []string
	for _, r := range m.Replicas {
		ids = append(ids, r.Id)
	}
	ids = append(ids, document.SHA256(m.InitialImage))
	return document.SHA256([]byte(strings.Join(ids, "\n")))[:32]
}

func sameGroup(m *raft.Membership, voters []string) (*raft.Membership, error) {
	var have []string
	for _, r := range m.GetReplicas() {
		if !r.Learner {
			have = append(have, r.Vm)
		}
	}
	slices.Sort(have)
	have = slices.Compact(have) // a VM has two replicas while its new one takes the place of its old one
	if slices.Equal(have, voters) {
		return m, nil
	}
	return nil, fault.New(fault.GroupExists, "the group exists with the voters %s; a group is created once, and lost VMs are replaced by themselves", strings.Join(have, ","))
}

// form asks a VM, or this one, to take a step of a creation.
func (c *Control) form(ctx context.Context, name string, r *link.FormGroupRequest) (*link.FormGroupReply, error) {
	ctx, cancel := context.WithTimeout(ctx, formTimeout)
	defer cancel()
	var reply *link.FormGroupReply
	var err error
	if name == c.Name {
		reply, err = c.FormGroup(ctx, r)
	} else {
		p := c.reach(ctx, name)
		if p == nil {
			return nil, fault.New(fault.GroupUnreachable, "VM %s is not known here; start it, or check --join", name)
		}
		reply, err = p.client().FormGroup(ctx, r)
	}
	if err != nil {
		return nil, fault.New(fault.GroupUnreachable, "VM %s does not answer (%v); start it and send the same command again", name, err)
	}
	if reply.Refused != "" {
		return nil, fault.New(fault.GroupExists, "VM %s: %s", name, reply.Refused)
	}
	return reply, nil
}

// reach returns the link to a VM. It waits for one, since a VM may be heard before it was asked itself.
func (c *Control) reach(ctx context.Context, name string) *peer {
	for {
		var p *peer
		if c.do(ctx, func() { p = c.peerOf(name) }) != nil {
			return nil
		}
		if p != nil || timer.Wait(ctx, reachPause) != nil {
			return p
		}
	}
}

// Times of a step of a creation.
const (
	formTimeout = 2 * time.Second
	reachPause  = 50 * time.Millisecond
)

// FormGroup takes a step of a creation at this VM.
func (c *Control) FormGroup(ctx context.Context, r *link.FormGroupRequest) (*link.FormGroupReply, error) {
	reply := &link.FormGroupReply{}
	var failure error
	err := c.do(ctx, func() {
		reply.Vm = c.self()
		reply.Refused, failure = c.takeFormStep(r, reply)
	})
	if err == nil {
		err = failure
	}
	return reply, err
}

func (c *Control) takeFormStep(r *link.FormGroupRequest, reply *link.FormGroupReply) (refused string, err error) {
	if c.Folder == nil {
		return "it has no data folder; name VMs that run with --data_dir", nil
	}
	have, err := c.Folder.Group()
	if err != nil {
		return "", err
	}
	reply.Membership = have
	if c.replica != nil && c.replica.core.Group != r.Membership.GetGroup() && r.Step != link.FormStep_INSPECT {
		return "it belongs to another group; ask for it with group show", nil
	}
	same := have != nil && have.Group == r.Membership.GetGroup()
	switch r.Step {
	case link.FormStep_PREPARE:
		if c.known.GetId() != "" && c.known.Id != r.Membership.Group {
			return "a group exists already; ask for it with group show", nil
		}
		if have != nil && !same {
			return fmt.Sprintf("it is prepared for a group of %s; send that command again, or wait until it is abandoned", vmNames(have)), nil
		}
		return "", c.Folder.SetGroup(r.Membership)
	case link.FormStep_START:
		if !same {
			return "it is not prepared for this group; send the command again", nil
		}
		if c.replica == nil {
			return "", c.startGroup(have)
		}
	case link.FormStep_ABANDON:
		if same && c.replica == nil {
			return "", c.Folder.SetGroup(nil)
		}
	}
	return "", nil
}

// startGroup stores the first snapshot, which is the same at all voters, and starts the replica.
func (c *Control) startGroup(created *raft.Membership) error {
	m := &raft.Membership{Group: created.Group, Replicas: created.Replicas}
	l, _, err := disk.OpenLog(c.Folder)
	if err != nil {
		return err
	}
	first := &raft.Snapshot{Index: firstIndex, Term: 1, Membership: m, Data: created.InitialImage}
	hardState := &raft.HardState{Term: 1, Commit: firstIndex}
	if err := l.Compact(first, hardState, nil); err != nil {
		return err
	}
	c.startReplica(m.Group, l, &disk.Stored{HardState: hardState, Snapshot: first})
	c.Log.Log(event.GroupStarted, "group", m.Group, "voters", vmNames(m))
	return nil
}

// forgetGroup drops a group that is lost for good, so that another may be made.
func (c *Control) forgetGroup() {
	if c.known != nil && c.replica == nil && c.lostForGood(c.known.Membership) {
		c.known = nil
	}
}

// lostForGood reports whether the VM of every replica is alive with another data folder. A VM that is merely
// silent does not count: its folder may be whole.
func (c *Control) lostForGood(m *raft.Membership) bool {
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

// FetchGroup returns the group as this VM knows it, if it leads.
func (c *Control) FetchGroup(ctx context.Context, _ *link.FetchGroupRequest) (*link.FetchGroupReply, error) {
	reply := &link.FetchGroupReply{}
	err := c.do(ctx, func() {
		if c.replica != nil && c.replica.core.Status().Role == raft.Leader {
			reply.Group = c.groupView()
		}
	})
	return reply, err
}

// Group asks the leader for the state of the group. Where it does not answer, the state known here is returned as
// not repaired: it may be old.
func (c *Control) Group(ctx context.Context) *link.Group {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var p *peer
	var leader string
	var known *link.Group
	err := c.do(ctx, func() {
		leader = c.guessLeader("")
		p = c.peerOf(leader)
		known = proto.CloneOf(c.groupView())
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

// takeGroup keeps the newest news of the group.
func (c *Control) takeGroup(g *link.Group) {
	if g.GetId() == "" || c.lostForGood(g.Membership) {
		return
	}
	if c.known == nil || g.Id != c.known.Id || g.Term > c.known.Term || (g.Term == c.known.Term && g.Commit >= c.known.Commit) {
		c.known = g
	}
}

// groupView returns the newest that this VM knows of the group; a leader's own knowledge goes first.
func (c *Control) groupView() *link.Group {
	if c.replica == nil {
		return c.known
	}
	status := c.replica.core.Status()
	if status.Role != raft.Leader {
		if c.known == nil && len(status.Membership.GetReplicas()) > 0 {
			return &link.Group{Id: c.replica.core.Group, Membership: status.Membership}
		}
		return c.known
	}
	g := &link.Group{
		Id: c.replica.core.Group, LeaderVm: c.Name, Term: status.Term, Commit: status.Commit,
		Membership: status.Membership, Repaired: raft.Repaired(status, c.survey(c.Clock.Now(), status.Membership)),
	}
	for _, r := range status.Membership.Replicas {
		g.Positions = append(g.Positions, &link.Position{ReplicaId: r.Id, Match: status.Match[r.Id]})
	}
	c.known = g
	return g
}
