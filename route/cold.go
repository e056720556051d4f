package route

import (
	"time"

	"godwitplank/cold"
)

// UpdateCold sets the terms under which a cold endpoint gets calls of this VM. It reports whether the endpoint became cold or warm.
func (s *Stats) UpdateCold(now time.Time, t cold.Terms) bool {
	changed := s.Schedule.Update(now, t)
	if changed && s.Schedule.Cold(now) {
		s.completed.Store(0)
	}
	return changed
}

// TakePermit takes the permit for a call, and reports whether there is one. An endpoint that is neither cold nor states a limit
// always has one.
func (c *Candidate) TakePermit(now time.Time) bool {
	return c.Stats.Quota.Permits(now) && c.Stats.Schedule.Take(now) && c.Stats.Quota.Take(now)
}

// RenewPermit reports whether a call whose permit was taken at a time may be sent now.
func (c *Candidate) RenewPermit(taken, now time.Time) bool {
	return c.Stats.Schedule.Renew(taken, now) && c.Stats.Quota.Renew(taken, now)
}

// rampFull reports whether the endpoint was cold and has as many calls of this VM as it should have: one more than it has completed
// since then.
func (s *Stats) rampFull() bool {
	return !s.Schedule.Began().IsZero() && s.inFlight.Load() > s.completed.Load()
}

// returnsAt returns when an endpoint that accepts no calls now accepts the next one: after its quiet, and if it is cold or states a
// limit, when this VM may send again.
func (s *Stats) returnsAt(now time.Time) time.Time {
	at := s.QuietUntil()
	for _, next := range []time.Time{s.Schedule.Next(now), s.Quota.Next(now)} {
		if next.After(at) {
			at = next
		}
	}
	return at
}

// emptyCache reports whether the endpoint was cold and has completed no call of this VM since then, so that its cache counts as empty.
func (s *Stats) emptyCache() bool {
	return !s.Schedule.Began().IsZero() && s.completed.Load() == 0
}
