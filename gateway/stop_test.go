package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/document"
	"godwitplank/stop"
	"godwitplank/timer"
)

// A stop leaves a request in its stages until its run would outlast the stop, and refuses a new one that may outlast it.
func TestStopTimes(t *testing.T) {
	started := time.Unix(1_000_000, 0)
	times := stop.Times{NoticeEnds: started.Add(3 * time.Second), AnswerBy: started.Add(7 * time.Second)}
	at := func(seconds float64) time.Time { return started.Add(time.Duration(seconds * float64(time.Second))) }
	for _, c := range []struct {
		name          string
		now, deadline float64 // seconds from the start of the stop
		run           time.Duration
		refused       bool
		latestSend    float64
	}{
		{"expected to end in time", 1, 20, 2 * time.Second, false, 5},
		{"expected to end too late", 1, 20, 6500 * time.Millisecond, true, 0.5},
		{"no run observed", 1, 20, 0, true, -12},
		{"no run observed, early deadline", 1, 6, 0, false, 7},
		{"early deadline, long runs", 1, 6, 6 * time.Second, false, 7},
		{"after the notice", 3.5, 20, time.Second, true, 6},
		{"after the notice, early deadline", 3.5, 6.5, time.Second, false, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := at(c.now)
			g := &Gateway{Clock: timer.ClockFunc(func() time.Time { return now }), Stop: &stop.Schedule{}}
			x := &exchange{received: now, deadline: at(c.deadline), route: &document.Route{Name: "r"}}
			if c.run > 0 {
				for range 200 {
					g.runs.observe("r", c.run)
				}
			}
			is.True(!g.endsAfterStop(x)) // the stop has not begun
			g.Stop.Begin(times)
			is.Equal(g.endsAfterStop(x), c.refused)
			is.True(g.latestSend(x, times).Sub(at(c.latestSend)).Abs() < time.Millisecond)
		})
	}
}

// The estimate covers runs that vary, and follows them.
func TestRunEstimate(t *testing.T) {
	is := is.New(t)
	e := &runEstimator{}
	_, ok := e.estimate("r")
	is.True(!ok)
	for i := range 200 {
		e.observe("r", time.Duration(1000+500*(i%2))*time.Millisecond)
	}
	estimate, ok := e.estimate("r")
	is.True(ok)
	is.True(estimate > 1500*time.Millisecond && estimate < 3*time.Second)
	for range 200 {
		e.observe("r", 100*time.Millisecond)
	}
	estimate, _ = e.estimate("r")
	is.True(estimate < 150*time.Millisecond)
}
