package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner. It serves one request at a time on a channel.
type runner struct {
	deployment  *deployment
	id, service string
	slots       int
	addr        string
	born        int64
	listener    net.Listener
	serve       handler

	mu       sync.Mutex
	seq      int
	stopped  bool
	channels map[*channel]struct{}
}

// handler handles a request. It returns false to close the channel.
type handler func(c *channel, r *http.Request, body []byte) bool

// channel is a channel to a runner.
type channel struct {
	net.Conn
}

// addRunner starts a runner at an address of its own.
func (d *deployment) addRunner(id, service string, slots int, serve func(r *runner) handler) (*runner, error) {
	r := &runner{deployment: d, id: id, service: service, slots: slots, born: time.Now().UnixMilli(), channels: make(map[*channel]struct{})}
	r.addr = fmt.Sprintf("%s%d:%d", d.network, 21+d.runners, runnerPort)
	d.runners++
	r.serve = serve(r)
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return nil, err
	}
	r.listener = l
	go r.accept()
	go r.reportStatus()
	return r, nil
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		ch := &channel{c}
		r.mu.Lock()
		r.channels[ch] = struct{}{}
		r.mu.Unlock()
		go r.serveChannel(ch)
	}
}

func (r *runner) serveChannel(c *channel) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.channels, c)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF {
				r.deployment.script.note("%s cannot read a request and closes the channel: %v", r.id, err)
			}
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if want := request.Header.Get(names.Target); want != "" && want != r.id {
			c.send(response(http.StatusMisdirectedRequest, http.Header{"Instance-Id": {r.id}}, nil))
			continue
		}
		if !r.serve(c, request, body) {
			return
		}
	}
}

// reportStatus sends a status report at each heartbeat, to the next control machine after a failure.
func (r *runner) reportStatus() {
	next := 0
	for {
		r.mu.Lock()
		stopped := r.stopped
		r.seq++
		report := map[string]any{
			"Service": r.service, "Address": r.addr, "Zone": "zone-a", "Version": "v1", "Slots": r.slots, "State": "ready", "ColdLeftMs": 0,
			"Seq": r.seq, "born": r.born,
		}
		r.mu.Unlock()
		if stopped {
			return
		}
		body, _ := json.Marshal(report)
		status, _, err := r.deployment.call(r.deployment.controls[next], http.MethodPut, names.Instances+r.id, body)
		if err != nil || status != http.StatusOK {
			next = (next + 1) % len(r.deployment.controls)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		time.Sleep(heartbeat)
	}
}

// stop ends a runner without a word.
func (r *runner) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.listener.Close()
	for c := range r.channels {
		_ = c.Close()
	}
}

// send writes a whole answer.
func (c *channel) send(answer []byte) {
	_, _ = c.Write(answer)
}

// response encodes an answer with its length.
func response(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b)
	_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}
