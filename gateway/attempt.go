package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/placement"
	"godwitplank/route"
	"godwitplank/timer"
)

// Limits on the attempts of one request.
const (
	// maxAttempts bounds all attempts, including those that could not connect or that the endpoint refused.
	// Route.Attempts bounds those that may have run the request.
	maxAttempts = 4
	// maxResponseBytes bounds the body of a response that is not a stream; it is held in memory, of which a VM may have 144 MB.
	maxResponseBytes = 8 << 20
	// noEndpointRetryAfter is the advised delay after a refusal: endpoints that were full are likely to have capacity
	// then.
	noEndpointRetryAfter = 500 * time.Millisecond
	// attemptTimeoutFactor times the expected latency is the time to the first response byte after which a retryable
	// request moves to another endpoint. The minimum timeouts below apply if that is shorter.
	attemptTimeoutFactor    = 4
	minAttemptTimeout       = 250 * time.Millisecond
	minEngineAttemptTimeout = 1200 * time.Millisecond
	// gapTimeoutFactor times the route's target_gap_ms is the time without an event after which a resumable stream
	// moves to another endpoint.
	gapTimeoutFactor = 2
	// minRetryTime is the least time before the deadline with which a retry is sent.
	minRetryTime = 50 * time.Millisecond
)

var (
	errInputsGone        = errors.New("a stage result that the request needs no longer exists")
	errNotRun            = errors.New("the endpoint refused the request without running it")
	errNotSealed         = errors.New("the response does not carry the endpoint's seal")
	errPermitExpired     = errors.New("the connection took longer than the permit for the call lasts, and there is no other one")
	errUnconfirmedNotRun = errors.New("the response status suggests that the request did not run, but the endpoint did not confirm it")
	errWrongRequestID    = errors.New("the response carries the id of another request")
	errTruncated         = errors.New("the response ended before it was complete")
)

// attempt is one try to get a request served by an endpoint.
type attempt struct {
	candidate      *route.Candidate
	conn           *connection.Conn
	started        time.Time
	slowdown       float64
	uncachedTokens int
	// placement is set if another VM, or this one for all, selected the engine.
	placement *placement.Placement
	// sent is true once any byte of the call may have reached the endpoint.
	sent bool
	// timer aborts a call that exceeds its attempt timeout; nil if the call has none.
	timer *timer.Alarm
}

// outcome is the result of an attempt.
type outcome struct {
	err error
	// mayHaveRun is true unless it is certain that the endpoint did not run the request.
	mayHaveRun bool
	// unframed is true for a response that ended with its connection, so that a crash of the endpoint looks the same.
	unframed bool
	// response is the endpoint's 5xx response. It goes to the caller if no other attempt succeeds.
	response *bufferedResponse
}

// bufferedResponse is a complete response of an endpoint, held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forward sends the request to one endpoint after another until one serves it or no further attempt is allowed.
func (g *Gateway) forward(ctx context.Context, x *exchange) error {
	defer g.freeInputs(x)
	var last outcome
	stagesRerun := false
	for x.attempts < maxAttempts {
		if q := g.findQuarantine(x); q != nil {
			refusal := g.refuseQuarantined(x, q)
			if x.attempts == 0 {
				return refusal
			}
			break
		}
		if err := g.checkCall(x); err != nil {
			if x.attempts == 0 {
				return err
			}
			break
		}
		if x.delivered > 0 && !g.allowRetry(x) {
			break
		}
		if x.inputsReleased {
			x.inputsReleased = false
			if stagesRerun {
				break
			}
			stagesRerun = true
			if err := g.runStages(ctx, x); err != nil {
				return err
			}
		}
		o := g.forwardOnce(ctx, x)
		if o.err == nil && o.response == nil {
			return nil
		}
		if isNoCandidate(o.err) && x.attempts > 0 {
			break
		}
		last = o
		if o.mayHaveRun {
			x.possibleRuns++
		}
		if errors.Is(o.err, errInputsGone) {
			// Every endpoint needs the stage results, so the stages run again before the next attempt, at most once.
			if stagesRerun {
				break
			}
			stagesRerun = true
			g.freeInputs(x)
			if err := g.runStages(ctx, x); err != nil {
				return err
			}
			x.tried = nil
		}
		if !g.canRetry(ctx, x, &o) {
			break
		}
	}
	return g.failRequest(ctx, x, &last)
}

