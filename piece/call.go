package piece

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/head"
	"godwitplank/route"
)

// call sends a batch of units to an endpoint and applies its results.
func (d *Dispatcher) call(s *document.Service, c *route.Candidate, state *endpointState, units []*unit) {
	started := d.Clock.Now()
	predicted := PredictCallTime(s, len(units))
	// A machine that reports to be fast may be slow again during the call, so that does not shorten the timeout.
	d.mu.Lock()
	slowdown := max(state.slowdown, expectedSlowdown(started, c, state))
	d.mu.Unlock()
	timeout := time.Duration(float64(predicted)*slowdown)*callTimeoutFactor + callTimeoutMargin
	ctx, cancel := context.WithTimeout(d.calls, timeout)
	defer cancel()
	items := make([]Item, len(units))
	for i, u := range units {
		items[i] = Item{
			RequestID: u.job.RequestID, Stage: u.job.Stage, Piece: u.piece, Key: u.job.Key, Inputs: u.job.Inputs,
			Remaining: u.job.Deadline.Sub(started),
		}
	}
	response, err := d.exchange(ctx, s, c, items)
	elapsed := d.Clock.Now().Sub(started)
	d.Meter.RecordAttempt(s.Name, "batch", resultLabel(response, err), elapsed)
	d.Log.Log(event.BatchFinished, "service", s.Name, "endpoint", c.ID, "pieces", len(units), "requests", requestIDs(units),
		"waited_ms", started.Sub(units[0].job.queuedAt).Milliseconds(), "took_ms", elapsed.Milliseconds(), "predicted_ms", predicted.Milliseconds(),
		"without_room", countOutcome(response, NoMemory), "result", outcome(response, err))
	d.mu.Lock()
	defer d.mu.Unlock()
	state.inFlight--
	d.updateEndpoint(c, state, response, err, elapsed, predicted)
	if err == nil && !response.NotRun && c.Stats.EndQuiet(d.Clock.Now()) {
		d.Log.Log(event.EndpointQuietEnded, "endpoint", c.ID, "incarnation", c.Incarnation)
	}
	state.heldBytes -= resultBytes(units)
	d.applyResults(s, state, response, err, units)
	d.dispatch(s.Name, d.queues[s.Name])
}

// requestIDs returns the IDs of the requests with units in a call, separated by commas.
func requestIDs(units []*unit) string {
	var ids []string
	for i, u := range units {
		if i == 0 || u.job != units[i-1].job {
			ids = append(ids, u.job.RequestID)
		}
	}
	return strings.Join(ids, ",")
}

// countOutcome returns the number of results with an outcome.
func countOutcome(response Response, want Outcome) int {
	n := 0
	for _, r := range response.Results {
		if r.Outcome == want {
			n++
		}
	}
	return n
}

// resultLabel returns the result of a call as a metric label: done, not_run, unsent or failed. The texts of errors contain
// addresses, so that they would make a time series for each endpoint.
func resultLabel(response Response, err error) string {
	var unsent *unsentError
	switch {
	case errors.As(err, &unsent):
		return "unsent"
	case err != nil:
		return "failed"
	}
	return outcome(response, nil)
}

// outcome returns the result of a call for logs: done, not_run or the text of the error.
func outcome(response Response, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case response.NotRun:
		return "not_run"
	}
	return "done"
}

// exchange sends items to an endpoint and decodes its response.
func (d *Dispatcher) exchange(ctx context.Context, s *document.Service, c *route.Candidate, items []Item) (Response, error) {
	var response Response
	limit := int64(baseResponseBytes + len(items)*pieceResponseBytes)
	err := d.roundTrip(ctx, s, c, d.Protocol.RunCall(c.ID, c.Addr.String(), items), limit, func(r *http.Response, body []byte) (reusable bool, err error) {
		if response, err = d.Protocol.DecodeRunResponse(r.StatusCode, r.Header, body); err == nil {
			reusable, err = d.checkResults(c, response, items)
		}
		c.ObserveNotice(d.Clock.Now(), response.Notice, d.Log, "stage", items[0].RequestID)
		if err == nil && !response.NotRun && response.Notice.Limit == 0 {
			c.ObserveNoLimit(d.Clock.Now(), d.Log, "stage", items[0].RequestID)
		}
		return reusable, err
	})
	if err != nil {
		d.handleMalformed(s, c, items[0].RequestID, response, err)
		return Response{}, err
	}
	return response, nil
}

