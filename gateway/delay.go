package gateway

import (
	"sync"
	"time"
)

// EWMA weights of a new measurement above and below the estimate. The larger weight for increases biases the estimate
// upwards, so that about four in five requests take no longer.
const (
	riseWeight = 0.2
	fallWeight = 0.05
)

// delayEstimator estimates by how much stages and responses exceed their predicted durations. The zero value estimates
// 0 for every name.
type delayEstimator struct {
	mu        sync.Mutex
	estimates map[string]time.Duration
}

// observe adds a measurement under the name of a stage's service or of a route. A negative delay means faster than
// predicted; the estimate never falls below 0.
func (d *delayEstimator) observe(name string, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.estimates == nil {
		d.estimates = make(map[string]time.Duration)
	}
	old, weight := d.estimates[name], fallWeight
	if delay > old {
		weight = riseWeight
	}
	d.estimates[name] = max(0, old+time.Duration(weight*float64(delay-old)))
}

func (d *delayEstimator) estimate(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.estimates[name]
}
