package gateway

import (
	"net/http"
	"time"

	"godwitplank/connection"
	"godwitplank/fault"
	"godwitplank/route"
)

// Request is a caller's raw request.
type Request struct {
	ID string
	// Key is the workspace key.
	Key string
	// Remaining is the time that the caller will wait, 0 if it does not say.
	Remaining time.Duration
	Method    string
	Host      string
	// Path selects the route; Target is the path and query as they go on the request line.
	Path   string
	Target string
	Model  string
	// OutputTokens is the largest number of tokens that the answer may have.
	OutputTokens int
	// Prefix lists the parts of the prompt in order.
	Prefix []route.Part
	// Pieces is the number of pieces of each stage; a stage of 0 pieces is left out.
	Pieces   []int
	PieceKey string
	// LastEvent is the last event that the caller of a resumed stream has.
	LastEvent string
	// Header is passed on to the endpoint.
	Header http.Header
	Body   []byte
}

// Call is what an endpoint is sent for a request.
type Call struct {
	*Request
	Endpoint  string
	Workspace string
	Remaining time.Duration
	// Inputs are the results of the stages that no other stage takes; nil for a route without stages.
	Inputs []string
	Staged bool
	// LastEvent is the event after which a stream goes on.
	LastEvent string
}

// Answer is what the header of an endpoint's answer says.
type Answer struct {
	RequestID string
	// Sealed is true where the endpoint vouches for the answer.
	Sealed bool
	// NotRun is true where the endpoint says that it did not run the request and never will.
	NotRun bool
	// InputsGone is true where a result of a stage no longer exists.
	InputsGone bool
}

// Protocol is how callers and endpoints are spoken to.
type Protocol interface {
	// Request decodes the header of a request; the body is read later.
	Request(r *http.Request) (*Request, error)
	// Call encodes what an endpoint is sent.
	Call(c *Call) *connection.Call
	// Answer decodes the header of an endpoint's answer.
	Answer(status int, h http.Header) Answer
	// Refuse answers a caller with an error.
	Refuse(w http.ResponseWriter, requestID string, e *fault.Error)
}

// perConnection are the headers that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// EndToEnd returns a copy of a header without what concerns one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, names := range h["Connection"] {
		for _, name := range splitList(names) {
			out.Del(name)
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}
