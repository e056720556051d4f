package soak

import (
	"fmt"
	"testing"
	"time"
)

const (
	// deadlyKind is the kind of requests whose prompt has deadlyPart, which crashes each endpoint that runs it.
	deadlyKind = "deadly"
	deadlyPart = "dead"
	crashTime  = 700 * time.Millisecond
)

// crash closes all connections of an endpoint and refuses new ones until it is back as a new incarnation.
func (s *simulatedEndpoint) crash() {
	s.checker.recordCrash()
	s.proxy.setMode(proxyMode{refuse: true})
	s.proxy.reset()
	s.wg.Go(func() {
		time.Sleep(crashTime)
		s.mu.Lock()
		s.restarts++
		s.announcementSeq = 0
		s.mu.Unlock()
		s.proxy.setMode(proxyMode{})
	})
}

func (c *checker) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// TestDeadlyPart runs traffic of which some has a prompt part that crashes endpoints. Once it is known it reaches no endpoint,
// and everything else is served.
func TestDeadlyPart(t *testing.T) {
	const (
		moreEngines       = 9
		length            = 12 * time.Second
		crashesUntilKnown = 5
		contactTime       = 3 * time.Second
		allowedAfterwards = 3
	)
	h := newHarness(t, 4, 3, 4)
	for i := range moreEngines {
		h.addEndpoint(t, 180+i, "engines")
	}
	time.Sleep(1500 * time.Millisecond) // the new endpoints announce themselves
	h.runWithTraffic(6, func() {
		deadly := newCaller(99, h.cluster, h.checker, h.outcomes, h.seed)
		for started, i := time.Now(), 0; time.Since(started) < length; i++ {
			deadly.send(pickRandom(h.rng, h.cluster.entries), deadlyKind, fmt.Sprint("deadly-", i), 2*time.Second)
			time.Sleep(200 * time.Millisecond)
		}
	})
	h.reportResults(t)
	crashes := h.checker.crashes
	if len(crashes) == 0 {
		t.Fatal("no endpoint crashed")
	}
	late := 0
	known := crashes[min(len(crashes), crashesUntilKnown)-1]
	for _, at := range crashes {
		if at.Sub(known) > contactTime {
			late++
		}
	}
	t.Logf("%d crashes, %d of them late", len(crashes), late)
	if late > allowedAfterwards {
		t.Errorf("%d endpoints crashed later than %s after the fifth one", late, contactTime)
	}
	for _, kind := range requestKinds {
		if served, failed := h.outcomes.served[kind], h.outcomes.failed[kind]; failed*4 > served {
			t.Errorf("%s: %d served, %d failed beside prompts that crash endpoints", kind, served, failed)
		}
	}
}
