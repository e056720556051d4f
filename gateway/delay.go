package gateway

import (
	"sync"
	"time"
)

// Weights of a new measurement in a learned delay. A delay rises sooner than it falls, so that about four in five
// requests take no longer.
const (
	riseWeight = 0.2
	fallWeight = 0.05
)

// delays are the times by which stages and answers lately took longer than described. The zero value knows none.
type delays struct {
	mu   sync.Mutex
	over map[string]time.Duration
}

// learn takes a measurement of a stage's service, or of the answers of a route.
func (d *delays) learn(name string, over time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.over == nil {
		d.over = make(map[string]time.Duration)
	}
	known, weight := d.over[name], fallWeight
	if over > known {
		weight = riseWeight
	}
	d.over[name] = max(0, known+time.Duration(weight*float64(over-known)))
}

func (d *delays) of(name string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.over[name]
}
