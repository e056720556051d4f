// Package route selects the endpoint for a stage call. It performs no I/O.
package route

import (
	"net/netip"
	"sync/atomic"
	"time"

	"godwitplank/cold"
	"godwitplank/quota"
)

// Candidate is an endpoint of a pool that may receive calls until its lease ends.
type Candidate struct {
	ID         string
	Addr       netip.AddrPort
	DataCentre string
	// Models lists the models that the endpoint serves; empty means all.
	Models []string
	// Slots is the number of calls that the endpoint processes at a time; 0 counts as 1.
	Slots int
	// SendingVMs is the number of VMs assumed to send this endpoint as many calls as this VM does; 0 counts as 1.
	SendingVMs int
	// ExpiresAt is when the lease ends, or the planned stop if that is earlier.
	ExpiresAt time.Time
	// Incarnation increases with every start of the endpoint.
	Incarnation uint64
	// Confirmed is true while announcements of the endpoint arrive.
	Confirmed bool
	// Stats is shared by all candidates of the same incarnation.
	Stats *Stats
}

// Stats holds this VM's load and health statistics of one incarnation of an endpoint. Its methods are safe for
// concurrent use.
type Stats struct {
	inFlight            atomic.Int64
	remoteLoad          atomic.Int64 // requests of other VMs, from the endpoint's last load report
	latency             atomic.Int64 // EWMA of the latency at an idle endpoint, in nanoseconds; 0 before the first response
	consecutiveFailures atomic.Int64
	ejectedUntil        atomic.Int64 // Unix nanoseconds
	pace                atomic.Int64 // EWMA of the time between two events of a stream, in nanoseconds; 0 before the first
	pacedAt             atomic.Int64 // Unix nanoseconds of the last change of pace
	sharedPace          atomic.Int64 // as pace, over the streams of all VMs; 0 if unknown
	leaving             atomic.Bool  // the endpoint said that it leaves
	quietUntil          atomic.Int64 // Unix nanoseconds; 0 if the endpoint asked for no quiet or a call has succeeded since
	completed           atomic.Int64 // calls that succeeded since the endpoint was last cold
	report              atomic.Pointer[receivedReport]
	stated              atomic.Pointer[StatedLimit] // nil if the endpoint never stated a limit

	// Schedule holds when this VM may send calls while the endpoint is cold.
	Schedule cold.Schedule
	// Quota holds when this VM may send calls while the endpoint states a limit.
	Quota quota.Schedule
}

// Ejection time of a failing endpoint. It starts at minEjection and doubles with each consecutive failure.
const (
	minEjection = 250 * time.Millisecond
	maxEjection = 8 * time.Second
	// rejectionPause is about the time in which a full endpoint ends a request.
	rejectionPause = 300 * time.Millisecond
)

// latencyDivisor is the inverse of the weight of a new sample in the latency EWMA.
const latencyDivisor = 5

// Begin counts a call as in flight. It returns the call's expected slowdown without the endpoint's load report, to be passed to
// Succeed.
func (c *Candidate) Begin() (slowdown float64) {
	return c.BeginAt(time.Time{})
}

// BeginAt is Begin with the load report of the endpoint, weighted by its age.
func (c *Candidate) BeginAt(now time.Time) (slowdown float64) {
	slowdown = c.slowdown(now)
	c.Stats.inFlight.Add(1)
	return slowdown
}

// slowdown returns the expected latency of one more call relative to an idle endpoint on a machine as usual, at least 1 on such a
// machine. The load is this VM's calls in flight plus those of other VMs: the last announced number, or as many per VM as this one
// has if that is more, since announcements lag behind a burst. A load report counts in its place, the less the older it is.
func (c *Candidate) slowdown(now time.Time) float64 {
	inFlight := c.Stats.inFlight.Load()
	others := float64(max(c.Stats.remoteLoad.Load(), inFlight*int64(max(c.SendingVMs, 1)-1)))
	slots := c.Slots
	report, weight := c.Stats.reported(now)
	if weight > 0 {
		others += weight * (float64(report.others) - others)
		if slots == 0 {
			slots = report.slots
		}
	}
	machine, weight := c.Stats.ReportedSlowdown(now)
	return max(1, (float64(inFlight)+others+1)/float64(max(slots, 1))) * (1 + weight*(machine-1))
}

// Succeed records a completed call: it ends an ejection and adds latency divided by slowdown to the latency EWMA, where
// slowdown is the value that Begin returned for the call.
func (s *Stats) Succeed(latency time.Duration, slowdown float64) {
	s.inFlight.Add(-1)
	s.completed.Add(1)
	s.consecutiveFailures.Store(0)
	s.ejectedUntil.Store(0)
	s.observeLatency(time.Duration(float64(latency) / slowdown))
}

// observeLatency adds a sample to the latency EWMA.
func (s *Stats) observeLatency(latency time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(int64(latency))
		return
	}
	s.latency.Store(old + (int64(latency)-old)/latencyDivisor)
}

// Fail records a failed call and ejects the endpoint for a time that doubles with each consecutive failure. It returns
// that time.
func (s *Stats) Fail(now time.Time) time.Duration {
	s.inFlight.Add(-1)
	n := min(s.consecutiveFailures.Add(1), 16)
	ejection := min(minEjection<<(n-1), maxEjection)
	s.ejectedUntil.Store(now.Add(ejection).UnixNano())
	return ejection
}

// Reject records a call that the endpoint refused without running it, mostly because it is full. The endpoint is ejected for
// rejectionPause, without counting a failure: each refused call counts as a retry of the service.
func (s *Stats) Reject(now time.Time) {
	s.inFlight.Add(-1)
	until := now.Add(rejectionPause).UnixNano()
	if s.ejectedUntil.Load() < until {
		s.ejectedUntil.Store(until)
	}
}

// Cancel records a call that was abandoned before a response. If it had already run longer than the latency EWMA, its
// duration is added as a sample, since the endpoint is at least that slow.
func (s *Stats) Cancel(elapsed time.Duration) {
	s.inFlight.Add(-1)
	if int64(elapsed) > s.latency.Load() && s.latency.Load() > 0 {
		s.observeLatency(elapsed)
	}
}

// SetReportedLoad stores the load that the endpoint reports, less this VM's calls in flight.
func (s *Stats) SetReportedLoad(running, queued int) {
	s.remoteLoad.Store(max(0, int64(running+queued)-s.inFlight.Load()))
}

// InFlight returns the number of this VM's calls in flight.
func (s *Stats) InFlight() int64 {
	return s.inFlight.Load()
}

// Latency returns the EWMA of the latency at an idle endpoint, 0 before the first response.
func (s *Stats) Latency() time.Duration {
	return time.Duration(s.latency.Load())
}

// ejected reports whether the endpoint is ejected at a time in Unix nanoseconds.
func (s *Stats) ejected(now int64) bool {
	return s.ejectedUntil.Load() > now
}
