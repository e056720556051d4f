package soak

import (
	"net/http"
	"strconv"
	"time"
)

// crossingTime is how long after a notice requests that were on their way may still arrive.
const crossingTime = 500 * time.Millisecond

// told is a notice that an endpoint has given to an entry VM. It is void once the VM or the path to it was disturbed.
type told struct {
	at            time.Time
	until         time.Time // zero for a notice without an end
	interruptions int
	pathChanges   int
}

// notices are those that an incarnation of an endpoint has given, by entry VM.
type notices struct {
	leaving, quiet map[*process]*told
}

func (c *checker) recordEntry(id string, p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[id] = p
}

func (c *checker) entryOf(id string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[id]
}

// newTold returns a notice to a VM, nil if the path to it is disturbed.
func (s *simulatedEndpoint) newTold(p *process, until time.Time) *told {
	if s.proxy.currentMode() != (proxyMode{}) {
		return nil
	}
	return &told{at: time.Now(), until: until, interruptions: p.interruptionCount(), pathChanges: s.proxy.changeCount()}
}

// sayLeaving adds the header of an endpoint that leaves to a response. The first one to each VM counts.
func (s *simulatedEndpoint) sayLeaving(w http.ResponseWriter, id string) {
	p := s.checker.entryOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return
	}
	w.Header().Set("Server-Leaving", "1")
	if s.notices.leaving == nil {
		s.notices.leaving = make(map[*process]*told)
	}
	if s.notices.leaving[p] == nil {
		s.notices.leaving[p] = s.newTold(p, time.Time{})
	}
}

// askForQuiet adds a time without calls to some refusals.
func (s *simulatedEndpoint) askForQuiet(w http.ResponseWriter, id string) {
	if !s.shouldInject(func(r faultRates) float64 { return r.quiet }) {
		return
	}
	p := s.checker.entryOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet := time.Duration(300+s.rng.IntN(3000)) * time.Millisecond
	w.Header().Set("Retry-After", strconv.FormatFloat(quiet.Seconds(), 'f', 3, 64))
	if s.notices.quiet == nil {
		s.notices.quiet = make(map[*process]*told)
	}
	s.notices.quiet[p] = s.newTold(p, time.Now().Add(quiet))
}

// checkNotices records a violation if a request arrives from a VM that was told not to send it.
func (s *simulatedEndpoint) checkNotices(id string) {
	p := s.checker.entryOf(id)
	s.mu.Lock()
	leaving, quiet := s.notices.leaving[p], s.notices.quiet[p]
	s.mu.Unlock()
	now := time.Now()
	if t := leaving; s.binds(t, p) && now.Sub(t.at) > crossingTime {
		s.checker.violation("request %s reached endpoint %s %s after it had told %s that it leaves", id, s.id, now.Sub(t.at), p.name)
	}
	if t := quiet; s.binds(t, p) && now.Sub(t.at) > crossingTime && now.Before(t.until) {
		s.checker.violation("request %s reached endpoint %s %s after it had asked %s for quiet until %s", id, s.id, now.Sub(t.at), p.name, t.until.Sub(t.at))
	}
}

// binds reports whether a notice holds: neither the VM nor the path to it was disturbed since.
func (s *simulatedEndpoint) binds(t *told, p *process) bool {
	return t != nil && t.interruptions == p.interruptionCount() && t.pathChanges == s.proxy.changeCount()
}

func (s *simulatedEndpoint) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// returnAsNew ends the leaving of an endpoint with a new incarnation under the same id and address.
func (s *simulatedEndpoint) returnAsNew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return
	}
	s.leaving, s.notices = false, notices{}
	s.restarts++
	s.announcementSeq = 0
}
