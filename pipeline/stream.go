package pipeline

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/telemetry"
)

// Stall timeouts of a stream.
const (
	minStallTimeout     = 250 * time.Millisecond
	stallTimeoutDivisor = 4 // the timeout is at least 1/stallTimeoutDivisor of the time until the deadline
	// A call may wait in an endpoint's queue: the stall timeout is at least stallLatencyFactor times the predicted
	// latency, up to 1/maxStallDivisor of the time until the deadline.
	stallLatencyFactor = 2
	maxStallDivisor    = 2
	// streamDurationFactor times the pool's estimated latency is the time after the first token within which a stream
	// must end, or it is resumed at another endpoint if the retry budget allows.
	streamDurationFactor = 2
)

// stallTimeout returns the time without a token after which a stream is resumed at another endpoint.
func stallTimeout(remaining, latency time.Duration, slowdown float64) time.Duration {
	predicted := time.Duration(stallLatencyFactor * slowdown * float64(latency))
	return max(minStallTimeout, remaining/stallTimeoutDivisor, min(predicted, remaining/maxStallDivisor))
}

// tokenReorderer emits tokens in index order and drops duplicates.
type tokenReorderer struct {
	next    int
	pending map[int]string
	emit    func(godwitplank.Token)
}

func (r *tokenReorderer) add(index int, text string) {
	if index < r.next {
		return
	}
	if index > r.next {
		if r.pending == nil {
			r.pending = make(map[int]string)
		}
		r.pending[index] = text
		return
	}
	r.emitNext(text)
	for {
		text, ok := r.pending[r.next]
		if !ok {
			return
		}
		delete(r.pending, r.next)
		r.emitNext(text)
	}
}

func (r *tokenReorderer) emitNext(text string) {
	r.emit(godwitplank.Token{Index: r.next, Text: text})
	r.next++
}

// complete reports whether no token before the last one received is missing.
func (r *tokenReorderer) complete() bool {
	return len(r.pending) == 0
}

// reset drops the tokens after a gap, before another endpoint resumes at the first missing one.
func (r *tokenReorderer) reset() {
	clear(r.pending)
}

// runStream streams the tokens of a stage to the caller. If an endpoint fails or stalls, the stream resumes at another
// one from the first missing token, within the retry budget.
func (r *Runner) runStream(ctx context.Context, j *Job, i int, input json.RawMessage) (json.RawMessage, *fault.Error) {
	s := &j.Pipeline.Stages[i]
	pool := r.poolStats.stat(s)
	pool.refillRetries()
	tokens := &tokenReorderer{emit: j.OnToken}
	var tried []string
	var lastErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c, ok := r.choose(ctx, s, tried)
		if !ok && len(tried) > 0 {
			c, ok = r.choose(ctx, s, nil)
		}
		if !ok {
			break
		}
		tried = append(tried, c.ID)
		call := r.newCall(j, s, attempt, input)
		call.ResumeFrom = tokens.next
		j.sent = true
		output, err := r.tryStream(ctx, j, s, c, call, tokens)
		if err == nil {
			return output, nil
		}
		lastErr = err
		tokens.reset()
		if ctx.Err() != nil {
			return nil, contextFault(ctx, s)
		}
		// A call that was not sent needs no retry from the budget, and a stalled one has taken its retry in onTimeout.
		noCharge := reason(err) == stage.NotSent || errors.Is(err, stage.ErrStalled)
		if !noCharge && !pool.takeRetry() {
			break
		}
	}
	if lastErr == nil {
		return nil, noEndpoint(s)
	}
	return nil, stageFailed(s, lastErr)
}

func (r *Runner) tryStream(ctx context.Context, j *Job, s *document.Stage, c route.Candidate, call godwitplank.StageCall, tokens *tokenReorderer) (json.RawMessage, error) {
	cause := causeFirst
	if call.Attempt > 1 {
		cause = causeResume
	}
	ctx, span := telemetry.StartSpan(ctx, "attempt", "request_id", call.RequestID, "stage", call.Stage, "endpoint", c.ID, "cause", cause)
	defer span.End()
	started, slowdown := r.beginCall(c)
	stall := stallTimeout(j.Deadline.Sub(started), c.Stats.Latency(), slowdown)
	maxDuration := streamDurationFactor * r.poolStats.stat(s).latency()
	// Without a retry in the budget the stalled stream is the only chance, so it continues.
	onTimeout := func() bool { return r.poolStats.stat(s).takeRetry() }
	answer, err := r.Client.Stream(ctx, c.Addr, call, stage.StreamTimeouts{Idle: stall, Total: maxDuration, OnTimeout: onTimeout}, func(t godwitplank.StageToken) { tokens.add(t.Index, t.Text) })
	if err == nil && !tokens.complete() {
		err = &stage.Error{Reason: stage.Broken, Cause: errMissingTokens}
	}
	r.finishCall(j, s, c, call, started, slowdown, cause, answer, err)
	if err == nil {
		r.poolStats.stat(s).observe(r.Clock.Now().Sub(started))
	}
	return answer.Output, err
}
