package connection

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/timer"
)

var key = Key{ID: "e", Incarnation: 1}

// listen starts a TCP server that runs serve for each connection until the test ends.
func listen(t testing.TB, serve func(c net.Conn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// respondWith returns a connection handler that writes the same response to each request.
func respondWith(response string) func(c net.Conn, r *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			buffer := make([]byte, 1<<20)
			for {
				if _, err := request.Body.Read(buffer); err != nil {
					break
				}
			}
			_, _ = c.Write([]byte(response))
		}
	}
}

func roundTrip(p *Pool, addr netip.AddrPort, call *Call) (*http.Response, string, bool, error) {
	c, err := p.Open(context.Background(), key, addr, 2)
	if err != nil {
		return nil, "", false, err
	}
	if _, err := c.Send(context.Background(), call); err != nil {
		c.Close()
		return nil, "", c.Reused, err
	}
	r, err := c.Receive(call.Method)
	if err != nil {
		c.Close()
		return nil, "", c.Reused, err
	}
	body, err := ReadBody(r, 1<<20)
	if err != nil {
		c.Close()
		return r, "", c.Reused, err
	}
	c.Release(r)
	return r, string(body), c.Reused, nil
}

var getCall = &Call{Method: http.MethodGet, Target: "/a?b", Host: "h", Header: http.Header{"X": {"1"}}}

// A connection is reused only after a complete response without Connection: close or extra bytes.
func TestReuse(t *testing.T) {
	for _, c := range []struct {
		name, response string
		body           string
		reused         bool
		wantErr        bool
	}{
		{"a complete response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true, false},
		{"an informational response first", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true, false},
		{"Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"extra bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", "ok", false, false},
		{"an idle timeout that expires at once", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0.001\r\nContent-Length: 2\r\n\r\nok", "ok", false, false},
		{"not an HTTP response", "what is this\r\n\r\n", "", false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Pool{Clock: timer.System}
			addr := listen(t, respondWith(c.response))
			for i := range 3 {
				_, body, reused, err := roundTrip(p, addr, getCall)
				is.Equal(err != nil, c.wantErr)
				is.Equal(body, c.body)
				is.Equal(reused, i > 0 && c.reused)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// A connection that the endpoint closes while it is idle is not reused.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	p := &Pool{Clock: timer.System}
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	})
	for range 3 {
		_, body, reused, err := roundTrip(p, addr, getCall)
		is.NoErr(err)
		is.Equal(body, "ok")
		is.True(!reused)
		for start := time.Now(); p.connectionCount(key) > 0; time.Sleep(time.Millisecond) {
			is.True(time.Since(start) < 5*time.Second)
		}
	}
}

// A truncated response is an error rather than a shorter body.
func TestTruncatedResponse(t *testing.T) {
	for name, response := range map[string]string{
		"content length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunked":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := listen(t, func(c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r)
				_, _ = c.Write([]byte(response))
			})
			p := &Pool{Clock: timer.System}
			_, _, _, err := roundTrip(p, addr, getCall)
			is.True(err != nil)
			is.Equal(p.connectionCount(key), 0)
		})
	}
}

// An endpoint may respond to a large call before reading it completely. The call does not block, and its connection is
// not reused.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = c.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"))
		time.Sleep(100 * time.Millisecond)
	})
	p := &Pool{Clock: timer.System}
	large := &Call{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(strings.Repeat("x", 32<<20))}
	r, body, _, err := roundTrip(p, addr, large)
	is.NoErr(err)
	is.Equal(r.StatusCode, 413)
	is.Equal(body, "no")
	is.Equal(p.connectionCount(key), 0)
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	p := &Pool{Clock: timer.System}
	addr := listen(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	a, err := p.Open(context.Background(), key, addr, 2)
	is.NoErr(err)
	_, err = p.Open(context.Background(), key, addr, 2)
	is.NoErr(err)
	_, err = p.Open(context.Background(), key, addr, 2)
	is.Equal(err, ErrConnectionLimit)
	a.Close()
	_, err = p.Open(context.Background(), key, addr, 2)
	is.NoErr(err)
}

// The connection of a call is closed when its context is cancelled.
func TestCancel(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := listen(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := &Pool{Clock: timer.System}
	ctx, cancel := context.WithCancel(context.Background())
	c, err := p.Open(ctx, key, addr, 2)
	is.NoErr(err)
	_, err = c.Send(ctx, getCall)
	is.NoErr(err)
	cancel()
	_, err = c.Receive(http.MethodGet)
	is.True(err != nil)
	<-closed // the endpoint sees the connection close
	c.Close()
}
