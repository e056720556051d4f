package stop

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/timer"
)

func answerBy(t Times) time.Time { return t.AnswerBy }

// A bound ends its context whether the stop begins before or after it was set.
func TestBound(t *testing.T) {
	for name, early := range map[string]bool{"stop begun before": true, "stop begun after": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Schedule{}
			now := time.Now()
			times := Times{NoticeEnds: now, AnswerBy: now.Add(20 * time.Millisecond)}
			if early {
				s.Begin(times)
			}
			ctx, b := s.Bound(t.Context(), timer.System, answerBy)
			defer b.Release()
			s.Begin(times)
			<-ctx.Done()
			is.Equal(context.Cause(ctx), ErrStopping)
			is.True(!time.Now().Before(times.AnswerBy))
		})
	}
}

// A lifted bound no longer ends its context, and a stop forgets released bounds.
func TestLift(t *testing.T) {
	is := is.New(t)
	s := &Schedule{}
	ctx, b := s.Bound(t.Context(), timer.System, answerBy)
	s.Begin(Times{AnswerBy: time.Now().Add(10 * time.Millisecond)})
	b.Lift()
	time.Sleep(30 * time.Millisecond)
	is.NoErr(ctx.Err())
	b.Release()
	is.True(ctx.Err() != nil)
	is.Equal(len(s.bounds), 0)
}

// Without a schedule nothing is bounded.
func TestNoSchedule(t *testing.T) {
	is := is.New(t)
	var s *Schedule
	ctx, b := s.Bound(t.Context(), timer.System, answerBy)
	is.NoErr(ctx.Err())
	b.Release()
	deadline := time.Now()
	is.Equal(s.Limit(deadline), deadline)
}
