// Package caller bounds what connections of callers may take: their number, their heads, and their time without progress.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"godwitplank/event"
	"godwitplank/memory"
	"godwitplank/timer"
)

const (
	// ownHeadBytes bounds the head of a request on the listeners whose limit is not in the document.
	ownHeadBytes = 32 << 10
	// headSlack is allowed in addition to the limit, for the request line and empty lines before it.
	headSlack = 4 << 10
	// lineBytes and headFactor are the decoded size of a line of a head and of each byte: the field in its map, and the copies
	// that are forwarded.
	lineBytes, headFactor = 256, 4
	// connectionBytes is what a connection takes without a request: buffers and stacks.
	connectionBytes = 24 << 10
	// progressBytes is how much a caller has to send within memory.StallTime for that to count as progress.
	progressBytes = 2 << 10
	// writeBytes is written at once, so that each part has its own time limit.
	writeBytes = 64 << 10
	// headGrace is how old an unfinished head is before it may yield to a new connection. Callers have 3 s for a head, so a
	// shorter one would close ordinary connections.
	headGrace = 3 * time.Second
	// logInterval is the least time between two log lines on refusals.
	logInterval = time.Second
)

var errHeadTooLarge = errors.New("the head of the request is larger than the limit")

// Guard bounds the connections of all callers' listeners of a VM. Set the exported fields before use.
type Guard struct {
	Budget *memory.Budget
	// MaxConnections is the number of connections of all listeners together, 0 for no limit.
	MaxConnections int
	// HeadTimeout is the time for a head, BodyTimeout for each part of a body, WriteTimeout for each part of a response, and
	// IdleTimeout between two requests. 0 means no limit.
	HeadTimeout, BodyTimeout, WriteTimeout, IdleTimeout time.Duration
	Clock                                               timer.Clock
	Log                                                 event.Logger

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	counts   Counts
	loggedAt time.Time
}

// Counts are the numbers of connections by state and of those that were refused or closed, by cause.
type Counts struct {
	Idle, Head, Body, Running, Writing                       int64
	Refused, Yielded, HeadTooLarge, BodyTimeout, HeadTimeout int64
	WriteTimeout, NoMemory                                   int64
}

// state is what a connection does.
type state int

const (
	idle state = iota
	head
	running
	body
	writing
)

// Conn is the connection of a caller.
type Conn struct {
	net.Conn
	guard   *Guard
	addr    netip.Addr
	limit   func() int
	Account *memory.Account

	// headScan is used by the reader in the state head only.
	headScan headScan
	// readingHead and readingBody say what the bytes read belong to. Between the two net/http reads to notice a caller that
	// disconnects.
	readingHead, readingBody atomic.Bool

	// The guard's mutex guards the rest.
	state     state
	since     time.Time
	yielded   bool
	progress  int
	closeOnce sync.Once
}

// listener wraps the connections of a listener.
type listener struct {
	net.Listener
	guard *Guard
	limit func() int
}

// Listen returns a listener whose connections the guard bounds. limit returns the largest head, 0 for the default.
func (g *Guard) Listen(l net.Listener, limit func() int) net.Listener {
	return &listener{l, g, limit}
}

// Accept closes connections that it cannot hold and returns the next one that it can.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw, l.limit); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (g *Guard) admit(raw net.Conn, limit func() int) *Conn {
	now := g.Clock.Now()
	c := &Conn{Conn: raw, guard: g, limit: limit, since: now, state: idle}
	c.readingHead.Store(true)
	if a, ok := raw.RemoteAddr().(*net.TCPAddr); ok {
		c.addr = a.AddrPort().Addr().Unmap()
	}
	c.Account = g.Budget.Open(c.addr, now, c.yield)
	if err := c.Account.Grow(now, connectionBytes); err != nil {
		c.Account.Close()
		g.count(func(n *Counts) { n.NoMemory++ }, "no memory")
		return nil
	}
	g.mu.Lock()
	var oldest *Conn
	full := g.MaxConnections > 0 && len(g.conns) >= g.MaxConnections
	if full {
		if oldest = g.chooseYielding(now); oldest == nil {
			oldest = g.chooseOfLargest(c.addr)
		}
	}
	if full && oldest == nil {
		g.mu.Unlock()
		c.Account.Close()
		g.count(func(n *Counts) { n.Refused++ }, "too many connections")
		return nil
	}
	if g.conns == nil {
		g.conns = make(map[*Conn]struct{})
	}
	g.conns[c] = struct{}{}
	if oldest != nil {
		oldest.yielded = true
		delete(g.conns, oldest)
	}
	g.mu.Unlock()
	if oldest != nil {
		oldest.yield()
		g.count(func(n *Counts) { n.Yielded++ }, "yielded to a new connection")
	}
	return c
}

