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
