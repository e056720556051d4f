package quota

import (
	"sync/atomic"
	"time"
)

const (
	// settleTime is how long a VM waits after a change of the members gave it a larger share: the VMs that lost theirs may not know
	// yet, and have sent calls in that time.
	settleTime = time.Second
	// maxPermitAge is the age from which a permit no longer allows a call: the process was paused, or the connection took long.
	maxPermitAge = 100 * time.Millisecond
	// staleAfter is how long an endpoint may get no call of a VM with a share before that VM prefers it for one call, since only
	// a response tells whether the limit still holds.
	staleAfter = 2 * time.Second
)

// Schedule holds when this VM may send calls to an endpoint that states a limit. The zero value permits every call. Its methods are
// safe for concurrent use.
type Schedule struct {
	terms atomic.Pointer[activeTerms]
	last  atomic.Int64 // time of the last permit in Unix nanoseconds
}

// Terms are the terms of a limit at one VM.
type Terms struct {
	// Limit is the number of calls per second that the endpoint takes from all VMs together, 0 if it has no limit.
	Limit float64
	// Share is the number of calls per second that this VM may send, 0 for none.
	Share float64
	// MembersSince is when the members that Share was derived from last changed.
	MembersSince time.Time
}

type activeTerms struct {
	Terms

	// earliest is when the first call may be sent.
	earliest time.Time
}

// Suspend permits no calls until the next Update, if calls are not limited already: this VM's share is not known yet.
func (s *Schedule) Suspend(limit float64) {
	s.terms.CompareAndSwap(nil, &activeTerms{Terms: Terms{Limit: limit}})
}

// Update sets the terms, or ends the limit if t.Limit is 0. It reports whether the endpoint has a limit that it did not have, or
// the reverse.
func (s *Schedule) Update(t Terms) (changed bool) {
	current := s.terms.Load()
	if t.Limit <= 0 {
		s.terms.Store(nil)
		return current != nil
	}
	if current != nil && current.Terms == t {
		return false
	}
	next := &activeTerms{Terms: t}
	switch {
	case current != nil && t.Share <= current.Share:
		next.earliest = current.earliest
	case t.Share > 0:
		next.earliest = t.MembersSince.Add(max(settleTime, interval(t.Share)))
	}
	s.terms.Store(next)
	return current == nil
}

// interval returns the time between two calls at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// Limit returns the limit of the endpoint in calls per second, 0 if it has none.
func (s *Schedule) Limit() float64 {
	if t := s.terms.Load(); t != nil {
		return t.Limit
	}
	return 0
}

// Permits reports whether a call may be sent now.
func (s *Schedule) Permits(now time.Time) bool {
	return s.terms.Load().permits(now, s.last.Load())
}

func (t *activeTerms) permits(now time.Time, last int64) bool {
	if t == nil {
		return true
	}
	return t.Share > 0 && !now.Before(t.earliest) && now.UnixNano()-last >= int64(interval(t.Share))
}

// Take takes the permit for one call, and reports whether there is one.
func (s *Schedule) Take(now time.Time) bool {
	for {
		last := s.last.Load()
		if !s.terms.Load().permits(now, last) {
			return false
		}
		if s.last.CompareAndSwap(last, max(last, now.UnixNano())) {
			return true
		}
	}
}

// Renew reports whether a call whose permit was taken at a time may be sent now. An old permit is replaced by a new one.
func (s *Schedule) Renew(taken, now time.Time) bool {
	return now.Sub(taken) <= maxPermitAge || s.Take(now)
}

// Stale reports whether the endpoint has a limit, a call may be sent now and none was for some time.
func (s *Schedule) Stale(now time.Time) bool {
	t := s.terms.Load()
	return t != nil && t.permits(now, s.last.Load()) && now.UnixNano()-s.last.Load() >= int64(staleAfter)
}

// Next returns when the endpoint takes the next call: of this VM, or of any if this VM may send none. It is zero if this VM may send
// one now.
func (s *Schedule) Next(now time.Time) time.Time {
	t, last := s.terms.Load(), s.last.Load()
	switch {
	case t.permits(now, last):
		return time.Time{}
	case t.Share <= 0:
		return now.Add(interval(Rate(t.Limit)))
	}
	next := time.Unix(0, last).Add(interval(t.Share))
	if next.Before(t.earliest) {
		return t.earliest
	}
	return next
}
