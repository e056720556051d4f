package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/route"
	"godwitplank/timer"
)

// Limits of the attempts of a request.
const (
	// mostSends bounds the calls sent for a request that endpoints refuse or do not accept.
	mostSends = 4
	// answerBytes is the largest answer that is not a stream.
	answerBytes = 64 << 20
	// refusedRetryAfter is when endpoints that were full are likely to have room.
	refusedRetryAfter = 500 * time.Millisecond
	// usualPatience is how many times its usual latency an endpoint may take, and at least the times below, before a
	// request that may be repeated is sent to another one.
	usualPatience       = 4
	leastPatience       = 250 * time.Millisecond
	leastEnginePatience = 1200 * time.Millisecond
	// gapPatience is how many times the longest pause of the objective a stream that may be resumed may stand still.
	gapPatience = 2
	// retryMargin is the least time left for which a request is sent once more.
	retryMargin = 50 * time.Millisecond
)

var (
	errInputsGone = errors.New("a result of a stage no longer exists")
	errNotRun     = errors.New("the endpoint did not take the request")
	errNoSeal     = errors.New("the answer is not the endpoint's own")
	errPromise    = errors.New("the endpoint answered that it did not run the request, without saying so for certain")
	errOtherID    = errors.New("the answer belongs to another request")
	errCutOff     = errors.New("the answer ended early")
)

// attempt is one call of a request to an endpoint.
type attempt struct {
	candidate *route.Candidate
	conn      *connection.Conn
	begun     time.Time
	stretch   float64
	uncached  int
	// arrived is true once any of the call may have reached the endpoint.
	arrived bool
	// alarm ends a call that may be repeated elsewhere and takes much too long; nil for the others.
	alarm *timer.Alarm
}

// outcome is what became of an attempt.
type outcome struct {
	err error
	// sent is true where the endpoint may have run the request.
	sent bool
	// answer is the endpoint's own failure, which is passed on if no other endpoint does better.
	answer *reply
}

// reply is a whole answer of an endpoint.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// attempts sends the request to endpoints until one answers it or no other may.
func (g *Gateway) attempts(ctx context.Context, x *exchange) error {
	defer g.freeInputs(x)
	var last outcome
	remade := false
	for x.sends < mostSends {
		if x.reached > 0 && !g.repeats(x) {
			break
		}
		o := g.attempt(ctx, x)
		if o.err == nil && o.answer == nil {
			return nil
		}
		if errors.Is(o.err, errNoCandidate) && x.sends > 0 {
			break
		}
		last = o
		if o.sent {
			x.ran++
		}
		if errors.Is(o.err, errInputsGone) {
			// Without its inputs the request must not be sent again.
			if remade {
				break
			}
			remade = true
			g.freeInputs(x)
			if err := g.makeStages(ctx, x); err != nil {
				return err
			}
			x.tried = nil
		}
		if !g.again(ctx, x, &o) {
			break
		}
	}
	return g.conclude(ctx, x, &last)
}

// repeats takes a repeated call from the budget, if that covers it.
func (g *Gateway) repeats(x *exchange) bool {
	now, vms := g.Clock.Now(), len(x.view.Entries)
	if g.Budget.Take(now, x.service.Name, vms) {
		return true
	}
	g.Log.Log(event.RepeatRefused, "request_id", x.ID, "service", x.service.Name, "attempts", x.sends, "budget_left", g.Budget.Left(now, x.service.Name, vms), "vms", vms)
	return false
}

// cause says why the next attempt is made.
func (x *exchange) cause() string {
	switch {
	case !x.first.IsZero():
		return "resume"
	case x.sends > 0:
		return "retry"
	}
	return "first"
}

// again reports whether another endpoint may be sent the request.
func (g *Gateway) again(ctx context.Context, x *exchange, o *outcome) bool {
	if ctx.Err() != nil || errors.Is(o.err, errNoCandidate) {
		return false
	}
	if !x.first.IsZero() && !x.route.Resume {
		return false
	}
	if x.deadline.Sub(g.Clock.Now()) < retryMargin {
		return false
	}
	if !o.sent {
		return true
	}
	return x.route.MayRepeat() && x.ran < x.route.Attempts()
}

