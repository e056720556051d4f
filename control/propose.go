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
	// evacuationProposeTimeout is shorter, since each second of an evacuation that is not acknowledged is costly: a leader that
	// is paused or unreachable must not delay the command longer than the election of another one. A command that is still
	// sent twice has an effect only once.
	evacuationProposeTimeout = 250 * time.Millisecond
	proposeRetryInterval     = 30 * time.Millisecond
)

// propose commits a command through the leader. It retries until ctx ends, which is safe since every command is
// idempotent, and then returns an error of kind NoQuorum. After an error the command may still be committed.
func (c *Control) propose(ctx context.Context, command *state.Command) (*state.Result, error) {
	command.Id = uuid.NewString()
	hint := ""
	started := c.Clock.Now()
	for {
		result, next := c.proposeOnce(ctx, command, hint)
		if result != nil {
			c.Meter.RecordCommit(c.Clock.Now().Sub(started))
			return result, nil
		}
		hint = next
		if timer.Wait(ctx, proposeRetryInterval) != nil {
			return nil, fault.New(fault.NoQuorum, "no majority of the group's voters can be reached from this VM; try again, or ask a VM of another data centre")
		}
	}
}

// proposeOnce sends a command to the likely leader. If that VM does not lead, it returns the leader hint of its reply.
func (c *Control) proposeOnce(ctx context.Context, command *state.Command, hint string) (*state.Result, string) {
	d := command.GetDocument()
	timeout := sizedTimeout(proposeTimeout, len(d.GetCanonical())+len(d.GetSource()))
	if command.GetEvacuation() != nil {
		timeout = evacuationProposeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var target string
	var p *peer
	err := c.do(ctx, func() {
		target = c.guessLeader(hint)
		p = c.peerFor(target)
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

// guessLeader returns the hint if there is one, else the last known leader, else an alive voter that may know the
// leader. It returns "" if there is none.
func (c *Control) guessLeader(hint string) string {
	if hint != "" {
		return hint
	}
	if c.replica != nil {
		s := c.replica.core.Status()
		if s.Leader != "" {
			return c.vmForReplica(s.Leader)
		}
	}
	g := c.currentGroup()
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

// Propose commits a command if this VM leads. Otherwise Taken is false in the reply, which names the leader if known.
func (c *Control) Propose(ctx context.Context, r *link.ProposeRequest) (*link.ProposeReply, error) {
	reply := &link.ProposeReply{}
	var waiter chan *state.Result
	err := c.do(ctx, func() { waiter = c.proposeLocally(r.Command, reply) })
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

func (c *Control) proposeLocally(command *state.Command, reply *link.ProposeReply) chan *state.Result {
	if c.replica == nil {
		return nil
	}
	s := c.replica.core.Status()
	if s.Role != raft.Leader {
		if s.Leader != "" {
			reply.LeaderVm = c.vmForReplica(s.Leader)
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

// ChangeDocument proposes a document. The result says whether it was accepted, or else has the current version.
func (c *Control) ChangeDocument(ctx context.Context, d *state.DocumentChange) (*state.DocumentResult, error) {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Document{Document: d}})
	return result.GetDocument(), err
}

// ChangeOrder commits a change to the ledger of orders and returns the resulting record.
func (c *Control) ChangeOrder(ctx context.Context, change *order.Change) (*order.Record, error) {
	result, err := c.propose(ctx, &state.Command{Change: &state.Command_Order{Order: change}})
	return result.GetOrder(), err
}

// FindOrderRecord reads the ledger's record of an order from the likely leader, or from this VM's own replica if there
// is no peer to ask. The record may be stale.
func (c *Control) FindOrderRecord(ctx context.Context, k *order.Key) (*order.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var p *peer
	err := c.do(ctx, func() {
		if name := c.guessLeader(""); name != c.Name {
			p = c.peerFor(name)
		}
	})
	if err != nil {
		return nil, err
	}
	return c.findOrderAt(ctx, p, k)
}
