package connection

import (
	"bufio"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"

	"godwitplank/head"
)

// ReadResponse reads the head of the next response to a request with a method, from a buffer of h. It skips informational (1xx)
// responses. It returns a *head.Error for a head that is malformed or too large, and the error of the connection otherwise. The end of a
// body that has neither a length nor chunks is the end of h.
func ReadResponse(buffer *bufio.Reader, h *HeadReader, method string) (*http.Response, error) {
	h.startHead()
	defer h.endHead()
	h.request.Method = method
	for {
		h.lines = fieldScanner{}
		buffered, _ := buffer.Peek(buffer.Buffered())
		if malformed := h.lines.scan(buffered); malformed != nil {
			return nil, malformed
		}
		r, err := http.ReadResponse(buffer, &h.request)
		if err := h.checkRead(err); err != nil {
			return nil, err
		}
		if err := checkStatusLine(r); err != nil {
			return nil, err
		}
		if h.lines.encoded && !r.ProtoAtLeast(1, 1) {
			return nil, &head.Error{Part: "the version", Text: r.Proto, Reason: "has no transfer encodings; send a length, or HTTP/1.1"}
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

// checkRead returns the cause of an error of net/http's reader, as a *head.Error unless it is that of the connection. It also returns
// an error that net/http has passed over.
func (h *HeadReader) checkRead(err error) error {
	switch {
	case h.refused != nil:
		return h.refused
	case err == nil || h.failed:
		return err
	}
	return &head.Error{Part: "the head", Text: err.Error(), Reason: reasonUnreadable}
}

const reasonUnreadable = "does not follow RFC 9112; check what the endpoint sends"

// CheckResponse returns a *head.Error for a response whose head net/http has read, but which is malformed. ReadResponse also finds
// what net/http does not tell: lines that continue others, and transfer encodings of HTTP/1.0.
func CheckResponse(r *http.Response) error {
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &head.Error{Part: "the field name", Text: name, Reason: "is not a token; use letters, digits and hyphens"}
		}
	}
	return checkStatusLine(r)
}

// maxStatus is the largest status of RFC 9110, 15.
const maxStatus = 599

// checkStatusLine returns a *head.Error for another version than HTTP/1.x, an invalid status code, and a change of protocol,
// which no call asks for.
func checkStatusLine(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return &head.Error{Part: "the version", Text: r.Proto, Reason: "is not supported; use HTTP/1.1"}
	case r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus:
		return &head.Error{Part: "the status", Text: r.Status, Reason: "is not a status code; use 100 to " + strconv.Itoa(maxStatus)}
	case r.StatusCode == http.StatusSwitchingProtocols:
		return &head.Error{Part: "the status", Text: r.Status, Reason: "changes the protocol, which was not asked for; leave it out"}
	}
	return nil
}
