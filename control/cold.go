package control

import (
	"time"

	"godwitplank/cold"
	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/event"
	"godwitplank/route"
)

// coldShare is this VM's share of the calls to a cold endpoint, and what it was derived from.
type coldShare struct {
	membersSince time.Time
	rate         int
	ofStage      bool
	share        int
}

// assumeCold adds the cold time of the service's configuration to an announcement that states none, if the endpoint or its
// incarnation is new to this VM. The endpoints that a VM learns of while it warms up have started earlier.
func (c *Control) assumeCold(now time.Time, e *endpoint.Entry) {
	if !e.OfService || e.ColdMS != nil || c.document == nil || !c.warmedUp(now) {
		return
	}
	if current := c.endpoints.Find(e.EndpointID); current != nil && current.Incarnation >= e.Incarnation {
		return
	}
	if s := c.document.Service(e.Pool); s != nil && s.ColdRequestsPerSecond > 0 && s.ColdStartMS > 0 {
		coldMS := s.ColdStartMS
		e.ColdMS = &coldMS
	}
}

// coldLeftMS returns how long an endpoint stays cold for other VMs, nil if no announcement stated it. It is rounded up, so that the
// endpoint is not warm there earlier than here.
func coldLeftMS(now time.Time, e *endpoint.Entry) *int64 {
	left, known := e.ColdLeft(now)
	if !known {
		return nil
	}
	ms := (left + time.Millisecond - 1).Milliseconds()
	return &ms
}

// coldUntil returns the end of an endpoint's cold time, zero if its service has no limit for cold endpoints. The endpoints of a data
// centre had no requests while it was evacuated, so they are cold after that, whatever they stated.
func (c *Control) coldUntil(e *endpoint.Entry, s *document.Service) time.Time {
	if !e.OfService || s == nil || s.ColdRequestsPerSecond <= 0 {
		return time.Time{}
	}
	until := e.ColdUntil
	if ended := c.evacuationEndedAt(e.DataCentre); !ended.IsZero() && ended.Add(s.ColdStart()).After(until) {
		until = ended.Add(s.ColdStart())
	}
	return until
}

// updateCold sets this VM's share of the calls to an endpoint while that is cold, and logs the begin and the end of that time.
func (c *Control) updateCold(v *View, e *endpoint.Entry, stats *route.Stats) {
	if c.document == nil {
		return
	}
	s := c.document.Service(e.Pool)
	terms := cold.Terms{Until: c.coldUntil(e, s), MembersSince: c.entryVMs.since}
	k := statsKey{e.EndpointID, e.Incarnation}
	isCold := v.PublishedAt.Before(terms.Until)
	rate := 0
	if isCold {
		rate = cold.Limit{PerSecond: s.ColdRequestsPerSecond, Excess: c.ColdExcess, Slack: c.ColdSlack}.Rate()
	}
	if isCold && c.wasReady {
		terms.Share = c.coldShareOf(k, s, rate)
	}
	changed := stats.UpdateCold(v.PublishedAt, terms)
	if !changed || !c.CallersAddr.IsValid() {
		return // a VM without callers sends nothing, and does not have the settings of the rate
	}
	if isCold {
		c.Log.Log(event.EndpointCold, "endpoint", e.EndpointID, "incarnation", e.Incarnation, "pool", e.Pool,
			"left_ms", terms.Until.Sub(v.PublishedAt).Milliseconds(), "rate", rate, "share", terms.Share)
		return
	}
	delete(c.coldShares, k)
	c.Log.Log(event.EndpointWarm, "endpoint", e.EndpointID, "incarnation", e.Incarnation)
}

// coldShareOf returns this VM's share of the calls to a cold endpoint. It is kept until the members change, since a view with many
// cold endpoints would otherwise hash each with all members. The calls of a stage all come from the VM that dispatches its service,
// so that VM has the whole rate: another one would not use its share.
func (c *Control) coldShareOf(k statsKey, service *document.Service, rate int) int {
	now := coldShare{membersSince: c.entryVMs.since, rate: rate, ofStage: service.Batch != nil}
	known, ok := c.coldShares[k]
	now.share = known.share
	if ok && known == now {
		return known.share
	}
	now.share = cold.Share(rate, cold.Endpoint{ID: k.id, Incarnation: k.incarnation}, c.callingVMs(service), c.Name)
	if c.coldShares == nil {
		c.coldShares = make(map[statsKey]coldShare)
	}
	c.coldShares[k] = now
	return now.share
}