// chooseYielding returns the connection that yields to a new one: the oldest idle one, else the one that has waited longest
// for its caller without progress; nil if there is none.
func (g *Guard) chooseYielding(now time.Time) *Conn {
	var out *Conn
	for c := range g.conns {
		switch {
		case c.state == running || c.yielded:
		case c.state == head && now.Sub(c.since) < headGrace:
		case (c.state == body || c.state == writing) && now.Sub(c.since) < memory.StallTime:
		case out == nil || (c.state == idle) != (out.state == idle):
			if out == nil || c.state == idle {
				out = c
			}
		case c.since.Before(out.since):
			out = c
		}
	}
	return out
}

// chooseOfLargest returns the oldest connection without a running request of the address with the most connections, nil if
// that has hardly more than the address of the new connection. Callers that send a byte now and then make progress, so that
// otherwise they could keep all others out.
func (g *Guard) chooseOfLargest(newcomer netip.Addr) *Conn {
	counts := make(map[netip.Addr]int)
	for c := range g.conns {
		counts[c.addr]++
	}
	var out *Conn
	for c := range g.conns {
		switch {
		case c.state == running || c.yielded || counts[c.addr] <= counts[newcomer]+1:
		case out == nil || counts[c.addr] > counts[out.addr]:
			out = c
		case counts[c.addr] == counts[out.addr] && c.since.Before(out.since):
			out = c
		}
	}
	return out
}

// yield closes the connection, which makes net/http end its request.
func (c *Conn) yield() {
	_ = c.Conn.Close()
}

func (g *Guard) count(add func(*Counts), cause string) {
	now := g.Clock.Now()
	g.mu.Lock()
	add(&g.counts)
	due := now.Sub(g.loggedAt) >= logInterval
	if due {
		g.loggedAt = now
	}
	counts := g.counts
	g.mu.Unlock()
	if due {
		g.Log.Log(event.CallersBounded, "cause", cause, "refused", counts.Refused, "yielded", counts.Yielded, "heads", counts.HeadTooLarge,
			"no_memory", counts.NoMemory, "body_timeouts", counts.BodyTimeout, "write_timeouts", counts.WriteTimeout)
	}
}

// Counts returns the present numbers.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.counts
	for c := range g.conns {
		switch c.state {
		case idle:
			out.Idle++
		case head:
			out.Head++
		case body:
			out.Body++
		case writing:
			out.Writing++
		case running:
			out.Running++
		}
	}
	return out
}

// setState sets what the connection does.
func (c *Conn) setState(s state) {
	now := c.guard.Clock.Now()
	c.guard.mu.Lock()
	c.state, c.since, c.progress = s, now, 0
	c.guard.mu.Unlock()
	c.Account.Wait(now, s == body || s == writing)
}

// Read reads from the caller. In a head it counts the bytes and lines, including those before the request, and charges what
// they take once decoded.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		if c.readingHead.Load() && c.headScan.bytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			c.guard.count(func(n *Counts) { n.HeadTimeout++ }, "head timeout")
		}
		return n, err
	}
	if c.readingHead.Load() {
		return c.readHead(p[:n], err)
	}
	if c.readingBody.Load() {
		c.guard.mu.Lock()
		c.progress += n
		enough := c.progress >= progressBytes
		c.guard.mu.Unlock()
		if enough {
			c.setState(body)
		}
	}
	return n, err
}

// headScan counts the bytes of a head, including empty lines before the request line.
type headScan struct {
	bytes int
	// lineBytes is the length of the present line; begun is true after the first line that is not empty, ended after the
	// empty line that ends the head.
	lineBytes    int
	begun, ended bool
}

// add scans the next bytes and returns how many of them and of their lines belong to the head.
func (h *headScan) add(p []byte) (count, lines int) {
	for _, b := range p {
		if h.ended {
			break
		}
		count++
		switch {
		case b == '\n':
			lines++
			h.ended = h.begun && h.lineBytes == 0
			h.lineBytes = 0
		case b != '\r':
			h.lineBytes++
			h.begun = true
		}
	}
	h.bytes += count
	return count, lines
}

