// Package route chooses the endpoint for a stage call. It does no input or output.
package route

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// Candidate is an endpoint that a pool's calls may go to until a time.
type Candidate struct {
	ID         string
	Addr       netip.AddrPort
	DataCentre string
	Models     []string
	Slots      int
	// VMs is the number of VMs that are believed to send as many calls as this one.
	VMs int
	// Until is the end of the lease, or an earlier planned stop.
	Until       time.Time
	Incarnation uint64
	// Confirmed is true while the endpoint's announcements arrive.
	Confirmed bool
	// Stat is shared by all views of one incarnation.
	Stat *Stat
}

// Stat is what this VM learned of one incarnation of an endpoint. All methods are safe for concurrent use.
type Stat struct {
	inFlight  atomic.Int64
	reported  atomic.Int64 // requests of other VMs, by the last report
	latency   atomic.Int64 // of a call alone, smoothed, in nanoseconds; 0 before the first answer
	failures  atomic.Int64 // in a row
	shedUntil atomic.Int64 // Unix nanoseconds
}

// Backoff of an endpoint that fails.
const (
	shedFirst = 250 * time.Millisecond
	shedMost  = 8 * time.Second
)

// latencyWeight is the share of a new latency in the smoothed one, as 1/latencyWeight.
const latencyWeight = 5

// Begin counts a call that is sent. It returns by how much the calls before it stretch its time.
func (c *Candidate) Begin() (stretch float64) {
	stretch = c.stretch()
	c.Stat.inFlight.Add(1)
	return stretch
}

// stretch is how many times longer than alone one more call takes. Before it are the own calls and those of other VMs:
// as many as the last report says, or as many as this VM's if that is more, since a report lags behind a burst.
func (c *Candidate) stretch() float64 {
	own := c.Stat.inFlight.Load()
	waiting := max(own+c.Stat.reported.Load(), own*int64(max(c.VMs, 1))) + 1
	return max(1, float64(waiting)/float64(max(c.Slots, 1)))
}

// Succeed counts an answered call with its latency and the stretch that it began with.
func (s *Stat) Succeed(latency time.Duration, stretch float64) {
	s.inFlight.Add(-1)
	s.failures.Store(0)
	s.shedUntil.Store(0)
	s.learn(time.Duration(float64(latency) / stretch))
}

func (s *Stat) learn(latency time.Duration) {
	old := s.latency.Load()
	if old == 0 {
		s.latency.Store(int64(latency))
		return
	}
	s.latency.Store(old + (int64(latency)-old)/latencyWeight)
}

// Fail counts a failed call and sheds the endpoint for a time that doubles with each failure in a row.
func (s *Stat) Fail(now time.Time) time.Duration {
	s.inFlight.Add(-1)
	n := min(s.failures.Add(1), 16)
	shed := min(shedFirst<<(n-1), shedMost)
	s.shedUntil.Store(now.Add(shed).UnixNano())
	return shed
}

// Leave counts a call that was given up without news of the endpoint. A call that took longer than
// the smoothed latency still teaches that the endpoint is slow.
func (s *Stat) Leave(spent time.Duration) {
	s.inFlight.Add(-1)
	if int64(spent) > s.latency.Load() && s.latency.Load() > 0 {
		s.learn(spent)
	}
}

// Report takes the load that the endpoint reports; the own calls in flight are taken off it.
func (s *Stat) Report(running, queued int) {
	s.reported.Store(max(0, int64(running+queued)-s.inFlight.Load()))
}

// InFlight returns the own calls that are not answered yet.
func (s *Stat) InFlight() int64 {
	return s.inFlight.Load()
}

// Latency returns the smoothed latency of a call without others before it, 0 before the first answer.
func (s *Stat) Latency() time.Duration {
	return time.Duration(s.latency.Load())
}

func (s *Stat) shed(now int64) bool {
	return s.shedUntil.Load() > now
}
