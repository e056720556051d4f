package gateway

import (
	"sync"
	"time"
)

// Constants of the estimate of a run's longest duration: the mean plus a multiple of the mean deviation, as in TCP's estimate
// of a round trip (RFC 6298).
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// runEstimator estimates how long runs of requests at endpoints take at most, by route. Its zero value has no estimate.
type runEstimator struct {
	mu    sync.Mutex
	stats map[string]runStats
}

// runStats holds the averages of the durations of a route's runs.
type runStats struct {
	mean, deviation time.Duration
}

// observe adds the duration of a completed run on a route.
func (e *runEstimator) observe(route string, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stats == nil {
		e.stats = make(map[string]runStats)
	}
	s, ok := e.stats[route]
	if !ok {
		e.stats[route] = runStats{mean: duration, deviation: duration / 2}
		return
	}
	difference := duration - s.mean
	s.deviation += time.Duration(deviationWeight * float64(difference.Abs()-s.deviation))
	s.mean += time.Duration(meanWeight * float64(difference))
	e.stats[route] = s
}

// estimate returns the longest expected duration of a run on a route, and false if none was observed.
func (e *runEstimator) estimate(route string) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.stats[route]
	return s.mean + deviationFactor*s.deviation, ok
}
