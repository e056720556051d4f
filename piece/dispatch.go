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

// Predict returns the described time of a call.
func Predict(s *document.Service, pieces int) time.Duration {
	if s == nil || s.Batch == nil {
		return 0
	}
	return time.Duration((s.Batch.CallMS + s.Batch.PieceMS*float64(min(pieces, s.Batch.Pieces))) * float64(time.Millisecond))
}

func (m *Maker) dispatchAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.Clock.Now())
	for name, q := range m.queues {
		m.dispatch(name, q)
	}
}

// dispatch gives what waits to endpoints that are free.
func (m *Maker) dispatch(service string, q *queue) {
	now := m.Clock.Now()
	q.expire(now)
	s := m.Services.Service(service)
	if len(q.waiting) == 0 || s == nil || s.Batch == nil {
		return
	}
	free, near := m.free(now, s)
	for i, c := range free {
		known := m.caller(key(c))
		units := q.take(m.offer(now, s, q, free[i:], near))
		if len(units) == 0 {
			continue
		}
		for _, u := range units {
			u.paid = false
		}
		known.busy++
		known.called = now
		known.used += results(units)
		m.group.Go(func() { m.call(s, c, known, units) })
	}
}

// offer returns what the first of the free endpoints can take: its share among those of its data centre, as far as its
// memory goes.
func (m *Maker) offer(now time.Time, s *document.Service, q *queue, free []*route.Candidate, near map[string]bool) offer {
	c, known := free[0], m.caller(key(free[0]))
	o := offer{now: now, dataCentre: c.DataCentre, near: near, most: s.Batch.Pieces, room: -1}
	if s.Batch.ResultBytes > 0 {
		o.room = max(0, int64(roomShare*float64(s.Batch.ResultBytes))-known.used)
		o.empty = known.used <= 0
	}
	rivals := 0
	for _, other := range free {
		if other.DataCentre == c.DataCentre {
			rivals++
		}
	}
	o.share = int(math.Ceil(float64(q.count(now, c.DataCentre, near)) / float64(rivals)))
	charged := make(map[*pending]bool)
	o.may = func(u *unit) bool { return m.pay(now, s.Name, u, charged) }
	return o
}

// results returns the memory that the results of units take.
func results(units []*unit) int64 {
	n := int64(0)
	for _, u := range units {
		n += u.job.ResultBytes
	}
	return n
}

// free returns the endpoints that may take a call, the fastest first, and the data centres that have endpoints.
func (m *Maker) free(now time.Time, s *document.Service) ([]*route.Candidate, map[string]bool) {
	var out []*route.Candidate
	near := make(map[string]bool)
	candidates := m.Services.Endpoints(s.Name)
	for i := range candidates {
		c := &candidates[i]
		known := m.caller(key(c))
		if now.Before(known.until) || !now.Before(c.Until) || m.Reach.Avoid(now, c.DataCentre) {
			continue
		}
		if c.Confirmed {
			near[c.DataCentre] = true
		}
		if known.busy < max(1, s.Batch.Slots) {
			out = append(out, c)
		}
	}
	slices.SortStableFunc(out, func(a, b *route.Candidate) int { return cmp.Compare(m.cost(a), m.cost(b)) })
	return out, near
}

func (m *Maker) cost(c *route.Candidate) float64 {
	if !c.Confirmed {
		return m.caller(key(c)).slow * unconfirmedFactor
	}
	return m.caller(key(c)).slow
}

func key(c *route.Candidate) connection.Key {
	return connection.Key{ID: c.ID, Incarnation: c.Incarnation}
}

func (m *Maker) caller(k connection.Key) *caller {
	c := m.calls[k]
	if c == nil {
		c = &caller{slow: 1}
		m.calls[k] = c
	}
	return c
}

// pay takes what repeated units cost from the budget: one for each request in a call. False means that it does not
// suffice now.
func (m *Maker) pay(now time.Time, service string, u *unit, charged map[*pending]bool) bool {
	if !u.repeated || u.paid || charged[u.job] {
		return true
	}
	if m.Budget.Take(now, service, 1) {
		charged[u.job] = true
		return true
	}
	if now.Sub(u.returned) > budgetPatience && u.job.Due.Before(now) {
		u.job.end(ErrBudget)
	}
	return false
}
