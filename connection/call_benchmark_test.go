package connection

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"godwitplank/timer"
)

// BenchmarkCall measures a short call on a connection that is reused.
func BenchmarkCall(b *testing.B) {
	is := is.New(b)
	p := &Pool{Clock: timer.System}
	call := &Call{Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"X": {"1"}}, Body: []byte("body")}
	response := []byte("HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:00:00 GMT\r\nContent-Type: application/json\r\nRequest-Id: 1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok")
	addr := listen(b, func(c net.Conn, r *bufio.Reader) {
		for {
			line, err := r.ReadSlice('\n')
			switch {
			case err != nil:
				return
			case len(line) == len("\r\n"):
				_, _ = r.Discard(len(call.Body))
				_, _ = c.Write(response)
			}
		}
	})
	b.ReportAllocs()
	for b.Loop() {
		_, _, _, err := roundTrip(p, addr, call)
		is.NoErr(err)
	}
}
