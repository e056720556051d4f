// Package retry limits the retries of calls, over all VMs together, to a budget per service. It performs no I/O.
package retry

import (
	"sync"
	"time"
)

const (
	// buckets is the number of buckets that a window is divided into.
	buckets = 10
	// usableShare is the fraction of the allowed retries that is used. The rest covers retries that other VMs count at
	// the same moment, and windows that start within a bucket.
	usableShare = 0.8
)

// Budget counts requests and retries of each service in a sliding window. Set the exported fields before use. Its
// methods are safe for concurrent use.
type Budget struct {
	// Ratio is the allowed number of retries per request, Slack the retries allowed on top of that for all VMs together.
	Ratio float64
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration

	mu       sync.Mutex
	start    time.Time
	services map[string]*counts
}

// counts holds ring buffers of buckets. They have one bucket more than a window, so that they always cover a whole one.
type counts struct {
	requests   [buckets + 1]int
	retries    [buckets + 1]int
	lastBucket int64
}

// CountRequest counts a first attempt for a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	c.requests[c.lastBucket%int64(len(c.requests))]++
}

// TryRetry reports whether this VM's share of the budget allows a retry, and counts the retry if so; vms is the number of
// VMs that share the budget.
func (b *Budget) TryRetry(now time.Time, service string, vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	if float64(sum(c.retries)+1) > b.allowed(c, vms) {
		return false
	}
	c.retries[c.lastBucket%int64(len(c.retries))]++
	return true
}

// Remaining returns the number of retries that this VM may make now.
func (b *Budget) Remaining(now time.Time, service string, vms int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.advance(now, service)
	return int(b.allowed(c, vms)) - sum(c.retries)
}

// allowed returns the number of retries that this VM may make in a window.
func (b *Budget) allowed(c *counts, vms int) float64 {
	return usableShare * (b.Ratio*float64(sum(c.requests)) + b.Slack/float64(max(vms, 1)))
}

// advance moves the window of a service to now and returns its counts.
func (b *Budget) advance(now time.Time, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
		b.start = now
	}
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	bucket := int64(now.Sub(b.start) / (b.Window / buckets))
	for steps := 0; c.lastBucket < bucket && steps <= buckets; steps++ {
		c.lastBucket++
		c.requests[c.lastBucket%int64(len(c.requests))] = 0
		c.retries[c.lastBucket%int64(len(c.retries))] = 0
	}
	c.lastBucket = max(c.lastBucket, bucket)
	return c
}

func sum(values [buckets + 1]int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
