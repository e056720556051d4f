package route

import (
	"sync"
	"time"
)

const (
	// unreachableAfter is the number of consecutive connection timeouts after which a data centre counts as unreachable.
	// A single timeout may be caused by one failed endpoint.
	unreachableAfter = 2
	// unreachableFor is how long an unreachable data centre is avoided after its last timeout.
	unreachableFor = 2 * time.Second
)

// Reachability tracks data centres whose connections time out. The zero value is ready to use. Its methods are safe for
// concurrent use.
type Reachability struct {
	mu          sync.Mutex
	dataCentres map[string]*reachState
}

// reachState counts the consecutive connection timeouts of a data centre.
type reachState struct {
	timeouts    int
	lastTimeout time.Time
}

// RecordTimeout records that a connection to a data centre timed out.
func (r *Reachability) RecordTimeout(now time.Time, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dataCentres == nil {
		r.dataCentres = make(map[string]*reachState)
	}
	s := r.dataCentres[dataCentre]
	if s == nil {
		s = &reachState{}
		r.dataCentres[dataCentre] = s
	}
	s.timeouts++
	s.lastTimeout = now
}

// RecordResponse records a response from an endpoint in a data centre and resets its count of timeouts.
func (r *Reachability) RecordResponse(dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.dataCentres, dataCentre)
}

// Unreachable reports whether a data centre counts as unreachable. It is false for a nil Reachability.
func (r *Reachability) Unreachable(now time.Time, dataCentre string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.dataCentres[dataCentre]
	return s != nil && s.timeouts >= unreachableAfter && now.Sub(s.lastTimeout) < unreachableFor
}
