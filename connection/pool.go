// Package connection has the HTTP/1.1 connections to endpoints. It sends each call once and says what was sent.
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

// Times of connections.
const (
	// dialTimeout is several round trips between data centres, so that an endpoint that is gone costs little.
	dialTimeout = 400 * time.Millisecond
	// silentAfter is how long an unanswered byte or probe may take before the connection counts as dead.
	silentAfter  = 2500 * time.Millisecond
	probeIdle    = 2 * time.Second
	probePause   = time.Second
	probeMisses  = 2
	readerBytes  = 4 << 10
	defaultIdle  = 4 * time.Second
	idleMargin   = 500 * time.Millisecond
	longestIdle  = 60 * time.Second
	sweepMinimum = 16
)

// ErrFull is returned where an endpoint has as many connections as it accepts from this VM.
var ErrFull = errors.New("the endpoint has as many connections as it accepts from this VM; wait for one or use another endpoint")

// TimedOut reports whether a connection could not be made because nothing answered.
func TimedOut(err error) bool {
	var e *net.OpError
	return errors.As(err, &e) && e.Op == "dial" && e.Timeout()
}

// Key names one incarnation of an endpoint.
type Key struct {
	ID          string
	Incarnation uint64
}

// Pool keeps the connections to endpoints. The zero value is ready.
type Pool struct {
	Clock timer.Clock
	// Opened counts new connections, if set.
	Opened func()

	mu        sync.Mutex
	group     sync.WaitGroup
	endpoints map[Key]*endpoint
}

// endpoint has the connections to one incarnation of an endpoint.
type endpoint struct {
	idle  []*Conn
	total int
}

// Open returns an idle connection or makes one; most bounds the connections to the endpoint, 0 for no limit.
func (p *Pool) Open(ctx context.Context, key Key, addr netip.AddrPort, most int) (*Conn, error) {
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	if !p.reserve(key, most) {
		return nil, ErrFull
	}
	d := net.Dialer{
		Timeout: dialTimeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probePause, Count: probeMisses},
	}
	raw, err := d.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		p.release(key)
		return nil, err
	}
	if p.Opened != nil {
		p.Opened()
	}
	return &Conn{pool: p, key: key, raw: raw, reader: bufio.NewReaderSize(raw, readerBytes)}, nil
}

// setUserTimeout makes a connection whose bytes are not acknowledged end.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	return errors.Join(err, failure)
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
		p.forget(c)
		_ = c.raw.Close()
	}
	return nil
}

func (p *Pool) reserve(key Key, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endpoints == nil {
		p.endpoints = make(map[Key]*endpoint)
	}
	e := p.endpoints[key]
	if e == nil {
		p.sweep()
		e = &endpoint{}
		p.endpoints[key] = e
	}
	if most > 0 && e.total >= most {
		return false
	}
	e.total++
	return true
}

// sweep forgets endpoints without connections once there are many.
func (p *Pool) sweep() {
	if len(p.endpoints) < sweepMinimum {
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

// put keeps a connection for the next call.
func (p *Pool) put(c *Conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultIdle
	}
	c.watch()
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.idle = true
	c.idleUntil = p.Clock.Now().Add(min(keep-min(idleMargin, keep/4), longestIdle))
	e := p.endpoints[c.key]
	e.idle = append(e.idle, c)
}

// woke removes a connection on which something came while it was idle: its end, or bytes that belong to no call.
func (p *Pool) woke(c *Conn) {
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
	p.forget(c)
	_ = c.raw.Close()
}

func (p *Pool) drop(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// forget takes a connection off the count once.
func (p *Pool) forget(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	if e := p.endpoints[c.key]; e != nil {
		e.total--
	}
}

// connections returns the number of connections to an endpoint.
func (p *Pool) connections(key Key) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[key]; e != nil {
		return e.total
	}
	return 0
}
