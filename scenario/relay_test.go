package scenario

import (
	"io"
	"net"
	"sync"
)

// relay is a TCP proxy for the connections from one VM to another. While it is cut, it accepts connections and silently
// discards their bytes, as a network that drops packets.
type relay struct {
	listener   net.Listener
	targetAddr func() string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
	wg    sync.WaitGroup
}

func newRelay(targetAddr func() string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, targetAddr: targetAddr, conns: make(map[net.Conn]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

func (r *relay) addr() string {
	return r.listener.Addr().String()
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.forward(conn) })
	}
}

// forward connects to the target and copies in both directions until the connections end. If the relay is cut when conn
// arrives, it discards everything that conn sends.
func (r *relay) forward(conn net.Conn) {
	if !r.track(conn) {
		return
	}
	defer r.untrack(conn)
	if r.isCut() {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	upstream, err := net.Dial("tcp", r.targetAddr())
	if err != nil || !r.track(upstream) {
		return
	}
	defer r.untrack(upstream)
	r.wg.Go(func() { r.copy(conn, upstream) })
	r.copy(upstream, conn)
}

// copy copies from src to dst until the connection ends. While the relay is cut, it discards the bytes and does not
// pass on the end of the connection.
func (r *relay) copy(dst, src net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			if !r.isCut() {
				_ = dst.Close()
			}
			return
		}
		if r.isCut() {
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// setCut cuts or heals the relay. Healing closes the open connections, because they may have lost bytes during the cut.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut && !cut {
		for c := range r.conns {
			_ = c.Close()
		}
	}
	r.cut = cut
}

// track registers a connection, so that healing and close can close it. After close it closes c and returns false.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		_ = c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
	r.mu.Unlock()
	r.wg.Wait()
}