// allowRetry charges one retry to the service's budget. It returns false and logs the refusal if the budget is spent.
func (g *Gateway) allowRetry(x *exchange) bool {
	now, vms := g.Clock.Now(), len(x.view.EntryVMs)
	if g.Budget.TryRetry(now, x.service.Name, vms) {
		return true
	}
	g.Log.Log(event.RetryRefused, "request_id", x.ID, "service", x.service.Name, "attempts", x.attempts, "budget_left", g.Budget.Remaining(now, x.service.Name, vms), "vms", vms)
	return false
}

// cause returns the reason of the next attempt for the log: first, retry or resume.
func (x *exchange) cause() string {
	switch {
	case !x.firstByteAt.IsZero():
		return "resume"
	case x.attempts > 0:
		return "retry"
	}
	return "first"
}

// canRetry reports whether the request may go to another endpoint after an attempt with outcome o.
func (g *Gateway) canRetry(ctx context.Context, x *exchange, o *outcome) bool {
	if ctx.Err() != nil || isNoCandidate(o.err) {
		return false
	}
	if !x.firstByteAt.IsZero() && (!x.route.Resume || x.unresumable) {
		return false
	}
	if x.deadline.Sub(g.Clock.Now()) < minRetryTime {
		return false
	}
	if !o.mayHaveRun {
		return true
	}
	return x.route.Retryable() && x.possibleRuns < x.route.Attempts()
}

