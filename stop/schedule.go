// Package stop holds the schedule of a VM's graceful stop, which bounds the requests in progress.
package stop

import (
	"context"
	"errors"
	"sync"
	"time"

	"godwitplank/timer"
)

// ErrStopping is the cause of a context that ended since its VM stops.
var ErrStopping = errors.New("the VM stops before the request can end")

// Times are the times of a graceful stop.
type Times struct {
	// NoticeEnds is when the load balancer has had the time to send new requests to other VMs.
	NoticeEnds time.Time
	// AnswerBy is when every request has to have its answer, since the process is about to end.
	AnswerBy time.Time
}

// Schedule is the schedule of a VM's stop, which may not have begun. Its zero value and a nil Schedule have not. Its methods
// are safe for concurrent use.
type Schedule struct {
	mu     sync.Mutex
	times  *Times
	bounds map[*Bound]struct{}
}

// Begin begins the stop. Only the first call has an effect.
func (s *Schedule) Begin(t Times) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times != nil {
		return
	}
	s.times = &t
	for b := range s.bounds {
		b.arm(t)
	}
}

// Times returns the times of the stop, and false if it has not begun.
func (s *Schedule) Times() (Times, bool) {
	if s == nil {
		return Times{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.times == nil {
		return Times{}, false
	}
	return *s.times, true
}

// Limit returns the earlier of a deadline and AnswerBy, or the deadline itself if the stop has not begun.
func (s *Schedule) Limit(deadline time.Time) time.Time {
	if t, ok := s.Times(); ok {
		return timer.Earlier(deadline, t.AnswerBy)
	}
	return deadline
}

// Bound ends a context with the cause ErrStopping at a time that depends on the stop.
type Bound struct {
	schedule *Schedule
	clock    timer.Clock
	limit    func(Times) time.Time
	cancel   context.CancelCauseFunc
	alarm    *timer.Alarm
}

// Bound returns a context that ends at limit(t) once a stop with the times t has begun, also if it begins later. The caller
// has to release the bound.
func (s *Schedule) Bound(ctx context.Context, clock timer.Clock, limit func(t Times) time.Time) (context.Context, *Bound) {
	ctx, cancel := context.WithCancelCause(ctx)
	b := &Bound{schedule: s, clock: clock, limit: limit, cancel: cancel}
	if s == nil {
		return ctx, b
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bounds == nil {
		s.bounds = make(map[*Bound]struct{})
	}
	s.bounds[b] = struct{}{}
	if s.times != nil {
		b.arm(*s.times)
	}
	return ctx, b
}

// arm sets the alarm that ends the context. The caller holds the schedule's mutex.
func (b *Bound) arm(t Times) {
	b.alarm = timer.NewAlarm(b.limit(t).Sub(b.clock.Now()), func() { b.cancel(ErrStopping) })
}

// Lift removes the bound without ending its context. A nil Bound is lifted.
func (b *Bound) Lift() {
	if b == nil || b.schedule == nil {
		return
	}
	b.schedule.mu.Lock()
	defer b.schedule.mu.Unlock()
	delete(b.schedule.bounds, b)
	b.alarm.Stop()
}

// Release lifts the bound and ends its context.
func (b *Bound) Release() {
	b.Lift()
	b.cancel(nil)
}
