package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// results holds what the runners of stages have made, for all runners of a deployment.
type results struct {
	mu       sync.Mutex
	byHandle map[string]*result
	next     int
}

// result is one result of a stage.
type result struct {
	request      string
	stage, piece int
	expires      time.Time
	freed        bool
}

func newResults() *results {
	return &results{byHandle: make(map[string]*result)}
}

// make stores a new result and returns its handle.
func (s *results) make(addr, request string, stage, piece int, keep time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	handle := fmt.Sprintf("%s/%08x", addr, s.next)
	s.byHandle[handle] = &result{request: request, stage: stage, piece: piece, expires: time.Now().Add(keep)}
	return handle
}

// find returns a copy of the result of a handle, and whether it still exists.
func (s *results) find(handle string) (r result, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byHandle[handle]
	if found == nil {
		return result{}, false
	}
	return *found, !found.freed && time.Now().Before(found.expires)
}

func (s *results) free(handle string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.byHandle[handle]; r != nil {
		r.freed = true
	}
}

// stageRun is the body of POST /stage-run.
type stageRun struct {
	Items []struct {
		ID           string `json:"Id"`
		Stage, Piece int
		Key          string
		Inputs       []string
	}
}

// stageRunner is a stand-in for a runner of a stage.
type stageRunner struct {
	*runner
	results *results
	terms   pieces
	// fault makes the runner write some answers once more; nil for none.
	fault *extraFault
	slot  chan struct{}
}

// extraFault says which answers of the faulty runners are written once more: each every-th one while it is on.
type extraFault struct {
	every int

	mu      sync.Mutex
	on      bool
	answers int
	extras  int
}

func (f *extraFault) set(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.on = on
}

// strikes counts an answer and reports whether it is written once more.
func (f *extraFault) strikes() bool {
	if f == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.on {
		return false
	}
	f.answers++
	if f.answers%f.every != 0 {
		return false
	}
	f.extras++
	return true
}

func (f *extraFault) counts() (answers, extras int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answers, f.extras
}

func (s *stageRunner) serve(c *channel, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/stage-run":
		s.run(c, body)
	case "/stage-free":
		var request struct{ Handles []string }
		_ = json.Unmarshal(body, &request)
		for _, h := range request.Handles {
			s.results.free(h)
		}
		s.deployment.script.note("%s channel %d: results freed: %s", s.id, c.number, strings.Join(request.Handles, " "))
		s.writeExtra(c)
		c.send(response(http.StatusOK, nil, nil))
	default:
		c.send(response(http.StatusOK, http.Header{"Instance-Id": {s.id}}, nil))
	}
	return true
}

// run works on a call. An extra answer to the call before on the channel arrives when three quarters of the work are done.
func (s *stageRunner) run(c *channel, body []byte) {
	var request stageRun
	_ = json.Unmarshal(body, &request)
	s.slot <- struct{}{}
	defer func() { <-s.slot }()
	work := time.Duration((s.terms.CallMs + s.terms.ItemMs*float64(len(request.Items))) * float64(time.Millisecond))
	time.Sleep(work * 3 / 4)
	s.writeExtra(c)
	time.Sleep(work - work*3/4)
	var answer struct{ Items []map[string]string }
	var made []string
	for _, item := range request.Items {
		h := s.results.make(s.addr, item.ID, item.Stage, item.Piece, time.Duration(s.terms.HandleS*float64(time.Second)))
		answer.Items = append(answer.Items, map[string]string{"Handle": h})
		made = append(made, item.ID+"="+h)
	}
	text, _ := json.Marshal(answer)
	message := response(http.StatusOK, http.Header{"Content-Type": {"application/json"}, "Server-Load": {"0,0,1"}}, text)
	if s.fault.strikes() {
		c.extra = message
	}
	s.deployment.script.note("%s channel %d: call done: %s", s.id, c.number, strings.Join(made, " "))
	c.send(message)
}

// writeExtra writes the extra answer of a channel, if there is one.
func (s *stageRunner) writeExtra(c *channel) {
	if c.extra != nil {
		s.deployment.script.note("%s channel %d: TROUBLE: the answer to the call before is written once more", s.id, c.number)
		c.send(c.extra)
		c.extra = nil
	}
}
