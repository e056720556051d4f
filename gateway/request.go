package gateway

import (
	"net/http"
	"time"

	"godwitplank/connection"
	"godwitplank/fault"
	"godwitplank/route"
)

// Request is a caller's request to a route, as decoded by a Protocol.
type Request struct {
	ID string
	// Key is the API key of the workspace.
	Key string
	// Remaining is the caller's time budget, 0 if the request has none.
	Remaining time.Duration
	Method    string
	Host      string
	// Path selects the route. Target is the path and query of the request line.
	Path   string
	Target string
	Model  string
	// OutputTokens is the maximum number of tokens in the response.
	OutputTokens int
	// Prefix lists the parts of the prompt in order, for prefix cache affinity.
	Prefix []route.Part
	// Pieces is the number of pieces of each stage; a stage with 0 pieces is skipped.
	Pieces   []int
	PieceKey string
	// LastEvent is the id of the last event that the caller of a stream has received.
	LastEvent string
	// Header is forwarded to the endpoint.
	Header http.Header
	Body   []byte
}

// Call is a request with the data that a Protocol encodes for one endpoint.
type Call struct {
	*Request
	Endpoint  string
	Workspace string
	Remaining time.Duration
	// Inputs are the handles of the terminal stages' results. Staged is true for a route with stages, even if Inputs is
	// nil.
	Inputs []string
	Staged bool
	// LastEvent is the id of the event after which the stream resumes.
	LastEvent string
}

// Answer is the decoded header of an endpoint's response.
type Answer struct {
	RequestID string
	// Sealed is true if the response carries the seal that endpoints put on their own responses.
	Sealed bool
	// NotRun is true if the endpoint guarantees that it did not and will not run the request.
	NotRun bool
	// InputsGone is true if a stage result that the request needs no longer exists.
	InputsGone bool
}

// Protocol translates between Gateway and the HTTP messages of callers and endpoints.
type Protocol interface {
	// Request decodes the header of a request; the body is read later. It returns a fault for an invalid header.
	Request(r *http.Request) (*Request, error)
	// Call encodes a call to an endpoint.
	Call(c *Call) *connection.Call
	// Answer decodes the status and header of an endpoint's response.
	Answer(status int, h http.Header) Answer
	// Refuse writes an error response to a caller.
	Refuse(w http.ResponseWriter, requestID string, e *fault.Error)
}

// hopByHopHeaders are not forwarded. Content-Length is among them because the length is set again when a body is
// written.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of a header without its hop-by-hop fields.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, names := range h["Connection"] {
		for _, name := range splitList(names) {
			out.Del(name)
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
