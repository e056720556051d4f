package control

import (
	"context"
	"encoding/json"
	"time"

	"godwitplank"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/state"
)

// Announce handles an announcement that an endpoint sent to this VM. It returns the endpoint's lease, once a departure that
// is announced is recorded, or an error of kind BadRequest, NoDocument, WrongToken, EndpointConflict or NoQuorum.
func (c *Control) Announce(ctx context.Context, a godwitplank.Announcement, tokenSHA256 string) (godwitplank.Lease, error) {
	addr, err := endpoint.Check(&a)
	if err != nil {
		return godwitplank.Lease{}, fault.New(fault.BadRequest, "the announcement is refused: %v; send a correct one", err)
	}
	e := endpoint.Entry{Announcement: a, TokenSHA256: tokenSHA256, Addr: addr, Source: endpoint.Direct}
	var lease godwitplank.Lease
	var failure error
	var departure *state.Departure
	err = c.do(ctx, func() {
		if lease, failure = c.handleAnnouncement(e); failure == nil && a.Leaving {
			departure = c.unrecordedDeparture(a.EndpointID)
		}
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return lease, err
	}
	return lease, c.commitDeparture(ctx, departure)
}

func (c *Control) handleAnnouncement(e endpoint.Entry) (godwitplank.Lease, error) {
	if c.document == nil {
		return godwitplank.Lease{}, fault.New(fault.NoDocument, "this VM has no document yet; announce again in a second")
	}
	if !c.document.KnowsToken(e.TokenSHA256) {
		return godwitplank.Lease{}, fault.New(fault.WrongToken, "no endpoint admission has this token; send the pool's endpoint token as Authorization: Bearer")
	}
	now := c.Clock.Now()
	admitted := c.document.Admits(e.Pool, e.EndpointID, e.TokenSHA256)
	switch result := c.endpoints.Announce(now, e, godwitplank.LeaseDuration); result {
	case endpoint.Conflict:
		c.viewStale = true
		c.Log.Log(event.EndpointConflict, "endpoint", e.EndpointID, "address", e.Address)
		return godwitplank.Lease{}, fault.New(fault.EndpointConflict, "another live machine holds endpoint id %q or address %s; give each endpoint its own", e.EndpointID, e.Address)
	case endpoint.Changed:
		c.viewStale = true
		c.logEndpoint(e, admitted)
	}
	c.statsFor(&e).SetReportedLoad(e.Load.Running, e.Load.Queued)
	return godwitplank.Lease{LeaseMS: godwitplank.LeaseDuration.Milliseconds(), Admitted: admitted}, nil
}

func (c *Control) logEndpoint(e endpoint.Entry, admitted bool) {
	if e.Leaving {
		c.Log.Log(event.EndpointDraining, "endpoint", e.EndpointID, "incarnation", e.Incarnation)
		return
	}
	c.Log.Log(event.EndpointAnnounced, "endpoint", e.EndpointID, "pool", e.Pool, "incarnation", e.Incarnation, "admitted", admitted)
}

// addEndpointChanges adds the endpoints that announced themselves to this VM to a reply, with the remaining time of
// each lease: the full announcement of endpoints that changed after the revisions since, a renewal for those that only
// announced themselves again.
func (c *Control) addEndpointChanges(now time.Time, since syncRevisions, reply *link.ExchangeReply) {
	reply.EndpointsRevision, reply.RenewalsRevision = c.endpoints.Revision(), c.endpoints.Renewals()
	for e := range c.endpoints.All() {
		if e.Revision <= since.endpoints && e.Renewal <= since.renewals {
			continue
		}
		remaining := e.Expires.Sub(now)
		if e.Source != endpoint.Direct || remaining < -leavingRelayPeriod || (remaining <= 0 && !e.Leaving) {
			continue
		}
		coldMS := coldLeftMS(now, e)
		if e.Revision <= since.endpoints {
			if coldMS != nil && *coldMS == 0 {
				coldMS = nil // the end of the cold time has passed at the receiver, too
			}
			reply.Renewals = append(reply.Renewals, &link.Renewal{
				EndpointId: e.EndpointID, Incarnation: e.Incarnation, Sequence: e.Sequence, LeaseLeftMs: remaining.Milliseconds(),
				Running: int64(e.Load.Running), Queued: int64(e.Load.Queued), PaceUs: encodePace(c.statsFor(e)), ColdMs: coldMS,
			})
			continue
		}
		announcement := e.Announcement
		announcement.ColdMS = coldMS
		data, err := json.Marshal(announcement)
		if err != nil {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, &link.Endpoint{Announcement: data, LeaseLeftMs: remaining.Milliseconds(), TokenSha256: e.TokenSHA256, Open: e.OfService})
	}
}

// leavingRelayPeriod is how long after the end of its lease a draining endpoint is still sent to other VMs.
const leavingRelayPeriod = 10 * time.Second

// mergeRelayedEndpoints merges the endpoints in another VM's reply. Leases count from sentAt, when this VM sent the
// request, so that a delayed reply never extends a lease.
func (c *Control) mergeRelayedEndpoints(sentAt time.Time, relayed []*link.Endpoint) {
	now := c.Clock.Now()
	for _, r := range relayed {
		e := endpoint.Entry{TokenSHA256: r.TokenSha256, Source: endpoint.Relayed, OfService: r.Open}
		if json.Unmarshal(r.Announcement, &e.Announcement) != nil {
			continue
		}
		addr, err := endpoint.Check(&e.Announcement)
		if err != nil {
			continue
		}
		e.Addr = addr
		c.mergeEndpoint(now, e, sentAt.Add(time.Duration(r.LeaseLeftMs)*time.Millisecond).Sub(now))
	}
}

func (c *Control) mergeEndpoint(now time.Time, e endpoint.Entry, remaining time.Duration) {
	c.assumeCold(now, &e)
	switch c.endpoints.Announce(now, e, remaining) {
	case endpoint.Changed:
		c.viewStale = true
	case endpoint.Renewed:
	default:
		return
	}
	c.statsFor(&e).SetReportedLoad(e.Load.Running, e.Load.Queued)
}

// applyRenewals updates the leases and loads of known endpoints. It returns false if an endpoint or its incarnation is
// not known here, so that the sender has to send full announcements again.
func (c *Control) applyRenewals(sentAt time.Time, renewals []*link.Renewal) bool {
	now := c.Clock.Now()
	allKnown := true
	for _, r := range renewals {
		current := c.endpoints.Find(r.EndpointId)
		if current == nil || current.Incarnation < r.Incarnation {
			allKnown = false
			continue
		}
		if current.Incarnation > r.Incarnation {
			continue
		}
		e := *current
		e.Source = endpoint.Relayed
		e.Sequence = r.Sequence
		e.Load = godwitplank.Load{Running: int(r.Running), Queued: int(r.Queued)}
		e.ColdMS = r.ColdMs
		c.mergeEndpoint(now, e, sentAt.Add(time.Duration(r.LeaseLeftMs)*time.Millisecond).Sub(now))
		c.statsFor(&e).SetSharedPace(time.Duration(r.PaceUs) * time.Microsecond)
	}
	return allKnown
}
