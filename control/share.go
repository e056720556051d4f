package control

import (
	"context"
	"strings"
	"time"

	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/raft"
	"godwitplank/timer"
	"godwitplank/workspace"
)

const shareTimeout = 500 * time.Millisecond

// shareLoop requests this VM's shares of the workspaces' limits from the leader, periodically and as soon as a
// workspace needs more.
func (c *Control) shareLoop(ctx context.Context) {
	if c.Limiter == nil {
		return
	}
	ticks := timer.Subscribe(ctx, workspace.RequestInterval)
	for {
		c.requestShares(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		case <-c.Limiter.GrantNeeded():
		}
	}
}

func (c *Control) requestShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var p *peer
	var leader string
	err := c.do(ctx, func() {
		if c.document != nil && len(c.document.Pipelines) == 0 {
			return // only requests to pipelines are limited
		}
		// Without a document this VM holds nothing, which a new leader has to know before it grants anything to the others.
		c.Limiter.SetVMs(len(c.shareHolders()))
		leader = c.guessLeader("")
		p = c.peerFor(leader)
	})
	if err != nil || leader == "" || (leader != c.Name && p == nil) {
		return
	}
	sentAt := c.Clock.Now()
	request := &link.ShareRequest{Vm: c.Name}
	for _, d := range c.Limiter.Demands(sentAt) {
		request.Demands = append(request.Demands, &link.Demand{
			Workspace: d.Workspace, Rate: d.Rate, Wanted: int64(d.Concurrency), HeldRate: d.Held.Rate, HeldSlots: int64(d.Held.Slots),
		})
	}
	var reply *link.ShareReply
	if leader == c.Name {
		reply, err = c.Share(ctx, request)
	} else {
		reply, err = p.client().Share(ctx, request)
	}
	if err != nil || !reply.Taken {
		return
	}
	var grants []workspace.Grant
	for _, g := range reply.Grants {
		grants = append(grants, workspace.Grant{Workspace: g.Workspace, Amount: workspace.Amount{Rate: g.Rate, Slots: int(g.Slots)}})
	}
	c.Limiter.SetGrants(sentAt, grants)
}

// Share grants a VM its shares of the workspaces' limits if this VM leads and has a document. Otherwise Taken is false
// in the reply.
func (c *Control) Share(ctx context.Context, r *link.ShareRequest) (*link.ShareReply, error) {
	reply := &link.ShareReply{}
	err := c.do(ctx, func() {
		if c.replica == nil || c.document == nil {
			return
		}
		status := c.replica.core.Status()
		if status.Role != raft.Leader {
			return
		}
		c.grantShares(status.Term, r, reply)
	})
	return reply, err
}

// grantShares fills a reply with a VM's shares. The broker is reset in a new term, since it does not know what an
// earlier leader granted.
func (c *Control) grantShares(term uint64, r *link.ShareRequest, reply *link.ShareReply) {
	now := c.Clock.Now()
	if c.brokerTerm != term {
		c.broker.Reset(now)
		c.brokerTerm = term
	}
	var demands []workspace.Demand
	for _, d := range r.Demands {
		demands = append(demands, workspace.Demand{
			Workspace: d.Workspace, Rate: d.Rate, Concurrency: int(d.Wanted),
			Held: workspace.Amount{Rate: d.HeldRate, Slots: int(d.HeldSlots)},
		})
	}
	reply.Taken = true
	holders := c.shareHolders()
	for _, g := range c.broker.RequestGrants(now, r.Vm, holders, c.workspaceLimits, demands) {
		reply.Grants = append(reply.Grants, &link.Grant{Workspace: g.Workspace, Rate: g.Rate, Slots: int64(g.Slots)})
	}
	c.logShares(now, term, holders)
}

// logShares logs, once a term, when this leader began to grant VMs more than they hold already, and which VMs had not reported what
// that is.
func (c *Control) logShares(now time.Time, term uint64, holders []string) {
	if c.sharesLoggedTerm == term || !c.broker.LeasesKnown(now, holders) {
		return
	}
	c.sharesLoggedTerm = term
	c.Log.Log(event.SharesGranted, "term", term, "took_ms", c.broker.Age(now).Milliseconds(), "unreported", strings.Join(c.broker.Unreported(holders), ","))
}

// workspaceLimits returns a workspace's limits in the active document, zero for an unknown workspace.
func (c *Control) workspaceLimits(name string) workspace.Amount {
	w := c.document.Workspace(name)
	if w == nil {
		return workspace.Amount{}
	}
	return workspace.Amount{Rate: w.RequestsPerSecond, Slots: w.ConcurrentRequests}
}

// shareHolders returns the VMs that may be using shares: all known VMs except those that announced their stop and are
// no longer alive.
func (c *Control) shareHolders() []string {
	now := c.Clock.Now()
	names := []string{c.Name}
	for _, v := range c.vms.Sorted() {
		if v.Name != c.Name && (v.Alive(now) || !v.Stopping) {
			names = append(names, v.Name)
		}
	}
	return names
}
