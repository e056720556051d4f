// Package timer is the one reader of the clock: parts subscribe to it or ask it for the time.
package timer

import (
	"context"
	"time"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// ClockFunc makes a function a Clock.
type ClockFunc func() time.Time

// Now calls the function.
func (f ClockFunc) Now() time.Time {
	return f()
}

// System is the clock of the machine.
var System Clock = ClockFunc(time.Now)

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Subscribe returns a channel that gets the time every interval until ctx ends. A slow reader misses ticks.
func Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	t := time.NewTicker(interval)
	context.AfterFunc(ctx, t.Stop)
	return t.C
}

// Wait returns after the duration, or earlier with the error of an ended ctx.
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

// Alarm runs a function unless it is moved or stopped first.
type Alarm struct {
	timer *time.Timer
}

// NewAlarm returns an alarm that runs a function after a duration.
func NewAlarm(d time.Duration, run func()) *Alarm {
	return &Alarm{time.AfterFunc(d, run)}
}

// Move sets the alarm to a duration from now.
func (a *Alarm) Move(d time.Duration) {
	if a != nil {
		a.timer.Reset(d)
	}
}

// Stop stops the alarm.
func (a *Alarm) Stop() {
	if a != nil {
		a.timer.Stop()
	}
}
