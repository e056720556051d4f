package control

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/order"
	"godwitplank/raft"
	"godwitplank/state"
	"godwitplank/timer"
)

const (
	proposeTimeout = 1 * time.Second
	proposePause   = 30 * time.Millisecond
)

// propose has a command committed. It tries again until ctx ends, since every command is idempotent.
// After its error the command may still be committed.
func (c *Control) propose(ctx context.Context, command *state.Command) (*state.Result, error) {
	command.Id = uuid.NewString()
	hint := ""
	begun := c.Clock.Now()
	for {
		result, next := c.proposeOnce(ctx, command, hint)
		if result != nil {
			c.Meter.Commit(c.Clock.Now().Sub(begun))
			return result, nil
		}
		hint = next
		if timer.Wait(ctx, proposePause) != nil {
			return nil, fault.New(fault.NoQuorum, "no majority of the group's voters can be reached from this VM; try again, or ask a VM of another data centre")
		}
	}
}

// proposeOnce asks the VM that is thought to lead, and returns a better guess if it does not.
func (c *Control) proposeOnce(ctx context.Context, command *state.Command, hint string) (*state.Result, string) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var target string
	var p *peer
	err := c.do(ctx, func() {
		target = c.guessLeader(hint)
		p = c.peerOf(target)
	})
	if err != nil || target == "" || (target != c.Name && p == nil) {
		return nil, ""
	}
	request := &link.ProposeRequest{Command: command}
	var reply *link.ProposeReply
	if target == c.Name {
		reply, err = c.Propose(ctx, request)
	} else {
		reply, err = p.client().Propose(ctx, request)
	}
	if err != nil {
		return nil, ""
	}
	return reply.Result, reply.LeaderVm
}

// guessLeader returns the VM that leads, or one that may know.
func (c *Control) guessLeader(hint string) string {
	if hint != "" {
		return hint
	}
	if c.replica != nil {
		s := c.replica.core.Status()
		if s.Leader != "" {
			return c.vmOfReplica(s.Leader)
		}
	}
	g := c.groupView()
	now := c.Clock.Now()
	if v := c.vms.Find(g.GetLeaderVm()); v != nil && v.Alive(now) {
		return g.LeaderVm
	}
	for _, r := range g.GetMembership().GetReplicas() {
		if v := c.vms.Find(r.Vm); !r.Learner && v != nil && v.Alive(now) {
			return r.Vm
		}
	}
	return ""
}

// Propose commits a command if this VM leads.
func (c *Control) Propose(ctx context.Context, r *link.ProposeRequest) (*link.ProposeReply, error) {
	reply := &link.ProposeReply{}
	var waiter chan *state.Result
	err := c.do(ctx, func() { waiter = c.proposeHere(r.Command, reply) })
	if err != nil || waiter == nil {
		return reply, err
	}
	select {
	case result, ok := <-waiter:
		if ok {
			reply.Taken = true
			reply.Result = result
		}
		return reply, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-c.done:
		return nil, errStopped
	}
}

func (c *Control) proposeHere(command *state.Command, reply *link.ProposeReply) chan *state.Result {
	if c.replica == nil {
		return nil
	}
	s := c.replica.core.Status()
	if s.Role != raft.Leader {
		if s.Leader != "" {
			reply.LeaderVm = c.vmOfReplica(s.Leader)
		}
		return nil
	}
	stamped := proto.CloneOf(command)
	stamped.TimeMs = c.Clock.Now().UnixMilli()
	data, err := proto.Marshal(stamped)
	if err != nil || !c.replica.core.Propose(data) {
		return nil
	}
	waiter := make(chan *state.Result, 1)
	c.replica.waiters[stamped.Id] = append(c.replica.waiters[stamped.Id], waiter)
	return waiter
}

// ChangeDocument has a document accepted, or refused with the version in force.
func (c *Control) ChangeDocument(ctx context.Context, d *state.DocumentChange) (*state.DocumentResult, error) {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Document{Document: d}})
	return result.GetDocument(), err
}

// ChangeOrder has a change of the ledger committed and returns the record after it.
func (c *Control) ChangeOrder(ctx context.Context, change *order.Change) (*order.Record, error) {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Order{Order: change}})
	return result.GetOrder(), err
}

// FindOrderRecord reads a record from any voter that answers; it may be older than the newest.
func (c *Control) FindOrderRecord(ctx context.Context, k *order.Key) (*order.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var p *peer
	err := c.do(ctx, func() {
		if name := c.guessLeader(""); name != c.Name {
			p = c.peerOf(name)
		}
	})
	if err != nil {
		return nil, err
	}
	return c.findOrder(ctx, p, k)
}
