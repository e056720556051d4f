package route

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/event"
)

// The weight of a report halves every 200 ms in favour of what this VM has learnt, for each of its figures. An endpoint without
// reports, and one whose report is old, has the slowdown that it had before there were reports.
func TestReportsAgeOut(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		report LoadReport
		age    time.Duration
		want   float64
	}{
		"fresh":                {LoadReport{Running: 10, Waiting: 6, Slots: 8}, 0, 17.0 / 8}, // 15 of others, the own one and one more
		"fresh with machine":   {LoadReport{Running: 10, Waiting: 6, Slots: 8, Slowdown: 3}, 0, 3 * 17.0 / 8},
		"half with machine":    {LoadReport{Running: 10, Waiting: 6, Slots: 8, Slowdown: 3}, reportHalfLife, 2 * 9.5 / 8},
		"old":                  {LoadReport{Running: 10, Waiting: 6, Slots: 8, Slowdown: 3}, time.Minute, 1},
		"idle, fast machine":   {LoadReport{Slots: 8, Slowdown: 0.5}, 0, 0.5},
		"extreme machine":      {LoadReport{Slots: 8, Slowdown: 1e6}, 0, maxReportedSlowdown},
		"machine without load": {LoadReport{Running: 1, Slots: 8, Slowdown: 1}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			candidate := noticeCandidate(0, now)
			candidate.Begin() // the call whose response has the report
			candidate.ObserveNotice(now, Notice{Load: &c.report}, event.Logger{}, "request", "r")
			got := candidate.slowdown(now.Add(c.age))
			is.True(math.Abs(got-c.want) < 1e-9)
		})
	}
}

// The predicted policy avoids the endpoint at which others have requests, and the one whose machine is slow at this moment.
func TestPredictedUsesReports(t *testing.T) {
	for name, report := range map[string]LoadReport{"others": {Running: 20, Slots: 8}, "machine": {Slots: 8, Slowdown: 1.5}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_700_000_000, 0)
			candidates := []Candidate{noticeCandidate(0, now), noticeCandidate(1, now)}
			candidates[0].Stats.observeLatency(100 * time.Millisecond)
			candidates[1].Stats.observeLatency(110 * time.Millisecond)
			is.Equal(predicted(Query{Now: now}, candidates), 0)
			candidates[0].ObserveNotice(now, Notice{Load: &report}, event.Logger{}, "request", "r")
			is.Equal(predicted(Query{Now: now.Add(50 * time.Millisecond)}, candidates), 1)
			is.Equal(predicted(Query{Now: now.Add(5 * time.Second)}, candidates), 0)
		})
	}
}
