package connection

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/timer"
)

// An endpoint in trouble may send bytes without end where a response is due, until the caller closes. The call ends at a
// bound, long before its deadline, with little memory used, and the connection is closed.
func TestEndlessResponse(t *testing.T) {
	filler := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, begin, repeat string
	}{
		{"no status line", "", filler},
		{"a header line", "HTTP/1.1 200 OK\r\nA: ", filler},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n"},
		{"informational responses", "", "HTTP/1.1 102 Processing\r\nA: " + filler[:1000] + "\r\n\r\n"},
		{"a body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", filler},
		{"a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"},
		{"a chunk size line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;", filler},
		{"a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + filler + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan struct{})
			addr := listen(t, func(conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				_, _ = http.ReadRequest(r)
				_, err := conn.Write([]byte(c.begin))
				for err == nil {
					_, err = conn.Write([]byte(c.repeat))
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			pool := &Pool{Clock: timer.System}
			conn, err := pool.Open(ctx, key, addr, 0)
			is.NoErr(err)
			_, err = conn.Send(ctx, &Call{Method: http.MethodGet, Target: "/", Host: "h"})
			is.NoErr(err)
			const bodyLimit = 1 << 20
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			response, err := conn.Receive(http.MethodGet)
			if err == nil {
				_, err = ReadBody(response, bodyLimit)
			}
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.True(after.TotalAlloc-before.TotalAlloc < 16*bodyLimit)
			conn.Close()
			<-closed
			is.Equal(pool.connectionCount(key), 0)
		})
	}
}
