package piece

import (
	"time"

	"godwitplank"
	"godwitplank/admission"
	"godwitplank/fault"
)

// admitter applies an admission policy to a queue.
type admitter struct {
	policy admission.Policy
	// demand is the rate of pieces of arriving jobs that can meet their objective. asked and got count the pieces that
	// jobs asked for and got, by kind.
	demand rate
	asked  map[admission.Kind]*rate
	got    map[admission.Kind]*rate
	// overloadedSince is when the demand began to exceed the capacity, zero if it does not.
	overloadedSince time.Time
	// room was computed at roomAt.
	room   *admission.Room
	roomAt time.Time
}

func newAdmitter(order admission.Order) *admitter {
	return &admitter{policy: admission.Policy{Order: order}, asked: make(map[admission.Kind]*rate), got: make(map[admission.Kind]*rate)}
}

// count adds pieces to a counter by kind.
func count(counters map[admission.Kind]*rate, now time.Time, kind admission.Kind, pieces int) {
	if counters[kind] == nil {
		counters[kind] = &rate{}
	}
	counters[kind].add(now, float64(pieces))
}

// setRoom stores the capacity of the service's endpoints with the demand and shares of the queue.
func (a *admitter) setRoom(now time.Time, room *admission.Room) {
	room.Demand = a.demand.perSecond(now)
	if !room.Tight() {
		a.overloadedSince = time.Time{}
	} else if a.overloadedSince.IsZero() {
		a.overloadedSince = now
	}
	if !a.overloadedSince.IsZero() {
		room.Overloaded = max(time.Millisecond, now.Sub(a.overloadedSince))
	}
	room.ShareWindow = rateWindow
	room.Shares = make(map[admission.Kind]admission.Share, len(a.asked))
	for kind, asked := range a.asked {
		share := admission.Share{Asked: asked.value(now)}
		if share.Asked < 1 {
			delete(a.asked, kind)
			delete(a.got, kind)
			continue
		}
		if got := a.got[kind]; got != nil {
			share.Got = got.value(now)
		}
		room.Shares[kind] = share
	}
	a.room, a.roomAt = room, now
}

// newClaim returns the claim of a job that arrives.
func newClaim(j *Job, predicted time.Duration) admission.Claim {
	return admission.Claim{
		Priority: j.Priority, Due: j.Due, Deadline: j.Deadline, Pieces: j.Pieces, Bytes: int64(j.Pieces) * j.ResultBytes, Predicted: predicted,
		HasInputs: len(j.Inputs) > 0, InputsHoldMemory: j.InputsHoldMemory, Returned: j.Returned,
		Kind: admission.KindOf(j.Priority, j.Pieces),
	}
}

// updateClaim applies what was sent or returned to the claim of a job.
func (p *pendingJob) updateClaim() {
	p.claim.Started = p.started
	p.claim.Pieces = len(p.waiting)
	p.claim.Bytes = int64(len(p.waiting)) * p.ResultBytes
}

// arrive places a job in a queue with an admitter. It returns false if the job is refused unless it starts at once.
func (q *queue) arrive(now time.Time, p *pendingJob) admission.Decision {
	a := q.admitter
	count(a.asked, now, p.claim.Kind, p.Pieces)
	if !p.missesObjective(now) {
		a.demand.add(now, float64(p.Pieces))
	}
	decision := a.policy.Arrive(now, a.room, q.claims, &p.claim)
	q.insert(now, p.units()...)
	return decision
}

// claims iterates over the claims of the queued jobs.
func (q *queue) claims(yield func(*admission.Claim) bool) {
	for _, j := range q.jobs {
		if !j.ended && !yield(&j.claim) {
			return
		}
	}
}

// decide orders the queue and refuses the jobs that lost their chance of being served in time. It returns the refused ones.
func (q *queue) decide(now time.Time) []*pendingJob {
	claims := make([]*admission.Claim, len(q.jobs))
	for i, j := range q.jobs {
		j.updateClaim()
		claims[i] = &j.claim
	}
	plan := q.admitter.policy.Decide(now, q.admitter.room, claims)
	ordered := make([]*pendingJob, len(q.jobs))
	var refused []*pendingJob
	for position, i := range plan.Order {
		ordered[position] = q.jobs[i]
		if d := plan.Decisions[i]; d.Verdict == admission.Refuse && !q.jobs[i].ended {
			q.jobs[i].refuse(d)
			refused = append(refused, q.jobs[i])
		}
	}
	q.jobs = ordered
	return refused
}

// refuse ends a job with the error of a refusal.
func (p *pendingJob) refuse(d admission.Decision) {
	p.refusal = d
	p.end(fault.New(fault.StageFailed, "the stage's service has no capacity for the request in time; try again after the indicated delay").
		WithOutcome(godwitplank.NotRun, d.RetryAfter))
}

// forecast returns the predicted waits of the queue.
func (q *queue) forecast() admission.Forecast {
	return q.admitter.policy.Forecast(q.admitter.room, q.claims)
}
