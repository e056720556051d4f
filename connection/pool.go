// Package connection is a pool of HTTP/1.1 client connections to endpoints. Unlike net/http it never resends a call by
// itself, and it reports whether any byte of a call was sent, so that callers can decide whether a retry is safe.
package connection

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"godwitplank/timer"
)

// Timeouts and limits of connections.
const (
	// dialTimeout is several round trips between data centres, short enough that an unreachable endpoint delays a
	// request little.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes or keep-alive probes may stay unacknowledged before the kernel closes the
	// connection.
	tcpUserTimeout     = 2500 * time.Millisecond
	keepAliveIdle      = 2 * time.Second
	keepAliveInterval  = time.Second
	keepAliveCount     = 2
	readBufferBytes    = 4 << 10
	defaultIdleTimeout = 4 * time.Second
	idleTimeoutMargin  = 500 * time.Millisecond
	maxIdleTimeout     = 60 * time.Second
	minSweepEndpoints  = 16
)

// ErrConnectionLimit is returned by Open if this VM has the maximum number of connections to an endpoint.
var ErrConnectionLimit = errors.New("the endpoint has as many connections as it accepts from this VM; wait for one or use another endpoint")

// IsDialTimeout reports whether err is a dial timeout.
func IsDialTimeout(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial" && e.Timeout()
}

// Key identifies one incarnation of an endpoint, so that connections to an earlier incarnation are not reused.
type Key struct {
	ID          string
	Incarnation uint64
}

// Pool holds the connections to endpoints. Clock must be set before the first use. Its methods are safe for concurrent
// use.
type Pool struct {
	Clock timer.Clock
	// OnOpen, if set, is called for each new connection.
	OnOpen func()

	mu        sync.Mutex
	group     sync.WaitGroup
	endpoints map[Key]*endpointConns
}

// endpointConns holds the connections to one incarnation of an endpoint. total includes those in use.
type endpointConns struct {
	idle  []*Conn
	total int
}

// Open returns an idle connection or dials a new one. maxConns limits the connections to the endpoint, 0 means no
// limit. It returns ErrConnectionLimit at the limit, or the dial error.
func (p *Pool) Open(ctx context.Context, key Key, addr netip.AddrPort, maxConns int) (*Conn, error) {
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	if !p.reserve(key, maxConns) {
		return nil, ErrConnectionLimit
	}
	d := net.Dialer{
		Timeout: dialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	raw, err := dial(ctx, &d, "tcp4", addr.String())
	if err != nil {
		p.release(key)
		return nil, err
	}
	if p.OnOpen != nil {
		p.OnOpen()
	}
	head := &HeadReader{Reader: raw}
	return &Conn{OpenedAt: p.Clock.Now(), pool: p, key: key, raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func (p *Pool) takeIdle(key Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[key]
	if e == nil {
		return nil
	}
	now := p.Clock.Now()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		c.idle = false
		if now.Before(c.idleUntil) {
			c.Reused = true
			return c
		}
		p.markClosed(c)
		_ = c.raw.Close()
	}
	return nil
}

func (p *Pool) reserve(key Key, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = make(map[Key]*endpointConns)
	}
	e := p.endpoints[key]
	if e == nil {
		p.sweep()
		e = &endpointConns{}
		p.endpoints[key] = e
	}
	if maxConns > 0 && e.total >= maxConns {
		return false
	}
	e.total++
	return true
}

// sweep deletes the entries of endpoints without connections. Below minSweepEndpoints entries it does nothing.
func (p *Pool) sweep() {
	if len(p.endpoints) < minSweepEndpoints {
		return
	}
	for k, e := range p.endpoints {
		if e.total == 0 {
			delete(p.endpoints, k)
		}
	}
}

func (p *Pool) release(key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[key].total--
}

// put adds a connection to the idle list. It stops using the connection somewhat before the endpoint's idle timeout, so
// that a call is not sent just as the endpoint closes it. An idle timeout of 0 means the default.
func (p *Pool) put(c *Conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.watchIdle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.idle = true
	c.idleUntil = p.Clock.Now().Add(min(idleTimeout-min(idleTimeoutMargin, idleTimeout/4), maxIdleTimeout))
	e := p.endpoints[c.key]
	e.idle = append(e.idle, c)
}

// discardIdle closes and removes a connection that the endpoint closed, or sent unexpected bytes on, while it was idle.
// It does nothing for a connection in use.
func (p *Pool) discardIdle(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.idle {
		return
	}
	e := p.endpoints[c.key]
	for i, other := range e.idle {
		if other == c {
			e.idle = append(e.idle[:i], e.idle[i+1:]...)
			break
		}
	}
	c.idle = false
	p.markClosed(c)
	_ = c.raw.Close()
}

func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markClosed(c)
}

// markClosed subtracts a connection from the endpoint's total, only once. The caller holds p.mu.
func (p *Pool) markClosed(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	if e := p.endpoints[c.key]; e != nil {
		e.total--
	}
}

// connectionCount returns the number of connections to an endpoint, idle and in use.
func (p *Pool) connectionCount(key Key) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[key]; e != nil {
		return e.total
	}
	return 0
}
