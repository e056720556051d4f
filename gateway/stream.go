package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"godwitplank/connection"
	"godwitplank/crash"
	"godwitplank/route"
	"godwitplank/timer"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 256 << 10

// eventStepBytes is the step in which large events are charged. A smaller event is not: it is gone at once.
const eventStepBytes = 16 << 10

// streamEvent is one server-sent event: its unmodified bytes and its id.
type streamEvent struct {
	raw []byte
	id  string
	// charged is the memory that was charged for raw.
	charged int64
}

// charge charges the memory of a large event. Since raw grows by doubling, twice its size is charged.
func (e *streamEvent) charge(m connection.Memory) error {
	for needed := 2 * int64(len(e.raw)); m.Grow != nil && len(e.raw) > eventStepBytes && e.charged < needed; {
		step := max(eventStepBytes, needed-e.charged)
		if err := m.Grow(step); err != nil {
			return connection.ErrNoMemory
		}
		e.charged += step
	}
	return nil
}

// release returns the memory of an event.
func (e *streamEvent) release(m connection.Memory) {
	if e.charged > 0 {
		m.Shrink(e.charged)
		e.charged = 0
	}
}

var errEventTooLong = errors.New("an event of the stream exceeds the size limit")

// readEvent reads one event including the blank line that ends it. It returns io.EOF if the stream ended between events
// and io.ErrUnexpectedEOF if it ended within one. A large event stays charged until release; after an error nothing does.
func readEvent(r *bufio.Reader, m connection.Memory) (e *streamEvent, err error) {
	event := &streamEvent{}
	defer func() {
		if e == nil {
			event.release(m)
		}
	}()
	return event.read(r, m)
}

func (e *streamEvent) read(r *bufio.Reader, m connection.Memory) (*streamEvent, error) {
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if chargeErr := e.charge(m); chargeErr != nil {
			return nil, chargeErr
		}
		switch {
		case len(e.raw) > maxEventBytes:
			return nil, errEventTooLong
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.raw) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.id = string(bytes.Trim(value, " \t"))
		}
	}
}

// isEventStream reports whether a response is a stream of events. Another success may hold an error text, which must not go into a
// stream that has begun.
func isEventStream(r *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return err == nil && r.StatusCode == http.StatusOK && mediaType == "text/event-stream"
}

// forwardStream relays the events of a stream and flushes each. After a resume it skips events that the caller already
// received. An event that could not be resumed after is not relayed if the stream can go on at another endpoint.
func (g *Gateway) forwardStream(x *exchange, a *attempt, r *http.Response) outcome {
	reader, m := bufio.NewReader(r.Body), x.memory()
	flusher := http.NewResponseController(x.w)
	pace := paceMeter{clock: g.Clock}
	defer func() {
		pace.report(a.candidate.Stats)
		x.longestPause = max(x.longestPause, pace.longest)
	}()
	survived := false
	gapTimeout := gapTimeoutFactor * time.Duration(x.route.TargetGapMS) * time.Millisecond
	for {
		e, err := readEvent(reader, m)
		if gapTimeout > 0 {
			a.timer.Reset(gapTimeout)
		}
		if errors.Is(err, io.EOF) {
			a.conn.Release(r)
			if x.firstByteAt.IsZero() {
				g.startResponse(x, r)
			}
			return outcome{mayHaveRun: true, unframed: endsWithConnection(r)}
		}
		if err != nil {
			a.conn.Close()
			return outcome{err: truncated(err), mayHaveRun: true}
		}
		malformed := g.checkEventID(x, a, e.id)
		if malformed != nil && g.mayResume(x) {
			e.release(m)
			a.conn.Close()
			return outcome{err: malformed, mayHaveRun: true}
		}
		a.placement.First()
		if x.firstByteAt.IsZero() {
			g.startResponse(x, r)
			g.releaseInputs(x)
		} else if alreadySent(x.LastEventID, e.id) {
			e.release(m)
			continue
		}
		if pace.event(); !survived && pace.last.Sub(pace.first) >= crash.SurvivedAfter {
			survived = true
			g.Crashes.RecordSurvival(pace.last, sharedParts(x.Prefix))
		}
		switch {
		case malformed != nil:
			x.unresumable = true
		case e.id != "":
			x.LastEventID, x.unresumable = e.id, false
		}
		if _, err = x.w.Write(e.raw); err == nil {
			err = flusher.Flush()
		}
		e.release(m)
		if err != nil {
			a.conn.Close()
			return outcome{err: err, mayHaveRun: true}
		}
	}
}

// paceMeter measures the time between the events of a stream.
type paceMeter struct {
	clock       timer.Clock
	first, last time.Time
	events      int
	// longest is the longest time between two events.
	longest time.Duration
}

func (m *paceMeter) event() {
	now := m.clock.Now()
	if m.events++; m.events == 1 {
		m.first = now
	} else {
		m.longest = max(m.longest, now.Sub(m.last))
	}
	m.last = now
}

// report adds the pace to an endpoint's statistics, if there were at least two events.
func (m *paceMeter) report(s *route.Stats) {
	if m.events > 1 {
		s.ObservePace(m.last, m.last.Sub(m.first)/time.Duration(m.events-1))
	}
}

// startResponse writes the status and header of the endpoint's response to the caller.
func (g *Gateway) startResponse(x *exchange, r *http.Response) {
	h := x.w.Header()
	for name, values := range EndToEnd(r.Header) {
		h[name] = values
	}
	x.firstByteAt = g.Clock.Now()
	x.answerBound.Lift()
	if !x.stagesDoneAt.IsZero() && x.attempts == 1 {
		g.delays.observe(x.route.Name, x.firstByteAt.Sub(x.stagesDoneAt)-idleTimeToFirstByte)
	}
	x.status = r.StatusCode
	x.w.WriteHeader(r.StatusCode)
}

// alreadySent reports whether event id is at or before the last event id sent. Ids that are not integers never are.
func alreadySent(last, id string) bool {
	lastID, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	eventID, err := strconv.ParseInt(id, 10, 64)
	return err == nil && eventID <= lastID
}
