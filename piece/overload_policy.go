package piece

import (
	"maps"
	"time"

	"godwitplank/admission"
	"godwitplank/event"
	"godwitplank/route"
)

// OverloadPolicy selects which jobs of an overloaded service are delayed or refused.
type OverloadPolicy string

// Policies for overload.
const (
	// Defer runs late jobs last and refuses them once newer ones have taken all capacity for passedOverLimit.
	Defer OverloadPolicy = "defer"
	// RefuseLate orders jobs as Defer does, and refuses late ones that no endpoint takes at once, at the services for which
	// Dispatcher.Tight returns true.
	RefuseLate OverloadPolicy = "refuse_late"
	// LeastCost refuses jobs as soon as no capacity in time is predicted for them, see package admission.
	LeastCost OverloadPolicy = "least_cost"
)

// roomTTL is how long a computed capacity is used, so that it is not computed for each of many arriving jobs.
const roomTTL = 10 * time.Millisecond

// newQueue returns an empty queue for the Dispatcher's policy.
func (d *Dispatcher) newQueue() *queue {
	if d.Overload == LeastCost {
		return &queue{admitter: newAdmitter(admission.LeastSlack)}
	}
	return &queue{}
}

// enqueue queues an arriving job and dispatches. With LeastCost, a job that does not start at once is refused if no
// capacity in time is predicted for it.
func (d *Dispatcher) enqueue(now time.Time, q *queue, p *pendingJob) {
	if q.admitter == nil {
		q.insert(now, p.units()...)
		d.dispatch(p.Service, q)
		return
	}
	d.updateRoom(now, p.Service, q)
	decision := q.arrive(now, p)
	d.dispatch(p.Service, q)
	if !p.started && !p.ended && decision.Verdict == admission.Refuse {
		p.refuse(decision)
		d.recordRefusal(now, p)
	}
}

// decide orders the queue of a service and refuses jobs.
func (d *Dispatcher) decide(now time.Time, service string, q *queue) {
	if len(q.jobs) == 0 {
		return
	}
	d.updateRoom(now, service, q)
	for _, p := range q.decide(now) {
		d.recordRefusal(now, p)
	}
}

// updateRoom computes the capacity of a service unless that was done within roomTTL.
func (d *Dispatcher) updateRoom(now time.Time, service string, q *queue) {
	if q.admitter.room != nil && now.Sub(q.admitter.roomAt) < roomTTL {
		return
	}
	s := d.Services.Service(service)
	if s == nil || s.Batch == nil {
		q.admitter.setRoom(now, &admission.Room{})
		return
	}
	var rooms []endpointRoom
	candidates := d.Services.Endpoints(service)
	for i := range candidates {
		if c := &candidates[i]; d.usable(now, c) {
			rooms = append(rooms, d.endpoint(endpointKey(c)).room(now, s))
		}
	}
	q.admitter.setRoom(now, newRoom(now, s, rooms))
}

// usable reports whether an endpoint gets calls apart from those that it runs. The short backoff of an endpoint without
// memory does not count.
func (d *Dispatcher) usable(now time.Time, c *route.Candidate) bool {
	state := d.endpoint(endpointKey(c))
	return state.backoffUntil.Sub(now) <= fullBackoff && now.Before(c.ExpiresAt) && c.Stats.Accepts(now, int64(state.inFlight)) && !d.Reach.Unreachable(now, c.DataCentre)
}

func (d *Dispatcher) recordRefusal(now time.Time, p *pendingJob) {
	d.refusals[p.Service]++
	wait := p.refusal.Wait.Milliseconds()
	if p.refusal.Wait == admission.Never {
		wait = -1
	}
	d.Log.Log(event.JobRefused, "request_id", p.RequestID, "service", p.Service, "stage", p.Stage, "priority", p.Priority, "pieces", p.Pieces,
		"held_ms", now.Sub(p.queuedAt).Milliseconds(), "predicted_wait_ms", wait, "retry_after_ms", p.refusal.RetryAfter.Milliseconds(), "returned", p.Returned)
}

// RefusedJobs returns the number of jobs refused for lack of capacity in time, by service.
func (d *Dispatcher) RefusedJobs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.refusals)
}
