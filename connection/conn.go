package connection

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Call is one request to an endpoint. It is written as it stands; nothing is added but the length of the body.
type Call struct {
	Method string
	// Target is the path and query, as they go on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is one HTTP/1.1 connection to an endpoint, used for one call at a time.
type Conn struct {
	// Reused is true if the connection served a call before.
	Reused bool

	pool   *Pool
	key    Key
	raw    net.Conn
	reader *bufio.Reader
	// first gets the end of the wait for the next byte; it is nil while nobody waits.
	first chan error
	// idleUntil is when an idle connection is no longer used.
	idleUntil time.Time
	// wrote is true once the whole call was written.
	wrote  atomic.Bool
	stop   func() bool
	idle   bool
	closed bool
}

// inlineBytes is the largest request that is written before its answer is read. A larger one may be answered early.
const inlineBytes = 8 << 10

// Send writes a call. It reports whether any byte may have reached the endpoint.
func (c *Conn) Send(ctx context.Context, call *Call) (sent bool, err error) {
	c.stop = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	text := call.encode()
	if len(text) <= inlineBytes {
		n, err := c.raw.Write(text)
		c.wrote.Store(err == nil)
		return n > 0, err
	}
	c.wrote.Store(false)
	c.pool.group.Go(func() {
		_, err := c.raw.Write(text)
		c.wrote.Store(err == nil)
	})
	return true, nil
}

func (c *Call) encode() []byte {
	var b strings.Builder
	b.Grow(512 + len(c.Body))
	b.WriteString(c.Method + " " + c.Target + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for name, values := range c.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(c.Body) > 0 || (c.Method != http.MethodGet && c.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return []byte(b.String())
}

// Receive reads the header of the next answer. Informational answers are skipped.
func (c *Conn) Receive(method string) (*http.Response, error) {
	if c.first != nil {
		err := <-c.first
		c.first = nil
		if err != nil {
			return nil, err
		}
	}
	for {
		r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || r.StatusCode >= http.StatusOK {
			return r, err
		}
	}
}

// Release gives the connection back after its answer was read whole; one that cannot be used again is closed.
func (c *Conn) Release(r *http.Response) {
	if !c.stop() || !c.finished(r) {
		c.Close()
		return
	}
	c.pool.put(c, keepAlive(r))
}

// finished reports whether both sides are done: what is left of a call or of an answer would belong to the next one.
func (c *Conn) finished(r *http.Response) bool {
	return r != nil && !r.Close && c.reader.Buffered() == 0 && c.wrote.Load()
}

// Abort ends the call that is in flight with an error. Unlike Close it may be called from another goroutine.
func (c *Conn) Abort() {
	_ = c.raw.Close()
}

// Close closes the connection, which cancels the call at the endpoint.
func (c *Conn) Close() {
	if c.stop != nil {
		c.stop()
	}
	_ = c.raw.Close()
	c.pool.drop(c)
}

// watch waits for a byte or the end on an idle connection, so that a closed one is not used again.
func (c *Conn) watch() {
	first := make(chan error, 1)
	c.first = first
	c.pool.group.Go(func() {
		_, err := c.reader.Peek(1)
		first <- err
		c.pool.woke(c)
	})
}

// keepAlive returns how long the endpoint says that it keeps an idle connection, 0 if it does not say.
func keepAlive(r *http.Response) time.Duration {
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}

// ReadBody reads an answer's body whole, up to a size.
func ReadBody(r *http.Response, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = errors.New("the answer is larger than the limit")
	}
	return body, err
}
