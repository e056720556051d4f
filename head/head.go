// Package head checks the texts that go into the head of an HTTP message. Many of them come from another party than the message
// goes to, such as a reference that one endpoint returns and another one needs, and a line break in one would end the head.
// What a name and a value may hold follows RFC 9110, 5.1, 5.5 and 5.6.
package head

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MaxValueBytes limits a text of one party that is passed to another in a field of its own or in a list, in bytes.
const MaxValueBytes = 1 << 10

// Error is the error of a text that cannot be sent in a head.
type Error struct {
	// Part names what the text is, for example a field of the head.
	Part string
	Text string
	// Reason says what is wrong with the text and what is allowed.
	Reason string
}

// Error returns the part, the beginning of the text in quotes and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s %s", e.Part, e.Quoted(), e.Reason)
}

// Quoted returns the beginning of the text in quotes, for logs and messages.
func (e *Error) Quoted() string {
	return fmt.Sprintf("%.50q", e.Text)
}

const (
	reasonControl  = "has a control character; use visible characters, and spaces between them"
	reasonReserved = "is set from the call itself; leave it out"
)

// CheckValue returns an *Error for a text that cannot be the value of a field, or that the reader of the head would get changed.
// The empty text is valid.
func CheckValue(part, text string) error {
	switch {
	case len(text) > MaxValueBytes:
		return &Error{part, text, fmt.Sprintf("has %d bytes; use at most %d", len(text), MaxValueBytes)}
	case !httpguts.ValidHeaderFieldValue(text):
		return &Error{part, text, reasonControl}
	case strings.Trim(text, " \t") != text:
		return &Error{part, text, "begins or ends with a space, which the reader of a head removes; leave it out"}
	}
	return nil
}

// CheckElement returns an *Error for a text that cannot be an element of a field with a comma-separated list.
func CheckElement(part, text string) error {
	switch {
	case text == "":
		return &Error{part, text, "is empty; a list has no empty elements"}
	case strings.Contains(text, ","):
		return &Error{part, text, "has a comma, which separates the elements of a list; leave it out"}
	}
	return CheckValue(part, text)
}

// framingFields are written from the host and the body of a request.
var framingFields = []string{"Host", "Content-Length", "Transfer-Encoding"}

// CheckRequest returns an *Error for a request whose head its reader could not read, or could take for something else. The length
// of the values is not limited.
func CheckRequest(method, target, host string, h http.Header) error {
	switch {
	case !httpguts.ValidHeaderFieldName(method):
		return &Error{"the method", method, "is not a token; use letters"}
	case target == "" || strings.ContainsFunc(target, isSpaceOrControl):
		return &Error{"the target", target, "is empty or has a space or control character; use percent-encoding"}
	case !httpguts.ValidHostHeader(host):
		return &Error{"the host", host, "is not a host; use a name or address with an optional port"}
	}
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &Error{"the field name", name, "is not a token; use letters, digits and hyphens"}
		}
		if slices.ContainsFunc(framingFields, func(framing string) bool { return strings.EqualFold(framing, name) }) {
			return &Error{"the field name", name, reasonReserved}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return &Error{"the field " + name, v, reasonControl}
			}
		}
	}
	return nil
}

func isSpaceOrControl(r rune) bool {
	return r <= ' ' || r == '\x7f'
}