// conclude passes on an endpoint's failure, or says truthfully what is known.
func (g *Gateway) conclude(ctx context.Context, x *exchange, o *outcome) error {
	if o.answer != nil {
		g.pass(x, o.answer)
		return nil
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if fault.Is(o.err) || x.ran > 0 || !x.first.IsZero() || errors.Is(o.err, context.DeadlineExceeded) {
		return o.err
	}
	return fault.New(fault.NoEndpoint, "no endpoint of service %s took the request (%v); try again after the time given", x.service.Name, o.err).
		With(godwitplank.NotRun, refusedRetryAfter)
}

var errNoCandidate = fault.New(fault.NoEndpoint, "no endpoint serves the request now; try again after the time given").
	With(godwitplank.NotRun, refusedRetryAfter)

// attempt sends the request to one endpoint and passes its answer on.
func (g *Gateway) attempt(ctx context.Context, x *exchange) outcome {
	a, err := g.choose(x)
	if err != nil {
		return outcome{err: err}
	}
	x.sends++
	o := g.call(ctx, x, a)
	if a.arrived {
		x.reached++
	}
	g.learn(ctx, x, a, &o)
	return o
}

// choose picks the endpoint for the next attempt.
func (g *Gateway) choose(x *exchange) (*attempt, error) {
	// The newest view, since endpoints may have begun to leave while the stages were made.
	candidates := g.Views.View().Pools[x.service.Name]
	q := route.Query{Now: g.Clock.Now(), DataCentre: g.DataCentre, Model: x.Model, Avoid: x.tried, InputBytes: x.inputBytes, Reach: g.Reach}
	a := &attempt{begun: q.Now}
	var chosen int
	if x.service.Engine != nil {
		chosen, a.uncached = g.Prefixes.Choose(q, candidates, x.Prefix)
	} else {
		chosen = g.Policy.Choose(q, candidates)
	}
	if chosen < 0 {
		return nil, errNoCandidate
	}
	a.candidate = &candidates[chosen]
	x.tried = append(x.tried, a.candidate.ID)
	g.Log.Log(event.RequestSent, "request_id", x.ID, "endpoint", a.candidate.ID, "addr", a.candidate.Addr.String(), "attempt", x.sends+1,
		"cause", x.cause(), "candidates", len(candidates), "in_flight", a.candidate.Stat.InFlight(), "cached_tokens", route.Tokens(x.Prefix)-a.uncached,
		"uncached_tokens", a.uncached, "confirmed", a.candidate.Confirmed, "left_ms", x.deadline.Sub(q.Now).Milliseconds(),
		"budget_left", g.Budget.Left(q.Now, x.service.Name, len(x.view.Entries)))
	if !x.first.IsZero() {
		g.Log.Log(event.StreamResumed, "request_id", x.ID, "endpoint", a.candidate.ID, "last_event", x.LastEvent, "passed_ms", q.Now.Sub(x.first).Milliseconds())
	}
	a.stretch = a.candidate.Begin()
	return a, nil
}

// call sends the request on a connection and reads the answer.
func (g *Gateway) call(ctx context.Context, x *exchange, a *attempt) outcome {
	c := a.candidate
	conn, err := g.Pool.Open(ctx, connection.Key{ID: c.ID, Incarnation: c.Incarnation}, c.Addr, g.connections(x))
	if err != nil {
		if connection.TimedOut(err) {
			g.Reach.Fail(g.Clock.Now(), c.DataCentre)
		}
		return outcome{err: err}
	}
	a.conn = conn
	if patience := g.patience(x, a); patience > 0 {
		a.alarm = timer.NewAlarm(patience, conn.Abort)
		defer a.alarm.Stop()
	}
	call := g.Protocol.Call(&Call{
		Request: x.Request, Endpoint: c.ID, Workspace: x.workspace, Remaining: x.deadline.Sub(g.Clock.Now()),
		Inputs: x.inputs, Staged: len(x.route.Stages) > 0, LastEvent: x.LastEvent,
	})
	sent, err := conn.Send(ctx, call)
	a.arrived = sent
	if err != nil {
		conn.Close()
		return outcome{err: err, sent: sent}
	}
	r, answer, err := g.receive(x, conn)
	if err != nil {
		conn.Close()
		return outcome{err: err, sent: true}
	}
	return g.take(x, a, r, answer)
}

// patience returns how long an endpoint may take for the first byte of its answer before the request is sent to
// another one, 0 where it may not.
func (g *Gateway) patience(x *exchange, a *attempt) time.Duration {
	if !x.route.MayRepeat() || x.ran+1 >= x.route.Attempts() || g.Budget.Left(a.begun, x.service.Name, len(x.view.Entries)) <= 0 {
		return 0
	}
	usual := time.Duration(float64(a.candidate.Stat.Latency()) * a.stretch)
	least := leastPatience
	if x.service.Engine != nil {
		least = leastEnginePatience
	}
	return max(least, usualPatience*usual)
}

// connections returns how many connections to an endpoint this VM may have.
func (g *Gateway) connections(x *exchange) int {
	if x.service.MaxConnections == 0 {
		return 0
	}
	return max(1, x.service.MaxConnections/max(1, len(x.view.Entries)))
}

// mostStrays is how many late answers to earlier requests are skipped on a connection.
const mostStrays = 2

// receive reads the header of the answer to this request. Late answers to earlier ones are read and dropped.
func (g *Gateway) receive(x *exchange, conn *connection.Conn) (*http.Response, Answer, error) {
	for range mostStrays + 1 {
		r, err := conn.Receive(x.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := g.Protocol.Answer(r.StatusCode, r.Header)
		if answer.RequestID == "" || answer.RequestID == x.ID {
			return r, answer, nil
		}
		g.Log.Log(event.AnswerDropped, "request_id", x.ID, "stage", x.service.Name, "attempt", x.sends, "endpoint", answer.RequestID)
		if _, err := connection.ReadBody(r, answerBytes); err != nil {
			return nil, Answer{}, err
		}
	}
	return nil, Answer{}, errOtherID
}

// take judges an answer by its header and passes it on where it is one.
func (g *Gateway) take(x *exchange, a *attempt, r *http.Response, answer Answer) outcome {
	success := r.StatusCode >= 200 && r.StatusCode < 300
	if success && answer.Sealed && x.route.Kind == document.Stream {
		return g.stream(x, a, r)
	}
	body, err := connection.ReadBody(r, answerBytes)
	if err != nil {
		a.conn.Close()
		return outcome{err: errCutOff, sent: !answer.NotRun}
	}
	a.conn.Release(r)
	switch {
	case answer.InputsGone:
		return outcome{err: errInputsGone}
	case answer.NotRun:
		return outcome{err: errNotRun}
	case !x.first.IsZero():
		return outcome{err: errCutOff, sent: true}
	case success && !answer.Sealed:
		return outcome{err: errNoSeal, sent: true}
	case promises(r.StatusCode):
		return outcome{err: errPromise, sent: true}
	}
	whole := &reply{status: r.StatusCode, header: EndToEnd(r.Header), body: body}
	if r.StatusCode >= 500 {
		return outcome{sent: true, answer: whole}
	}
	g.pass(x, whole)
	return outcome{sent: true}
}

// promises reports whether a status tells a caller that its request has not run.
func promises(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// pass gives a whole answer to the caller.
func (g *Gateway) pass(x *exchange, r *reply) {
	h := x.w.Header()
	for name, values := range r.header {
		h[name] = values
	}
	x.first = g.Clock.Now()
	x.status = r.status
	x.w.WriteHeader(r.status)
	_, _ = x.w.Write(r.body)
}

// learn updates what is known of the endpoint.
func (g *Gateway) learn(ctx context.Context, x *exchange, a *attempt, o *outcome) {
	now := g.Clock.Now()
	took := now.Sub(a.begun)
	stat := a.candidate.Stat
	shed := time.Duration(0)
	result := "done"
	switch {
	case o.err == nil:
		stat.Succeed(took, a.stretch)
		g.Reach.Succeed(a.candidate.DataCentre)
	case ctx.Err() != nil:
		stat.Leave(took)
		result = "left"
	case errors.Is(o.err, errNotRun) || errors.Is(o.err, errInputsGone) || errors.Is(o.err, connection.ErrFull):
		stat.Leave(0)
		result = "not_run"
	default:
		shed = stat.Fail(now)
		result = "failed"
	}
	if x.service.Engine != nil && o.err == nil {
		g.Prefixes.Read(a.candidate, x.Prefix, x.service.Engine.CacheTokens, now)
	}
	g.Meter.Attempt(x.service.Name, "request", result, took)
	if o.err != nil {
		g.Log.Log(event.AttemptFailed, "request_id", x.ID, "endpoint", a.candidate.ID, "error", o.err.Error(), "sent", o.sent,
			"not_run", errors.Is(o.err, errNotRun), "took_ms", took.Milliseconds(), "shed_ms", shed.Milliseconds())
	}
}
