package state

import "time"

// DepartureRetention is how long a departure is kept: longer than any VM sends calls to an endpoint that no longer announces
// itself.
const DepartureRetention = 2 * time.Minute

// departures holds the newest departure of each endpoint. The zero value is empty.
type departures struct {
	byEndpoint map[string]*Departure
	byAge      []*Departure // oldest first
}

// apply records a departure at the time now, in Unix milliseconds, unless the same or a later incarnation has departed.
func (d *departures) apply(now int64, change *Departure) {
	d.expire(now)
	if old := d.byEndpoint[change.EndpointId]; old != nil && old.Incarnation >= change.Incarnation {
		return
	}
	change.TimeMs = now
	d.store(change)
}

func (d *departures) store(change *Departure) {
	if d.byEndpoint == nil {
		d.byEndpoint = make(map[string]*Departure)
	}
	d.byEndpoint[change.EndpointId] = change
	d.byAge = append(d.byAge, change)
}

// expire removes the departures that are older than DepartureRetention.
func (d *departures) expire(now int64) {
	for len(d.byAge) > 0 && now-d.byAge[0].TimeMs > DepartureRetention.Milliseconds() {
		if oldest := d.byAge[0]; d.byEndpoint[oldest.EndpointId] == oldest {
			delete(d.byEndpoint, oldest.EndpointId)
		}
		d.byAge = d.byAge[1:]
	}
}

// list returns the departures, oldest first.
func (d *departures) list() []*Departure {
	var out []*Departure
	for _, change := range d.byAge {
		if d.byEndpoint[change.EndpointId] == change {
			out = append(out, change)
		}
	}
	return out
}
