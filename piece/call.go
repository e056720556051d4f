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
	"godwitplank/route"
)

// call sends a batch of units to an endpoint and applies its results.
func (m *Maker) call(s *document.Service, c *route.Candidate, state *endpointState, units []*unit) {
	started := m.Clock.Now()
	predicted := Predict(s, len(units))
	timeout := time.Duration(float64(predicted)*state.slowdown)*callTimeoutFactor + callTimeoutMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	items := make([]Item, len(units))
	for i, u := range units {
		items[i] = Item{
			RequestID: u.job.RequestID, Stage: u.job.Stage, Piece: u.piece, Key: u.job.Key, Inputs: u.job.Inputs,
			Remaining: u.job.Deadline.Sub(started),
		}
	}
	response, err := m.exchange(ctx, s, c, items)
	elapsed := m.Clock.Now().Sub(started)
	m.Meter.Attempt(s.Name, "batch", outcome(response, err), elapsed)
	m.Log.Log(event.PiecesMade, "service", s.Name, "endpoint", c.ID, "pieces", len(units), "requests", requestIDs(units),
		"waited_ms", started.Sub(units[0].job.queuedAt).Milliseconds(), "took_ms", elapsed.Milliseconds(), "predicted_ms", predicted.Milliseconds(),
		"without_room", countReason(response, NoRoom), "result", outcome(response, err))
	m.mu.Lock()
	defer m.mu.Unlock()
	state.inFlight--
	m.updateEndpoint(state, response, err, elapsed, predicted)
	state.heldBytes -= resultBytes(units)
	m.applyResults(s, state, response, err, units)
	m.dispatch(s.Name, m.queues[s.Name])
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

// countReason returns the number of results with a reason.
func countReason(a Answer, reason Reason) int {
	n := 0
	for _, r := range a.Results {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

// outcome returns the result of a call for logs and metrics.
func outcome(a Answer, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case a.NotRun:
		return "not_run"
	}
	return "done"
}

// exchange sends items to an endpoint and decodes its response.
func (m *Maker) exchange(ctx context.Context, s *document.Service, c *route.Candidate, items []Item) (Answer, error) {
	r, body, err := m.roundTrip(ctx, s, c, m.Protocol.RunCall(c.ID, c.Addr.String(), items))
	if err != nil {
		return Answer{}, err
	}
	response, err := m.Protocol.RunAnswer(r.StatusCode, r.Header, body)
	if err == nil && !response.NotRun && len(response.Results) != len(items) {
		err = fmt.Errorf("the response has %d results for %d pieces", len(response.Results), len(items))
	}
	return response, err
}

// roundTrip sends a call and reads the whole response.
func (m *Maker) roundTrip(ctx context.Context, s *document.Service, c *route.Candidate, call *connection.Call) (*http.Response, []byte, error) {
	conn, err := m.Pool.Open(ctx, endpointKey(c), c.Addr, s.MaxConnections)
	if err != nil {
		if connection.TimedOut(err) {
			m.Reach.Fail(m.Clock.Now(), c.DataCentre)
		}
		return nil, nil, &unsentError{err}
	}
	var r *http.Response
	var body []byte
	if _, err = conn.Send(ctx, call); err == nil {
		r, err = conn.Receive(call.Method)
	}
	if err == nil {
		body, err = connection.ReadBody(r, maxResponseBytes)
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	conn.Release(r)
	m.Reach.Succeed(c.DataCentre)
	return r, body, nil
}

// unsentError is a failure to get a connection. Nothing was sent, so no endpoint has counted the call as an attempt.
type unsentError struct {
	error
}

func (e *unsentError) Unwrap() error {
	return e.error
}

// updateEndpoint updates the backoff and the slowdown of an endpoint after a call.
func (m *Maker) updateEndpoint(state *endpointState, a Answer, err error, elapsed, predicted time.Duration) {
	now := m.Clock.Now()
	switch {
	case err != nil && !errors.Is(err, connection.ErrFull):
		backoff := min(minBackoff<<min(state.failures, 8), maxBackoff)
		state.failures++
		state.backoffUntil = now.Add(backoff)
	case err != nil || a.NotRun:
		state.backoffUntil = now.Add(fullBackoff)
	default:
		state.failures = 0
		state.slowdown += slowdownWeight * (float64(elapsed)/float64(predicted) - state.slowdown)
		if countReason(a, NoRoom) > 0 {
			state.backoffUntil = now.Add(fullBackoff)
		}
	}
}

// applyResults delivers the results of a call to their jobs and requeues the units that have to be retried.
func (m *Maker) applyResults(s *document.Service, state *endpointState, a Answer, err error, units []*unit) {
	var retries []*unit
	now := m.Clock.Now()
	for i, u := range units {
		result := itemResult(a, err, i)
		if result.Reason == Made {
			m.trackResult(state, result.Handle, u.job.ResultBytes, now.Add(time.Duration(s.Batch.KeepMS)*time.Millisecond))
		}
		if u.job.ended {
			m.queueFree(result.Handle)
			continue
		}
		switch result.Reason {
		case Made:
			m.deliver(u, result.Handle)
		case Late:
			u.job.end(ErrLate)
		case InputGone:
			u.job.end(ErrInputsGone)
		case Broken:
			u.failures++
			retries = append(retries, u)
		case NoRoom:
			retries = append(retries, u)
		}
	}
	var unsent *unsentError
	m.requeue(s, retries, errors.As(err, &unsent))
}

// itemResult returns the result of one item. Items that the endpoint did not take count as NoRoom.
func itemResult(a Answer, err error, item int) Result {
	var unsent *unsentError
	switch {
	case a.NotRun || errors.As(err, &unsent):
		return Result{Reason: NoRoom}
	case err != nil:
		return Result{Reason: Broken}
	}
	return a.Results[item]
}

// deliver stores the result of a unit and ends its job after the last one.
func (m *Maker) deliver(u *unit, handle string) {
	u.job.handles[u.piece] = handle
	u.job.remaining--
	if u.job.remaining == 0 {
		u.job.end(nil)
	}
}

// requeue queues units for a retry, and ends the jobs of those that failed maxFailures times. A retry is charged to the
// budget unless the last call was never sent.
func (m *Maker) requeue(s *document.Service, units []*unit, unsent bool) {
	now := m.Clock.Now()
	var retries []*unit
	for _, u := range units {
		if u.failures >= maxFailures {
			u.job.end(ErrTries)
			continue
		}
		u.budgeted = u.budgeted || unsent
		u.retry = true
		u.returnedAt = now
		retries = append(retries, u)
	}
	if len(retries) > 0 {
		m.queues[s.Name].insert(now, retries...)
	}
}
