package godwitplank

import "encoding/json"

// StageCall is the body of POST {address}/v1/stages/{stage}, the call of a stage at an endpoint.
// DeadlineMS is the time left until the request's deadline, in milliseconds.
type StageCall struct {
	RequestID  string          `json:"request_id"`
	Stage      string          `json:"stage"`
	Attempt    int             `json:"attempt"`
	DeadlineMS int64           `json:"deadline_ms"`
	Priority   int             `json:"priority"`
	Input      json.RawMessage `json:"input"`
	Model      string          `json:"model,omitempty"`
	// Stream requests token events instead of a single answer.
	Stream bool `json:"stream,omitempty"`
	// ResumeFrom is the index of the first token to send, above 0 if a stream is resumed.
	ResumeFrom int `json:"resume_from"`
}

// StageAnswer is a complete answer or the last event of a stream. It is valid only if it matches the call.
type StageAnswer struct {
	RequestID string          `json:"request_id"`
	Stage     string          `json:"stage"`
	Attempt   int             `json:"attempt"`
	Output    json.RawMessage `json:"output"`
	EndpointNotice
}

// EndpointNotice is what an endpoint says about calls to come, in an answer or in the JSON body of a refusal.
type EndpointNotice struct {
	// Leaving is true if the endpoint drains: it wants no new calls in this incarnation.
	Leaving bool `json:"leaving,omitempty"`
	// RetryAfterMS is how long the endpoint wants no call from this VM, in milliseconds. It counts in a refusal with status 503.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// StageToken is one token event of a stream.
type StageToken struct {
	RequestID string `json:"request_id"`
	Stage     string `json:"stage"`
	Attempt   int    `json:"attempt"`
	Index     int    `json:"index"`
	Text      string `json:"text"`
}

// Matches reports whether the answer belongs to the call.
func (a StageAnswer) Matches(c StageCall) bool {
	return a.RequestID == c.RequestID && a.Stage == c.Stage && a.Attempt == c.Attempt
}

// Matches reports whether the token belongs to the call.
func (t StageToken) Matches(c StageCall) bool {
	return t.RequestID == c.RequestID && t.Stage == c.Stage && t.Attempt == c.Attempt
}
