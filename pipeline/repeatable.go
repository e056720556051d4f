package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/head"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/stop"
	"godwitplank/telemetry"
)

// maxAttempts is the maximum number of calls for one stage of a request, including retries and hedges.
const maxAttempts = 4

// Delay before an idempotent call is hedged: hedgeLatencyFactor times the pool's estimated latency, within these
// bounds.
const (
	hedgeLatencyFactor   = 3
	minHedgeDelay        = 30 * time.Millisecond
	maxHedgeDelayDivisor = 3 // the delay is at most 1/maxHedgeDelayDivisor of the time until the deadline
)

// Causes of an attempt in metrics and spans.
const (
	causeFirst  = "first"
	causeRetry  = "retry"
	causeHedge  = "hedge"
	causeResume = "resume"
	causeOrder  = "order"
)

// result is the output or the error of one attempt.
type result struct {
	output json.RawMessage
	err    error
}

// attempts is the state of the attempts for one idempotent stage of a request.
type attempts struct {
	runner  *Runner
	job     *Job
	stage   *document.Stage
	pool    *poolStat
	input   json.RawMessage
	started int
	running int
	tried   []string
	results chan result
	lastErr error
}

// runIdempotent runs an idempotent stage. It retries a failed call and hedges a slow one at another endpoint, within
// the retry budget, and returns the first output.
func (r *Runner) runIdempotent(ctx context.Context, j *Job, i int, input json.RawMessage) (json.RawMessage, *fault.Error) {
	s := &j.Pipeline.Stages[i]
	a := &attempts{runner: r, job: j, stage: s, pool: r.poolStats.stat(s), input: input, results: make(chan result, maxAttempts)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.pool.refillRetries()
	if !a.start(ctx, causeFirst) {
		return nil, noEndpoint(s)
	}
	hedge := time.NewTimer(a.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, a.contextFault(ctx)
		case <-hedge.C:
			if a.running == 1 && a.started < maxAttempts && a.pool.takeRetry() {
				a.start(ctx, causeHedge)
			}
		case got := <-a.results:
			a.running--
			if got.err == nil {
				return got.output, nil
			}
			if err := a.retry(ctx, got.err); err != nil {
				return nil, err
			}
		}
	}
}

// retry starts another attempt after a failed one. It returns a fault if that is not possible and no other attempt is
// running.
func (a *attempts) retry(ctx context.Context, cause error) *fault.Error {
	a.lastErr = cause
	if ctx.Err() != nil {
		return a.contextFault(ctx)
	}
	noCharge := reason(cause) == stage.NotSent
	if a.started < maxAttempts && (noCharge || a.pool.takeRetry()) && a.start(ctx, causeRetry) {
		return nil
	}
	if a.running > 0 {
		return nil
	}
	return stageFailed(a.stage, cause)
}

// start starts an attempt at an endpoint not tried yet, or at any if all were tried and no attempt is running. It
// returns false if there is no endpoint.
func (a *attempts) start(ctx context.Context, cause string) bool {
	c, ok := a.runner.choose(ctx, a.stage, a.tried)
	if !ok && len(a.tried) > 0 && a.running == 0 {
		c, ok = a.runner.choose(ctx, a.stage, nil)
	}
	if !ok {
		return false
	}
	a.started++
	a.running++
	a.tried = append(a.tried, c.ID)
	a.job.sent = true
	call := a.runner.newCall(a.job, a.stage, a.started, a.input)
	a.runner.group.Go(func() { a.results <- a.try(ctx, c, call, cause) })
	return true
}

func (a *attempts) try(ctx context.Context, c route.Candidate, call godwitplank.StageCall, cause string) result {
	ctx, span := telemetry.StartSpan(ctx, "attempt", "request_id", call.RequestID, "stage", call.Stage, "endpoint", c.ID, "cause", cause)
	defer span.End()
	started, slowdown := a.runner.beginCall(c)
	answer, err := a.runner.Client.Call(ctx, c.Addr, call)
	a.runner.finishCall(a.job, a.stage, c, call, started, slowdown, cause, answer, err)
	if err == nil {
		a.pool.observe(a.runner.Clock.Now().Sub(started))
	}
	return result{answer.Output, err}
}

func (a *attempts) hedgeDelay() time.Duration {
	maxDelay := a.job.Deadline.Sub(a.runner.Clock.Now()) / maxHedgeDelayDivisor
	latency := a.pool.latency()
	if latency == 0 {
		return maxDelay
	}
	return min(maxDelay, max(minHedgeDelay, hedgeLatencyFactor*latency))
}

