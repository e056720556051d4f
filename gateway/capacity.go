package gateway

import (
	"context"
	"slices"
	"time"

	"godwitplank"
	"godwitplank/admission"
	"godwitplank/document"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/piece"
)

// Forecasts looks up the predicted waits at the services of stages.
type Forecasts interface {
	// Forecast returns the predicted waits of a service, and false if they are unknown or old.
	Forecast(service string) (admission.Forecast, bool)
}

// maxForecast limits a predicted wait, so that sums of waits do not overflow.
const maxForecast = time.Hour

// forecast returns the predicted waits of a service, and false unless the policy is LeastCost and they are known.
func (g *Gateway) forecast(service string) (admission.Forecast, bool) {
	if g.Overload != piece.LeastCost || g.Forecasts == nil {
		return admission.Forecast{}, false
	}
	return g.Forecasts.Forecast(service)
}

// stageDelay returns by how much a stage at a service is expected to take longer than predicted: the learned delay, or the
// forecast of the VM that dispatches it if that is longer.
func (g *Gateway) stageDelay(x *exchange, service string) time.Duration {
	learned := g.delays.estimate(service)
	if f, ok := g.forecast(service); ok {
		return max(learned, min(f.Wait(x.priority), maxForecast))
	}
	return learned
}

// checkPieces returns an error if the stages of the request cannot end before its deadline, or if there is no memory for the handles of
// their results.
func (g *Gateway) checkPieces(ctx context.Context, x *exchange) error {
	pieces := 0
	for _, n := range x.Pieces[:min(len(x.Pieces), len(x.route.Stages))] {
		pieces += n
	}
	if pieces == 0 {
		return nil
	}
	left := x.deadline.Sub(g.Clock.Now())
	if least := g.leastStages(x); least > left {
		return fault.New(fault.DeadlineTooShort, "%v remain until the deadline, but the stages need at least %v for their pieces; ask for fewer pieces or send a longer deadline",
			left.Round(time.Millisecond), least.Round(time.Millisecond)).WithOutcome(godwitplank.NotRun, 0)
	}
	if err := x.conn.Grow(ctx, int64(pieces)*piece.PieceBytes); err != nil {
		return entry.NoMemory()
	}
	return nil
}

// leastStages returns the time that the longest chain of dependent stages needs if no other request is served. Endpoints of
// evacuated data centres do not count, since they run no pieces.
func (g *Gateway) leastStages(x *exchange) time.Duration {
	return longestChain(x.route.Stages, func(i int) time.Duration {
		if i >= len(x.Pieces) || x.Pieces[i] == 0 {
			return 0
		}
		service := x.route.Stages[i].Service
		return piece.LeastTime(x.view.Document.Service(service), len(x.view.Pools[service]), x.Pieces[i])
	})
}

// longestChain returns the longest sum of the times of stages that depend on each other.
func longestChain(stages []document.RouteStage, stageTime func(i int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(stages))
	var end func(i int) time.Duration
	end = func(i int) time.Duration {
		if ends[i] > 0 {
			return ends[i]
		}
		longest := time.Duration(0)
		for _, dependency := range stages[i].After {
			longest = max(longest, end(dependency))
		}
		ends[i] = longest + stageTime(i)
		return ends[i]
	}
	for i := range ends {
		ends[i] = end(i)
	}
	return slices.Max(ends)
}

// checkCapacity returns an error if a later stage of the request is predicted to have no capacity in time, so that the
// results of the first one would take memory for nothing. Without recent forecasts it returns nil.
func (g *Gateway) checkCapacity(x *exchange) error {
	known := false
	for _, s := range x.route.Stages {
		if len(s.After) > 0 {
			_, ok := g.forecast(s.Service)
			known = known || ok
		}
	}
	if !known {
		return nil
	}
	now := g.Clock.Now()
	wait := g.longestStages(x, func(f admission.Forecast) time.Duration { return f.Wait(x.priority) })
	late := g.longestStages(x, func(f admission.Forecast) time.Duration { return f.LateWait })
	e := admission.Entry{
		Route: x.route.Name, Due: x.due, Deadline: x.deadline, Returned: x.returned,
		InTime: wait, Wait: wait - g.longestStages(x, func(admission.Forecast) time.Duration { return 0 }), Late: late,
	}
	if late >= maxForecast {
		e.Late = admission.Never
	}
	admitted, retryAfter := g.gate.Admit(now, e)
	if admitted {
		return nil
	}
	g.refusedEarly.Add(1)
	g.Log.Log(event.RequestNotStarted, "request_id", x.ID, "route", x.route.Name, "priority", x.priority, "due_ms", x.due.Sub(now).Milliseconds(),
		"needed_ms", e.InTime.Milliseconds(), "wait_ms", e.Wait.Milliseconds(), "retry_after_ms", retryAfter.Milliseconds(), "returned", x.returned)
	return fault.New(fault.StageFailed, "a later stage has no capacity for the request in time; try again after the indicated delay").
		WithOutcome(godwitplank.NotRun, retryAfter)
}

// longestStages returns the time from the start of the stages to the first byte of the response, along the longest chain
// of dependent stages, with the waits that the forecasts of all stages but the first ones give.
func (g *Gateway) longestStages(x *exchange, wait func(f admission.Forecast) time.Duration) time.Duration {
	return idleTimeToFirstByte + longestChain(x.route.Stages, func(i int) time.Duration {
		if i >= len(x.Pieces) || x.Pieces[i] == 0 {
			return 0
		}
		s, needed := &x.route.Stages[i], g.predictedDuration(x, i)
		if f, ok := g.forecast(s.Service); ok && len(s.After) > 0 {
			needed += min(wait(f), maxForecast)
		}
		return needed
	})
}

// RefusedEarly returns the number of requests that were refused before their first stage.
func (g *Gateway) RefusedEarly() int64 {
	return g.refusedEarly.Load()
}
