package event

import (
	"sync"
	"time"
)

// Sampler limits the number of lines of a kind that callers can cause. The zero value is ready to use.
type Sampler struct {
	mu      sync.Mutex
	since   time.Time
	count   int
	skipped int64
}

// Lines of a sampled kind that are written in each interval.
const (
	sampleInterval = time.Second
	linesPerSample = 20
)

// Allow reports whether a line may be written now, and how many were skipped since the last one that was.
func (s *Sampler) Allow(now time.Time) (skipped int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.since) >= sampleInterval {
		s.since, s.count = now, 0
	}
	if s.count++; s.count > linesPerSample {
		s.skipped++
		return 0, false
	}
	skipped, s.skipped = s.skipped, 0
	return skipped, true
}
