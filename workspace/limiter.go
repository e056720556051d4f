// Package workspace enforces the request limits of workspaces over all VMs: the leader leases each VM a share of each
// limit.
package workspace

import (
	"sync"
	"time"

	"godwitplank/document"
	"godwitplank/fault"
)

// burstWindow is the size of the token bucket, as the time that a share's rate takes to fill it.
const burstWindow = 200 * time.Millisecond

// Timing of demand measurements.
const (
	demandWindow = 1 * time.Second
	// idleTimeout is how long after its last request a workspace still has a demand.
	idleTimeout = 10 * time.Second
)

// Limiter enforces this VM's share of the limits of each workspace: a token bucket for the rate and a counter of
// concurrent requests. Set Started before the first call. Its methods are safe for concurrent use.
type Limiter struct {
	// Started is when the VM started. An earlier incarnation may have given up its floors, so this one has none until the
	// first response of the broker, or until LeaseDuration+LeaseGrace has passed, when the broker reserves the floors
	// again.
	Started time.Time

	brokerResponded bool
	mu              sync.Mutex
	vms             int
	states          map[string]*state // by workspace
	requestSignal   chan struct{}
	grantsReceived  chan struct{}
}

// state is the state of one workspace on this VM.
type state struct {
	limit       Amount
	grant       Amount
	requestedAt time.Time // when the grant was requested
	tokens      float64
	refilledAt  time.Time
	running     int
	// Demand in the current window and in the previous one.
	windowStart time.Time
	arrivals    int
	peak        int
	lastRate    float64
	lastPeak    int
	lastArrival time.Time
}

// Acquire admits a request of a workspace or refuses it. The caller calls end when an admitted request ends. If retryable
// is set, a refused request may be admitted after the next response of the broker.
func (l *Limiter) Acquire(now time.Time, w *document.Workspace) (end func(), refusal *fault.Error, retryable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stateFor(now, w)
	s.recordArrival(now)
	share := l.share(now, s)
	s.refill(now, share)
	if s.running >= share.Slots {
		return nil, fault.New(fault.ConcurrencyLimit, "workspace %s has reached its limit of %d concurrent requests, or this VM its share of the limit; wait for a request to end", w.Name, w.ConcurrentRequests), l.requestGrant(s, now)
	}
	if s.tokens < 1 {
		return nil, fault.New(fault.RateLimit, "workspace %s exceeds its limit of %v requests per second; send fewer", w.Name, w.RequestsPerSecond), l.requestGrant(s, now)
	}
	s.tokens--
	s.running++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.running--
	}, nil, false
}

// requestGrant signals that a grant should be requested now. It returns false if the present one was requested too
// recently for a new one to be larger.
func (l *Limiter) requestGrant(s *state, now time.Time) bool {
	if now.Sub(s.requestedAt) < RequestInterval/2 {
		return false
	}
	select {
	case l.signal() <- struct{}{}:
	default:
	}
	return true
}

// signal returns the channel of GrantNeeded. The caller holds l.mu.
func (l *Limiter) signal() chan struct{} {
	if l.requestSignal == nil {
		l.requestSignal = make(chan struct{}, 1)
	}
	return l.requestSignal
}

// GrantNeeded returns a channel that receives a value when a workspace needs more than this VM's share.
func (l *Limiter) GrantNeeded() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.signal()
}

// GrantsReceived returns a channel that is closed at the next response of the broker.
func (l *Limiter) GrantsReceived() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grantsReceived == nil {
		l.grantsReceived = make(chan struct{})
	}
	return l.grantsReceived
}

// SetVMs sets the number of VMs that share the limits.
func (l *Limiter) SetVMs(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = n
}

// Demands returns the demands to send to the broker: of workspaces with recent requests, and of those whose grant the
// broker may still count. It drops the state of all others.
func (l *Limiter) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Demand
	for name, s := range l.states {
		idle := now.Sub(s.lastArrival) > idleTimeout && s.running == 0
		if idle && now.Sub(s.requestedAt) > LeaseDuration+LeaseGrace {
			delete(l.states, name)
			continue
		}
		held := l.share(now, s)
		held.Slots = max(held.Slots, s.running)
		rate, peak := s.demand(now)
		if idle {
			rate, peak = 0, 0
		}
		out = append(out, Demand{Workspace: name, Rate: rate, Concurrency: peak, Held: held})
	}
	return out
}

