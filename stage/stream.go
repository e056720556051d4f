package stage

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"godwitplank"
)

const (
	readBufferBytes = 32 << 10
	maxEventBytes   = MaxResponseBytes
)

// StreamTimeouts sets the timeouts of a stream.
type StreamTimeouts struct {
	// Idle is the maximum time to the first event and between events.
	Idle time.Duration
	// Total is the maximum time from the first event to the end of the stream; 0 means no limit.
	Total time.Duration
	// OnTimeout is called when a timeout expires. If it returns true the stream ends with ErrStalled, else it continues.
	OnTimeout func() bool
}

// Stream sends a call with a streamed response and calls onToken for each token. It returns the answer of the final event, or of a
// response that is not a stream. Errors are of type *Error; after a stall the cause is ErrStalled.
func (c *Client) Stream(ctx context.Context, addr netip.AddrPort, call godwitplank.StageCall, timeouts StreamTimeouts, onToken func(godwitplank.StageToken)) (godwitplank.StageAnswer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	onTimeout := func() {
		if timeouts.OnTimeout() {
			cancel(ErrStalled)
		}
	}
	stallTimer := time.AfterFunc(timeouts.Idle, onTimeout)
	defer stallTimer.Stop()
	var durationTimer *time.Timer
	call.Stream = true
	r, err := newRequest(ctx, addr, call)
	if err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: NotSent, Cause: err}
	}
	r.Header.Set("Accept", "text/event-stream")
	response, err := c.http.Do(r)
	if err != nil {
		return godwitplank.StageAnswer{}, stallError(ctx, sendError(ctx, err))
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return readResponse(ctx, response, call)
	}
	defer response.Body.Close()
	events := newEventReader(response.Body)
	for {
		name, data, err := events.next()
		if err != nil {
			return godwitplank.StageAnswer{}, stallError(ctx, connectionError(ctx, err))
		}
		stallTimer.Reset(timeouts.Idle)
		if durationTimer == nil && timeouts.Total > 0 {
			durationTimer = time.AfterFunc(timeouts.Total, onTimeout)
			defer durationTimer.Stop()
		}
		answer, done, err := handleEvent(name, data, call, onToken)
		if done || err != nil {
			return answer, err
		}
	}
}

// ErrStalled is the cause of the error of a stream that exceeded one of its StreamTimeouts.
var ErrStalled = errors.New("the stream stalled or exceeded its time limit")

func stallError(ctx context.Context, err error) error {
	if context.Cause(ctx) == ErrStalled {
		return &Error{Reason: Broken, Cause: ErrStalled}
	}
	return err
}

// handleEvent processes one event and reports whether it was the final one. Unknown events are ignored.
func handleEvent(name string, data []byte, call godwitplank.StageCall, onToken func(godwitplank.StageToken)) (godwitplank.StageAnswer, bool, error) {
	switch name {
	case "token":
		var t godwitplank.StageToken
		if err := json.Unmarshal(data, &t); err != nil || !t.Matches(call) {
			return godwitplank.StageAnswer{}, false, &Error{Reason: Mismatched, Cause: fmt.Errorf("a token event is for request %s, stage %s, attempt %d", t.RequestID, t.Stage, t.Attempt)}
		}
		onToken(t)
	case "done":
		var a godwitplank.StageAnswer
		if err := json.Unmarshal(data, &a); err != nil || !a.Matches(call) {
			return godwitplank.StageAnswer{}, false, &Error{Reason: Mismatched, Cause: fmt.Errorf("the final event is for request %s, stage %s, attempt %d", a.RequestID, a.Stage, a.Attempt)}
		}
		return a, true, nil
	case "error":
		return godwitplank.StageAnswer{}, false, &Error{Reason: Refused, Cause: fmt.Errorf("the stream ended with an error: %.200s", data)}
	}
	return godwitplank.StageAnswer{}, false, nil
}

// eventReader reads server-sent events. It supports only the event and data fields.
type eventReader struct {
	scanner *bufio.Scanner
}

var errEventTooLong = errors.New("an event of the stream exceeds the size limit; check what the endpoint sends")

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, readBufferBytes), maxEventBytes)
	return &eventReader{scanner: s}
}

func (e *eventReader) next() (name string, data []byte, err error) {
	for e.scanner.Scan() {
		line := e.scanner.Text()
		switch {
		case line == "" && name != "":
			return name, data, nil
		case strings.HasPrefix(line, "event: "):
			name = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			data = append(data, strings.TrimPrefix(line, "data: ")...)
		}
		if len(data) > maxEventBytes {
			return "", nil, errEventTooLong
		}
	}
	if err := e.scanner.Err(); err != nil {
		return "", nil, err
	}
	return "", nil, io.ErrUnexpectedEOF
}

func newReader(r io.Reader) *bufio.Reader {
	return bufio.NewReaderSize(r, readBufferBytes)
}

func asOpError(err error, op **net.OpError) bool {
	return errors.As(err, op)
}

// WriteEvent writes one server-sent event with value as its JSON data, and flushes it.
func WriteEvent(w http.ResponseWriter, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}
