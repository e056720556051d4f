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
	// MaxOutputTokens is the maximum number of tokens in the response.
	MaxOutputTokens int
	// Prefix lists the parts of the prompt in order, for prefix cache affinity.
	Prefix []route.PromptPart
	// Pieces is the number of pieces of each stage; a stage with 0 pieces is skipped.
	Pieces []int
	// PieceKey is passed to the pieces of stages that take no results of other stages as input.
	PieceKey string
	// LastEventID is the id of the last event that the caller of a stream has received.
	LastEventID string
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
	// Inputs are the handles of the terminal stages' results. HasStages is true for a route with stages, even if Inputs
	// is nil.
	Inputs    []string
	HasStages bool
	// LastEventID is the id of the event after which the stream resumes.
	LastEventID string
}

// ResponseHeader is the decoded header of an endpoint's response.
type ResponseHeader struct {
	RequestID string
	// Sealed is true if the response carries the seal header, which endpoints set on each response that they wrote
	// themselves. A successful response without it is rejected, since an intermediary may have written it.
	Sealed bool
	// NotRun is true if the endpoint guarantees that it did not and will not run the request.
	NotRun bool
	// InputsGone is true if a stage result that the request needs no longer exists.
	InputsGone bool
	// Notice is what the response says about calls to come.
	Notice route.Notice
}

// Protocol translates between Gateway and the HTTP messages of callers and endpoints.
type Protocol interface {
	// DecodeRequest decodes the header of a request; the body is read later. It returns a fault for an invalid header.
	DecodeRequest(r *http.Request) (*Request, error)
	// EncodeCall encodes a call to an endpoint.
	EncodeCall(c *Call) *connection.Call
	// DecodeResponse decodes the status and header of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseHeader
	// WriteError writes an error response to a caller.
	WriteError(w http.ResponseWriter, requestID string, e *fault.Error)
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
