package soak

import (
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// Bounds on the requests at an endpoint that states a limit (LIMIT, ContactMs of the platform).
const (
	limitWindow  = 4 * time.Second
	limitExcess  = 1.5
	limitSlack   = 5
	limitContact = 3 * time.Second
)

// statedLimit is the limit that an endpoint states in its responses, in requests per second; 0 for none.
type statedLimit struct {
	perSecond float64
	since     time.Time
	arrivals  []time.Time // since then
}

// stateLimit counts a request and adds the header of an endpoint with a limit to its response.
func (s *simulatedEndpoint) stateLimit(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit.arrivals = append(s.limit.arrivals, time.Now())
	if s.limit.perSecond > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit.perSecond, 'f', -1, 64))
	}
}

func (s *simulatedEndpoint) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = statedLimit{perSecond: perSecond, since: time.Now()}
}

// arrivalsSince returns the times of the requests that arrived after a time.
func (s *simulatedEndpoint) arrivalsSince(after time.Time) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for _, at := range s.limit.arrivals {
		if at.After(after) {
			out = append(out, at)
		}
	}
	return out
}

// largestWindow returns the largest number of arrivals in limitWindow.
func largestWindow(arrivals []time.Time) int {
	largest, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > limitWindow {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// holdLimit states a limit for a time, and records a violation if more requests than allowed arrive, unless the connections to
// the endpoint were impaired: requests that they held back arrive at once.
func (s *simulatedEndpoint) holdLimit(perSecond float64, duration time.Duration) {
	s.mu.Lock()
	held := s.limit.perSecond > 0
	s.mu.Unlock()
	if held {
		return
	}
	changes := s.proxy.changeCount()
	s.setLimit(perSecond)
	bound := time.Now().Add(limitContact)
	time.Sleep(duration)
	arrivals := s.arrivalsSince(bound)
	s.setLimit(0)
	allowed := limitExcess*perSecond*limitWindow.Seconds() + limitSlack
	if n := largestWindow(arrivals); float64(n) > allowed && s.proxy.changeCount() == changes {
		s.checker.violation("endpoint %s got %d requests in %v with a limit of %v a second, %.1f are allowed", s.id, n, limitWindow, perSecond, allowed)
	}
}

// arrivalsAt returns the requests at the endpoints of a service after a time, and the number of those endpoints.
func (h *harness) arrivalsAt(service string, after time.Time) (requests, endpoints int) {
	for _, s := range h.endpoints {
		if s.service == service {
			requests += len(s.arrivalsSince(after))
			endpoints++
		}
	}
	return requests, endpoints
}

// checkLimit fails the test if an endpoint got more requests than it takes since a time, or a service far fewer.
func (h *harness) checkLimit(t *testing.T, perSecond float64, since time.Time) {
	t.Helper()
	took := time.Since(since).Seconds()
	allowed := limitExcess*perSecond*limitWindow.Seconds() + limitSlack
	for _, s := range h.endpoints {
		n := largestWindow(s.arrivalsSince(since))
		t.Logf("%s: at most %d in 4 s", s.id, n)
		if float64(n) > allowed {
			t.Errorf("endpoint %s got %d requests in 4 s, %.1f are allowed", s.id, n, allowed)
		}
	}
	for _, service := range services {
		requests, endpoints := h.arrivalsAt(service.name, since)
		t.Logf("%s: %d requests at %d endpoints in %.1f s", service.name, requests, endpoints, took)
		if float64(requests) < perSecond*float64(endpoints)*took/4 {
			t.Errorf("service %s got %d requests in %.1f s, far fewer than its %d endpoints take", service.name, requests, took, endpoints)
		}
	}
}

// All VMs together sent an endpoint as much as before it had stated a limit.
func TestStatedLimitHoldsOverAllVMs(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, h *harness){
		"undisturbed": func(*testing.T, *harness) { time.Sleep(8 * time.Second) },
		"entry VMs killed": func(t *testing.T, h *harness) {
			for _, p := range h.cluster.entries {
				p.signal(syscall.SIGKILL)
				restart(t, p, syscall.SIGKILL, 0)
				time.Sleep(2500 * time.Millisecond)
			}
		},
		"control VMs killed": func(t *testing.T, h *harness) {
			for _, p := range h.cluster.controls {
				p.signal(syscall.SIGKILL)
			}
			for _, p := range h.cluster.controls {
				restart(t, p, syscall.SIGKILL, 0)
			}
			time.Sleep(6 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 43, 3, 5)
			// A caller waits for its response, so that all callers of all kinds may wait for one service at a time.
			h.callersOfKind = 4
			h.runWithTraffic(8, func() {
				const perSecond = 4
				time.Sleep(time.Second)
				for _, s := range h.endpoints {
					s.setLimit(perSecond)
				}
				time.Sleep(limitContact)
				bound := time.Now()
				disturb(t, h)
				h.checkLimit(t, perSecond, bound)
				for _, s := range h.endpoints {
					s.setLimit(0)
				}
				// Traffic is back within the time that a limit has to be in force.
				time.Sleep(limitContact)
				ended := time.Now()
				time.Sleep(2 * time.Second)
				for _, service := range services {
					requests, endpoints := h.arrivalsAt(service.name, ended)
					if float64(requests) < limitExcess*perSecond*float64(endpoints)*time.Since(ended).Seconds() {
						t.Errorf("service %s got only %d requests in %v after its limits had ended", service.name, requests, time.Since(ended))
					}
				}
			})
			h.reportResults(t)
		})
	}
}