// failRequest forwards the last endpoint's error response. Without one it returns an error, with the outcome not_run
// only if it is certain that no endpoint ran the request.
func (g *Gateway) failRequest(ctx context.Context, x *exchange, o *outcome) error {
	if o.response != nil {
		g.writeResponse(x, o.response)
		return nil
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	if fault.Is(o.err) || x.possibleRuns > 0 || !x.firstByteAt.IsZero() || errors.Is(o.err, context.DeadlineExceeded) {
		return o.err
	}
	return fault.New(fault.NoEndpoint, "no endpoint of service %s accepted the request (%v); retry after the indicated delay", x.service.Name, o.err).
		WithOutcome(godwitplank.NotRun, noEndpointRetryAfter)
}

// noCandidate returns errNoCandidate, or the same with the time until the first endpoint that is in a quiet or without a permit accepts calls.
func noCandidate(q route.Query, candidates []route.Candidate) error {
	if until := route.FirstReturn(q, candidates); until.After(q.Now) {
		return fault.New(fault.NoEndpoint, "the endpoints that could take the request asked for no calls, state a limit or have just started; retry after the indicated delay").
			WithOutcome(godwitplank.NotRun, until.Sub(q.Now))
	}
	return errNoCandidate
}

// isNoCandidate reports whether err is an error of noCandidate.
func isNoCandidate(err error) bool {
	return fault.Is(err) && fault.As(err).Kind == fault.NoEndpoint
}

var errNoCandidate = fault.New(fault.NoEndpoint, "no endpoint is available for the request; retry after the indicated delay").
	WithOutcome(godwitplank.NotRun, noEndpointRetryAfter)

// forwardOnce makes one attempt and records its outcome.
func (g *Gateway) forwardOnce(ctx context.Context, x *exchange) outcome {
	a, err := g.choose(ctx, x)
	if err != nil {
		return outcome{err: err}
	}
	x.attempts++
	o := g.call(ctx, x, a)
	a.placement.End(o.err != nil && ctx.Err() == nil && !errors.Is(o.err, errInputsGone) && !errors.Is(o.err, connection.ErrNotEncoded))
	if a.sent {
		x.delivered++
	}
	g.recordOutcome(ctx, x, a, &o)
	return o
}

// choose selects the endpoint for the next attempt and counts the call as in flight there.
func (g *Gateway) choose(ctx context.Context, x *exchange) (*attempt, error) {
	// Uses the latest view because endpoints may have started to drain while the stages ran.
	candidates := g.Views.View().Pools[x.service.Name]
	q := route.Query{Now: g.Clock.Now(), DataCentre: g.DataCentre, Model: x.Model, Tried: x.tried, InputBytes: x.inputBytes, Reach: g.Reach}
	a := &attempt{started: q.Now}
	var ok bool
	if a.candidate, ok = g.chooseCandidate(ctx, x, a, q, candidates); !ok {
		return nil, noCandidate(q, candidates)
	}
	x.tried = append(x.tried, a.candidate.ID)
	g.Log.Log(event.RequestSent, "request_id", x.ID, "endpoint", a.candidate.ID, "addr", a.candidate.Addr.String(), "attempt", x.attempts+1,
		"cause", x.cause(), "candidates", len(candidates), "in_flight", a.candidate.Stats.InFlight(), "cached_tokens", route.Tokens(x.Prefix)-a.uncachedTokens,
		"uncached_tokens", a.uncachedTokens, "wait_ms", a.placement.ExpectedWait().Milliseconds(), "confirmed", a.candidate.Confirmed, "cold", a.candidate.Stats.Schedule.Cold(q.Now), "left_ms", x.deadline.Sub(q.Now).Milliseconds(),
		"budget_left", g.Budget.Remaining(q.Now, x.service.Name, len(x.view.EntryVMs)))
	if !x.firstByteAt.IsZero() {
		g.Log.Log(event.StreamResumed, "request_id", x.ID, "endpoint", a.candidate.ID, "last_event", x.LastEventID, "passed_ms", q.Now.Sub(x.firstByteAt).Milliseconds())
	}
	a.slowdown = a.candidate.BeginAt(q.Now)
	return a, nil
}

// chooseCandidate selects an endpoint and takes the permit for a call if that is cold or states a limit. It returns false if there is none.
func (g *Gateway) chooseCandidate(ctx context.Context, x *exchange, a *attempt, q route.Query, candidates []route.Candidate) (c *route.Candidate, ok bool) {
	if chosen := route.ChooseStale(q, candidates); chosen >= 0 && candidates[chosen].TakePermit(q.Now) {
		a.uncachedTokens = route.Tokens(x.Prefix)
		return &candidates[chosen], true
	}
	if x.service.Engine != nil {
		if chosen := g.place(ctx, x, a, q, candidates); chosen >= 0 {
			return &candidates[chosen], true
		}
	}
	for range candidates {
		var chosen int
		if x.service.Engine != nil {
			chosen, a.uncachedTokens = g.Prefixes.Choose(q, candidates, x.Prefix)
		} else {
			chosen = g.Policy.Choose(q, candidates)
		}
		if chosen < 0 {
			break
		}
		if candidates[chosen].TakePermit(q.Now) {
			return &candidates[chosen], true
		}
		// Another request has taken the permit since the choice. Without one the endpoint is not chosen again.
	}
	return nil, false
}

// call sends the request over a connection to the chosen endpoint and forwards the response.
func (g *Gateway) call(ctx context.Context, x *exchange, a *attempt) outcome {
	c := a.candidate
	conn, err := g.Pool.Open(ctx, connection.Key{ID: c.ID, Incarnation: c.Incarnation}, c.Addr, g.connectionLimit(x))
	if err != nil {
		if connection.IsDialTimeout(err) {
			g.Reach.RecordTimeout(g.Clock.Now(), c.DataCentre)
		}
		return outcome{err: err}
	}
	a.conn = conn
	if !c.RenewPermit(a.started, g.Clock.Now()) {
		conn.Close()
		return outcome{err: errPermitExpired}
	}
	if timeout := g.attemptTimeout(x, a); timeout > 0 {
		a.timer = timer.NewAlarm(timeout, conn.Abort)
		defer a.timer.Stop()
	}
	sent, err := conn.Send(ctx, g.encodeCall(x, c.ID))
	a.sent = sent
	if errors.Is(err, connection.ErrNotEncoded) {
		g.reportNotEncoded(x, c, err)
	}
	if err != nil {
		conn.Close()
		return outcome{err: err, mayHaveRun: sent}
	}
	r, header, err := g.receive(x, a)
	if err != nil {
		conn.Close()
		g.reportMalformed(x, a, "head", err)
		return outcome{err: err, mayHaveRun: true}
	}
	return g.handleResponse(x, a, r, header)
}

// attemptTimeout returns the time that an endpoint has for the first response byte before the request moves to another
// one; 0 means no timeout, because the request may not be retried or the retry budget is spent.
func (g *Gateway) attemptTimeout(x *exchange, a *attempt) time.Duration {
	if !x.route.Retryable() || x.possibleRuns+1 >= x.route.Attempts() || g.Budget.Remaining(a.started, x.service.Name, len(x.view.EntryVMs)) <= 0 {
		return 0
	}
	expected := time.Duration(float64(a.candidate.Stats.Latency()) * a.slowdown)
	minimum := minAttemptTimeout
	if x.service.Engine != nil {
		minimum = minEngineAttemptTimeout
	}
	return max(minimum, attemptTimeoutFactor*expected)
}

// connectionLimit returns this VM's share of the connections that an endpoint of the service accepts, 0 for no limit.
func (g *Gateway) connectionLimit(x *exchange) int {
	if x.service.MaxConnections == 0 {
		return 0
	}
	return max(1, x.service.MaxConnections/max(1, len(x.view.EntryVMs)))
}

// maxStaleResponses is the number of late responses to earlier requests that are skipped on a connection.
const maxStaleResponses = 2

// receive reads the header of the response to this request. Late responses to earlier requests are read and discarded.
func (g *Gateway) receive(x *exchange, a *attempt) (*http.Response, ResponseHeader, error) {
	for range maxStaleResponses + 1 {
		r, err := a.conn.Receive(x.Method)
		if err != nil {
			return nil, ResponseHeader{}, err
		}
		header := g.Protocol.DecodeResponse(r.StatusCode, r.Header)
		a.candidate.ObserveNotice(g.Clock.Now(), header.Notice, g.Log, "request", x.ID)
		if header.RequestID == "" || header.RequestID == x.ID {
			if header.Sealed && !header.NotRun && header.Notice.Limit == 0 {
				a.candidate.ObserveNoLimit(g.Clock.Now(), g.Log, "request", x.ID)
			}
			return r, header, nil
		}
		g.Log.Log(event.AnswerDropped, "request_id", x.ID, "stage", x.service.Name, "attempt", x.attempts, "endpoint", header.RequestID)
		if _, err := connection.ReadCharged(r, maxResponseBytes, x.memory()); err != nil {
			return nil, ResponseHeader{}, err
		}
	}
	return nil, ResponseHeader{}, errWrongRequestID
}

// handleResponse classifies a response by its header and forwards it to the caller if it is valid. A 5xx response is
// returned in the outcome instead, so that another endpoint can be tried first.
func (g *Gateway) handleResponse(x *exchange, a *attempt, r *http.Response, header ResponseHeader) outcome {
	success := r.StatusCode >= 200 && r.StatusCode < 300
	if success && header.Sealed && x.route.Kind == document.Stream && isEventStream(r) {
		return g.forwardStream(x, a, r)
	}
	body, err := connection.ReadCharged(r, maxResponseBytes, x.memory())
	if err != nil {
		a.conn.Close()
		return outcome{err: truncated(err), mayHaveRun: !header.NotRun}
	}
	if header.NotRun {
		// A faulty endpoint may write a refusal once more, which would be taken for the response to the next request.
		a.conn.Close()
	} else {
		a.conn.Release(r)
	}
	switch {
	case header.NotRun && header.RequestID == "" && a.conn.Reused:
		return outcome{err: errUnconfirmedNotRun, mayHaveRun: true}
	case header.InputsGone:
		return outcome{err: errInputsGone}
	case header.NotRun:
		return outcome{err: errNotRun}
	case !x.firstByteAt.IsZero():
		return outcome{err: errTruncated, mayHaveRun: true}
	case success && !header.Sealed:
		return outcome{err: errNotSealed, mayHaveRun: true}
	case claimsNotRun(r.StatusCode):
		return outcome{err: errUnconfirmedNotRun, mayHaveRun: true}
	}
	response := &bufferedResponse{status: r.StatusCode, header: EndToEnd(r.Header), body: body}
	if r.StatusCode >= 500 {
		return outcome{mayHaveRun: true, response: response}
	}
	g.writeResponse(x, response)
	return outcome{mayHaveRun: true, unframed: endsWithConnection(r)}
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// truncated returns an error that wraps errTruncated and the cause.
func truncated(cause error) error {
	return fmt.Errorf("%w: %w", errTruncated, cause)
}

// claimsNotRun reports whether a status usually means that the request was not run. Such a response is not
// forwarded without the endpoint's own guarantee, since the caller might send a non-idempotent request again.
func claimsNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// writeResponse writes a buffered response to the caller.
func (g *Gateway) writeResponse(x *exchange, r *bufferedResponse) {
	h := x.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	x.firstByteAt = g.Clock.Now()
	x.answerBound.Lift()
	x.status = r.status
	x.w.WriteHeader(r.status)
	_, _ = x.w.Write(r.body)
}

// recordOutcome updates the statistics, the prefix index and the metrics of the endpoint after an attempt.
func (g *Gateway) recordOutcome(ctx context.Context, x *exchange, a *attempt, o *outcome) {
	now := g.Clock.Now()
	elapsed := now.Sub(a.started)
	stats := a.candidate.Stats
	ejection := time.Duration(0)
	result := "done"
	switch {
	case o.err == nil:
		stats.Succeed(elapsed, a.slowdown)
		g.runs.observe(x.route.Name, elapsed)
		if stats.EndQuiet(now) {
			g.Log.Log(event.EndpointQuietEnded, "endpoint", a.candidate.ID, "incarnation", a.candidate.Incarnation)
		}
		g.Reach.RecordResponse(a.candidate.DataCentre)
	case ctx.Err() != nil:
		stats.Cancel(elapsed)
		result = "left"
	case errors.Is(o.err, errNotRun):
		stats.Reject(now)
		result = "not_run"
	case errors.Is(o.err, errInputsGone) || errors.Is(o.err, connection.ErrConnectionLimit) || errors.Is(o.err, errPermitExpired) || errors.Is(o.err, connection.ErrNotEncoded):
		stats.Cancel(0)
		result = "not_run"
	default:
		ejection = stats.Fail(now)
		result = "failed"
	}
	if x.service.Engine != nil && o.err == nil {
		g.Prefixes.Record(a.candidate, x.Prefix, x.service.Engine.CacheTokens, now)
	}
	g.recordCrashEvidence(ctx, x, a, o)
	g.Meter.RecordAttempt(x.service.Name, "request", result, elapsed)
	if o.err != nil {
		g.Log.Log(event.AttemptFailed, "request_id", x.ID, "endpoint", a.candidate.ID, "error", o.err.Error(), "sent", o.mayHaveRun,
			"not_run", errors.Is(o.err, errNotRun), "closed_by_endpoint", connection.ClosedByEndpoint(o.err), "parts", strings.Join(sharedParts(x.Prefix), ","), "took_ms", elapsed.Milliseconds(), "shed_ms", ejection.Milliseconds())
	}
}
