package gateway

import (
	"sync"
	"time"
)

const (
	// minWaited is the shortest time that counts as waited: the remaining times of first attempts differ by their transport.
	minWaited = 100 * time.Millisecond
	// budgetBucket is half of the time for which the longest remaining time of a route is kept.
	budgetBucket = 30 * time.Second
)

// waitedEstimator estimates how long callers have been waiting when their request arrives. A caller that returns after a
// refusal sends a shorter remaining time than a first attempt. The zero value knows no route.
type waitedEstimator struct {
	mu     sync.Mutex
	routes map[string]*longestBudget
}

// longestBudget is the longest remaining time of a route's requests in the current and the previous bucket.
type longestBudget struct {
	since             time.Time
	current, previous time.Duration
}

// observe adds the remaining time of a request and returns for how long its caller has been waiting, by the longest
// remaining time of the route in about the last minute, at most timeout.
func (e *waitedEstimator) observe(now time.Time, route string, remaining, timeout time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.routes == nil {
		e.routes = make(map[string]*longestBudget)
	}
	l := e.routes[route]
	if l == nil {
		l = &longestBudget{since: now}
		e.routes[route] = l
	}
	switch age := now.Sub(l.since); {
	case age >= 2*budgetBucket:
		*l = longestBudget{since: now}
	case age >= budgetBucket:
		*l = longestBudget{since: l.since.Add(budgetBucket), previous: l.current}
	}
	l.current = max(l.current, remaining)
	waited := min(max(l.current, l.previous), timeout) - remaining
	if waited < minWaited {
		return 0
	}
	return waited
}
