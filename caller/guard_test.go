package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/caller"
	"godwitplank/entry"
	"godwitplank/event"
	"godwitplank/memory"
	"godwitplank/timer"
)

const (
	maxHead = 16384
	maxBody = 4194304
)

// serve starts a server behind a guard that answers with the length of the body, and returns its address.
func serve(t *testing.T, g *caller.Guard) string {
	t.Helper()
	g.Clock, g.Log = timer.System, event.Logger{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, refusal := entry.ReadBody(w, r, maxBody)
		if refusal != nil {
			entry.WriteError(w, refusal)
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	})}
	g.Configure(server)
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(g.Listen(l, func() int { return maxHead })) })
	t.Cleanup(func() {
		_ = server.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

func open(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// answer reads a response and returns its status and body.
func answer(r *bufio.Reader) (int, string) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// requestHead returns a head of a number of bytes.
func requestHead(size, body int) string {
	start := fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nFiller: ", body)
	return start + strings.Repeat("x", size-len(start)-4) + "\r\n\r\n"
}

// Guards against limits that refuse a request of legal size, also one whose body has many lines and comes in parts, and
// against charges that stay after it.
func TestLegalRequests(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{Budget: memory.ForProcess(144, 4*maxBody), MaxConnections: 4, HeadTimeout: time.Second, BodyTimeout: time.Second, WriteTimeout: time.Second}
	c, r := open(t, serve(t, g))
	for range 5 {
		_, err := io.WriteString(c, requestHead(maxHead, maxBody)+strings.Repeat("\n", maxBody/2))
		is.NoErr(err)
		time.Sleep(300 * time.Millisecond)
		_, err = io.WriteString(c, strings.Repeat("\r\n", maxBody/4))
		is.NoErr(err)
		status, body := answer(r)
		is.Equal(status, 200)
		is.Equal(body, fmt.Sprint(maxBody))
	}
	_ = c.Close()
	for range 100 {
		if g.Budget.Usage().Used == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(g.Budget.Usage().Used, int64(0))
}

// Guards against a body without progress that is waited for without end.
func TestBodyTimeout(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{BodyTimeout: 200 * time.Millisecond}
	c, r := open(t, serve(t, g))
	_, err := io.WriteString(c, requestHead(200, 10)+"12345")
	is.NoErr(err)
	status, _ := answer(r)
	is.Equal(status, 400)
	is.Equal(g.Counts().BodyTimeout, int64(1))
}

// Guards against heads over the limit, with empty lines before them, and against a limit that also counts the body.
func TestHeadLimit(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{}
	addr := serve(t, g)
	for _, text := range []string{requestHead(maxHead+8<<10, 0), strings.Repeat("\r\n", 20<<10), "GET /" + strings.Repeat("x", 30<<10)} {
		c, r := open(t, addr)
		_, _ = io.WriteString(c, text)
		status, _ := answer(r)
		is.True(status != 200)
	}
}

// Guards against connections of one address that keep all others out: idle ones yield, and so do those of the address with
// the most that send a byte now and then.
func TestConnectionsYield(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{MaxConnections: 8}
	addr := serve(t, g)
	var idle []*bufio.Reader
	for range 20 {
		_, r := open(t, addr)
		idle = append(idle, r)
	}
	_, err := idle[0].ReadByte()
	is.True(err != nil) // the oldest was closed
	for range 8 {
		c, _ := open(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\n")
		is.NoErr(err)
	}
	for range 100 {
		if g.Counts().Head == 8 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(g.Counts().Head, int64(8))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	c, err := dialer.Dial("tcp", addr)
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, requestHead(200, 0))
	is.NoErr(err)
	status, _ := answer(bufio.NewReader(c))
	is.Equal(status, 200)
	is.Equal(g.Counts().Refused, int64(0))
}

// Guards against a request of a legal size that is refused while half-sent bodies hold the memory, and against a refusal
// without Retry-After.
func TestHalfSentBodiesYield(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{Budget: memory.NewBudget(24<<20, 16<<20)}
	addr := serve(t, g)
	for range 6 {
		c, _ := open(t, addr)
		_, _ = io.WriteString(c, requestHead(200, maxBody)+strings.Repeat("x", maxBody-1))
	}
	time.Sleep(memory.StallTime + 200*time.Millisecond)
	c, r := open(t, addr)
	_, _ = io.WriteString(c, requestHead(200, maxBody)+strings.Repeat("x", maxBody))
	status, body := answer(r)
	is.Equal(status, 200)
	is.Equal(body, fmt.Sprint(maxBody))
}

// Guards against a refusal that does not say that the request has not run, where there is no memory for its head.
func TestNoMemoryForHead(t *testing.T) {
	is := is.New(t)
	g := &caller.Guard{Budget: memory.NewBudget(40<<10, 40<<10)}
	c, r := open(t, serve(t, g))
	_, err := io.WriteString(c, requestHead(8<<10, 0))
	is.NoErr(err)
	response, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 503)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.Equal(g.Counts().NoMemory, int64(1))
}
