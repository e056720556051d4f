package control

import (
	"context"
	"net/netip"
	"time"

	"godwitplank"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/fault"
)

// Times of the endpoints of services.
const (
	// serviceLease is how long an endpoint of a service counts as confirmed after its last announcement. Announcements
	// come about every second and may be seconds late.
	serviceLease = 6 * time.Second
	// unconfirmedFor is how long after its lease an endpoint of a service is still used where calls to it succeed: it
	// may be cut off from the VMs that take announcements only.
	unconfirmedFor = 60 * time.Second
)

// Register takes the announcement of an endpoint of a service. Services admit every endpoint that names them.
func (c *Control) Register(ctx context.Context, a godwitplank.Announcement) error {
	addr, err := netip.ParseAddrPort(a.Address)
	if err != nil || a.EndpointID == "" || a.Pool == "" {
		return fault.New(fault.BadRequest, "the announcement of endpoint %q needs an id, a service and an address as ip:port; send all three", a.EndpointID)
	}
	e := endpoint.Entry{Announcement: a, Addr: addr, Source: endpoint.Direct, Open: true}
	var failure error
	err = c.do(ctx, func() { failure = c.takeRegistration(e) })
	if err != nil {
		return err
	}
	return failure
}

func (c *Control) takeRegistration(e endpoint.Entry) error {
	switch c.endpoints.Announce(c.Clock.Now(), e, serviceLease) {
	case endpoint.Clash:
		c.dirty = true
		c.Log.Log(event.EndpointClash, "endpoint", e.EndpointID, "address", e.Address)
		return fault.New(fault.EndpointConflict, "another live machine holds endpoint id %q or address %s; give each endpoint its own", e.EndpointID, e.Address)
	case endpoint.Changed:
		c.dirty = true
		c.logEndpoint(e, c.document != nil && c.document.Service(e.Pool) != nil)
	}
	return nil
}

// Deregister marks an endpoint as leaving. One that is not known here is refused, since the others could not be told.
func (c *Control) Deregister(ctx context.Context, id string) error {
	known := false
	err := c.do(ctx, func() {
		changed := false
		if known, changed = c.endpoints.Leave(id); changed {
			c.dirty = true
			c.Log.Log(event.EndpointLeaving, "endpoint", id, "incarnation", c.endpoints.Find(id).Incarnation)
		}
	})
	if err == nil && !known {
		err = fault.New(fault.EndpointUnknown, "endpoint %q is not known to this VM; ask another VM", id)
	}
	return err
}
