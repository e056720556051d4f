package connection

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"golang.org/x/net/http/httpguts"

	"godwitplank/head"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// readText reads the response to a POST request from a text, which arrives in whole or byte by byte.
func readText(text string, byByte bool) (r *http.Response, body []byte, rest string, err error) {
	var reader io.Reader = strings.NewReader(text)
	if byByte {
		reader = iotest.OneByteReader(reader)
	}
	h := &HeadReader{Reader: reader}
	buffer := bufio.NewReader(h)
	if r, err = ReadResponse(buffer, h, http.MethodPost); err != nil {
		return nil, nil, "", err
	}
	body, err = io.ReadAll(r.Body)
	left, _ := io.ReadAll(buffer)
	return r, body, string(left), err
}

// describeResponse returns the body and the end of the text that follows it, or the error.
func describeResponse(text string, byByte bool) string {
	r, body, rest, err := readText(text, byByte)
	var malformed *head.Error
	switch {
	case errors.As(err, &malformed):
		return "malformed: " + malformed.Error()
	case err != nil:
		return "broken off: " + err.Error()
	}
	return fmt.Sprintf("%d, body %q, rest %q", r.StatusCode, body, rest)
}

// Heads that are malformed, that end early, and that are unusual but valid. Each has the same verdict however it arrives.
func TestReadResponse(t *testing.T) {
	is := is.New(t)
	const end = "Content-Length: 2\r\n\r\nokREST"
	var out strings.Builder
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n" + end,
		"HTTP/1.1 200\r\n" + end,
		"HTTP/1.0 200 OK\r\n" + end,
		"HTTP/1.7 200 OK\r\n" + end,
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nokREST",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: a\r\nempty:\r\n" + end,
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=\"b c\"\r\nok\r\n0\r\nX-Own: a\r\n\r\nREST",
		"HTTP/1.1 200 OK\r\n\r\nX Own: a body\r\n",
		"HTTP/1.1 204 No Content\r\n\r\nREST",
		"HTTP/1.1 200 OK\r\nX Own: a\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own : a\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own\t: a\r\n" + end,
		"HTTP/1.1 200 OK\r\nX\x01Own: a\r\n" + end,
		"HTTP/1.1 200 OK\r\nX\xc3\xbc: a\r\n" + end,
		"HTTP/1.1 200 OK\r\n: a\r\n" + end,
		"HTTP/1.1 200 OK\r\n\r: a\r\n" + end,
		"HTTP/1.1 200 OK\r\n\rX-Own: a\r\n" + end,
		"HTTP/1.1 200 OK\r\n\r\r\n" + end,
		"HTTP/1.1 200 OK\r\nno colon\r\n" + end,
		"HTTP/1.1 200 OK\r\nno-colon\r\n" + end,
		"HTTP/1.1 200 OK\r\n Content-Length: 1\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own: a\r\n Content-Length: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Own: a\r\n\tb\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own: a\r\n \r\n" + end,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n" + end,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X", 100) + " : a\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own: a\x00\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Own: a\rb\r\n" + end,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + end,
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + end,
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", MaxHeadBytes) + "\r\n" + end,
		"HTTP/1.1 103 Early Hints\r\nX Own: a\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"HTTP/2.0 200 OK\r\n" + end,
		"HTTP/0.9 200 OK\r\n" + end,
		"HTTP/1.10 200 OK\r\n" + end,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 599 Unknown\r\n" + end,
		"HTTP/1.1 000 Unknown\r\n" + end,
		"HTTP/1.1 099 Unknown\r\n" + end,
		"HTTP/1.1 +20 OK\r\n" + end,
		"HTTP/1.1 600 Unknown\r\n" + end,
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + end,
		"what is this\r\n\r\n",
		"\r\n\r\n",
		"",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		verdict := describeResponse(text, false)
		is.Equal(verdict, describeResponse(text, true))
		name := fmt.Sprintf("%q", text)
		if len(text) > MaxHeadBytes {
			name = fmt.Sprintf("%.40q and so on, %d bytes", text, len(text))
		}
		fmt.Fprintf(&out, "%s\n  %s\n", name, verdict)
	}
	const path = "testdata/responses.golden"
	if *update {
		is.NoErr(os.WriteFile(path, []byte(out.String()), 0o644))
	}
	golden, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(out.String(), string(golden)) // run go test ./connection -update
}

// A response that is read has a head without anything malformed, and its verdict does not depend on how its bytes arrive.
func FuzzReadResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nX-Own : a\r\n b\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2;a\r\nok\r\n0\r\nA: b\r\n\r\n")
	f.Add("HTTP/1.0 000 A\r\nTransfer-Encoding: chunked\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		is := is.New(t)
		// Of several errors in a head, another one may be found first.
		whole, _, _ := strings.Cut(describeResponse(text, false), " ")
		byByte, _, _ := strings.Cut(describeResponse(text, true), " ")
		is.Equal(whole, byByte)
		r, _, _, err := readText(text, false)
		if err != nil {
			return
		}
		for name := range r.Header {
			is.True(httpguts.ValidHeaderFieldName(name))
		}
	})
}