// SetGrants applies the broker's response to the demands of requestedAt. It ignores grants older than the present one.
func (l *Limiter) SetGrants(requestedAt time.Time, grants []Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokerResponded = true
	for _, g := range grants {
		s := l.stateNamed(requestedAt, g.Workspace)
		if !requestedAt.Before(s.requestedAt) {
			s.refill(requestedAt, l.share(requestedAt, s))
			s.grant, s.requestedAt = g.Amount, requestedAt
		}
	}
	if l.grantsReceived != nil {
		close(l.grantsReceived)
		l.grantsReceived = nil
	}
}

// stateFor returns the state of a workspace with its present limits.
func (l *Limiter) stateFor(now time.Time, w *document.Workspace) *state {
	s := l.stateNamed(now, w.Name)
	first := s.limit == Amount{}
	s.limit = Amount{Rate: w.RequestsPerSecond, Slots: w.ConcurrentRequests}
	if first {
		s.tokens = s.maxTokens(l.share(now, s)) // a new workspace starts with a full bucket
	}
	return s
}

// stateNamed returns the state of a workspace and creates it on first use.
func (l *Limiter) stateNamed(now time.Time, name string) *state {
	if l.states == nil {
		l.states = make(map[string]*state)
	}
	s := l.states[name]
	if s == nil {
		s = &state{refilledAt: now, windowStart: now}
		l.states[name] = s
	}
	return s
}

// share returns this VM's present share of a workspace's limits: its grant, its floor or the lower of the two, as
// described at LeaseDuration.
func (l *Limiter) share(now time.Time, s *state) Amount {
	vmFloor := floor(s.limit, l.vms)
	if !l.brokerResponded && now.Sub(l.Started) < LeaseDuration+LeaseGrace {
		vmFloor = Amount{}
	}
	switch age := now.Sub(s.requestedAt); {
	case age < LeaseDuration:
		return minAmount(s.grant, s.limit)
	case age < LeaseDuration+LeaseGrace:
		return minAmount(s.grant, vmFloor)
	}
	return vmFloor
}

// refill adds the tokens for the time since the last refill.
func (s *state) refill(now time.Time, share Amount) {
	if elapsed := now.Sub(s.refilledAt).Seconds(); elapsed > 0 {
		s.tokens += elapsed * share.Rate
		s.refilledAt = now
	}
	s.tokens = min(s.tokens, s.maxTokens(share))
}

// maxTokens returns the size of the token bucket: at least one token if the share has a rate, so that a request can be
// admitted.
func (s *state) maxTokens(share Amount) float64 {
	if share.Rate == 0 {
		return 0
	}
	return max(1, share.Rate*burstWindow.Seconds())
}

// recordArrival counts a request in the demand, admitted or not.
func (s *state) recordArrival(now time.Time) {
	s.rollWindow(now)
	s.arrivals++
	s.peak = max(s.peak, s.running+1)
	s.lastArrival = now
}

// rollWindow starts a new window once the current one has lasted demandWindow.
func (s *state) rollWindow(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	if elapsed < demandWindow {
		return
	}
	s.lastRate = float64(s.arrivals) / elapsed.Seconds()
	s.lastPeak = s.peak
	s.windowStart, s.arrivals, s.peak = now, 0, s.running
}

// demand returns the arrivals per second and the peak of concurrent requests, each the larger one of the current and
// the previous window.
func (s *state) demand(now time.Time) (rate float64, peak int) {
	s.rollWindow(now)
	elapsed := max(now.Sub(s.windowStart), demandWindow/4)
	current := float64(s.arrivals) / elapsed.Seconds()
	return max(s.lastRate, current), max(s.lastPeak, s.peak, s.running)
}