// handleMalformed logs and counts a malformed response or a call that cannot be encoded, if err is about one. The other results of a response with
// such a text are freed, unless they are those of an earlier call.
func (d *Dispatcher) handleMalformed(s *document.Service, c *route.Candidate, requestID string, response Response, err error) {
	var malformed *head.Error
	if !errors.As(err, &malformed) {
		return
	}
	e := event.EndpointMalformed
	if errors.Is(err, connection.ErrNotEncoded) {
		e = event.CallNotEncoded
		d.Meter.RecordCallNotEncoded(s.Name)
	} else {
		d.Meter.RecordMalformedResponse(s.Name, "stage")
	}
	if skipped, ok := d.malformed.Allow(d.Clock.Now()); ok {
		d.Log.Log(e, "endpoint", c.ID, "incarnation", c.Incarnation, "service", s.Name, "source", "stage", "request_id", requestID,
			"part", malformed.Part, "text", malformed.Quoted(), "reason", malformed.Reason, "skipped", skipped)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range response.Results {
		if d.held[r.Handle] == nil {
			d.queueFree(r.Handle)
		}
	}
}

// checkResults returns an error for a response that cannot be the one to a call with the items. Otherwise it reports whether the
// response is certainly that one, so that the connection may carry another call. The responses of stages have no request id, and a
// faulty endpoint may write an earlier one again.
func (d *Dispatcher) checkResults(c *route.Candidate, response Response, items []Item) (certain bool, err error) {
	if response.NotRun {
		return false, nil
	}
	if len(response.Results) != len(items) {
		return false, fmt.Errorf("the answer has %d results for %d pieces", len(response.Results), len(items))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range response.Results {
		// After a restart, an endpoint may use a handle again.
		if h := d.held[r.Handle]; h != nil && h.endpoint == d.endpoints[endpointKey(c)] {
			return false, fmt.Errorf("the answer has the result %.50q of an earlier call; check the endpoint", r.Handle)
		}
	}
	return d.answers.check(d.Clock.Now(), endpointKey(c), items, response.Results)
}

// roundTrip sends a call, reads the whole response, of at most limit bytes, and passes it to handle. The connection is closed unless handle reports that
// it is reusable: after a refusal or a wrong response, the next bytes on it may belong to an earlier call.
func (d *Dispatcher) roundTrip(ctx context.Context, s *document.Service, c *route.Candidate, call *connection.Call, limit int64, handle func(r *http.Response, body []byte) (reusable bool, err error)) error {
	if err := call.Check(); err != nil {
		return &unsentError{err}
	}
	started := d.Clock.Now()
	conn, err := d.open(ctx, s, c)
	if err != nil {
		if connection.IsDialTimeout(err) {
			d.Reach.RecordTimeout(d.Clock.Now(), c.DataCentre)
		}
		return &unsentError{err}
	}
	if !c.RenewPermit(started, d.Clock.Now()) {
		conn.Close()
		return &unsentError{errPermitExpired}
	}
	var r *http.Response
	var body []byte
	if _, err = conn.Send(ctx, call); err == nil {
		r, err = conn.Receive(call.Method)
	}
	if err == nil {
		body, err = connection.ReadBody(r, limit)
	}
	if err != nil {
		conn.Close()
		return err
	}
	d.Reach.RecordResponse(c.DataCentre)
	reusable, err := handle(r, body)
	if reusable {
		conn.Release(r)
	} else {
		conn.Close()
	}
	return err
}

// open returns a connection that will not be older than answerPeriod when the response is read, at the deadline of ctx at the latest,
// unless it is a new one.
func (d *Dispatcher) open(ctx context.Context, s *document.Service, c *route.Candidate) (*connection.Conn, error) {
	for {
		conn, err := d.Pool.Open(ctx, endpointKey(c), c.Addr, s.MaxConnections)
		if err != nil || !conn.Reused {
			return conn, err
		}
		if deadline, ok := ctx.Deadline(); ok && deadline.Sub(conn.OpenedAt) < answerPeriod {
			return conn, nil
		}
		conn.Close()
	}
}

// errPermitExpired is the error of a call to an endpoint that is cold or states a limit, whose connection took longer than the
// permit for the call lasts.
var errPermitExpired = errors.New("the permit for a call to an endpoint has expired")

// unsentError is a failure to encode a call or to get a connection. Nothing was sent, so no endpoint has counted the call as an
// attempt.
type unsentError struct {
	error
}

func (e *unsentError) Unwrap() error {
	return e.error
}

// updateEndpoint updates the backoff and the slowdown of an endpoint after a call.
func (d *Dispatcher) updateEndpoint(c *route.Candidate, state *endpointState, response Response, err error, elapsed, predicted time.Duration) {
	now := d.Clock.Now()
	switch {
	case err != nil && !errors.Is(err, connection.ErrConnectionLimit) && !errors.Is(err, errPermitExpired):
		backoff := min(minBackoff<<min(state.failures, 8), maxBackoff)
		state.failures++
		state.backoffUntil = now.Add(backoff)
	case err != nil || response.NotRun:
		state.backoffUntil = now.Add(fullBackoff)
	default:
		state.failures = 0
		slowdown := float64(elapsed) / float64(predicted)
		state.slowdown += slowdownWeight * (slowdown - state.slowdown)
		machine, weight := c.Stats.ReportedSlowdown(now)
		state.baseSlowdown += slowdownWeight * (slowdown/(1+weight*(machine-1)) - state.baseSlowdown)
		if countOutcome(response, NoMemory) > 0 {
			state.backoffUntil = now.Add(fullBackoff)
		}
	}
}

// applyResults delivers the results of a call to their jobs and requeues the units that have to be retried.
func (d *Dispatcher) applyResults(s *document.Service, state *endpointState, response Response, err error, units []*unit) {
	var retries []*unit
	now := d.Clock.Now()
	for i, u := range units {
		result := itemResult(response, err, i)
		if result.Outcome == Succeeded {
			d.trackResult(state, result.Handle, u.job.ResultBytes, now.Add(s.Batch.Keep()))
		}
		if u.job.ended {
			d.queueFree(result.Handle)
			continue
		}
		switch result.Outcome {
		case Succeeded:
			d.deliver(u, result.Handle)
		case DeadlinePassed:
			u.job.end(ErrDeadline)
		case InputMissing:
			u.job.end(ErrInputsGone)
		case Failed:
			u.failures++
			retries = append(retries, u)
		case NoMemory:
			retries = append(retries, u)
		}
	}
	var unsent *unsentError
	d.requeue(s, retries, errors.As(err, &unsent))
}

// itemResult returns the result of one item. Items that the endpoint refused or never received count as NoMemory, so that
// they are retried without counting as a failure.
func itemResult(response Response, err error, item int) Result {
	var unsent *unsentError
	switch {
	case response.NotRun || errors.As(err, &unsent):
		return Result{Outcome: NoMemory}
	case err != nil:
		return Result{Outcome: Failed}
	}
	return response.Results[item]
}

// deliver stores the result of a unit and ends its job after the last one.
func (d *Dispatcher) deliver(u *unit, handle string) {
	u.job.handles[u.piece] = handle
	u.job.remaining--
	if u.job.remaining == 0 {
		u.job.end(nil)
	}
}

// requeue queues units for a retry, and ends the jobs of those that failed maxFailures times. A retry is charged to the
// budget unless the last call was never sent.
func (d *Dispatcher) requeue(s *document.Service, units []*unit, unsent bool) {
	now := d.Clock.Now()
	var retries []*unit
	for _, u := range units {
		if u.failures >= maxFailures {
			u.job.end(ErrTooManyFailures)
			continue
		}
		u.budgetExempt = u.budgetExempt || unsent
		u.retry = true
		u.returnedAt = now
		retries = append(retries, u)
	}
	if len(retries) > 0 {
		d.queues[s.Name].insert(now, retries...)
	}
}
