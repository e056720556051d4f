package route

import (
	"slices"
	"time"
)

// Range of the relative time that an engine takes for the same work.
const (
	minSlowness = 0.5
	maxSlowness = 4
)

// paceDivisor is the inverse of the weight of a new sample in the pace EWMA.
const paceDivisor = 3

// ObservePace records the mean time between the events of a stream.
func (s *Stats) ObservePace(now time.Time, pace time.Duration) {
	s.pacedAt.Store(now.UnixNano())
	old := s.pace.Load()
	if old == 0 {
		s.pace.Store(int64(pace))
		return
	}
	s.pace.Store(old + (int64(pace)-old)/paceDivisor)
}

// OwnPace returns the EWMA of the time between the events of the streams that were observed here, 0 before the first one,
// and when it last changed.
func (s *Stats) OwnPace() (time.Duration, time.Time) {
	return time.Duration(s.pace.Load()), time.Unix(0, s.pacedAt.Load())
}

// SetSharedPace stores the pace that all VMs together observed; 0 is ignored.
func (s *Stats) SetSharedPace(pace time.Duration) {
	if pace > 0 {
		s.sharedPace.Store(int64(pace))
	}
}

// Pace returns the time between the events of streams as all VMs observed it, or else as this one did; 0 if unknown.
func (s *Stats) Pace() time.Duration {
	if shared := s.sharedPace.Load(); shared > 0 {
		return time.Duration(shared)
	}
	return time.Duration(s.pace.Load())
}

// slowness compares engines by the pace of the streams that they answered: an engine with twice the median time between
// events counts twice the work. It answers endpoints of unlike speeds, and those that are loaded by other VMs.
type slowness struct {
	median time.Duration
}

func newSlowness(candidates []Candidate) slowness {
	var paces []time.Duration
	for i := range candidates {
		if pace := candidates[i].Stats.Pace(); pace > 0 {
			paces = append(paces, pace)
		}
	}
	if len(paces) == 0 {
		return slowness{}
	}
	slices.Sort(paces)
	return slowness{median: paces[len(paces)/2]}
}

// of returns the relative time of an engine, 1 if none of its streams is known.
func (s slowness) of(c *Candidate) float64 {
	pace := c.Stats.Pace()
	if pace == 0 || s.median == 0 {
		return 1
	}
	return min(max(float64(pace)/float64(s.median), minSlowness), maxSlowness)
}
