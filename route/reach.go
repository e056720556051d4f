package route

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is how many connections in a row to a data centre have to fail by a timeout before it counts as
	// unreachable. One alone may be an endpoint that is gone.
	unreachableAfter = 2
	// unreachableFor is how long an unreachable data centre is avoided after the last failure.
	unreachableFor = 2 * time.Second
)

// Reach remembers which data centres connections cannot be made to. The zero value is ready.
type Reach struct {
	mu      sync.Mutex
	centres map[string]*reachState
}

type reachState struct {
	failures int
	last     time.Time
}

// Fail notes that a connection to a data centre timed out.
func (r *Reach) Fail(now time.Time, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.centres == nil {
		r.centres = make(map[string]*reachState)
	}
	s := r.centres[dataCentre]
	if s == nil {
		s = &reachState{}
		r.centres[dataCentre] = s
	}
	s.failures++
	s.last = now
}

// Succeed notes that an endpoint of a data centre answered.
func (r *Reach) Succeed(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.centres, dataCentre)
}

// Avoid reports whether a data centre is better left alone. Nil avoids none.
func (r *Reach) Avoid(now time.Time, dataCentre string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.centres[dataCentre]
	return s != nil && s.failures >= unreachableAfter && now.Sub(s.last) < unreachableFor
}
