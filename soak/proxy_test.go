package soak

import (
	"net"
	"sync"
	"time"
)

// proxyMode selects the network faults that a proxy injects. The zero value forwards normally.
type proxyMode struct {
	// delay is added to every chunk in both directions.
	delay time.Duration
	// stallToTarget and stallFromTarget hold back the bytes of one direction without closing the connection.
	stallToTarget, stallFromTarget bool
	// refuse closes new connections as soon as they are accepted.
	refuse bool
}

// proxy forwards TCP connections to a target address and injects the faults of its mode.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]bool
	// changes counts the changes of mode and the resets.
	changes int
	wg      sync.WaitGroup
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}
	p.wg.Go(p.accept)
	return p, nil
}

func (p *proxy) addr() string {
	return p.listener.Addr().String()
}

func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.changes++
}

func (p *proxy) changeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes++
	for c := range p.conns {
		_ = c.Close()
	}
}

// close stops the proxy and waits for its goroutines.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.wg.Wait()
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
		if p.currentMode().refuse {
			_ = in.Close()
			continue
		}
		p.wg.Go(func() { p.forward(in) })
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
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, in, true) })
	p.copy(in, out, false)
	wg.Wait()
}

// copy forwards one direction. A stalled direction delays its bytes but drops none, unless the stall lasts maxStall.
func (p *proxy) copy(to, from net.Conn, toTarget bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.waitWhileStalled(toTarget) {
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

// maxStall bounds how long bytes are held back before the connection is closed.
const maxStall = 20 * time.Second

// waitWhileStalled blocks while the direction is stalled, then applies the delay. It returns false if the stall lasted longer
// than maxStall and the connection must be closed.
func (p *proxy) waitWhileStalled(toTarget bool) bool {
	start := time.Now()
	for {
		mode := p.currentMode()
		if (toTarget && !mode.stallToTarget) || (!toTarget && !mode.stallFromTarget) {
			time.Sleep(mode.delay)
			return true
		}
		if time.Since(start) > maxStall {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
}
