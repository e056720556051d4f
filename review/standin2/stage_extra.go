package main

import (
	"fmt"
	"net/http"
	"regexp"
	"sync"
	"time"
)

// The load of the case stage-extra: consumers that send one request after the other, each with one piece.
const (
	extraConsumers = 60
	extraDuration  = 30 * time.Second
	stageRunners   = 5
	// The dose of the fault, the largest of the site file: this many of the runners, one in so many of their answers, for so long.
	// The fault comes at each of extraStarts after the start of the load.
	faultyRunners = 3
	extraEvery    = 34
	extraLength   = 5 * time.Second
)

var extraStarts = []time.Duration{6 * time.Second, 16 * time.Second}

var ownerPattern = regexp.MustCompile(`made from the results of (\S+)`)

// playStageExtra plays a stage whose runners write some answers a second time, late.
func playStageExtra(s *script) error {
	d, err := newDeployment(s, 3, 1)
	if err != nil {
		return err
	}
	defer d.stopAll()
	terms := pieces{Slots: 1, Queue: 2, Batch: 8, CallMs: 150, ItemMs: 16, HeadroomMb: 36, HandleS: 4, LinkMbps: 10000}
	c := baseConfiguration()
	c.Services = []serviceEntry{
		{Name: "huvo11a", HealthPath: "/health", MaxConnections: 620, Protocol: "h1", Engine: &engine{Slots: 128, KvCapacityTokens: 262108}},
		{Name: "kafi81c", HealthPath: "/health", MaxConnections: 620, Protocol: "h1", Pieces: &terms},
	}
	c.Routes = []routeEntry{{
		Name: "r-5mgjy5r", Host: "jepu9.example", PathPrefix: "/cufi501/", RouteType: "streaming", TimeoutMs: 8000, TargetLatencyMs: 1900,
		Service: "huvo11a", MaxAttempts: 1, SessionAffinity: true, TargetGapMs: 500, Stages: []stageEntry{{Service: "kafi81c", After: []int{}, Bytes: 8000}},
	}}
	if err := d.startAll(c); err != nil {
		return err
	}
	made := newResults()
	fault := &extraFault{every: extraEvery}
	for i := range stageRunners {
		stage := &stageRunner{results: made, terms: terms, slot: make(chan struct{}, terms.Slots)}
		if i < faultyRunners {
			stage.fault = fault
		}
		if stage.runner, err = d.addRunner(fmt.Sprintf("i-stage%d", i+1), "kafi81c", terms.Slots, func(*runner) func(*channel, *http.Request, []byte) bool { return stage.serve }); err != nil {
			return err
		}
	}
	for i := range 2 {
		model := &modelRunner{results: made}
		if model.runner, err = d.addRunner(fmt.Sprintf("i-model%d", i+1), "huvo11a", 128, func(*runner) func(*channel, *http.Request, []byte) bool { return model.serve }); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, at := range extraStarts {
			time.AfterFunc(at, func() { fault.set(true) })
			time.AfterFunc(at+extraLength, func() { fault.set(false) })
		}
	}
	err = sendStaged(s, d)
	answers, extras := fault.counts()
	s.summary("during the fault the faulty runners gave %d answers and wrote %d of them once more", answers, extras)
	return err
}

// sendStaged sends the load and checks that each answer was made from the results of its own request.
func sendStaged(s *script, d *deployment) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	end := time.Now().Add(extraDuration)
	for range extraConsumers {
		group.Go(func() {
			consumer := newConsumer(s, d.entries[0], "jepu9.example")
			for time.Now().Before(end) {
				a := consumer.send(http.MethodPost, "/cufi501/2f", 8*time.Second, map[string]string{
					"Model": "m", "Token-Usage": "300,9", "Prompt-Prefix": "5c1e07a2:200," + newID() + ":100", "Piece-Count": "1", "Piece-Key": newID()[:12],
				}, []byte("prompt"))
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				for _, m := range ownerPattern.FindAllSubmatch(a.body, 1) {
					if a.status == http.StatusOK && string(m[1]) != a.id {
						s.breakRule("MIXED, a consumer gets an answer made from another request's results", "request %s is answered from the results of %s", a.id, m[1])
					}
				}
				if a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	s.summary("answers by status: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
