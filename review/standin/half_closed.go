package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of clients that leave.
const (
	clientRequests = 150
	clientPause    = 100 * time.Millisecond
	// leavingShare is the share of the clients that leave, as a divisor: 1 in 5, the site's largest share of give_up.
	leavingShare = 5
	// leaveAfter is half of the route's latency target, after which a client of give_up leaves.
	leaveAfter = 150 * time.Millisecond
	longOrder  = 300 * time.Millisecond
)

// halfClosed checks MIXED for clients that leave: they close their sending side after the request and read what still comes.
func halfClosed(d *deployment) (bool, error) {
	p := &ordersPlay{d: d}
	for n := range 4 {
		s, err := d.newServer(fmt.Sprintf("i-desk-%d", n+1), "desk", 20+n, 6, nil)
		if err != nil {
			return false, err
		}
		s.answer = func(_ *channel, r *http.Request, _ []byte) []byte {
			if r.Header.Get(protocol.RequestID) != "" {
				time.Sleep(longOrder)
				d.record("%s: order %s was run", s.id, r.Header.Get(protocol.RequestID))
			}
			return []byte(s.response(http.StatusOK, sealed(r), "done"))
		}
		p.servers = append(p.servers, &orderServer{server: s})
	}
	if err := p.begin(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	served, unsealed := 0, 0
	for n := range clientRequests {
		entry := d.entries[n%len(d.entries)]
		leaves := d.trouble && n%leavingShare == 0
		group.Go(func() {
			q := &request{id: fmt.Sprintf("order%06d", n), method: http.MethodPost, path: "/order/1", deadline: orderDeadline, body: "valve 7"}
			r := q.sendAndLeave(entry, leaves)
			d.record("client: %s, leaves %v: status %d, seal %q, %d bytes, error %v", q.id, leaves, r.status, r.seal, len(r.body), r.err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status >= 200 && r.status < 300 && r.seal == "":
				unsealed++
				d.record("client: BROKEN: %s got status %d without a Server-Seal", q.id, r.status)
			case r.status == http.StatusOK:
				served++
			}
		})
		time.Sleep(clientPause)
	}
	group.Wait()
	d.record("orders sent: %d, served with a seal: %d, answered with a success without one: %d", clientRequests, served, unsealed)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return unsealed > 0, nil
}

// sendAndLeave sends a request and reads the answer. A client that leaves closes its sending side after leaveAfter.
func (q *request) sendAndLeave(entry *machine, leaves bool) result {
	if !leaves {
		return q.send(entry)
	}
	conn, err := net.DialTimeout("tcp", entry.settings["Listen.Front"], time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return result{err: err}
	}
	time.Sleep(leaveAfter)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	return readResult(bufio.NewReader(conn), q.method)
}
