package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Terms of a stage's runner, as in configuration.json.
const (
	stageCall  = 150 * time.Millisecond
	stagePiece = 16 * time.Millisecond
	stageKeep  = 4 * time.Second
)

// results holds what the runners of stages have made, for all runners of a deployment.
type results struct {
	mu      sync.Mutex
	expires map[string]time.Time
	next    int
}

func newResults() *results {
	return &results{expires: make(map[string]time.Time)}
}

// make stores a new result and returns its handle.
func (s *results) make(addr string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	handle := fmt.Sprintf("%s/%08x", addr, s.next)
	s.expires[handle] = time.Now().Add(stageKeep)
	return handle
}

// exist reports whether all results in a list of handles exist.
func (s *results) exist(list string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range strings.Split(list, ",") {
		if h != "" && time.Now().After(s.expires[h]) {
			return false
		}
	}
	return true
}

func (s *results) free(handles []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range handles {
		delete(s.expires, h)
	}
}

// stageRunner is a stand-in for a runner of a stage, with one slot.
type stageRunner struct {
	*runner
	results *results
	// spoils reports whether the next answer of a faulty runner has a line break after each handle; nil for a sound one.
	spoils func() bool
	slot   sync.Mutex
}

func (s *stageRunner) serve(c *channel, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case names.Run:
		c.send(response(http.StatusOK, http.Header{"Content-Type": {"application/json"}, "Server-Load": {"0,0,1"}}, s.run(body)))
	case names.Free:
		var request struct{ Handles []string }
		_ = json.Unmarshal(body, &request)
		s.results.free(request.Handles)
		c.send(response(http.StatusOK, nil, nil))
	default:
		c.send(response(http.StatusOK, http.Header{"Instance-Id": {s.id}}, nil))
	}
	return true
}

// run works on a call and returns the body of the answer.
func (s *stageRunner) run(body []byte) []byte {
	var request struct {
		Items []struct {
			ID           string `json:"Id"`
			Stage, Piece int
			Inputs       []string
		}
	}
	_ = json.Unmarshal(body, &request)
	s.slot.Lock()
	defer s.slot.Unlock()
	time.Sleep(stageCall + time.Duration(len(request.Items))*stagePiece)
	var answer struct{ Items []map[string]string }
	var made []string
	lineBreak := ""
	if s.spoils != nil && s.spoils() {
		lineBreak = "\n"
	}
	for _, item := range request.Items {
		if !s.results.exist(strings.Join(item.Inputs, ",")) {
			answer.Items = append(answer.Items, map[string]string{"Reason": "gone"})
			continue
		}
		handle := s.results.make(s.addr)
		made = append(made, fmt.Sprintf("%s/%d/%d", item.ID, item.Stage, item.Piece))
		answer.Items = append(answer.Items, map[string]string{"Handle": handle + lineBreak})
	}
	text, _ := json.Marshal(answer)
	s.deployment.script.note("%s: call done, made %s", s.id, strings.Join(made, " "))
	if lineBreak != "" {
		s.deployment.script.note("%s: TROUBLE: this answer has a line break after each handle", s.id)
	}
	return text
}
