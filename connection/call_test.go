package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"godwitplank/timer"
)

// A call with a line break in its head reached the endpoint as two requests, the first without its body. It is not sent, and the
// next call is read as it was written, with every byte that a value may hold.
func TestUnencodableCallIsNotSent(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var received []*http.Request
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.ReadAll(request.Body)
			mu.Lock()
			received = append(received, request)
			mu.Unlock()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := &Pool{Clock: timer.System}
	send := func(call *Call) (sent bool, err error) {
		c, err := p.Open(t.Context(), key, addr, 0)
		is.NoErr(err)
		if sent, err = c.Send(t.Context(), call); err != nil {
			c.Close()
			return sent, err
		}
		r, err := c.Receive(call.Method)
		is.NoErr(err)
		_, err = ReadBody(r, 10)
		is.NoErr(err)
		c.Release(r)
		return sent, err
	}
	for name, call := range map[string]*Call{
		"line feed in a value":         {Method: "POST", Target: "/", Host: "h", Header: http.Header{"A": {"b\n"}}, Body: []byte("body")},
		"field in a value":             {Method: "POST", Target: "/", Host: "h", Header: http.Header{"A": {"b\r\nC: d"}}, Body: []byte("body")},
		"line break in a name":         {Method: "POST", Target: "/", Host: "h", Header: http.Header{"A: b\r\nC": {"d"}}},
		"request in the target":        {Method: "GET", Target: "/ HTTP/1.1\r\n\r\nGET /other", Host: "h"},
		"field in the host":            {Method: "GET", Target: "/", Host: "h\r\nA: b"},
		"another length":               {Method: "POST", Target: "/", Host: "h", Header: http.Header{"Content-Length": {"0"}}, Body: []byte("body")},
		"request in the method":        {Method: "GET / HTTP/1.1\r\n\r\nPOST", Target: "/", Host: "h"},
		"a large body, written in two": {Method: "POST", Target: "/", Host: "h", Header: http.Header{"A": {"b\n"}}, Body: make([]byte, 2*maxInlineBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent, err := send(call)
			is.True(errors.Is(err, ErrNotEncoded))
			is.True(!sent)
		})
	}
	const value = "\t!#$%&'*+-.^_`|~\"(),/:;<=>?@[\\]{} 09azAZ\xc3\xbc\xff"
	sent, err := send(&Call{Method: "POST", Target: "/a?b=%0d%0a\xff", Host: "h.example:80", Header: http.Header{"A": {"x" + value, "y"}}, Body: []byte("body")})
	is.NoErr(err)
	is.True(sent)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(received), 1)
	is.Equal(received[0].RequestURI, "/a?b=%0d%0a\xff")
	is.Equal(received[0].Header["A"], []string{"x" + value, "y"})
	is.Equal(received[0].ContentLength, int64(4))
}

// A call that is encoded is read as it was written, with nothing left for another one; any other call is refused.
func FuzzCall(f *testing.F) {
	f.Add("POST", "/a?b=c", "h.example:80", "X-Own", "a, b", []byte("body"))
	f.Add("GET", "/", "[::1]:80", "X-Own", "a\r\nb: c", []byte{})
	f.Add("POST", "/ HTTP/1.1\r\n\r\nGET /", "h", "Content-Length", "0", []byte("body"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		is := is.New(t)
		c := &Call{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: body}
		message, err := c.encodeHead()
		if err != nil {
			is.True(errors.Is(err, ErrNotEncoded))
			return
		}
		reader := bufio.NewReader(bytes.NewReader(append(message, body...)))
		r, err := http.ReadRequest(reader)
		if err != nil {
			// Go's reader wants more of a target and a host than that they end where they should.
			is.True(!bytes.Contains(message[:len(message)-4], []byte("\r\n\r\n")))
			return
		}
		got, err := io.ReadAll(r.Body)
		is.NoErr(err)
		is.Equal(string(got), string(body))
		is.Equal(r.Method+" "+r.RequestURI, method+" "+target)
		is.Equal(r.Header[http.CanonicalHeaderKey(name)][0], strings.Trim(value, " \t"))
		is.Equal(reader.Buffered(), 0)
	})
}
