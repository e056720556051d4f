package route

import (
	"time"

	"godwitplank/event"
)

// MinLimit and MaxLimit bound the limit that an endpoint may state, in calls per second. Even an endpoint that takes none gets a
// call now and then, since only its response tells when its limit has ended.
const (
	MinLimit = 0.1
	MaxLimit = 1e6
)

// StatedLimit is what an endpoint last said about the calls that it takes from all VMs together.
type StatedLimit struct {
	// PerSecond is the number of calls per second, 0 if the endpoint no longer states a limit.
	PerSecond float64
	// At is when the response that said so arrived.
	At time.Time
}

// StateLimit records that the endpoint takes a number of calls per second from all VMs together. It reports whether that is new.
func (s *Stats) StateLimit(now time.Time, perSecond float64) bool {
	previous := s.stated.Swap(&StatedLimit{perSecond, now})
	s.Quota.Suspend(perSecond)
	return previous == nil || previous.PerSecond != perSecond
}

// StatedLimit returns what responses to this VM last said about a limit; zero if none ever stated one.
func (s *Stats) StatedLimit() StatedLimit {
	if stated := s.stated.Load(); stated != nil {
		return *stated
	}
	return StatedLimit{}
}

// ObserveNoLimit records and logs that the endpoint completed a call of the given source without stating a limit, which ends the one
// that this or another VM was told of before.
func (c *Candidate) ObserveNoLimit(now time.Time, log event.Logger, source, requestID string) {
	limit := c.Stats.Quota.Limit()
	if limit == 0 {
		return
	}
	previous := c.Stats.stated.Swap(&StatedLimit{At: now})
	if previous == nil || previous.PerSecond > 0 {
		log.Log(event.EndpointUnlimited, "endpoint", c.ID, "incarnation", c.Incarnation, "limit", limit, "source", source, "request_id", requestID)
	}
}

// ChooseStale returns the index of a usable endpoint with a limit that got no call of this VM for some time although it may, -1 if
// there is none. Without calls this VM would not learn when the limit ends.
func ChooseStale(q Query, candidates []Candidate) int {
	for i := range candidates {
		if c := &candidates[i]; c.Stats.Quota.Stale(q.Now) && usable(&q, c) && !c.Stats.ejected(q.Now.UnixNano()) && !q.Reach.Unreachable(q.Now, c.DataCentre) {
			return i
		}
	}
	return -1
}
