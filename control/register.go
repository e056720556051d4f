package control

import (
	"context"
	"time"

	"godwitplank"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/state"
)

// Lease times of the endpoints of services.
const (
	// serviceLeaseDuration is how long an endpoint of a service counts as confirmed after its last announcement.
	// Announcements are sent about once a second and may arrive seconds late.
	serviceLeaseDuration = 6 * time.Second
	// unconfirmedGracePeriod is how long after the end of its lease an endpoint of a service still gets calls if they
	// succeed: it may be cut off only from the VMs that accept announcements.
	unconfirmedGracePeriod = 60 * time.Second
)

// Register handles the announcement of an endpoint of a service. A service admits every endpoint that names it. It returns
// once a departure that is announced is recorded. Errors are of kind BadRequest, EndpointConflict or NoQuorum.
func (c *Control) Register(ctx context.Context, a godwitplank.Announcement) error {
	addr, err := endpoint.Check(&a)
	if err != nil {
		return fault.New(fault.BadRequest, "the announcement of endpoint %.50q is refused: %v; send a correct one", a.EndpointID, err)
	}
	e := endpoint.Entry{Announcement: a, Addr: addr, Source: endpoint.Direct, OfService: true}
	var failure error
	var departure *state.Departure
	err = c.do(ctx, func() {
		if failure = c.handleRegistration(e); failure == nil && a.Leaving {
			departure = c.unrecordedDeparture(a.EndpointID)
		}
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return err
	}
	return c.commitDeparture(ctx, departure)
}

func (c *Control) handleRegistration(e endpoint.Entry) error {
	now := c.Clock.Now()
	c.assumeCold(now, &e)
	switch c.endpoints.Announce(now, e, serviceLeaseDuration) {
	case endpoint.Conflict:
		c.viewStale = true
		c.Log.Log(event.EndpointConflict, "endpoint", e.EndpointID, "address", e.Address)
		return fault.New(fault.EndpointConflict, "another live machine holds endpoint id %q or address %s; give each endpoint its own", e.EndpointID, e.Address)
	case endpoint.Changed:
		c.viewStale = true
		c.logEndpoint(e, c.document != nil && c.document.Service(e.Pool) != nil)
	}
	return nil
}

// Deregister marks an endpoint as draining and returns once that is recorded. Errors are of kind EndpointUnknown if this VM
// does not know the endpoint, since it could not inform the other VMs then, or NoQuorum.
func (c *Control) Deregister(ctx context.Context, id string) error {
	known := false
	var departure *state.Departure
	err := c.do(ctx, func() {
		changed := false
		if known, changed = c.endpoints.MarkLeaving(id); changed {
			c.viewStale = true
			c.Log.Log(event.EndpointDraining, "endpoint", id, "incarnation", c.endpoints.Find(id).Incarnation)
		}
		departure = c.unrecordedDeparture(id)
	})
	switch {
	case err != nil:
		return err
	case !known:
		return fault.New(fault.EndpointUnknown, "endpoint %q is not known to this VM; ask another VM", id)
	}
	return c.commitDeparture(ctx, departure)
}
