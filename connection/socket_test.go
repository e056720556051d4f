package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/timer"
)

// sharedErrorConn tells the error of the connection to the write in progress, so that reads see an end of file, as the kernel does
// if the write comes first. It has no TCP state that could be asked for.
type sharedErrorConn struct {
	net.Conn
	response io.Reader
	// writeError is the error of the write, and told is closed when the write has got it.
	writeError error
	told       chan struct{}
}

func (c *sharedErrorConn) Read(b []byte) (int, error) {
	n, err := c.response.Read(b)
	if err == io.EOF {
		<-c.told
	}
	return n, err
}

func (c *sharedErrorConn) Write([]byte) (int, error) {
	close(c.told)
	time.Sleep(time.Millisecond) // the read returns first
	return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", c.writeError)}
}

func (c *sharedErrorConn) Close() error { return nil }

// A response that ends with its connection is whole only if the connection ended in order, which the write in progress may be the
// only one to know.
func TestEndOfFileAfterWriteError(t *testing.T) {
	for _, c := range []struct {
		writeError error
		whole      bool
	}{
		{syscall.ECONNRESET, false},
		{syscall.ETIMEDOUT, false},
		{syscall.EHOSTUNREACH, false},
		// The kernel's error of a connection that was reset after its peer had ended its side in order.
		{syscall.EPIPE, true},
	} {
		t.Run(c.writeError.Error(), func(t *testing.T) {
			is := is.New(t)
			raw := &sharedErrorConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"), writeError: c.writeError, told: make(chan struct{})}
			s := &socket{Conn: raw}
			h := &HeadReader{Reader: s}
			conn := &Conn{pool: &Pool{Clock: timer.System}, raw: s, head: h, reader: bufio.NewReader(h)}
			_, err := conn.Send(t.Context(), &Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 2*maxInlineBytes)})
			is.NoErr(err)
			r, err := conn.Receive(http.MethodPost)
			is.NoErr(err)
			body, err := ReadBody(r, 10)
			is.Equal(err == nil, c.whole)
			is.Equal(ClosedByEndpoint(err), c.writeError == syscall.ECONNRESET)
			is.Equal(string(body) == "part", c.whole)
		})
	}
}

// With real connections the write is told of the reset for certain, since the response is read later.
func TestResponseReadAfterReset(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	addr := listen(t, func(c net.Conn, r *bufio.Reader) {
		defer close(closed)
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	c, err := (&Pool{Clock: timer.System}).Open(t.Context(), key, addr, 0)
	is.NoErr(err)
	defer c.Close()
	_, err = c.Send(t.Context(), &Call{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 32<<20)})
	is.NoErr(err)
	<-closed
	c.pool.group.Wait() // the write has ended
	r, err := c.Receive(http.MethodPost)
	is.NoErr(err)
	body, err := ReadBody(r, 10)
	is.True(ClosedByEndpoint(err))
	is.Equal(len(body), 0)
}
