// Package retry bounds how often calls are repeated, over all VMs together. It does no input or output.
package retry

import (
	"sync"
	"time"
)

const (
	// buckets is the number of parts that a window is counted in.
	buckets = 10
	// reserve is the part of the allowed repeats that is used. The rest covers what other VMs count at the same
	// moment, and windows that begin between two buckets.
	reserve = 0.8
)

// Budget counts requests and repeats of each service in a sliding window. Set the exported fields before its use.
type Budget struct {
	// Ratio is the share of a service's requests that may be repeated, Slack a number on top for all VMs together.
	Ratio  float64
	Slack  int
	Window time.Duration

	mu       sync.Mutex
	start    time.Time
	services map[string]*counts
}

// counts has a bucket for each part of the window, and one more so that a whole window is always covered.
type counts struct {
	requests [buckets + 1]int
	repeats  [buckets + 1]int
	last     int64
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(now, service)
	c.requests[c.last%int64(len(c.requests))]++
}

// Take counts a repeat if this VM's share of the budget allows it; vms is the number of VMs that share it.
func (b *Budget) Take(now time.Time, service string, vms int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(now, service)
	if float64(sum(c.repeats)+1) > b.allowed(c, vms) {
		return false
	}
	c.repeats[c.last%int64(len(c.repeats))]++
	return true
}

// Left returns how many repeats this VM may still make now.
func (b *Budget) Left(now time.Time, service string, vms int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(now, service)
	return int(b.allowed(c, vms)) - sum(c.repeats)
}

func (b *Budget) allowed(c *counts, vms int) float64 {
	return reserve * (b.Ratio*float64(sum(c.requests)) + float64(b.Slack)/float64(max(vms, 1)))
}

// at moves a service's window on to now.
func (b *Budget) at(now time.Time, service string) *counts {
	if b.services == nil {
		b.services = make(map[string]*counts)
		b.start = now
	}
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	slot := int64(now.Sub(b.start) / (b.Window / buckets))
	for steps := 0; c.last < slot && steps <= buckets; steps++ {
		c.last++
		c.requests[c.last%int64(len(c.requests))] = 0
		c.repeats[c.last%int64(len(c.repeats))] = 0
	}
	c.last = max(c.last, slot)
	return c
}

func sum(values [buckets + 1]int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
