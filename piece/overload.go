package piece

import (
	"math/rand/v2"
	"time"

	"godwitplank"
	"godwitplank/admission"
	"godwitplank/fault"
)

// Refusal of late jobs in a lasting overload.
const (
	// passedOverLimit is the time without a start of any late job of a priority after which all of them are refused.
	passedOverLimit = 3 * time.Second
	// Callers are told to come back after a time between these two, so that they do not return together.
	minOverloadRetry = 2 * time.Second
	maxOverloadRetry = 3 * time.Second
)

// refusePassedOver ends the late jobs of each priority of which none was started for passedOverLimit, since newer jobs take
// all capacity. It answers a lasting overload: the callers learn that they are not served before they give up, and when to
// come back.
func (q *queue) refusePassedOver(now time.Time) {
	late := make(map[int][]*pendingJob)
	for _, j := range q.jobs {
		if !j.started && !j.ended && j.missesObjective(now) {
			late[j.Priority] = append(late[j.Priority], j)
		}
	}
	for priority := range q.passedOverSince {
		if late[priority] == nil {
			delete(q.passedOverSince, priority)
		}
	}
	for priority, jobs := range late {
		since, ok := q.passedOverSince[priority]
		if !ok {
			if q.passedOverSince == nil {
				q.passedOverSince = make(map[int]time.Time)
			}
			q.passedOverSince[priority] = now
			continue
		}
		if now.Sub(since) < passedOverLimit {
			continue
		}
		for _, j := range jobs {
			j.end(errOverloaded())
		}
	}
}

// errOverloaded returns the error of a job that is refused in an overload.
func errOverloaded() error {
	return fault.New(fault.StageFailed, "the endpoints of the stage's service are overloaded and newer requests go first; try again after the indicated delay").
		WithOutcome(godwitplank.NotRun, overloadRetryAfter())
}

const (
	// lateGrace is how long after a job has missed its objective it may still start with RefuseLate, since calls end at any time.
	lateGrace = 400 * time.Millisecond
	// minLateWait is how long a job that is late on arrival waits for an endpoint before it is refused: about a dispatch interval or two.
	minLateWait = 100 * time.Millisecond
)

// refuseLate refuses and returns the jobs that no endpoint took and that have missed their objective. It answers waves of more demand than
// capacity: a job that waits behind them rarely starts before its caller gives up, and a caller that was held until then
// loses more than one that was refused early.
func (q *queue) refuseLate(now time.Time) []*pendingJob {
	var refused []*pendingJob
	for _, p := range q.jobs {
		if p.started || p.ended || p.InputsHoldMemory || now.Sub(p.queuedAt) < minLateWait || now.Add(p.predicted).Sub(p.Due) < lateGrace {
			continue
		}
		p.refuse(admission.Decision{Verdict: admission.Refuse, Wait: admission.Never, RetryAfter: overloadRetryAfter()})
		refused = append(refused, p)
	}
	return refused
}

// overloadRetryAfter returns a time after which the caller of a refused job should return.
func overloadRetryAfter() time.Duration {
	return minOverloadRetry + rand.N(maxOverloadRetry-minOverloadRetry)
}
