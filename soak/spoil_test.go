package soak

import (
	"io"
	"net/http"
	"regexp"
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

// Endpoints that spoil handles and ids of events cut off no request to another endpoint, and the work that they spoil is done
// elsewhere: the callers notice nothing.
func TestSpoiledTexts(t *testing.T) {
	h := newHarness(t, 48, 2, 3)
	spoil := func(rate float64) {
		for _, s := range h.endpoints {
			if s.id == "i-engines-153" || s.id == "i-encoders-156" {
				s.mu.Lock()
				s.rates = faultRates{spoil: rate}
				s.mu.Unlock()
			}
		}
	}
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
