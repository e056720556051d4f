// Package timer is the only package that reads the system clock. It provides the time, tickers and timers to the others.
package timer

import (
	"context"
	"time"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to a Clock.
type ClockFunc func() time.Time

// Now returns f().
func (f ClockFunc) Now() time.Time {
	return f()
}

// System is the operating system's clock.
var System Clock = ClockFunc(time.Now)

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Subscribe returns a channel that receives the time at every interval until ctx ends. Ticks are dropped for a slow
// reader, and the channel is not closed.
func Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	t := time.NewTicker(interval)
	context.AfterFunc(ctx, t.Stop)
	return t.C
}

// Wait blocks for a duration and returns nil, or returns ctx.Err() if ctx ends first.
func Wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Alarm runs a function once at a set time, which may be changed. A nil Alarm does nothing.
type Alarm struct {
	timer *time.Timer
}

// NewAlarm returns an alarm that runs a function in its own goroutine after a duration.
func NewAlarm(d time.Duration, run func()) *Alarm {
	return &Alarm{time.AfterFunc(d, run)}
}

// Reset resets the alarm to run after a duration from now, also if it has already run.
func (a *Alarm) Reset(d time.Duration) {
	if a != nil {
		a.timer.Reset(d)
	}
}

// Stop cancels the alarm. A function that is already running is not stopped.
func (a *Alarm) Stop() {
	if a != nil {
		a.timer.Stop()
	}
}
