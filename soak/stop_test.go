package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
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

// rawRequest is a request on a connection of its own, whose body follows its header after bodyDelay. Its deadline is the
// timeout of its route.
type rawRequest struct {
	kind, id  string
	bodyDelay time.Duration
}

// send sends the request and returns the status of the complete response, or the error that ended the connection before.
func (r *rawRequest) send(addr string) (int, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	body := "body of " + r.id
	_, err = fmt.Fprintf(conn, "POST /%s/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: %s\r\nKey: secret\r\n"+
		"Piece-Count: %d,%d\r\nPiece-Key: key-%s\r\nPrompt-Prefix: aa:100,bb:50\r\nContent-Length: %d\r\n\r\n", r.kind, r.id, piecesPerStage, piecesPerStage, r.id, len(body))
	if err != nil {
		return 0, err
	}
	time.Sleep(r.bodyDelay)
	if _, err = io.WriteString(conn, body); err != nil {
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

// stopTest sends requests of a kind to an entry VM at times after its SIGTERM, which may be negative.
type stopTest struct {
	kind      string
	sendAfter []time.Duration
	bodyDelay time.Duration
}

// run returns the statuses of the requests by ID, 0 for one without a complete response.
func (s *stopTest) run(t *testing.T, h *harness) map[string]int {
	t.Helper()
	// The version adds to the timeout of the routes.
	check(t, eventually(5*time.Second, func() error {
		if !h.operator.put(h.cluster.controls[0], h.operator.nextVersion(4000)) {
			return errors.New("the configuration was not acknowledged")
		}
		return nil
	}))
	time.Sleep(1500 * time.Millisecond)
	p := h.cluster.entries[0]
	statuses := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	lead := -min(0, slices.Min(s.sendAfter))
	wg.Go(func() {
		time.Sleep(lead)
		if !p.stop() {
			t.Errorf("%s was still running %v after SIGTERM", p.name, stopGrace)
		}
	})
	for i, after := range s.sendAfter {
		wg.Go(func() {
			time.Sleep(lead + after)
			r := rawRequest{kind: s.kind, id: fmt.Sprintf("%s-%d", s.kind, i), bodyDelay: s.bodyDelay}
			status, err := r.send(p.addr(routesPort))
			if err != nil {
				t.Errorf("%s, sent %v after SIGTERM, got no complete response: %v", r.id, after, err)
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[r.id] = status
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
	s := &stopTest{kind: "once", sendAfter: []time.Duration{-time.Second, -100 * time.Millisecond}}
	for id, status := range s.run(t, h) {
		if status != http.StatusGatewayTimeout {
			t.Errorf("%s, which may have run, got status %d; want 504", id, status)
		}
	}
	h.reportResults(t)
}

// Orders that came late in the grace of a stop were passed on although they could not end before the process did.
func TestStopRefusesLateRequests(t *testing.T) {
	h := newHarness(t, 1, 2, 3)
	h.slowDown("orders", 3*time.Second)
	s := &stopTest{kind: "once", sendAfter: []time.Duration{2000 * time.Millisecond, 2500 * time.Millisecond}, bodyDelay: 2 * time.Second}
	for id, status := range s.run(t, h) {
		if status != http.StatusServiceUnavailable {
			t.Errorf("%s, which cannot end before the VM stops, got status %d; want 503", id, status)
		}
		if n := h.checker.runCount(id); n != 0 {
			t.Errorf("%s was refused and ran %d times", id, n)
		}
	}
	h.reportResults(t)
}