func (c *Conn) readHead(p []byte, err error) (int, error) {
	if c.headScan.bytes == 0 {
		c.setState(head)
	}
	count, lines := c.headScan.add(p)
	limit := c.limit()
	if limit <= 0 && c.Account != nil {
		limit = ownHeadBytes
	}
	if limit > 0 && c.headScan.bytes > limit+headSlack {
		c.guard.count(func(n *Counts) { n.HeadTooLarge++ }, "head too large")
		return 0, errHeadTooLarge
	}
	if c.Account.Grow(c.guard.Clock.Now(), int64(count*headFactor+lines*lineBytes)) != nil {
		c.guard.count(func(n *Counts) { n.NoMemory++ }, "no memory")
		// The request has not been parsed, so net/http cannot refuse it. After io.EOF it closes the connection without a response.
		_ = c.SetWriteDeadline(c.guard.Clock.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, busyResponse)
		return 0, io.EOF
	}
	return len(p), err
}

// busyResponse refuses a request whose head there is no memory for. It fits into the send buffer of any connection whose caller
// has read earlier responses; refusalTimeout is for others.
const (
	busyResponse   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusalTimeout = 100 * time.Millisecond
)

// Write writes to the caller in parts, each of which has WriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.swapState(writing)
	defer c.swapState(before)
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		if written > 0 {
			c.setState(writing)
		}
		if c.guard.WriteTimeout > 0 {
			_ = c.SetWriteDeadline(c.guard.Clock.Now().Add(c.guard.WriteTimeout))
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				c.guard.count(func(n *Counts) { n.WriteTimeout++ }, "write timeout")
			}
			return written, err
		}
		if written >= len(p) {
			return written, nil
		}
	}
}

func (c *Conn) swapState(s state) state {
	c.guard.mu.Lock()
	before := c.state
	c.guard.mu.Unlock()
	c.setState(s)
	return before
}

// CloseWrite closes the sending side, which net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what was charged for it.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.guard.mu.Lock()
		delete(c.guard.conns, c)
		c.guard.mu.Unlock()
	})
	return c.Conn.Close()
}

type contextKey struct{}

// Configure makes a server report the states of its connections to the guard.
func (g *Guard) Configure(s *http.Server) {
	s.ReadHeaderTimeout = g.HeadTimeout
	s.IdleTimeout = g.IdleTimeout
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, contextKey{}, c) }
	s.ConnState = func(raw net.Conn, to http.ConnState) {
		c, ok := raw.(*Conn)
		if !ok {
			return
		}
		switch to {
		case http.StateActive:
			c.readingHead.Store(false)
			c.headScan = headScan{}
			c.setState(running)
		case http.StateIdle:
			c.readingHead.Store(true)
			c.Account.ShrinkTo(connectionBytes)
			c.setState(idle)
		case http.StateClosed, http.StateHijacked:
			c.Account.Close()
		}
	}
}

// Of returns the connection that the request of a context came on, nil if no guard is in use.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// BeginBody and EndBody enclose the reads of a body, which have to make progress.
func (c *Conn) BeginBody() {
	if c != nil {
		c.readingBody.Store(true)
		c.setState(body)
	}
}

// EndBody ends what BeginBody began.
func (c *Conn) EndBody() {
	if c != nil {
		c.readingBody.Store(false)
		c.setState(running)
	}
}

// BodyDeadline returns the time by which the next part of a body has to arrive, zero for none.
func (c *Conn) BodyDeadline() time.Time {
	if c == nil || c.guard.BodyTimeout <= 0 {
		return time.Time{}
	}
	return c.guard.Clock.Now().Add(c.guard.BodyTimeout)
}

// CountBodyTimeout counts a body that made no progress in time.
func (c *Conn) CountBodyTimeout() {
	if c != nil {
		c.guard.count(func(n *Counts) { n.BodyTimeout++ }, "body timeout")
	}
}

// growWait is how long a request waits for memory before it is refused: long enough for connections that yield to close.
const growWait = 500 * time.Millisecond

// Grow charges n bytes for the request and waits for memory until ctx ends, at most for growWait.
func (c *Conn) Grow(ctx context.Context, n int64) error {
	if c == nil || c.Account == nil {
		return nil
	}
	if err := c.Account.Grow(c.guard.Clock.Now(), n); err == nil || errors.Is(err, memory.ErrClosed) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, growWait)
	defer cancel()
	for {
		freed := c.Account.Freed()
		err := c.Account.Grow(c.guard.Clock.Now(), n)
		if err == nil || errors.Is(err, memory.ErrClosed) {
			return err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			c.guard.count(func(n *Counts) { n.NoMemory++ }, "no memory")
			return err
		}
	}
}

// Fits reports whether n bytes could be charged if nothing else were.
func (c *Conn) Fits(n int64) bool {
	return c == nil || c.guard.Budget == nil || n <= c.guard.Budget.Largest()
}

// Shrink returns n bytes that are no longer referenced.
func (c *Conn) Shrink(n int64) {
	if c != nil {
		c.Account.Shrink(n)
	}
}
