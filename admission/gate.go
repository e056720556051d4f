package admission

import (
	"math"
	"sync"
	"time"
)

// shareWindow is the time constant in which the shares of a Gate decay.
const shareWindow = 4 * time.Second

// maxWait is the longest total wait at the stages of a request that a Gate admits, whatever its objective. Without it the
// routes with long objectives fill the queues and those with short ones are refused. In the load plays of three stages
// (TestAdmissionTable, mean of seven loads, seed 1) the worth is 0.59 with 0.4 s, 0.65 with 0.8 s, 0.67 with 1.2 s and 0.64 without;
// with a large customer 0.51, 0.51, 0.49 and 0.37.
const maxWait = 800 * time.Millisecond

// Gate decides whether requests start, from the predicted waits at their stages: results of early stages hold memory for
// nothing if a later stage has no capacity in time. Its zero value is ready for use.
type Gate struct {
	mu     sync.Mutex
	policy Policy
	// shares counts the requests that asked and were admitted by route, as of updated.
	shares  map[string]Share
	updated time.Time
}

// Entry is a request that asks a Gate.
type Entry struct {
	Route         string
	Due, Deadline time.Time
	// InTime is the time that the request is predicted to need, Late the same if it gets only what is left over; Never if
	// that is nothing.
	InTime, Late time.Duration
	// Wait is the part of InTime that it waits for others.
	Wait     time.Duration
	Returned bool
}

// Admit reports whether a request should start: if it can meet its objective, if it is predicted to end well before its
// deadline with what is left over, or if its route got less than minShare of what the others got. Otherwise its caller
// should return after retryAfter.
func (g *Gate) Admit(now time.Time, e Entry) (admitted bool, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decay(now)
	share := lateShare
	if e.Returned {
		share = returnedLateShare
	}
	left := e.Deadline.Sub(now)
	s := g.shares[e.Route]
	s.Asked++
	g.shares[e.Route] = s
	admitted = (!now.Add(e.InTime).After(e.Due) && e.Wait <= maxWait) || (e.Late != Never && e.Late < time.Duration(share*float64(left))) ||
		(starved(g.shares, e.Route) && now.Add(e.InTime).Before(e.Deadline))
	if admitted {
		s.Got++
		g.shares[e.Route] = s
		return true, 0
	}
	return false, g.policy.RetryAfter(max(0, e.InTime-e.Due.Sub(now)), left)
}

func (g *Gate) decay(now time.Time) {
	if g.shares == nil {
		g.shares = make(map[string]Share)
	}
	factor := math.Exp(-now.Sub(g.updated).Seconds() / shareWindow.Seconds())
	for route, s := range g.shares {
		s.Asked *= factor
		s.Got *= factor
		g.shares[route] = s
	}
	g.updated = now
}
