package piece

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/route"
)

// maxCallTime bounds predicted times of calls, so that sums of them do not overflow.
const maxCallTime = time.Hour

// PredictCallTime returns the configured time of a call with a number of pieces, or 0 if the service has no batch
// configuration.
func PredictCallTime(s *document.Service, pieces int) time.Duration {
	if s == nil || s.Batch == nil {
		return 0
	}
	ms := s.Batch.CallMS + s.Batch.PieceMS*float64(min(pieces, s.Batch.Pieces))
	return time.Duration(min(ms, float64(maxCallTime.Milliseconds())) * float64(time.Millisecond))
}

// fastestSlowdown is the least slowdown that an endpoint is believed to have.
const fastestSlowdown = 0.25

// LeastTime returns the time that a number of pieces takes if a number of endpoints of the service, the fastest there may be, run
// nothing else. It is 0 if there is no endpoint or no batch configuration.
func LeastTime(s *document.Service, endpoints, pieces int) time.Duration {
	if s == nil || s.Batch == nil || s.Batch.Pieces <= 0 || endpoints <= 0 {
		return 0
	}
	calls := (pieces + s.Batch.Pieces - 1) / s.Batch.Pieces
	slots := endpoints * max(1, s.Batch.Slots)
	rounds := (calls + slots - 1) / slots
	return time.Duration(fastestSlowdown * float64(rounds) * float64(PredictCallTime(s, pieces)))
}

// dispatchAll drops expired state and dispatches all queues.
func (d *Dispatcher) dispatchAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.Clock.Now())
	now := d.Clock.Now()
	for name, q := range d.queues {
		q.expire(now)
		if q.units > 0 && d.onlyEvacuated(name) {
			q.refuseEvacuated(name)
		}
		if q.admitter != nil {
			d.decide(now, name, q)
			d.dispatch(name, q)
			continue
		}
		q.sort(now)
		d.dispatch(name, q)
		if d.Overload == RefuseLate && d.Tight != nil && d.Tight(name) {
			for _, p := range q.refuseLate(now) {
				d.recordRefusal(now, p)
			}
		}
		q.refusePassedOver(now)
	}
}

// dispatch sends queued units of a service to its available endpoints.
func (d *Dispatcher) dispatch(service string, q *queue) {
	now := d.Clock.Now()
	s := d.Services.Service(service)
	if q.units == 0 || s == nil || s.Batch == nil || d.calls.Err() != nil {
		return
	}
	available, servedDCs := d.availableEndpoints(now, s)
	for i, c := range available {
		if q.units == 0 {
			return
		}
		state := d.endpoint(endpointKey(c))
		if !c.TakePermit(now) {
			continue
		}
		units := q.take(d.offer(now, s, q, available[i:], servedDCs))
		if len(units) == 0 {
			continue
		}
		for _, u := range units {
			u.budgetExempt = false
		}
		state.inFlight++
		state.lastCall = now
		state.callEnds = now.Add(time.Duration(state.slowdown * float64(PredictCallTime(s, len(units)))))
		state.heldBytes += resultBytes(units)
		d.group.Go(func() { d.call(s, c, state, units) })
	}
}

// offer returns what the first of the available endpoints can take: an equal share among those in its data centre,
// within its free memory.
func (d *Dispatcher) offer(now time.Time, s *document.Service, q *queue, available []*route.Candidate, servedDCs map[string]bool) offer {
	c, state := available[0], d.endpoint(endpointKey(available[0]))
	o := offer{now: now, dataCentre: c.DataCentre, servedDCs: servedDCs, maxPieces: s.Batch.Pieces, freeBytes: -1}
	if s.Batch.ResultBytes > 0 {
		o.freeBytes = max(0, int64(usableMemoryShare*float64(s.Batch.ResultBytes))-state.heldBytes)
		o.empty = state.heldBytes <= 0
	}
	sameDataCentre := 0
	for _, other := range available {
		if other.DataCentre == c.DataCentre {
			sameDataCentre++
		}
	}
	runnable := q.countRunnable(now, c.DataCentre, servedDCs, s.Batch.Pieces*sameDataCentre)
	o.share = int(math.Ceil(float64(runnable) / float64(sameDataCentre)))
	charged := make(map[*pendingJob]bool)
	o.allowed = func(u *unit) bool { return d.chargeRetry(now, s.Name, u, charged) }
	return o
}

// resultBytes returns the memory that the results of units need.
func resultBytes(units []*unit) int64 {
	n := int64(0)
	for _, u := range units {
		n += u.job.ResultBytes
	}
	return n
}

// availableEndpoints returns the endpoints with a free call slot, fastest first, and the data centres with confirmed
// endpoints, busy ones included. It omits endpoints with an expired lease, that accept no calls, in backoff or in unreachable data
// centres from both.
func (d *Dispatcher) availableEndpoints(now time.Time, s *document.Service) ([]*route.Candidate, map[string]bool) {
	var out []*route.Candidate
	servedDCs := make(map[string]bool)
	candidates := d.Services.Endpoints(s.Name)
	for i := range candidates {
		c := &candidates[i]
		state := d.endpoint(endpointKey(c))
		if now.Before(state.backoffUntil) || !now.Before(c.ExpiresAt) || !c.Stats.Accepts(now, int64(state.inFlight)) || d.Reach.Unreachable(now, c.DataCentre) {
			continue
		}
		if c.Confirmed {
			servedDCs[c.DataCentre] = true
		}
		if state.inFlight < max(1, s.Batch.Slots) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *route.Candidate) int { return cmp.Compare(d.cost(now, a), d.cost(now, b)) })
	return out, servedDCs
}

// cost returns the expected slowdown of an endpoint, raised if it no longer announces itself.
func (d *Dispatcher) cost(now time.Time, c *route.Candidate) float64 {
	slowdown := expectedSlowdown(now, c, d.endpoint(endpointKey(c)))
	if !c.Confirmed {
		return slowdown * unconfirmedFactor
	}
	return slowdown
}

// expectedSlowdown returns the learned slowdown of an endpoint, or that on a machine as usual times what its machine reported, the
// less of the latter the older the report is.
func expectedSlowdown(now time.Time, c *route.Candidate, state *endpointState) float64 {
	machine, weight := c.Stats.ReportedSlowdown(now)
	if weight == 0 {
		return state.slowdown
	}
	return state.slowdown + weight*(machine*state.baseSlowdown-state.slowdown)
}

func endpointKey(c *route.Candidate) connection.Key {
	return connection.Key{ID: c.ID, Incarnation: c.Incarnation}
}

// endpoint returns the state of an endpoint and creates it on first use.
func (d *Dispatcher) endpoint(k connection.Key) *endpointState {
	e := d.endpoints[k]
	if e == nil {
		e = &endpointState{slowdown: 1, baseSlowdown: 1}
		d.endpoints[k] = e
	}
	return e
}

// chargeRetry charges the retry of a unit to the budget, once per request and call, and reports whether the unit may be
// sent now. If the budget is spent, it ends jobs that have waited for budgetWait and are past their objective.
func (d *Dispatcher) chargeRetry(now time.Time, service string, u *unit, charged map[*pendingJob]bool) bool {
	if !u.retry || u.budgetExempt || charged[u.job] {
		return true
	}
	if d.Budget.TryRetry(now, service, 1) {
		charged[u.job] = true
		return true
	}
	if now.Sub(u.returnedAt) > budgetWait && u.job.Due.Before(now) {
		u.job.end(ErrRetryBudget)
	}
	return false
}
