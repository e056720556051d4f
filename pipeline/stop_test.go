package pipeline

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/fault"
	"godwitplank/stop"
)

// A request whose deadline is later than its VM's stop was cut without an answer when the process ended.
func TestStopEndsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints []http.HandlerFunc
		outcome   godwitplank.Outcome
	}{
		"at an endpoint":      {[]http.HandlerFunc{hangHandler}, godwitplank.Failed},
		"without an endpoint": {nil, godwitplank.NotRun},
	} {
		for when, begunBefore := range map[string]bool{"stop begun before": true, "stop begun after": false} {
			t.Run(name+", "+when, func(t *testing.T) {
				is := is.New(t)
				r, _ := newPoolRunner(t, c.endpoints...)
				r.Stop = &stop.Schedule{}
				started := time.Now()
				times := stop.Times{AnswerBy: started.Add(200 * time.Millisecond)}
				if begunBefore {
					r.Stop.Begin(times)
				} else {
					timer := time.AfterFunc(50*time.Millisecond, func() { r.Stop.Begin(times) })
					defer timer.Stop()
				}
				_, err := r.Run(t.Context(), newIdempotentJob(5*time.Second))
				is.True(time.Since(started) < 2*time.Second)
				is.True(err != nil)
				is.Equal(err.Outcome, c.outcome)
				if !begunBefore && len(c.endpoints) > 0 {
					is.Equal(err.Kind, fault.Stopping)
				}
			})
		}
	}
}

// An order at an endpoint when its VM stops has an unknown outcome, which its caller is told before the process ends.
func TestStopEndsOrders(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, hangHandler)
	f.runner.Stop = &stop.Schedule{}
	timer := time.AfterFunc(50*time.Millisecond, func() { f.runner.Stop.Begin(stop.Times{AnswerBy: time.Now().Add(100 * time.Millisecond)}) })
	defer timer.Stop()
	started := time.Now()
	_, err := f.runner.Run(t.Context(), f.job("r"))
	is.True(time.Since(started) < time.Second)
	is.True(err != nil)
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(*err.Sent, true)
}
