package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to the bytes that pass it.
type proxyMode struct {
	delay time.Duration
	// silentTo and silentFrom hold the bytes of one direction back.
	silentTo, silentFrom bool
	// refuse closes new connections at once.
	refuse bool
}

// proxy forwards connections to a target on this machine.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	group sync.WaitGroup
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string {
	return p.listener.Addr().String()
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) now() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.group.Wait()
}

func (p *proxy) track(c net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now().refuse {
			_ = in.Close()
			continue
		}
		p.group.Go(func() { p.forward(in) })
	}
}

func (p *proxy) forward(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	p.track(in, true)
	p.track(out, true)
	defer p.track(in, false)
	defer p.track(out, false)
	var pair sync.WaitGroup
	pair.Go(func() { p.copy(out, in, true) })
	p.copy(in, out, false)
	pair.Wait()
}

// copy passes one direction on. A silent direction holds its bytes back and loses none.
func (p *proxy) copy(to, from net.Conn, toTarget bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.hold(toTarget) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// longestHold bounds how long bytes are held back.
const longestHold = 20 * time.Second

// hold waits while the direction is silent; false means that the connection is to end.
func (p *proxy) hold(toTarget bool) bool {
	begun := time.Now()
	for {
		m := p.now()
		if (toTarget && !m.silentTo) || (!toTarget && !m.silentFrom) {
			time.Sleep(m.delay)
			return true
		}
		if time.Since(begun) > longestHold {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}
