// Package fault defines the typed errors that callers and operators receive, with their HTTP statuses.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"godwitplank"
)

// Kind is a stable error code.
type Kind string

// Error kinds.
const (
	BadRequest         Kind = "bad_request"
	WrongKey           Kind = "wrong_key"
	WrongToken         Kind = "wrong_token"
	UnknownPipeline    Kind = "unknown_pipeline"
	UnknownPath        Kind = "unknown_path"
	BodyTooLarge       Kind = "body_too_large"
	KeyRequired        Kind = "idempotency_key_required"
	KeyReused          Kind = "idempotency_key_reused"
	RateLimit          Kind = "rate_limit"
	ConcurrencyLimit   Kind = "concurrency_limit"
	DeadlineExceeded   Kind = "deadline_exceeded"
	DeadlineTooShort   Kind = "deadline_too_short"
	NoEndpoint         Kind = "no_endpoint"
	StageFailed        Kind = "stage_failed"
	PromptQuarantined  Kind = "prompt_quarantined"
	CallNotEncodable   Kind = "call_not_encodable"
	NoDocument         Kind = "no_document"
	NoQuorum           Kind = "no_quorum"
	OrderVoided        Kind = "order_voided"
	OrderUnknown       Kind = "order_unknown"
	OrderRunning       Kind = "order_running"
	Stopping           Kind = "stopping"
	Busy               Kind = "busy"
	InvalidDocument    Kind = "invalid_document"
	VersionConflict    Kind = "version_conflict"
	ChangeIDReused     Kind = "change_id_reused"
	AnswerLost         Kind = "answer_lost"
	EndpointConflict   Kind = "endpoint_conflict"
	EndpointUnknown    Kind = "endpoint_unknown"
	UnknownDataCentre  Kind = "unknown_data_centre"
	NotAdmitted        Kind = "not_admitted"
	GroupExists        Kind = "group_exists"
	GroupUnreachable   Kind = "group_unreachable"
	Internal           Kind = "internal"
	ClientDisconnected Kind = "client_disconnected"
)

// statuses maps each kind to its HTTP status.
var statuses = map[Kind]int{
	BadRequest:         http.StatusBadRequest,
	WrongKey:           http.StatusUnauthorized,
	WrongToken:         http.StatusUnauthorized,
	UnknownPipeline:    http.StatusNotFound,
	UnknownPath:        http.StatusNotFound,
	BodyTooLarge:       http.StatusRequestEntityTooLarge,
	KeyRequired:        http.StatusBadRequest,
	KeyReused:          http.StatusConflict,
	RateLimit:          http.StatusTooManyRequests,
	ConcurrencyLimit:   http.StatusTooManyRequests,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	DeadlineTooShort:   http.StatusServiceUnavailable,
	NoEndpoint:         http.StatusServiceUnavailable,
	StageFailed:        http.StatusBadGateway,
	PromptQuarantined:  http.StatusServiceUnavailable,
	CallNotEncodable:   http.StatusServiceUnavailable,
	NoDocument:         http.StatusServiceUnavailable,
	NoQuorum:           http.StatusServiceUnavailable,
	OrderVoided:        http.StatusConflict,
	OrderUnknown:       http.StatusConflict,
	OrderRunning:       http.StatusConflict,
	Stopping:           http.StatusServiceUnavailable,
	Busy:               http.StatusServiceUnavailable,
	InvalidDocument:    http.StatusUnprocessableEntity,
	VersionConflict:    http.StatusConflict,
	ChangeIDReused:     http.StatusConflict,
	AnswerLost:         http.StatusServiceUnavailable,
	EndpointConflict:   http.StatusConflict,
	EndpointUnknown:    http.StatusServiceUnavailable,
	UnknownDataCentre:  http.StatusNotFound,
	NotAdmitted:        http.StatusUnauthorized,
	GroupExists:        http.StatusConflict,
	GroupUnreachable:   http.StatusServiceUnavailable,
	Internal:           http.StatusInternalServerError,
	ClientDisconnected: http.StatusRequestTimeout,
}

// Error is an error whose message includes a remedy. Its JSON form is the body of error responses.
type Error struct {
	RequestID string              `json:"request_id,omitempty"`
	Outcome   godwitplank.Outcome `json:"outcome,omitempty"`
	Kind      Kind                `json:"kind"`
	Message   string              `json:"message"`
	// RetryAfterMS is the time after which a retry may succeed, in milliseconds; 0 if waiting does not help.
	RetryAfterMS int64 `json:"retry_after_ms"`
	// Sent reports, for an unknown outcome, whether this submission itself sent the call to an endpoint.
	Sent *bool `json:"sent,omitempty"`
	// FieldErrors lists the errors of all invalid fields of a rejected document.
	FieldErrors []FieldError `json:"faults,omitempty"`
	// Version and ChangeID identify the current document after a version conflict.
	Version  uint64 `json:"version,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
}

// FieldError is one error in a document and the path of the field that has it, such as workspaces[0].name.
type FieldError struct {
	Path    string `json:"place"`
	Message string `json:"message"`
}

// New returns an error of a kind. The message should name what failed and the remedy.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// Error implements error. It returns the kind and the message.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// Status returns the HTTP status of the kind, 500 for an unknown one.
func (e *Error) Status() int {
	if status, ok := statuses[e.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// WithOutcome returns a copy with an outcome and the time after which a retry may succeed, 0 if waiting does not help.
func (e *Error) WithOutcome(outcome godwitplank.Outcome, retryAfter time.Duration) *Error {
	c := *e
	c.Outcome = outcome
	c.RetryAfterMS = retryAfter.Milliseconds()
	return &c
}

// WithSent returns a copy that reports whether this submission itself sent the call to an endpoint.
func (e *Error) WithSent(sent bool) *Error {
	c := *e
	c.Sent = &sent
	return &c
}

// Is reports whether err is or wraps an *Error, so that it has a kind and a remedy.
func Is(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// As returns the *Error that err is or wraps. Any other error is converted to one of kind Internal.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v; report this with the request id", err)
}
