package route

import (
	"math"
	"time"
)

// LoadReport is what an endpoint's response says about its load.
type LoadReport struct {
	// Running and Waiting are the numbers of requests of all VMs at the endpoint.
	Running int
	Waiting int
	Slots   int
	// Slowdown is the time that work takes on the endpoint's machine at this moment, relative to the usual time; 0 if unknown.
	Slowdown float64
}

const (
	// reportHalfLife is the age at which a report counts as much as what this VM has learnt. The load of a machine changes many times a
	// second.
	reportHalfLife = 200 * time.Millisecond
	// maxReportAge is the age from which a report counts nothing, 1/1024 of its weight.
	maxReportAge = 10 * reportHalfLife
	// Range of the slowdown that a report may state.
	minReportedSlowdown = 0.1
	maxReportedSlowdown = 10
)

// receivedReport is a LoadReport as this VM received it.
type receivedReport struct {
	at time.Time
	// others is the number of requests of other VMs, slots as reported.
	others, slots int
	slowdown      float64
}

// ObserveLoad stores a report of the endpoint that arrived with a response, before the call counts as ended.
func (s *Stats) ObserveLoad(now time.Time, r LoadReport) {
	stored := &receivedReport{at: now, others: max(0, r.Running+r.Waiting-int(s.inFlight.Load())), slots: r.Slots, slowdown: r.Slowdown}
	if stored.slowdown > 0 {
		stored.slowdown = min(max(stored.slowdown, minReportedSlowdown), maxReportedSlowdown)
	}
	s.report.Store(stored)
}

// reported returns the newest report and its weight by its age, from 1 down to 0.
func (s *Stats) reported(now time.Time) (r receivedReport, weight float64) {
	stored := s.report.Load()
	if stored == nil {
		return receivedReport{}, 0
	}
	age := now.Sub(stored.at)
	if age.Abs() > maxReportAge {
		return *stored, 0
	}
	return *stored, math.Exp2(-float64(max(age, 0)) / float64(reportHalfLife))
}

// ReportedAt returns when the endpoint last reported its load, zero if it never did.
func (s *Stats) ReportedAt() time.Time {
	if stored := s.report.Load(); stored != nil {
		return stored.at
	}
	return time.Time{}
}

// ReportedSlowdown returns the slowdown of the endpoint's machine as last reported and the weight of that by its age, 0 if it was
// not reported.
func (s *Stats) ReportedSlowdown(now time.Time) (slowdown, weight float64) {
	r, weight := s.reported(now)
	if r.slowdown == 0 {
		return 1, 0
	}
	return r.slowdown, weight
}