func (a *attempts) contextFault(ctx context.Context) *fault.Error {
	return contextFault(ctx, a.stage)
}

// contextFault returns the fault for an ended ctx: this VM stops, the caller disconnected or the deadline expired.
func contextFault(ctx context.Context, s *document.Stage) *fault.Error {
	if errors.Is(context.Cause(ctx), stop.ErrStopping) {
		return fault.New(fault.Stopping, "this VM stops during stage %s; send the request to another VM", s.Name)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.ClientDisconnected, "the caller disconnected during stage %s; send the request again", s.Name)
	}
	return deadlineExceeded(s.Name)
}

// beginCall counts a call as in flight at the endpoint. It returns the current time, and the factor by which the load of
// the endpoint is expected to slow the call down.
func (r *Runner) beginCall(c route.Candidate) (started time.Time, slowdown float64) {
	slowdown = c.Begin()
	return r.Clock.Now(), slowdown
}

// finishCall records the outcome of an attempt in the endpoint's statistics, the workspace's spend and the metrics. If
// the call expired, the endpoint is asked to cancel it.
func (r *Runner) finishCall(j *Job, s *document.Stage, c route.Candidate, call godwitplank.StageCall, started time.Time, slowdown float64, cause string, answer godwitplank.StageAnswer, err error) {
	elapsed := r.Clock.Now().Sub(started)
	c.ObserveNotice(r.Clock.Now(), notice(answer, err), r.Log, "stage", call.RequestID)
	outcome := "done"
	switch failure := reason(err); {
	case err == nil:
		c.Stats.Succeed(elapsed, slowdown)
		if c.Stats.EndQuiet(r.Clock.Now()) {
			r.Log.Log(event.EndpointQuietEnded, "endpoint", c.ID, "incarnation", c.Incarnation)
		}
	case failure == stage.Expired:
		outcome = string(failure)
		c.Stats.Cancel(elapsed)
		r.group.Go(func() { r.Client.Cancel(context.Background(), c.Addr, call) })
	default:
		outcome = string(failure)
		ejection := c.Stats.Fail(r.Clock.Now())
		r.Log.Log(event.EndpointEjected, "endpoint", c.ID, "error", err.Error(), "until_ms", ejection.Milliseconds())
		if failure == stage.Mismatched {
			r.Log.Log(event.AnswerDropped, "request_id", call.RequestID, "stage", call.Stage, "attempt", call.Attempt, "endpoint", c.ID)
			r.reportMalformed(s, c, call, err)
		}
	}
	if reason(err) != stage.NotSent {
		r.recordSpend(j, s, elapsed)
	}
	r.Meter.RecordAttempt(s.Pool, cause, outcome, elapsed)
}

// reportMalformed logs and counts a response with a malformed head, if err is about one.
func (r *Runner) reportMalformed(s *document.Stage, c route.Candidate, call godwitplank.StageCall, err error) {
	var malformed *head.Error
	if !errors.As(err, &malformed) {
		return
	}
	r.Meter.RecordMalformedResponse(s.Pool, "stage")
	if skipped, ok := r.malformed.Allow(r.Clock.Now()); ok {
		r.Log.Log(event.EndpointMalformed, "endpoint", c.ID, "incarnation", c.Incarnation, "service", s.Pool, "source", "stage", "request_id", call.RequestID,
			"part", malformed.Part, "text", malformed.Quoted(), "reason", malformed.Reason, "skipped", skipped)
	}
}

func reason(err error) stage.Reason {
	var e *stage.Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

func stageFailed(s *document.Stage, cause error) *fault.Error {
	return fault.New(fault.StageFailed, "stage %s failed (%v); send the request again", s.Name, cause)
}

// notice returns what an answer or a refusal says about calls to come.
func notice(answer godwitplank.StageAnswer, err error) route.Notice {
	n := answer.EndpointNotice
	var refusal *stage.Error
	if errors.As(err, &refusal) {
		n = refusal.Notice
	}
	out := route.Notice{Leaving: n.Leaving}
	switch {
	case n.RetryAfterMS < 0:
		out.Ignored = fmt.Sprintf("retry_after_ms: %d", n.RetryAfterMS)
	case err != nil:
		out.RetryAfter = time.Duration(min(n.RetryAfterMS, route.MaxQuiet.Milliseconds())) * time.Millisecond
	}
	return out
}
