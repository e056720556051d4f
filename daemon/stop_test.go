package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request on a kept connection that arrives after a stop has begun is answered, and the response asks the caller to
// close the connection. Closing idle connections at the begin of the stop cut requests that were on their way.
func TestStopKeepsIdleConnections(t *testing.T) {
	is := is.New(t)
	var notice stopNotice
	server := httptest.NewServer(notice.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	reader := bufio.NewReader(conn)
	for _, wantClose := range []bool{false, true} {
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "answer")
		is.Equal(response.Close, wantClose)
		notice.begin()
	}
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF)
}
