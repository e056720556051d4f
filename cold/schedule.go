package cold

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// spacingMargin is the factor by which the time between two calls exceeds the share's part of a second, so that the calls in
	// any one second never exceed the share.
	spacingMargin = 1.02
	// settleTime is how long a VM waits after a change of the members gave it a larger share: the VMs that lost theirs have sent
	// calls in the last second.
	settleTime = time.Second
	// maxPermitAge is the age from which a permit no longer allows a call: the process was paused, or the connection took long.
	maxPermitAge = 100 * time.Millisecond
	never        = math.MaxInt64
)

// Schedule holds when this VM may send calls to one incarnation of an endpoint. The zero value permits every call. Only one
// goroutine may call Update; the other methods are safe for concurrent use. Times are kept in Unix nanoseconds.
type Schedule struct {
	until    atomic.Int64 // end of the cold period
	began    atomic.Int64 // when the last cold period began; 0 if there was none
	earliest atomic.Int64 // no call before this time while cold
	spacing  atomic.Int64 // time between two calls while cold
	last     atomic.Int64 // time of the last permit

	share int // share of the last Update in the present cold period
}

// Terms are the terms of a cold period at one VM.
type Terms struct {
	// Until is the end of the cold period.
	Until time.Time
	// Share is the number of calls per second that this VM may send, 0 for none.
	Share int
	// MembersSince is when the members that Share was derived from last changed.
	MembersSince time.Time
}

// Update sets the terms of a cold period, or ends it if Until is over. It reports whether the endpoint became cold or warm.
func (s *Schedule) Update(now time.Time, t Terms) (changed bool) {
	if !now.Before(t.Until) {
		return s.until.Swap(0) != 0
	}
	if changed = !s.Cold(now); changed {
		s.share = 0
		s.began.Store(now.UnixNano())
	}
	switch {
	case t.Share <= 0:
		s.earliest.Store(never)
	case t.Share != s.share:
		s.spacing.Store(int64(spacingMargin * float64(time.Second) / float64(t.Share)))
		if t.Share > s.share {
			s.earliest.Store(t.MembersSince.Add(settleTime).UnixNano())
		}
	}
	s.share = max(0, t.Share)
	s.until.Store(t.Until.UnixNano())
	return changed
}

// Cold reports whether the endpoint is cold.
func (s *Schedule) Cold(now time.Time) bool {
	return now.UnixNano() < s.until.Load()
}

// Began returns when the last cold period began, zero if there was none.
func (s *Schedule) Began() time.Time {
	if began := s.began.Load(); began != 0 {
		return time.Unix(0, began)
	}
	return time.Time{}
}

// Permits reports whether a call may be sent now.
func (s *Schedule) Permits(now time.Time) bool {
	return s.permits(now.UnixNano(), s.last.Load())
}

func (s *Schedule) permits(now, last int64) bool {
	return now >= s.until.Load() || (now >= s.earliest.Load() && now >= last+s.spacing.Load())
}

// Take takes the permit for one call, and reports whether there is one.
func (s *Schedule) Take(now time.Time) bool {
	at := now.UnixNano()
	for {
		last := s.last.Load()
		if !s.permits(at, last) {
			return false
		}
		if s.last.CompareAndSwap(last, max(last, at)) {
			return true
		}
	}
}

// Renew reports whether a call whose permit was taken at a time may be sent now. An old permit is replaced by a new one.
func (s *Schedule) Renew(taken, now time.Time) bool {
	return now.Sub(taken) <= maxPermitAge || s.Take(now)
}

// Next returns when this VM may send the next call, at the latest the end of the cold period; zero if it may send one now.
func (s *Schedule) Next(now time.Time) time.Time {
	if s.Permits(now) {
		return time.Time{}
	}
	at := s.until.Load()
	if earliest := s.earliest.Load(); earliest != never {
		at = min(at, max(earliest, s.last.Load()+s.spacing.Load()))
	}
	return time.Unix(0, at)
}
