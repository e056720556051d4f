package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"godwitplank"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
)

// Announce takes an endpoint's own announcement.
func (c *Control) Announce(ctx context.Context, a godwitplank.Announcement, tokenSHA256 string) (godwitplank.Lease, error) {
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil || a.EndpointID == "" || a.Pool == "" {
		return godwitplank.Lease{}, fault.New(fault.BadRequest, "the announcement needs endpoint_id, pool and an address as ip:port; send all three")
	}
	e := endpoint.Entry{Announcement: a, TokenSHA256: tokenSHA256, Addr: addr, Source: endpoint.Direct}
	var lease godwitplank.Lease
	var failure error
	err = c.do(ctx, func() { lease, failure = c.takeAnnouncement(e) })
	if err != nil {
		return lease, err
	}
	return lease, failure
}

func (c *Control) takeAnnouncement(e endpoint.Entry) (godwitplank.Lease, error) {
	if c.document == nil {
		return godwitplank.Lease{}, fault.New(fault.NoDocument, "this VM has no document yet; announce again in a second")
	}
	if !c.document.KnowsToken(e.TokenSHA256) {
		return godwitplank.Lease{}, fault.New(fault.WrongToken, "no endpoint admission has this token; send the pool's endpoint token as Authorization: Bearer")
	}
	now := c.Clock.Now()
	admitted := c.document.Admits(e.Pool, e.EndpointID, e.TokenSHA256)
	switch verdict := c.endpoints.Announce(now, e, godwitplank.LeaseDuration); verdict {
	case endpoint.Clash:
		c.dirty = true
		c.Log.Log(event.EndpointClash, "endpoint", e.EndpointID, "address", e.Address)
		return godwitplank.Lease{}, fault.New(fault.EndpointConflict, "another live machine holds endpoint id %q or address %s; give each endpoint its own", e.EndpointID, e.Address)
	case endpoint.Changed:
		c.dirty = true
		c.logEndpoint(e, admitted)
	}
	c.stat(&e).Report(e.Load.Running, e.Load.Queued)
	return godwitplank.Lease{LeaseMS: godwitplank.LeaseDuration.Milliseconds(), Admitted: admitted}, nil
}

func (c *Control) logEndpoint(e endpoint.Entry, admitted bool) {
	if e.Leaving {
		c.Log.Log(event.EndpointLeaving, "endpoint", e.EndpointID, "incarnation", e.Incarnation)
		return
	}
	c.Log.Log(event.EndpointHeard, "endpoint", e.EndpointID, "pool", e.Pool, "incarnation", e.Incarnation, "admitted", admitted)
}

// tellEndpoints adds what this VM heard from endpoints themselves, with what is left of each lease: whole where it
// changed since a revision, else the renewal.
func (c *Control) tellEndpoints(now time.Time, since uint64, reply *link.ExchangeReply) {
	reply.EndpointsRevision = c.endpoints.Revision()
	for _, e := range c.endpoints.Entries() {
		left := e.Expires.Sub(now)
		if e.Source != endpoint.Direct || left < -goodbyeSpread || (left <= 0 && !e.Leaving) {
			continue
		}
		if e.Revision <= since {
			reply.Renewals = append(reply.Renewals, &link.Renewal{
				EndpointId: e.EndpointID, Incarnation: e.Incarnation, Sequence: e.Sequence, LeaseLeftMs: left.Milliseconds(),
				Running: int64(e.Load.Running), Queued: int64(e.Load.Queued),
			})
			continue
		}
		data, err := json.Marshal(e.Announcement)
		if err != nil {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, &link.Endpoint{Announcement: data, LeaseLeftMs: left.Milliseconds(), TokenSha256: e.TokenSHA256, Open: e.Open})
	}
}

// goodbyeSpread is how long after its lease an endpoint's goodbye is still told to other VMs.
const goodbyeSpread = 10 * time.Second

// takeRelayed takes the endpoints of another VM; asked is when this VM sent the question, so that
// a delayed answer never makes a lease longer.
func (c *Control) takeRelayed(asked time.Time, relayed []*link.Endpoint) {
	now := c.Clock.Now()
	for _, r := range relayed {
		e := endpoint.Entry{TokenSHA256: r.TokenSha256, Source: endpoint.Relayed, Open: r.Open}
		if json.Unmarshal(r.Announcement, &e.Announcement) != nil {
			continue
		}
		addr, err := netip.ParseAddrPort(e.Address)
		if err != nil {
			continue
		}
		e.Addr = addr
		c.takeEntry(now, e, asked.Add(time.Duration(r.LeaseLeftMs)*time.Millisecond).Sub(now))
	}
}

func (c *Control) takeEntry(now time.Time, e endpoint.Entry, left time.Duration) {
	switch c.endpoints.Announce(now, e, left) {
	case endpoint.Changed:
		c.dirty = true
	case endpoint.Renewed:
	default:
		return
	}
	c.stat(&e).Report(e.Load.Running, e.Load.Queued)
}

// takeRenewals takes new leases and loads. False means that an endpoint is not known here and has to be told whole.
func (c *Control) takeRenewals(asked time.Time, renewals []*link.Renewal) bool {
	now := c.Clock.Now()
	known := true
	for _, r := range renewals {
		old := c.endpoints.Find(r.EndpointId)
		if old == nil || old.Incarnation < r.Incarnation {
			known = false
			continue
		}
		if old.Incarnation > r.Incarnation {
			continue
		}
		e := *old
		e.Source = endpoint.Relayed
		e.Sequence = r.Sequence
		e.Load = godwitplank.Load{Running: int(r.Running), Queued: int(r.Queued)}
		c.takeEntry(now, e, asked.Add(time.Duration(r.LeaseLeftMs)*time.Millisecond).Sub(now))
	}
	return known
}
