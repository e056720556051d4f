package godwitplank

import "encoding/json"

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	// Done means that the request completed and Output is the complete answer.
	Done Outcome = "done"
	// NotRun means that no non-idempotent call ran, and that none will run for this attempt.
	NotRun Outcome = "not_run"
	// Unknown means that a non-idempotent call may have run.
	Unknown Outcome = "unknown"
	// Failed means that the request has no answer and that only idempotent stages may have run.
	Failed Outcome = "failed"
)

// Names of headers in requests of callers and operators.
const (
	// HeaderIdempotencyKey identifies a request with a non-idempotent stage.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is the attempt number of an idempotency key. The caller increases it to run a request whose last
	// attempt ended without running. The default is 1.
	HeaderAttempt = "Idempotency-Attempt"
	// HeaderChangeID identifies a change of the operators' document.
	HeaderChangeID = "Change-Id"
)

// Request is the body of POST /v1/pipelines/{pipeline}/requests. DeadlineMS is the time limit of the request in
// milliseconds. It is at most the pipeline's deadline, which also applies if it is 0.
type Request struct {
	Input      json.RawMessage `json:"input"`
	DeadlineMS int64           `json:"deadline_ms"`
	Stream     bool            `json:"stream"`
}

// Answer is the response body of a request with the outcome Done.
type Answer struct {
	RequestID string          `json:"request_id"`
	Outcome   Outcome         `json:"outcome"`
	Output    json.RawMessage `json:"output"`
	// DocumentVersion is the version of the operators' document that the request was served with.
	DocumentVersion uint64 `json:"document_version"`
}

// Token is one token event of a streamed answer. Indexes count from 0.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}
