package connection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"godwitplank/head"
)

// sendWith sends a request with a body over a transport and returns the body of the response.
func sendWith(t *testing.T, transport http.RoundTripper, url string, body []byte) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

func newTransport() *Transport {
	return &Transport{Base: &http.Transport{DialContext: DialContext(&net.Dialer{Timeout: dialTimeout})}}
}

// Part of a response that is reset while a long request is being written is no whole response, and one that ends in order is. net/http
// alone reads one part of 30 as whole, so that 200 tries miss it once in 900 runs.
func TestTransportSeesResets(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset":    {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"in order": {func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, func(raw net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(raw, "HTTP/1.1 200 OK\r\n\r\ntext")
				c.end(raw.(*net.TCPConn))
			})
			for range 200 {
				text, err := sendWith(t, newTransport(), "http://"+addr.String(), make([]byte, 3<<20))
				is.Equal(err == nil, c.whole)
				is.Equal(err == nil, text == "text" && c.whole)
			}
		})
	}
}

func TestTransportRefusesMalformedHeads(t *testing.T) {
	for _, begin := range []string{
		"HTTP/1.1 200 OK\r\nX Own: a\r\n", "HTTP/1.1 200 OK\r\nX-Own : a\r\n", "HTTP/1.1 200 OK\r\nX\x01Own: a\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 600 Unknown\r\n", "HTTP/1.1 101 Switching Protocols\r\n",
	} {
		t.Run(strings.TrimSpace(begin), func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, respondWith(begin+"Content-Length: 2\r\n\r\nok"))
			_, err := sendWith(t, newTransport(), "http://"+addr.String(), []byte("body"))
			var malformed *head.Error
			is.True(errors.As(err, &malformed))
		})
	}
}
