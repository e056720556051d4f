package connection

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"godwitplank/head"
)

// MaxHeadBytes limits the head of an endpoint's response, including informational (1xx) responses before it.
const MaxHeadBytes = 64 << 10

// HeadReader is a reader that checks the heads of responses as they pass, and fails at the first line that is malformed or once more
// than MaxHeadBytes were read since startHead. An endpoint in trouble may send a head without end. The zero value with a reader
// passes all bytes.
type HeadReader struct {
	Reader io.Reader

	limited bool
	left    int
	lines   fieldScanner
	// request has the method of the request, which the reader of a response needs.
	request http.Request
	// refused is the error of a malformed line or of the limit, and failed is true if the underlying reader has returned an error.
	// net/http may pass over either, or return another error.
	refused *head.Error
	failed  bool
}

// startHead begins to limit and to check the bytes that are read.
func (h *HeadReader) startHead() {
	h.limited, h.left = true, MaxHeadBytes
	h.refused, h.failed = nil, false
}

// endHead ends the limit and the check.
func (h *HeadReader) endHead() {
	h.limited = false
}

// Read reads from the underlying reader within the limit.
func (h *HeadReader) Read(b []byte) (int, error) {
	if !h.limited {
		return h.Reader.Read(b)
	}
	if h.refused == nil && h.left <= 0 {
		h.refused = &head.Error{Part: "the head up to the field", Text: string(h.lines.kept()), Reason: fmt.Sprintf("has more than %d bytes; check what the endpoint sends", MaxHeadBytes)}
	}
	if h.refused != nil {
		return 0, h.refused
	}
	n, err := h.Reader.Read(b[:min(len(b), h.left)])
	h.left -= n
	h.failed = err != nil
	if h.refused = h.lines.scan(b[:n]); h.refused != nil {
		return 0, h.refused
	}
	return n, err
}

// transferEncoding is a field that HTTP/1.0 does not have.
var transferEncoding = []byte("Transfer-Encoding")

// maxNameBytes is how much of a field's name is kept, for the error and the comparison with transferEncoding.
const maxNameBytes = 64

// fieldScanner checks the names of the fields in a head, which net/http's reader allows to have spaces, and refuses lines that
// continue the line before (obs-fold), as RFC 9112, 5.2, allows: what such a line holds may have been meant as a field.
// It takes the head in parts of any size. The zero value expects a status line.
type fieldScanner struct {
	position scanPosition
	// name is the beginning of the name in the current line, and length the number of its bytes.
	name   [maxNameBytes]byte
	length int
	// encoded is true if the head has the field Transfer-Encoding.
	encoded bool
}

// scanPosition is the part of the head that the next byte belongs to.
type scanPosition int

const (
	inStatusLine scanPosition = iota
	inName
	// inEmptyLine is after a carriage return at the beginning of a line.
	inEmptyLine
	inValue
	inBody
)

// scan checks the next part of the head and ignores what follows the head. It returns an error for a malformed line.
func (s *fieldScanner) scan(part []byte) *head.Error {
	for len(part) > 0 {
		switch s.position {
		case inStatusLine, inValue:
			end := bytes.IndexByte(part, '\n')
			if end < 0 {
				return nil
			}
			part = part[end+1:]
			s.position, s.length = inName, 0
		case inName:
			n := 0
			for n < len(part) && httpguts.IsTokenRune(rune(part[n])) {
				n++
			}
			s.keep(part[:n])
			if part = part[n:]; len(part) == 0 {
				return nil
			}
			if malformed := s.endName(part[0]); malformed != nil {
				return malformed
			}
			part = part[1:]
		case inEmptyLine:
			if part[0] != '\n' {
				s.keep([]byte{'\r'})
				return s.malformed(part[0], reasonNoToken)
			}
			s.position = inBody
		case inBody:
			return nil
		}
	}
	return nil
}

const (
	reasonNoToken = "is not a token with a colon behind it; use letters, digits and hyphens"
	reasonFolded  = "continues the line before; write each field in a line of its own"
)

// endName handles the first byte behind a name, which is empty in the empty line at the end of the head.
func (s *fieldScanner) endName(c byte) *head.Error {
	switch {
	case c == ':' && s.length > 0:
		s.encoded = s.encoded || bytes.EqualFold(s.kept(), transferEncoding)
		s.position = inValue
	case c == '\r' && s.length == 0:
		s.position = inEmptyLine
	case c == '\n' && s.length == 0:
		s.position = inBody
	case s.length == 0 && (c == ' ' || c == '\t'):
		return s.malformed(c, reasonFolded)
	default:
		return s.malformed(c, reasonNoToken)
	}
	return nil
}

// keep adds bytes to the name, whose beginning is kept.
func (s *fieldScanner) keep(name []byte) {
	copy(s.name[min(s.length, len(s.name)):], name)
	s.length += len(name)
}

func (s *fieldScanner) kept() []byte {
	return s.name[:min(s.length, len(s.name))]
}

// malformed returns the error of the line that c belongs to.
func (s *fieldScanner) malformed(c byte, reason string) *head.Error {
	s.keep([]byte{c})
	return &head.Error{Part: "the field name", Text: string(s.kept()), Reason: reason}
}
