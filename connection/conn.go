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
	"syscall"
	"time"
)

// Conn is an HTTP/1.1 connection to an endpoint. It carries one call at a time, without pipelining.
type Conn struct {
	// Reused is true if the connection carried an earlier call.
	Reused bool
	// OpenedAt is when the connection was opened.
	OpenedAt time.Time

	pool   *Pool
	key    Key
	raw    *socket
	reader *bufio.Reader
	head   *HeadReader
	// idleRead receives the result of the read that watchIdle started; nil if there is none.
	idleRead chan error
	// idleUntil is the time from which an idle connection is no longer reused.
	idleUntil time.Time
	// written is true once the complete call was written.
	written atomic.Bool
	// stopCancel detaches the connection from the context of its call.
	stopCancel func() bool
	idle       bool
	closed     bool
}

// maxInlineBytes is the largest request that Send writes before it returns. A larger one is written in the background,
// since an endpoint may respond before it has read the request, and Receive has to read that response meanwhile.
const maxInlineBytes = 8 << 10

// Send writes a call and reports whether any byte may have reached the endpoint. The connection is closed when ctx
// ends. It returns an error that wraps ErrNotEncoded if the head of the call cannot be encoded.
func (c *Conn) Send(ctx context.Context, call *Call) (sent bool, err error) {
	message, err := call.encodeHead()
	if err != nil {
		return false, err
	}
	c.stopCancel = context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	if len(message)+len(call.Body) <= maxInlineBytes {
		n, err := c.raw.Write(append(message, call.Body...))
		c.written.Store(err == nil)
		return n > 0, err
	}
	c.written.Store(false)
	c.pool.group.Go(func() {
		// The body is not copied: a copy of every body in flight would double what a VM holds for its callers.
		err := c.raw.writeAll(net.Buffers{message, call.Body})
		c.written.Store(err == nil)
	})
	return true, nil
}

// Receive reads the head of the next response to a call with the given method, with the errors of ReadResponse.
func (c *Conn) Receive(method string) (*http.Response, error) {
	if c.idleRead != nil {
		err := <-c.idleRead
		c.idleRead = nil
		if err != nil {
			return nil, err
		}
	}
	return ReadResponse(c.reader, c.head, method)
}

// Release returns the connection to the pool after the response body was read to its end, or closes it if it is not
// reusable.
func (c *Conn) Release(r *http.Response) {
	if !c.stopCancel() || !c.reusable(r) {
		c.Close()
		return
	}
	c.pool.put(c, idleTimeoutOf(r))
}

// reusable reports whether the call was written and the response read completely. Leftover bytes of either would be
// taken for part of the next call or response.
func (c *Conn) reusable(r *http.Response) bool {
	return r != nil && !r.Close && c.reader.Buffered() == 0 && c.written.Load()
}

// Abort makes the call in flight fail. Unlike Close it may be called from another goroutine.
func (c *Conn) Abort() {
	_ = c.raw.Close()
}

// Close closes the connection, which cancels the call at the endpoint.
func (c *Conn) Close() {
	if c.stopCancel != nil {
		c.stopCancel()
	}
	_ = c.raw.Close()
	c.pool.remove(c)
}

// watchIdle starts a read on an idle connection, so that a connection that the endpoint closes leaves the idle list.
func (c *Conn) watchIdle() {
	idleRead := make(chan error, 1)
	c.idleRead = idleRead
	c.pool.group.Go(func() {
		_, err := c.reader.Peek(1)
		idleRead <- err
		c.pool.discardIdle(c)
	})
}

// idleTimeoutOf returns the timeout of the response's Keep-Alive header, 0 if there is none.
func idleTimeoutOf(r *http.Response) time.Duration {
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

// ClosedByEndpoint reports whether err, from Send, Receive or a response body, means that the endpoint closed or reset the
// connection before its response was complete. It is false if this VM closed it or gave up.
func ClosedByEndpoint(err error) bool {
	for _, closed := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, closed) {
			return true
		}
	}
	return false
}

// ReadBody reads a complete response body. It returns an error if the body exceeds limit bytes.
func ReadBody(r *http.Response, limit int64) ([]byte, error) {
	return ReadCharged(r, limit, Memory{})
}

// ReadCharged is ReadBody with a charge for each step of the buffer. It returns ErrNoMemory if a step cannot be charged.
func ReadCharged(r *http.Response, limit int64, m Memory) ([]byte, error) {
	body, err := ReadAll(io.LimitReader(r.Body, limit+1), r.ContentLength, limit, m)
	if err == nil && int64(len(body)) > limit {
		err = errors.New("the response is larger than the limit; check what the endpoint sends")
	}
	return body, err
}

// Memory charges the steps of a buffer. The zero value charges nothing.
type Memory struct {
	// Grow charges bytes before they are allocated, Shrink returns those of a buffer that is no longer referenced.
	Grow   func(n int64) error
	Shrink func(n int64)
}

// ErrNoMemory is returned if a step of a buffer cannot be charged.
var ErrNoMemory = errors.New("there is no memory for the body")

// minBufferBytes is the first step of a buffer.
const minBufferBytes = 512

// ReadAll reads a body of an expected size, negative if unknown, of which r returns at most limit+1 bytes. The buffer doubles at
// each step, up to the size or the limit, so that what is allocated follows the bytes that have arrived. After an error nothing
// stays charged.
func ReadAll(r io.Reader, size, limit int64, m Memory) ([]byte, error) {
	// One byte more than can arrive, so that the end is read without another step.
	largest := limit + 2
	if size >= 0 && size <= limit {
		largest = size + 1
	}
	var out []byte
	for {
		if len(out) == cap(out) {
			next := max(minBufferBytes, 2*int64(cap(out)))
			if int64(cap(out)) < largest {
				next = min(next, largest)
			}
			if m.Grow != nil && m.Grow(next) != nil {
				return nil, m.release(out, ErrNoMemory)
			}
			grown := make([]byte, len(out), next)
			copy(grown, out)
			_ = m.release(out, nil)
			out = grown
		}
		n, err := r.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, m.release(out, err)
		}
	}
}

// release returns the bytes of a buffer, and err.
func (m Memory) release(buffer []byte, err error) error {
	if m.Shrink != nil {
		m.Shrink(int64(cap(buffer)))
	}
	return err
}
