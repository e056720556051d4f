// Package stage is the HTTP client for stage calls to endpoints. It rejects responses whose ids do not match the call.
package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/head"
	"godwitplank/telemetry"
)

// MaxResponseBytes is the maximum size of a response body or of one event of a stream.
const MaxResponseBytes = 16 << 20

// Limits of the connections to endpoints.
const (
	dialTimeout        = 500 * time.Millisecond
	maxIdlePerEndpoint = 64
	idleTimeout        = 30 * time.Second
	maxHeadBytes       = connection.MaxHeadBytes
	cancelTimeout      = 500 * time.Millisecond
)

// Reason classifies the failure of a call.
type Reason string

// The reasons of failed calls.
const (
	// NotSent means that no byte of the call was written, so that a retry is always safe.
	NotSent Reason = "not_sent"
	// Broken means that the connection failed after the call may have been sent, or that a stream stalled or had a gap.
	Broken Reason = "broken"
	// Refused means that the endpoint returned a status other than 200, an error event or an oversized response.
	Refused Reason = "refused"
	// Mismatched means that the response is malformed, could not be decoded or has the ids of another call.
	Mismatched Reason = "mismatched"
	// Expired means that the context ended: the deadline passed, the caller disconnected or another attempt succeeded.
	Expired Reason = "expired"
)

// Error is the error of a failed call.
type Error struct {
	Reason Reason
	Cause  error
	// Notice is what a refusal says about calls to come.
	Notice godwitplank.EndpointNotice
}

// Error returns the reason followed by the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Client sends stage calls to endpoints. Use NewClient to create one. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	http   http.Client
}

// NewClient returns a client with a connection pool shared by all endpoints. It does not follow redirects.
func NewClient() *Client {
	c := &Client{dialer: net.Dialer{Timeout: dialTimeout}}
	c.http = http.Client{
		Transport: &connection.Transport{Base: &http.Transport{
			DialContext:         connection.DialContext(&c.dialer),
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c
}

// Call sends an idempotent call and returns the answer. Errors are of type *Error.
func (c *Client) Call(ctx context.Context, addr netip.AddrPort, call godwitplank.StageCall) (godwitplank.StageAnswer, error) {
	r, err := newRequest(ctx, addr, call)
	if err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: NotSent, Cause: err}
	}
	response, err := c.http.Do(r)
	if err != nil {
		return godwitplank.StageAnswer{}, sendError(ctx, err)
	}
	return readResponse(ctx, response, call)
}

// CallOnce sends a non-idempotent call once, on a new connection, since http.Client may resend a request on its own. It
// calls mayStart right before the first byte is written and sends nothing if that returns false. Errors are of type
// *Error.
func (c *Client) CallOnce(ctx context.Context, addr netip.AddrPort, call godwitplank.StageCall, mayStart func() bool) (godwitplank.StageAnswer, error) {
	r, err := newRequest(ctx, addr, call)
	if err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: NotSent, Cause: err}
	}
	r.Close = true
	conn, err := c.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: NotSent, Cause: err}
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if !mayStart() {
		return godwitplank.StageAnswer{}, &Error{Reason: NotSent, Cause: context.DeadlineExceeded}
	}
	if err := r.Write(conn); err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: Broken, Cause: err}
	}
	reader := &connection.HeadReader{Reader: conn}
	response, err := connection.ReadResponse(newReader(reader), reader, r.Method)
	if err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: failureReason(err), Cause: err}
	}
	return readResponse(ctx, response, call)
}

// Cancel asks an endpoint to cancel a call whose result is no longer needed. It gives up after cancelTimeout and
// ignores errors.
func (c *Client) Cancel(ctx context.Context, addr netip.AddrPort, call godwitplank.StageCall) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/requests/%s?stage=%s&attempt=%d", addr, call.RequestID, call.Stage, call.Attempt)
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	if response, err := c.http.Do(r); err == nil {
		_ = response.Body.Close()
	}
}

func newRequest(ctx context.Context, addr netip.AddrPort, call godwitplank.StageCall) (*http.Request, error) {
	body, err := json.Marshal(call)
	if err != nil {
		return nil, err
	}
	url := fmt.Sprintf("http://%s/v1/stages/%s", addr, call.Stage)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	telemetry.Inject(ctx, r.Header)
	return r, nil
}

func sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if asOpError(err, &op) && op.Op == "dial" && ctx.Err() == nil {
		return &Error{Reason: NotSent, Cause: err}
	}
	return connectionError(ctx, err)
}

func connectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &Error{Reason: Expired, Cause: ctx.Err()}
	}
	return &Error{Reason: failureReason(err), Cause: err}
}

// failureReason returns the reason of an error of a connection or of the head of a response.
func failureReason(err error) Reason {
	var malformed *head.Error
	if errors.As(err, &malformed) {
		return Mismatched
	}
	return Broken
}

func readResponse(ctx context.Context, response *http.Response, call godwitplank.StageCall) (godwitplank.StageAnswer, error) {
	var answer godwitplank.StageAnswer
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return answer, connectionError(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		refusal := &Error{Reason: Refused, Cause: fmt.Errorf("status %d: %.200s", response.StatusCode, body)}
		if json.Unmarshal(body, &refusal.Notice) != nil {
			refusal.Notice = godwitplank.EndpointNotice{} // another body says nothing
		}
		if response.StatusCode != http.StatusServiceUnavailable {
			refusal.Notice.RetryAfterMS = 0
		}
		return answer, refusal
	}
	if len(body) > MaxResponseBytes {
		return answer, &Error{Reason: Refused, Cause: fmt.Errorf("the response exceeds the limit of %d bytes", MaxResponseBytes)}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return godwitplank.StageAnswer{}, &Error{Reason: Mismatched, Cause: err}
	}
	if !answer.Matches(call) {
		return godwitplank.StageAnswer{}, &Error{Reason: Mismatched, Cause: fmt.Errorf("the response is for request %s, stage %s, attempt %d", answer.RequestID, answer.Stage, answer.Attempt)}
	}
	return answer, nil
}
