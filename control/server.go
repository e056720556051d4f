package control

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/order"
	"godwitplank/vm"
)

var errStopped = fault.New(fault.Stopping, "this VM is stopping; ask another VM")

// Exchange answers a VM with what this one heard itself.
func (c *Control) Exchange(ctx context.Context, r *link.ExchangeRequest) (*link.ExchangeReply, error) {
	if r.Sender == nil || r.Sender.Name == "" {
		return nil, status.Error(codes.InvalidArgument, "the sender is missing; send the VM's own description")
	}
	var reply *link.ExchangeReply
	err := c.do(ctx, func() { reply = c.answer(r) })
	return reply, err
}

// answer tells a VM what changed since its last question.
func (c *Control) answer(r *link.ExchangeRequest) *link.ExchangeReply {
	now := c.Clock.Now()
	if r.Sender.Name != c.Name {
		c.hear(now, r.Sender, now)
	}
	c.mergeSpend(r.Spend)
	since := seen{c.Incarnation, r.SpendSince, r.EndpointsSince, r.OthersSince}
	if r.ReceiverIncarnation != c.Incarnation {
		since = seen{}
	}
	reply := &link.ExchangeReply{Sender: c.self(), OthersRevision: c.vms.Revision()}
	if since.others < reply.OthersRevision {
		reply.Others = c.others(now)
	}
	c.tellEndpoints(now, since.endpoints, reply)
	c.tellSpend(since.spend, reply)
	reply.Group = withoutPositions(c.groupView())
	return reply
}

// withoutPositions leaves out what only the leader can say of now.
func withoutPositions(g *link.Group) *link.Group {
	if g == nil {
		return nil
	}
	return &link.Group{Id: g.Id, LeaderVm: g.LeaderVm, Term: g.Term, Commit: g.Commit, Membership: g.Membership}
}

// Deliver takes replication messages.
func (c *Control) Deliver(ctx context.Context, r *link.DeliverRequest) (*link.DeliverReply, error) {
	err := c.do(ctx, func() {
		for _, m := range r.Messages {
			c.takeMessage(m)
		}
	})
	return &link.DeliverReply{}, err
}

// FindOrder reads this VM's copy of a record.
func (c *Control) FindOrder(ctx context.Context, r *link.FindOrderRequest) (*link.FindOrderReply, error) {
	reply := &link.FindOrderReply{}
	err := c.do(ctx, func() {
		if c.replica != nil {
			reply.Record = c.replica.machine.FindOrder(r.Key)
		}
	})
	return reply, err
}

// FetchDocument returns the document in force.
func (c *Control) FetchDocument(ctx context.Context, _ *link.FetchDocumentRequest) (*link.FetchDocumentReply, error) {
	reply := &link.FetchDocumentReply{}
	err := c.do(ctx, func() { reply.Document = c.stored })
	return reply, err
}

// self describes this VM.
func (c *Control) self() *link.VM {
	v := &link.VM{
		Name: c.Name, Incarnation: c.Incarnation, DataCentre: c.DataCentre, LinkAddr: c.LinkAddr.String(),
		OperatorsAddr: c.OperatorsAddr.String(), CallersAddr: c.CallersAddr.String(),
		DocumentVersion: c.stored.GetVersion(), Stopping: c.stopping, Capacity: c.Capacity,
	}
	if c.Folder != nil {
		v.ReplicaId = c.Folder.Identity.ReplicaID
	}
	return v
}

func (c *Control) others(now time.Time) []*link.VM {
	var out []*link.VM
	for _, e := range c.vms.Entries() {
		out = append(out, &link.VM{
			Name: e.Name, Incarnation: e.Incarnation, DataCentre: e.DataCentre, LinkAddr: e.LinkAddr.String(),
			OperatorsAddr: e.OperatorsAddr.String(), CallersAddr: e.CallersAddr.String(), ReplicaId: e.ReplicaID,
			DocumentVersion: e.DocumentVersion, Stopping: e.Stopping, Capacity: e.Capacity,
			AgeMs: max(1, now.Sub(e.Mentioned).Milliseconds()),
		})
	}
	return out
}

func vmEntry(v *link.VM) vm.Entry {
	e := vm.Entry{
		Name: v.Name, Incarnation: v.Incarnation, DataCentre: v.DataCentre, ReplicaID: v.ReplicaId,
		DocumentVersion: v.DocumentVersion, Stopping: v.Stopping, Capacity: v.Capacity,
	}
	e.LinkAddr, _ = netip.ParseAddrPort(v.LinkAddr)
	e.OperatorsAddr, _ = netip.ParseAddrPort(v.OperatorsAddr)
	e.CallersAddr, _ = netip.ParseAddrPort(v.CallersAddr)
	return e
}

// findOrder asks a voter, or this VM itself, for its copy of a record.
func (c *Control) findOrder(ctx context.Context, p *peer, k *order.Key) (*order.Record, error) {
	r := &link.FindOrderRequest{Key: k}
	var reply *link.FindOrderReply
	var err error
	if p == nil {
		reply, err = c.FindOrder(ctx, r)
	} else {
		reply, err = p.client().FindOrder(ctx, r)
	}
	return reply.GetRecord(), err
}
