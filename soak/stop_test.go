package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// slowDown adds latency to the calls to a service.
func (h *harness) slowDown(service string, latency time.Duration) {
	for _, s := range h.endpoints {
		if s.service == service {
			s.mu.Lock()
			s.rates.extraLatency = latency
			s.mu.Unlock()
		}
	}
}

// drain lets all endpoints of a service drain and waits until the VMs know.
func (h *harness) drain(service string) {
	for _, s := range h.endpoints {
		if s.service == service {
			s.mu.Lock()
			s.draining = true
			s.mu.Unlock()
		}
	}
	time.Sleep(2 * time.Second)
}

// sendOn writes a request on an open connection and returns the status of the complete response, or the error that ended the
// connection before.
func sendOn(conn net.Conn, kind, id string) (int, error) {
	_, err := fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nKey: secret\r\nDeadline-Remaining: 5000\r\n"+
		"Piece-Count: %d,%d\r\nPiece-Key: key-%s\r\nPrompt-Prefix: aa:100,bb:50\r\nContent-Length: 4\r\n\r\nbody", kind, id, piecesPerStage, piecesPerStage, id)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// stopTest sends requests to an entry VM at times after its SIGTERM. The connections are opened openBefore before that.
type stopTest struct {
	kind       string
	sendAfter  []time.Duration
	openBefore time.Duration
}

// run returns the statuses of the requests, 0 for one without a complete response.
func (s *stopTest) run(t *testing.T, h *harness) map[string]int {
	t.Helper()
	p := h.cluster.entries[0]
	statuses := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	wg.Go(func() {
		if !p.stop() {
			t.Errorf("%s was still running %v after SIGTERM", p.name, stopGrace)
		}
	})
	for i, after := range s.sendAfter {
		wg.Go(func() {
			time.Sleep(after - s.openBefore)
			id := fmt.Sprintf("%s-%d", s.kind, i)
			conn, err := net.Dial("tcp", p.addr(routesPort))
			if err != nil {
				t.Errorf("%s: %v", id, err)
				return
			}
			defer conn.Close()
			time.Sleep(s.openBefore)
			status, err := sendOn(conn, s.kind, id)
			if err != nil {
				t.Errorf("%s, sent %v after SIGTERM, got no complete response: %v", id, after, err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[id] = status
		})
	}
	wg.Wait()
	return statuses
}

// Requests that wait in a stage when their VM stops were cut without an answer when its process ended.
func TestStopRefusesRequestsInStages(t *testing.T) {
	h := newHarness(t, 1, 2, 3)
	h.drain("encoders")
	s := &stopTest{kind: "stream", sendAfter: []time.Duration{2300 * time.Millisecond, 2500 * time.Millisecond}}
	for id, status := range s.run(t, h) {
		if status != http.StatusServiceUnavailable {
			t.Errorf("%s, which has not run, got status %d; want 503", id, status)
		}
	}
	h.reportResults(t)
}

// Orders at an endpoint when their VM stops were cut without an answer when its process ended. Their outcome is unknown.
func TestStopAnswersRequestsAtEndpoints(t *testing.T) {
	h := newHarness(t, 1, 2, 3)
	h.slowDown("orders", 30*time.Second)
	s := &stopTest{kind: "once", sendAfter: []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond}}
	for id, status := range s.run(t, h) {
		if status != http.StatusGatewayTimeout {
			t.Errorf("%s, which may have run, got status %d; want 504", id, status)
		}
	}
	h.reportResults(t)
}
