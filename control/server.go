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

// Exchange records the state in another VM's request and replies with this VM's state changes.
func (c *Control) Exchange(ctx context.Context, r *link.ExchangeRequest) (*link.ExchangeReply, error) {
	if err := checkSender(r.Sender); err != nil {
		return nil, err
	}
	var reply *link.ExchangeReply
	if err := c.do(ctx, func() { reply = c.buildExchangeReply(r) }); err != nil {
		return nil, err // the call may still set reply
	}
	return reply, nil
}

// checkSender returns an error for an exchange without the description of the VM that sends it.
func checkSender(v *link.VM) error {
	if v.GetName() == "" {
		return status.Error(codes.InvalidArgument, "the sender is missing; send the VM's own description")
	}
	return nil
}

// buildExchangeReply merges the sender's state and returns what changed since the revisions in the request. A sender
// that has seen another incarnation of this VM gets the full state.
func (c *Control) buildExchangeReply(r *link.ExchangeRequest) *link.ExchangeReply {
	now := c.Clock.Now()
	if r.Sender.Name != c.Name {
		c.recordVM(now, r.Sender, now)
	}
	c.mergeSpend(r.Spend)
	c.mergePaces(r.Paces)
	c.mergeCrashEvidence(now, r)
	c.mergeDepartures(r.Departures)
	c.mergeLimits(now, r.Limits)
	c.recordStatedLimits()
	since := syncRevisions{c.Incarnation, r.SpendSince, r.EndpointsSince, r.RenewalsSince, r.OthersSince, r.LimitsSince}
	if r.ReceiverIncarnation != c.Incarnation {
		since = syncRevisions{}
	}
	reply := &link.ExchangeReply{Sender: c.describeSelf(), OthersRevision: c.vms.Revision()}
	if since.others < reply.OthersRevision {
		reply.Others = c.describeOthers(now, since.others)
	}
	c.addEndpointChanges(now, since, reply)
	c.addSpendChanges(since.spend, reply)
	reply.SuspectParts = c.Crashes.Suspects(now)
	reply.Quarantines = encodeQuarantines(now, c.Crashes.Quarantines(now))
	reply.Group = withoutPositions(c.currentGroup())
	reply.Limits, reply.LimitsRevision = c.limitsSince(since.limits)
	reply.EvacuationState = c.describeEvacuations(r.EvacuationVersion)
	return reply
}

// withoutPositions omits the fields that are current only in the leader's own reply: the replication positions and
// Repaired.
func withoutPositions(g *link.Group) *link.Group {
	if g == nil {
		return nil
	}
	return &link.Group{Id: g.Id, LeaderVm: g.LeaderVm, Term: g.Term, Commit: g.Commit, Membership: g.Membership}
}

// Deliver passes Raft messages to this VM's replica, and returns its messages for the sender.
func (c *Control) Deliver(ctx context.Context, r *link.DeliverRequest) (*link.DeliverReply, error) {
	reply := &link.DeliverReply{}
	err := c.do(ctx, func() {
		for _, m := range r.Messages {
			c.handleMessage(m)
		}
		if r.TakesReplies && len(r.Messages) > 0 {
			reply.Messages = c.takeReplies(r.Messages[0].From)
		}
	})
	if err != nil {
		return nil, err // the call may still set reply
	}
	return reply, nil
}

// FindOrder reads the ledger's record of an order from this VM's replica. The record may be stale; it is unset if there
// is no replica or no record.
func (c *Control) FindOrder(ctx context.Context, r *link.FindOrderRequest) (*link.FindOrderReply, error) {
	reply := &link.FindOrderReply{}
	err := c.do(ctx, func() {
		if c.replica != nil {
			reply.Record = c.replica.machine.FindOrder(r.Key)
		}
	})
	return reply, err
}

// FetchDocument returns this VM's active document.
func (c *Control) FetchDocument(ctx context.Context, _ *link.FetchDocumentRequest) (*link.FetchDocumentReply, error) {
	reply := &link.FetchDocumentReply{}
	err := c.do(ctx, func() { reply.Document = c.storedDocument })
	return reply, err
}

// describeSelf returns the description of this VM that it sends to other VMs.
func (c *Control) describeSelf() *link.VM {
	v := &link.VM{
		Name: c.Name, Incarnation: c.Incarnation, DataCentre: c.DataCentre, LinkAddr: c.LinkAddr.String(),
		OperatorsAddr: c.OperatorsAddr.String(), CallersAddr: c.CallersAddr.String(),
		DocumentVersion: c.storedDocument.GetVersion(), Stopping: c.stopping, Capacity: c.Capacity,
	}
	if c.Folder != nil && c.Folder.Stored() {
		v.ReplicaId = c.Folder.Identity.ReplicaID
	}
	return v
}

// describeOthers returns the descriptions of the other VMs that changed after the revision since. Their ages are at least
// 1 ms, since 0 marks a VM's description of itself, and at least vm.AliveTimeout for VMs that this VM sees as lost.
func (c *Control) describeOthers(now time.Time, since uint64) []*link.VM {
	var out []*link.VM
	for _, e := range c.vms.Sorted() {
		if e.Revision <= since {
			continue
		}
		age := max(time.Millisecond, now.Sub(e.LastReported))
		if !e.Alive(now) {
			age = max(age, vm.AliveTimeout)
		}
		out = append(out, &link.VM{
			Name: e.Name, Incarnation: e.Incarnation, DataCentre: e.DataCentre, LinkAddr: e.LinkAddr.String(),
			OperatorsAddr: e.OperatorsAddr.String(), CallersAddr: e.CallersAddr.String(), ReplicaId: e.ReplicaID,
			DocumentVersion: e.DocumentVersion, Stopping: e.Stopping, Capacity: e.Capacity,
			AgeMs: age.Milliseconds(),
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

// findOrderAt reads a record from the replica of a peer, or of this VM if p is nil.
func (c *Control) findOrderAt(ctx context.Context, p *peer, k *order.Key) (*order.Record, error) {
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
