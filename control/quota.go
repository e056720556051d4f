package control

import (
	"time"

	"godwitplank/document"
	"godwitplank/endpoint"
	"godwitplank/link"
	"godwitplank/quota"
	"godwitplank/rendezvous"
	"godwitplank/route"
)

// knownLimit is the newest known statement of an endpoint about the calls that it takes from all VMs together, and this VM's share.
type knownLimit struct {
	// perSecond is 0 if the endpoint no longer states a limit.
	perSecond float64
	at        time.Time
	// revision is the revision of the limits at the last change of perSecond.
	revision uint64
	// terms has the share, which is kept until the members or the limit change.
	terms quota.Terms
}

// recordLimit keeps a statement of an endpoint if it is newer than the known one. A newer statement that differs from the one
// given is sent to the other VMs again, since the VM that sent it does not know it.
func (c *Control) recordLimit(k statsKey, perSecond float64, at time.Time) {
	known := c.limits[k]
	switch {
	case known == nil && perSecond == 0:
		return
	case known == nil:
		if c.limits == nil {
			c.limits = make(map[statsKey]*knownLimit)
		}
		known = &knownLimit{}
		c.limits[k] = known
	case known.perSecond == perSecond:
		if at.After(known.at) {
			known.at = at
		}
		return
	case !at.After(known.at):
		c.limitsRevision++
		known.revision = c.limitsRevision
		return
	}
	c.limitsRevision++
	known.perSecond, known.at, known.revision = perSecond, at, c.limitsRevision
	c.viewStale = true
}

// recordStatedLimits keeps what endpoints said in responses to this VM.
func (c *Control) recordStatedLimits() {
	if !c.CallersAddr.IsValid() {
		return // a VM without callers calls no endpoints
	}
	for k, s := range c.stats {
		c.recordStatedLimit(k, s)
	}
}

func (c *Control) recordStatedLimit(k statsKey, s *route.Stats) {
	if stated := s.StatedLimit(); !stated.At.IsZero() && (c.limits[k] == nil || stated.At.After(c.limits[k].at)) {
		c.recordLimit(k, stated.PerSecond, stated.At)
	}
}

// limitsSince returns the limits that changed after a revision, and the current revision.
func (c *Control) limitsSince(revision uint64) ([]*link.EndpointLimit, uint64) {
	if revision >= c.limitsRevision {
		return nil, c.limitsRevision
	}
	now := c.Clock.Now()
	var out []*link.EndpointLimit
	for k, l := range c.limits {
		if l.revision > revision {
			out = append(out, &link.EndpointLimit{EndpointId: k.id, Incarnation: k.incarnation, PerSecond: l.perSecond, AgeUs: now.Sub(l.at).Microseconds()})
		}
	}
	return out, c.limitsRevision
}

// mergeLimits keeps the limits that another VM knows, as of now.
func (c *Control) mergeLimits(now time.Time, limits []*link.EndpointLimit) {
	for _, l := range limits {
		if l.PerSecond == 0 || l.PerSecond >= route.MinLimit {
			c.recordLimit(statsKey{l.EndpointId, l.Incarnation}, min(l.PerSecond, route.MaxLimit), now.Add(-time.Duration(max(0, l.AgeUs))*time.Microsecond))
		}
	}
}

// updateQuota sets this VM's share of the calls to an endpoint while that states a limit.
func (c *Control) updateQuota(e *endpoint.Entry, stats *route.Stats) {
	k := statsKey{e.EndpointID, e.Incarnation}
	c.recordStatedLimit(k, stats)
	known := c.limits[k]
	if known == nil || known.perSecond == 0 {
		stats.Quota.Update(quota.Terms{})
		return
	}
	if known.terms.Limit != known.perSecond || !known.terms.MembersSince.Equal(c.entryVMs.since) {
		known.terms = quota.Terms{Limit: known.perSecond, MembersSince: c.entryVMs.since}
		known.terms.Share = quota.Share(known.perSecond, k.id, k.incarnation, c.callingVMs(c.service(e)), c.Name)
	}
	terms := known.terms
	if !c.wasReady {
		// This VM may not know the other members yet.
		terms.Share = 0
	}
	stats.Quota.Update(terms)
}

// service returns the service of an endpoint, nil if the document has none.
func (c *Control) service(e *endpoint.Entry) *document.Service {
	if c.document == nil {
		return nil
	}
	return c.document.Service(e.Pool)
}

// callingVMs returns the VMs that call the endpoints of a service. The calls of a stage all come from the VM that dispatches its
// service.
func (c *Control) callingVMs(s *document.Service) []string {
	if s == nil || s.Batch == nil {
		return c.entryVMs.names
	}
	if owner := rendezvous.First(rendezvous.Key(s.Name), c.entryVMs.dispatchers); owner != "" {
		return []string{owner}
	}
	return nil
}

// pruneLimits removes the limits of endpoint incarnations that are not live.
func (c *Control) pruneLimits(live map[statsKey]bool) {
	for k := range c.limits {
		if !live[k] {
			delete(c.limits, k)
		}
	}
}
