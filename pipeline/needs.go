package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"godwitplank/document"
)

// Latency estimate of a pool.
const (
	// A new latency weighs 1/latencyWeight in the EWMA.
	latencyWeight = 8
	// minLatencyPercent of the estimated latency of the remaining stages must be left before the deadline; with less a
	// request is refused early.
	minLatencyPercent = 50
)

// Retry budget of a pool: a token bucket in thousandths of a call.
const (
	retryCost   = 1000
	retryRefill = 150 // returned by each first call, so that retries are at most 15% of first calls in the long run
	retryBurst  = 10 * retryCost
)

// poolStats holds the latency estimate and the retry budget of each pool and model. The zero value is ready to use.
type poolStats struct {
	pools sync.Map // pool and model -> *poolStat
}

type poolStat struct {
	smoothed    atomic.Int64 // EWMA of the latency in nanoseconds; 0 before the first measurement
	retriesUsed atomic.Int64 // used part of the retry budget, in thousandths of a call
}

func (p *poolStats) stat(s *document.Stage) *poolStat {
	key := s.Pool + "\x00" + s.Model
	if v, ok := p.pools.Load(key); ok {
		return v.(*poolStat)
	}
	v, _ := p.pools.LoadOrStore(key, &poolStat{})
	return v.(*poolStat)
}

// minDuration returns the least time that the stages are expected to take together.
func (p *poolStats) minDuration(stages []document.Stage) time.Duration {
	var total time.Duration
	for i := range stages {
		total += p.stat(&stages[i]).latency()
	}
	return total * minLatencyPercent / 100
}

func (p *poolStat) latency() time.Duration {
	return time.Duration(p.smoothed.Load())
}

func (p *poolStat) observe(latency time.Duration) {
	for {
		old := p.smoothed.Load()
		next := old + (int64(latency)-old)/latencyWeight
		if old == 0 {
			next = int64(latency)
		}
		if p.smoothed.CompareAndSwap(old, next) {
			return
		}
	}
}

// refillRetries returns retryRefill to the budget. It is called once for each first call.
func (p *poolStat) refillRetries() {
	for {
		used := p.retriesUsed.Load()
		if p.retriesUsed.CompareAndSwap(used, max(0, used-retryRefill)) {
			return
		}
	}
}

// takeRetry takes one retry from the budget and reports whether the budget allowed it.
func (p *poolStat) takeRetry() bool {
	if p.retriesUsed.Add(retryCost) <= retryBurst {
		return true
	}
	p.retriesUsed.Add(-retryCost)
	return false
}
