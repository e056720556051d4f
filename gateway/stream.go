package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamEvent is one whole event with the bytes it came in.
type streamEvent struct {
	raw []byte
	id  string
}

var errLongEvent = errors.New("an event is longer than the limit")

// readEvent reads up to and with the blank line that ends an event. io.EOF means that the stream ended between events.
func readEvent(r *bufio.Reader) (*streamEvent, error) {
	e := &streamEvent{}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case len(e.raw) > maxEventBytes:
			return nil, errLongEvent
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
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// stream passes a stream's events on as they come.
func (g *Gateway) stream(x *exchange, a *attempt, r *http.Response) outcome {
	reader := bufio.NewReader(r.Body)
	flusher := http.NewResponseController(x.w)
	gap := gapPatience * time.Duration(x.route.TargetGapMS) * time.Millisecond
	for {
		e, err := readEvent(reader)
		if gap > 0 {
			a.alarm.Move(gap)
		}
		if errors.Is(err, io.EOF) {
			a.conn.Release(r)
			if x.first.IsZero() {
				g.begin(x, r)
			}
			return outcome{sent: true}
		}
		if err != nil {
			a.conn.Close()
			return outcome{err: errCutOff, sent: true}
		}
		if x.first.IsZero() {
			g.begin(x, r)
			g.releaseInputs(x)
		} else if seen(x.LastEvent, e.id) {
			continue
		}
		if e.id != "" {
			x.LastEvent = e.id
		}
		if _, err = x.w.Write(e.raw); err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			a.conn.Close()
			return outcome{err: err, sent: true}
		}
	}
}

// begin gives the caller the header of the first endpoint's answer.
func (g *Gateway) begin(x *exchange, r *http.Response) {
	h := x.w.Header()
	for name, values := range EndToEnd(r.Header) {
		h[name] = values
	}
	x.first = g.Clock.Now()
	if !x.staged.IsZero() && x.sends == 1 {
		g.delays.learn(x.route.Name, x.first.Sub(x.staged)-usualAnswer)
	}
	x.status = r.StatusCode
	x.w.WriteHeader(r.StatusCode)
}

// seen reports whether an event is not after the last one that the caller has.
func seen(last, id string) bool {
	l, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= l
}
