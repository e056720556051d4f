package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The load of the case handle-break, and the dose of its fault: so many of the stage's runners spoil one answer in so many, for
// so long, at each of breakStarts after the start of the load.
const (
	breakConsumers    = 48
	breakDuration     = 50 * time.Second
	breakRunners      = 5
	breakFaulty       = 2
	breakEvery        = 35
	breakLength       = 4900 * time.Millisecond
	breakModelRunners = 3
	breakBodyBytes    = 1400
)

var breakStarts = []time.Duration{5 * time.Second, 16 * time.Second, 27 * time.Second, 38 * time.Second}

// spoiler is the fault of the faulty runners: each breakEvery-th answer while it is on has a line break after each handle.
type spoiler struct {
	mu               sync.Mutex
	on               bool
	answers, spoiled int
}

func (f *spoiler) set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

// spoils counts an answer and reports whether it is spoiled.
func (f *spoiler) spoils() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.on {
		return false
	}
	if f.answers++; f.answers%breakEvery != breakEvery/2 {
		return false
	}
	f.spoiled++
	return true
}

// asked is what the consumers sent, by request id.
type asked struct {
	mu   sync.Mutex
	sent map[string]askedRequest
}

type askedRequest struct {
	header map[string]string
	body   []byte
}

func (a *asked) put(id string, r askedRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent[id] = r
}

func (a *asked) get(id string) (askedRequest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	r, ok := a.sent[id]
	return r, ok
}

// checkingRunner is a stand-in for a model runner that compares what it runs with what the consumer sent.
type checkingRunner struct {
	*runner
	results *results
	asked   *asked
}

func (m *checkingRunner) serve(c *channel, r *http.Request, body []byte) bool {
	script, id := m.deployment.script, r.Header.Get(names.RequestID)
	inputs, given := r.Header[names.Inputs]
	refusal := http.Header{names.NotExecuted: {"1"}}
	switch {
	case id == "" || !given:
		script.note("%s answers 400: id %q, inputs given: %v", m.id, id, given)
		c.send(response(http.StatusBadRequest, refusal, nil))
		return true
	case !m.results.exist(inputs[0]):
		refusal.Set(names.RequestID, id)
		c.send(response(http.StatusConflict, refusal, nil))
		return true
	}
	m.check(id, r.Header, body)
	time.Sleep(20 * time.Millisecond)
	c.send([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", names.RequestID, id, names.Seal, m.id, id)))
	for i := range 3 {
		event := fmt.Sprintf("id: %d\ndata: part %d of the answer to a prompt of %d bytes\n\n", i+1, i+1, len(body))
		c.send([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event)))
		time.Sleep(10 * time.Millisecond)
	}
	c.send([]byte("0\r\n\r\n"))
	return true
}

// check compares a request that is run with the one that the consumer sent.
func (m *checkingRunner) check(id string, h http.Header, body []byte) {
	script := m.deployment.script
	sent, ok := m.asked.get(id)
	if !ok {
		script.breakRule("UNASKED, no consumer sent the request", "%s runs %s", m.id, id)
		return
	}
	script.note("%s runs request %s with %d bytes", m.id, id, len(body))
	if !bytes.Equal(sent.body, body) {
		script.breakRule("UNASKED, the body is changed", "%s runs request %s with a body of %d bytes, the consumer sent %d", m.id, id, len(body), len(sent.body))
	}
	for _, name := range []string{"Model", names.Tokens, names.Prefix} {
		if got := h.Get(name); got != sent.header[name] {
			script.breakRule("UNASKED, "+name+" is not the consumer's", "%s runs request %s with %q, the consumer sent %q", m.id, id, got, sent.header[name])
		}
	}
}

// playHandleBreak plays runners of a stage that spoil a few answers by a line break.
func playHandleBreak(s *script) error {
	d, err := newDeployment(s, 3, 2)
	if err != nil {
		return err
	}
	defer d.stopAll()
	if err := d.startAll(); err != nil {
		return err
	}
	fault, made, sent := &spoiler{}, newResults(), &asked{sent: make(map[string]askedRequest)}
	for i := range breakRunners {
		stage := &stageRunner{results: made}
		if i < breakFaulty {
			stage.spoils = fault.spoils
		}
		if stage.runner, err = d.addRunner(fmt.Sprintf("i-stage%d", i+1), "kafi81c", 1, func(*runner) handler { return stage.serve }); err != nil {
			return err
		}
	}
	for i := range breakModelRunners {
		model := &checkingRunner{results: made, asked: sent}
		if model.runner, err = d.addRunner(fmt.Sprintf("i-model%d", i+1), "huvo11a", 128, func(*runner) handler { return model.serve }); err != nil {
			return err
		}
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, at := range breakStarts {
			time.AfterFunc(at, func() { fault.set(true) })
			time.AfterFunc(at+breakLength, func() { fault.set(false) })
		}
	}
	err = d.sendPrompts(sent)
	s.summary("during the fault the faulty runners gave %d answers and spoiled %d of them", fault.answers, fault.spoiled)
	if err == nil && s.trouble && fault.spoiled == 0 {
		err = fmt.Errorf("no answer was spoiled")
	}
	return err
}

// sendPrompts sends the load: each consumer sends one request after the other.
func (d *deployment) sendPrompts(sent *asked) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	end := time.Now().Add(breakDuration)
	for i := range breakConsumers {
		consumer := newConsumer(d.script, d.entries[i%len(d.entries)], "pule25.example")
		group.Go(func() {
			for time.Now().Before(end) {
				id, body := newID(), make([]byte, breakBodyBytes)
				for k := range body {
					body[k] = byte('a' + rand.IntN(26))
				}
				header := map[string]string{
					"Model": "m", names.Tokens: "300,9", names.Prefix: "5c1e07a2:200," + newID() + ":100", names.Pieces: "1", names.PieceKey: newID()[:12],
				}
				sent.put(id, askedRequest{header, body})
				a := consumer.send(id, http.MethodPost, "/puxa400/2f", 8*time.Second, header, body)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	d.script.summary("answers by status, 0 for none: %v", statuses)
	if statuses[http.StatusOK] == 0 {
		return fmt.Errorf("no request was served")
	}
	return nil
}
