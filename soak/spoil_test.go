package soak

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"
)

// spoiledEnds are put behind a handle, spoiledByte behind the id of an event. None may be in a field, or in an element of a list there.
var spoiledEnds = []string{"\n", "\r\nServer-Seal: x", "\x00", ",x", " "}

const spoiledByte = "\x01"

// spoilHandle returns a handle, or sometimes what is left of it at a faulty endpoint.
func (s *simulatedEndpoint) spoilHandle(handle string) string {
	if !s.shouldInject(func(r faultRates) float64 { return r.spoil }) {
		return handle
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return handle + pickRandom(s.rng, spoiledEnds)
}

// spoilEventID is spoilHandle for the id of an event of a stream that may be resumed.
func (s *simulatedEndpoint) spoilEventID(id string) string {
	if s.shouldInject(func(r faultRates) float64 { return r.spoil / eventsPerStream }) {
		return id + spoiledByte
	}
	return id
}

// malformedHeads begin responses that no caller may get.
var malformedHeads = []string{
	"HTTP/1.1 200 OK\r\nX Own: a\r\n", "HTTP/1.1 200 OK\r\nX-Own : a\r\n", "HTTP/1.1 200 OK\r\nX\x01Own: a\r\n", "HTTP/1.1 200 OK\r\n X-Own: a\r\n",
	"HTTP/2.0 200 OK\r\n", "HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 600 Unknown\r\n", "HTTP/1.1 101 Switching Protocols\r\n",
}

// answerWithMalformedHead writes a response that is valid but for its head, and a body that no caller expects.
func (s *simulatedEndpoint) answerWithMalformedHead(w http.ResponseWriter, id string) {
	s.mu.Lock()
	begin := pickRandom(s.rng, malformedHeads)
	s.mu.Unlock()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = fmt.Fprintf(c, "%sRequest-Id: %s\r\nServer-Seal: seal\r\nContent-Length: 7\r\n\r\nspoiled", begin, id)
}

var malformedResponses = regexp.MustCompile(`(?m)^godwitplank_malformed_responses_total\{.*pool="(\w+)".*\} (\d+)$`)

// countMalformed returns the malformed responses that the entry VMs counted, by service.
func (h *harness) countMalformed(t *testing.T) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for _, p := range h.cluster.entries {
		response, err := http.Get("http://" + p.addr(metricsPort) + "/metrics")
		check(t, err)
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		check(t, err)
		for _, match := range malformedResponses.FindAllStringSubmatch(string(text), -1) {
			n, err := strconv.Atoi(match[2])
			check(t, err)
			out[match[1]] += n
		}
	}
	return out
}

// spoilSetter returns a function that sets the rate at which endpoints spoil texts.
func (h *harness) spoilSetter(ids ...string) func(rate float64) {
	return func(rate float64) {
		for _, s := range h.endpoints {
			if slices.Contains(ids, s.id) {
				s.mu.Lock()
				s.rates = faultRates{spoil: rate}
				s.mu.Unlock()
			}
		}
	}
}

// Endpoints that spoil handles and ids of events cut off no request to another endpoint, and the work that they spoil is done
// elsewhere: the callers notice nothing.
func TestSpoiledTexts(t *testing.T) {
	h := newHarness(t, 48, 2, 3)
	spoil := h.spoilSetter("i-engines-153", "i-encoders-156")
	h.runWithTraffic(6, func() {
		time.Sleep(time.Second)
		spoil(0.5)
		time.Sleep(5 * time.Second)
		spoil(0)
		time.Sleep(time.Second)
	})
	h.outcomes.checkCuts(h.checker)
	h.reportResults(t)
	for kind, n := range h.outcomes.served {
		// Callers cancel one request in twenty early.
		if failed := h.outcomes.failed[kind]; failed*6 > n {
			t.Errorf("%s: %d served, %d failed while endpoints spoiled texts", kind, n, failed)
		}
	}
	malformed := h.countMalformed(t)
	t.Logf("malformed responses by service: %v", malformed)
	for _, service := range []string{"engines", "encoders"} {
		if malformed[service] == 0 {
			t.Errorf("no malformed response of %s was counted", service)
		}
	}
}

// Two of three endpoints give only answers with malformed heads: idempotent requests are served elsewhere, and no caller gets such an
// answer or a request run twice. The endpoints get few calls after their first failures.
func TestMalformedHeads(t *testing.T) {
	h := newHarness(t, 49, 2, 3)
	spoil := h.spoilSetter("i-orders-150", "i-orders-151")
	h.runWithTraffic(6, func() {
		time.Sleep(time.Second)
		spoil(1)
		time.Sleep(5 * time.Second)
		spoil(0)
		time.Sleep(time.Second)
	})
	h.outcomes.checkCuts(h.checker)
	h.outcomes.checkRuns(h.checker)
	h.reportResults(t)
	// Callers cancel one request in twenty early.
	if served, failed := h.outcomes.served["read"], h.outcomes.failed["read"]; failed*6 > served {
		t.Errorf("read: %d served, %d failed while endpoints answered with malformed heads", served, failed)
	}
	n := h.countMalformed(t)["orders"]
	t.Logf("malformed responses of orders: %d", n)
	if n == 0 {
		t.Error("no malformed response of orders was counted")
	}
}
