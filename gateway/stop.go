package gateway

import (
	"context"
	"time"

	"godwitplank"
	"godwitplank/fault"
	"godwitplank/stop"
)

// stopRetryAfter is the advised delay after a refusal by a VM that stops: other VMs can serve the request at once.
const stopRetryAfter = 100 * time.Millisecond

// runStagesBeforeStop runs the stages of the request. If this VM stops, they end with stop.ErrStopping once too little time
// is left for the run at an endpoint.
func (g *Gateway) runStagesBeforeStop(ctx context.Context, x *exchange) error {
	ctx, bound := g.Stop.Bound(ctx, g.Clock, func(t stop.Times) time.Time { return g.latestSend(x, t) })
	defer bound.Release()
	return g.runStages(ctx, x)
}

// latestSend returns until when the request may be sent to an endpoint before a stop. One that cannot outlast the stop, since
// its deadline is earlier, may be sent until then.
func (g *Gateway) latestSend(x *exchange, t stop.Times) time.Time {
	if !x.deadline.After(t.AnswerBy) {
		return t.AnswerBy
	}
	return t.AnswerBy.Add(-g.expectedRun(x))
}

// endsAfterStop reports whether a new request, whose body may have come late, may outlast this VM's stop. While the load
// balancer still sends requests, those that are expected to end in time are accepted; after that, only those whose deadline
// ends in time.
func (g *Gateway) endsAfterStop(x *exchange) bool {
	t, stopping := g.Stop.Times()
	if !stopping || !x.deadline.After(t.AnswerBy) {
		return false
	}
	now := g.Clock.Now()
	expectedEnd := now.Add(g.expectedStages(x) + g.expectedRun(x))
	return !now.Before(t.NoticeEnds) || expectedEnd.After(t.AnswerBy)
}

// expectedRun returns how long the run of the request at an endpoint is expected to take at most. A route without completed
// runs counts as taking until the request's deadline.
func (g *Gateway) expectedRun(x *exchange) time.Duration {
	left := max(0, x.deadline.Sub(g.Clock.Now()))
	if expected, ok := g.runs.estimate(x.route.Name); ok {
		return min(expected, left)
	}
	return left
}

// stoppingFault returns the fault of a request that this VM's stop ended.
func stoppingFault(x *exchange) *fault.Error {
	if x.possibleRuns > 0 {
		return fault.New(fault.DeadlineExceeded, "this VM stops and the endpoint has not responded, so the request may have run; repeat it only if it is idempotent")
	}
	return fault.New(fault.Stopping, "this VM stops before the request could run; send it to another VM").WithOutcome(godwitplank.NotRun, stopRetryAfter)
}
