package control

import (
	"context"
	"encoding/json"

	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/link"
	"godwitplank/state"
)

// unrecordedDeparture returns the departure of a draining endpoint that the replicated state of this VM does not have, or nil.
func (c *Control) unrecordedDeparture(id string) *state.Departure {
	e := c.endpoints.Find(id)
	if e == nil || !e.Leaving || (c.replica != nil && c.replica.machine.HasDeparted(id, e.Incarnation)) {
		return nil
	}
	announcement, err := json.Marshal(e.Announcement)
	if err != nil {
		return nil
	}
	return &state.Departure{EndpointId: id, Incarnation: e.Incarnation, Announcement: announcement, TokenSha256: e.TokenSHA256, Open: e.OfService}
}

// commitDeparture records a departure in the replicated state, so that it outlives any VM that acknowledges it; nil is
// recorded already. The endpoint is draining at this VM and at those that it informs also if that fails.
func (c *Control) commitDeparture(ctx context.Context, d *state.Departure) error {
	if d == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := c.propose(ctx, &state.Command{Change: &state.Command_Departure{Departure: d}})
	if err != nil {
		c.Log.Log(event.DepartureNotRecorded, "endpoint", d.EndpointId, "incarnation", d.Incarnation, "error", err.Error())
	}
	return err
}

// recordDeparture marks the endpoint of a departure in the replicated state as draining.
func (c *Control) recordDeparture(d *state.Departure) {
	e := endpoint.Entry{TokenSHA256: d.TokenSha256, OfService: d.Open}
	if json.Unmarshal(d.Announcement, &e.Announcement) != nil {
		return
	}
	addr, err := endpoint.Check(&e.Announcement)
	if err != nil {
		return
	}
	e.Addr = addr
	if c.endpoints.RecordDeparture(c.Clock.Now(), e, serviceLeaseDuration) {
		c.viewStale = true
		c.Log.Log(event.EndpointDraining, "endpoint", d.EndpointId, "incarnation", d.Incarnation)
	}
}

// departures returns the endpoints that told this VM in a response that they leave, and that are ready by their announcements.
func (c *Control) departures() []*link.Departure {
	var out []*link.Departure
	for k, s := range c.stats {
		if !s.Leaving() {
			continue
		}
		if e := c.endpoints.Find(k.id); e != nil && e.Incarnation == k.incarnation && !e.Leaving {
			out = append(out, &link.Departure{EndpointId: k.id, Incarnation: k.incarnation})
		}
	}
	return out
}

// mergeDepartures marks the endpoints as draining that told another VM that they leave.
func (c *Control) mergeDepartures(departures []*link.Departure) {
	for _, d := range departures {
		e := c.endpoints.Find(d.EndpointId)
		if e == nil || e.Incarnation != d.Incarnation {
			continue
		}
		if _, changed := c.endpoints.MarkLeaving(d.EndpointId); changed {
			c.viewStale = true
			c.Log.Log(event.EndpointDraining, "endpoint", d.EndpointId, "incarnation", d.Incarnation)
		}
	}
}
