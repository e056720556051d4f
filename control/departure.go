package control

import (
	"godwitplank/event"
	"godwitplank/link"
)

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
