package control

import (
	"time"

	"godwitplank/endpoint"
	"godwitplank/link"
	"godwitplank/route"
)

// Each VM sees few of an endpoint's streams. The VMs therefore send the paces that they observe to the hubs; the hub to
// which an endpoint announces itself averages them and returns the result with the endpoint's renewals.

// pacesSince returns the paces that this VM observed after a time. It returns none in a system where all VMs exchange
// state with each other.
func (c *Control) pacesSince(since time.Time) []*link.Pace {
	if !c.HubsOnly || c.Folder != nil {
		return nil
	}
	var out []*link.Pace
	for k, s := range c.stats {
		if pace, at := s.OwnPace(); pace > 0 && at.After(since) {
			out = append(out, &link.Pace{EndpointId: k.id, Incarnation: k.incarnation, PaceUs: pace.Microseconds()})
		}
	}
	return out
}

// mergePaces adds another VM's observations to the paces of the endpoints that announce themselves to this VM.
func (c *Control) mergePaces(paces []*link.Pace) {
	for _, p := range paces {
		e := c.endpoints.Find(p.EndpointId)
		if e == nil || e.Incarnation != p.Incarnation || e.Source != endpoint.Direct || p.PaceUs <= 0 {
			continue
		}
		s := c.statsFor(e)
		s.ObservePace(c.Clock.Now(), time.Duration(p.PaceUs)*time.Microsecond)
	}
}

// encodePace returns the pace that this VM knows of an endpoint, in microseconds.
func encodePace(s *route.Stats) int64 {
	pace, _ := s.OwnPace()
	return pace.Microseconds()
}
