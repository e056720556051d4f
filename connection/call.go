package connection

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"godwitplank/head"
)

// Call is one HTTP request to an endpoint. It is written unchanged, except that Content-Length is added.
type Call struct {
	Method string
	// Target is the path and query of the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ErrNotEncoded is returned for a call whose head cannot be encoded. No byte of it was sent.
var ErrNotEncoded = errors.New("the head of the call cannot be encoded")

// Check returns an error if Send would refuse to encode the call. It wraps ErrNotEncoded and a *head.Error.
func (c *Call) Check() error {
	if err := head.CheckRequest(c.Method, c.Target, c.Host, c.Header); err != nil {
		return fmt.Errorf("%w: %w", ErrNotEncoded, err)
	}
	return nil
}

// encodeHead returns the encoded head, or the error of Check.
func (c *Call) encodeHead() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	b.Grow(512 + min(len(c.Body), maxInlineBytes))
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for name, values := range c.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}
