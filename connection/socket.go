package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// socket is a TCP connection whose Read returns io.EOF only after the peer has ended its side in order. The kernel reports the error
// of a connection, such as a reset, only once: if a Write gets it, the Read at the same time sees an end of file, and a response that
// ends with its connection would look whole.
type socket struct {
	net.Conn

	// mu is held during a write, so that a reader can wait for its error.
	mu         sync.Mutex
	writeError error
}

// dial opens a connection to a TCP address with a dialer.
func dial(ctx context.Context, d *net.Dialer, network, addr string) (*socket, error) {
	raw, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &socket{Conn: raw}, nil
}

// Read returns the error that a write was told of instead of the end of file that results from it.
func (s *socket) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if errors.Is(err, io.EOF) && !s.endedByPeer() {
		if writeError := s.lastWriteError(); writeError != nil {
			return n, writeError
		}
	}
	return n, err
}

// endedByPeer reports whether the peer has ended its side in order and the connection still exists. This does not wait for a write,
// which may last as long as the peer does not read.
func (s *socket) endedByPeer() bool {
	tcp, ok := s.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}

// lastWriteError waits for the write in progress, which ends at once on a connection that no longer exists. It returns the error of
// the connection that a write got, nil if there is none. EPIPE is the error of a connection that was reset after the peer had ended
// its side in order.
func (s *socket) lastWriteError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.writeError, syscall.EPIPE) {
		return nil
	}
	return s.writeError
}

// Write writes to the connection.
func (s *socket) Write(b []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err = s.Conn.Write(b)
	s.noteWriteError(err)
	return n, err
}

// writeAll writes several buffers, with one system call where the connection can do so.
func (s *socket) writeAll(buffers net.Buffers) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := buffers.WriteTo(s.Conn)
	s.noteWriteError(err)
	return err
}

// noteWriteError keeps the first error, since later ones only say that the connection no longer exists. The caller holds s.mu.
func (s *socket) noteWriteError(err error) {
	if s.writeError == nil {
		s.writeError = err
	}
}
