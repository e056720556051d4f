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

// call makes one call and hands out its results.
func (m *Maker) call(s *document.Service, c *route.Candidate, known *caller, units []*unit) {
	begun := m.Clock.Now()
	predicted := Predict(s, len(units))
	patience := time.Duration(float64(predicted)*known.slow)*callPatience + callSlack
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	items := make([]Item, len(units))
	for i, u := range units {
		items[i] = Item{
			RequestID: u.job.RequestID, Stage: u.job.Stage, Piece: u.piece, Key: u.job.Key, Inputs: u.job.Inputs,
			Remaining: u.job.Deadline.Sub(begun),
		}
	}
	answer, err := m.exchange(ctx, s, c, items)
	took := m.Clock.Now().Sub(begun)
	m.Meter.Attempt(s.Name, "batch", outcome(answer, err), took)
	m.Log.Log(event.PiecesMade, "service", s.Name, "endpoint", c.ID, "pieces", len(units), "requests", requests(units),
		"waited_ms", begun.Sub(units[0].job.queued).Milliseconds(), "took_ms", took.Milliseconds(), "predicted_ms", predicted.Milliseconds(),
		"without_room", count(answer, NoRoom), "result", outcome(answer, err))
	m.mu.Lock()
	defer m.mu.Unlock()
	known.busy--
	m.judge(known, answer, err, took, predicted)
	known.used -= results(units)
	m.settle(s, known, answer, err, units)
	m.dispatch(s.Name, m.queues[s.Name])
}

// requests lists the requests that a call has pieces of.
func requests(units []*unit) string {
	var ids []string
	for i, u := range units {
		if i == 0 || u.job != units[i-1].job {
			ids = append(ids, u.job.RequestID)
		}
	}
	return strings.Join(ids, ",")
}

func count(a Answer, reason Reason) int {
	n := 0
	for _, r := range a.Results {
		if r.Reason == reason {
			n++
		}
	}
	return n
}

func outcome(a Answer, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case a.NotRun:
		return "not_run"
	}
	return "done"
}

// exchange asks an endpoint for items and decodes its answer.
func (m *Maker) exchange(ctx context.Context, s *document.Service, c *route.Candidate, items []Item) (Answer, error) {
	r, body, err := m.roundTrip(ctx, s, c, m.Protocol.RunCall(c.ID, c.Addr.String(), items))
	if err != nil {
		return Answer{}, err
	}
	answer, err := m.Protocol.RunAnswer(r.StatusCode, r.Header, body)
	if err == nil && !answer.NotRun && len(answer.Results) != len(items) {
		err = fmt.Errorf("the answer has %d results for %d pieces", len(answer.Results), len(items))
	}
	return answer, err
}

// roundTrip sends a call and reads its answer whole.
func (m *Maker) roundTrip(ctx context.Context, s *document.Service, c *route.Candidate, call *connection.Call) (*http.Response, []byte, error) {
	conn, err := m.Pool.Open(ctx, key(c), c.Addr, s.MaxConnections)
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
		body, err = connection.ReadBody(r, answerBytes)
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	conn.Release(r)
	m.Reach.Succeed(c.DataCentre)
	return r, body, nil
}

// unsentError is a failure before anything was sent, so that no endpoint has counted the call.
type unsentError struct {
	error
}

func (e *unsentError) Unwrap() error {
	return e.error
}

// judge learns of an endpoint from a call.
func (m *Maker) judge(known *caller, a Answer, err error, took, predicted time.Duration) {
	now := m.Clock.Now()
	switch {
	case err != nil && !errors.Is(err, connection.ErrFull):
		pause := min(firstPause<<min(known.failures, 8), mostPause)
		known.failures++
		known.until = now.Add(pause)
	case err != nil || a.NotRun:
		known.until = now.Add(fullPause)
	default:
		known.failures = 0
		known.slow += speedWeight * (float64(took)/float64(predicted) - known.slow)
		if count(a, NoRoom) > 0 {
			known.until = now.Add(fullPause)
		}
	}
}

// settle hands out the results of a call, or puts its units back.
func (m *Maker) settle(s *document.Service, known *caller, a Answer, err error, units []*unit) {
	var again []*unit
	now := m.Clock.Now()
	for i, u := range units {
		result := itemResult(a, err, i)
		if result.Reason == Made {
			m.hold(known, result.Handle, u.job.ResultBytes, now.Add(time.Duration(s.Batch.KeepMS)*time.Millisecond))
		}
		if u.job.ended {
			m.freeOne(result.Handle)
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
			u.tries++
			again = append(again, u)
		case NoRoom:
			again = append(again, u)
		}
	}
	var unsent *unsentError
	m.retry(s, again, errors.As(err, &unsent))
}

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

func (m *Maker) deliver(u *unit, handle string) {
	u.job.handles[u.piece] = handle
	u.job.left--
	if u.job.left == 0 {
		u.job.end(nil)
	}
}

// retry puts units back. Those that an endpoint has counted go on only as the budget allows.
func (m *Maker) retry(s *document.Service, units []*unit, unsent bool) {
	now := m.Clock.Now()
	var again []*unit
	for _, u := range units {
		if u.tries >= mostTries {
			u.job.end(ErrTries)
			continue
		}
		u.paid = u.paid || unsent
		u.repeated = true
		u.returned = now
		again = append(again, u)
	}
	if len(again) > 0 {
		m.queues[s.Name].add(now, again...)
	}
}
