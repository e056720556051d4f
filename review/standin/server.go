package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for one server ("runner") of a service. It speaks HTTP/1.1 on its own sockets, so that a case can write
// what a faulty server writes.
type server struct {
	d             *deployment
	id, service   string
	zone, address string
	slots         int
	listener      net.Listener
	// answer handles one request and returns the bytes of the response. It may write to the channel itself and return nil.
	answer func(c *channel, r *http.Request, body []byte) []byte

	leaving  atomic.Bool
	mu       sync.Mutex
	sequence uint64
	born     int64
	open     map[net.Conn]bool
	stopped  bool
	// lastBeat is the control machine that acknowledged the last status report.
	lastBeat *machine
	nextBeat int
	quit     chan struct{}
}

// extraDelay is the time from an answer to its extra copy.
const extraDelay = 500 * time.Millisecond

// channel is one connection to a server.
type channel struct {
	net.Conn
	// extra is the answer that is written a second time, extraDelay after the first.
	extra []byte
	mu    sync.Mutex
}

// writeAll writes a whole response, or a part of a stream.
func (c *channel) writeAll(response []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Write(response)
	return err
}

// newServer starts a server on a free port. host is the last octet of its address.
func (d *deployment) newServer(id, service string, host, slots int, answer func(c *channel, r *http.Request, body []byte) []byte) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", d.subnet, host))
	if err != nil {
		return nil, err
	}
	s := &server{
		d: d, id: id, service: service, zone: "zone-0", address: l.Addr().String(), slots: slots, listener: l, answer: answer,
		born: time.Now().UnixMilli(), open: make(map[net.Conn]bool), quit: make(chan struct{}),
	}
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.group.Go(s.accept)
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.open[conn] = true
		s.mu.Unlock()
		s.d.group.Go(func() {
			s.serve(&channel{Conn: conn})
			s.mu.Lock()
			delete(s.open, conn)
			s.mu.Unlock()
		})
	}
}

func (s *server) serve(c *channel) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if target := r.Header.Get(protocol.Target); target != "" && target != s.id {
			_, _ = io.WriteString(c, s.response(http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\n", ""))
			continue
		}
		answer := s.answer(c, r, body)
		if err := c.writeAll(answer); err != nil {
			return
		}
		if extra := c.extra; extra != nil {
			c.extra = nil
			s.d.group.Go(func() {
				time.Sleep(extraDelay)
				_ = c.writeAll(extra)
			})
		}
	}
}

// response returns a complete response. headers are whole lines.
func (s *server) response(status int, headers, body string) string {
	if s.leaving.Load() {
		headers += "Server-Leaving: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), headers, len(body), body)
}

// sealed returns the headers that a server sets on an answer of its own to a request.
func sealed(r *http.Request) string {
	id := r.Header.Get(protocol.RequestID)
	return "Request-Id: " + id + "\r\nServer-Seal: seal-" + id + "\r\n"
}

// beat sends one status report to the control machine with an index, and records which machine took it.
func (s *server) beat(index int) bool {
	s.mu.Lock()
	s.sequence++
	report := map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": s.slots, "State": "ready", "ColdLeftMs": 0,
		"Seq": s.sequence, "born": s.born, "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Stage": "colocated",
	}
	s.mu.Unlock()
	body, err := json.Marshal(report)
	if err != nil {
		return false
	}
	m := s.d.controls[index%len(s.d.controls)]
	status, err := call(http.MethodPut, "http://"+m.settings["Listen.Control"]+protocol.InstancesPath+s.id, body)
	if err != nil || status != http.StatusOK {
		return false
	}
	s.mu.Lock()
	s.lastBeat = m
	s.mu.Unlock()
	return true
}

// beatUntilStopped sends a status report in every period, each to the next control machine.
func (s *server) beatUntilStopped() {
	ticker := time.NewTicker(heartbeatPeriod)
	defer ticker.Stop()
	for {
		for range s.d.controls {
			s.nextBeat++
			if s.beat(s.nextBeat) {
				break
			}
		}
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
	}
}

// startBeats reports the server until stopBeats or stop.
func (s *server) startBeats() {
	s.d.group.Go(s.beatUntilStopped)
}

func (s *server) stopBeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.quit:
	default:
		close(s.quit)
	}
}

// leave says at a control machine that the server is gone, and returns whether that was acknowledged.
func (s *server) leave(m *machine) bool {
	status, err := call(http.MethodDelete, "http://"+m.settings["Listen.Control"]+protocol.InstancesPath+s.id, nil)
	s.d.record("%s: DELETE /instances/%s at %s: status %d, error %v", s.id, s.id, m.name, status, err)
	return err == nil && status == http.StatusOK
}

// stop ends the server: it closes its listener and all channels.
func (s *server) stop() {
	s.stopBeats()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	_ = s.listener.Close()
	for conn := range s.open {
		_ = conn.Close()
	}
}
