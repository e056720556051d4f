package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/stage"
)

// endpoint is one simulated endpoint with its own HTTP server.
type endpoint struct {
	fleet       *fleet
	pool        pool
	id          string
	incarnation uint64
	addr        string
	server      *http.Server
	slots       chan struct{}

	mu          sync.Mutex
	behaviour   behaviour
	sequence    uint64
	targetIndex int
	queued      int
	cancels     map[string]context.CancelFunc
}

func (e *endpoint) announceLoop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		e.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// announce sends one announcement. After a failure the next announcement goes to the next address in the list.
func (e *endpoint) announce(ctx context.Context) {
	e.mu.Lock()
	e.sequence++
	a := godwitplank.Announcement{
		EndpointID: e.id, Incarnation: e.incarnation, Sequence: e.sequence, Address: e.addr,
		DataCentre: e.pool.DataCentre, Pool: e.pool.Pool, Models: e.pool.Models, Slots: max(1, e.pool.Slots),
		Load: godwitplank.Load{Running: len(e.slots), Queued: e.queued}, Leaving: e.behaviour.Leaving,
	}
	mute, targetIndex := e.behaviour.Mute, e.targetIndex
	e.mu.Unlock()
	targets := e.pool.Announce
	if len(targets) == 0 {
		targets = e.fleet.Config.Announce
	}
	if mute || len(targets) == 0 {
		return
	}
	if e.post(ctx, targets[targetIndex%len(targets)], a) != nil {
		e.mu.Lock()
		e.targetIndex++
		e.mu.Unlock()
	}
}

func (e *endpoint) post(ctx context.Context, target string, a godwitplank.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceInterval/2)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+"/v1/endpoints/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+e.fleet.Config.Token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the announcement was refused with status %d", response.StatusCode)
	}
	return nil
}

func (e *endpoint) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if cancel := e.cancels[mux.Vars(r)["id"]]; cancel != nil {
		cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *endpoint) serveStage(w http.ResponseWriter, r *http.Request) {
	var c godwitplank.StageCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || c.Stage != mux.Vars(r)["stage"] {
		http.Error(w, "the request body is not a call of this stage", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	e.mu.Lock()
	b := e.behaviour
	e.cancels[c.RequestID] = cancel
	e.queued++
	e.mu.Unlock()
	defer e.removeCancel(c.RequestID)
	if !e.acquireSlot(ctx) {
		return
	}
	defer func() { <-e.slots }()
	if err := e.fleet.recordCall(e.id, c); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.respond(ctx, w, c, b)
}

func (e *endpoint) removeCancel(requestID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, requestID)
}

// acquireSlot waits for a free slot and reports whether it got one before ctx was done.
func (e *endpoint) acquireSlot(ctx context.Context) bool {
	defer func() {
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *endpoint) respond(ctx context.Context, w http.ResponseWriter, c godwitplank.StageCall, b behaviour) {
	if b.Hang {
		<-ctx.Done()
		return
	}
	if !sleep(ctx, b.LatencyMS) {
		return
	}
	if e.fleet.randomPercent() < b.FailPercent {
		http.Error(w, "simulated failure", http.StatusInternalServerError)
		return
	}
	if b.Mismatch {
		c.RequestID = "another-request"
	}
	if c.Stream {
		e.respondStream(ctx, w, c, b)
		return
	}
	if b.BreakAfter > 0 || !sleep(ctx, b.TokenMS*int64(b.Tokens)) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newAnswer(c, b))
}

func (e *endpoint) respondStream(ctx context.Context, w http.ResponseWriter, c godwitplank.StageCall, b behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	indexes := make([]int, 0, b.Tokens)
	for i := c.ResumeFrom; i < b.Tokens; i++ {
		indexes = append(indexes, i)
	}
	if b.Double {
		indexes = reorderAndDuplicate(indexes)
	}
	for n, i := range indexes {
		if b.BreakAfter > 0 && n == b.BreakAfter {
			panic(http.ErrAbortHandler)
		}
		if !sleep(ctx, b.TokenMS) {
			return
		}
		_ = stage.WriteEvent(w, "token", godwitplank.StageToken{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Index: i, Text: tokenText(c, i)})
	}
	_ = stage.WriteEvent(w, "done", newAnswer(c, b))
}

// reorderAndDuplicate swaps neighbouring token indexes and then, from the last one back, appends every third again.
func reorderAndDuplicate(indexes []int) []int {
	var out []int
	for i := 0; i+1 < len(indexes); i += 2 {
		out = append(out, indexes[i+1], indexes[i])
	}
	if len(indexes)%2 == 1 {
		out = append(out, indexes[len(indexes)-1])
	}
	for i := len(out) - 1; i >= 0; i -= 3 {
		out = append(out, out[i])
	}
	return out
}

// sleep reports whether the time passed before ctx was done.
func sleep(ctx context.Context, ms int64) bool {
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stageOutput is the output of a simulated stage: the pipeline's input and the stages passed so far, so that tests can
// check the route of a request. Text is the concatenation of the stage's tokens.
type stageOutput struct {
	Input json.RawMessage `json:"input"`
	Path  []string        `json:"path"`
	Text  string          `json:"text,omitempty"`
}

// decodeInput returns the output of the previous stage, or for the first stage an output that holds only the input.
func decodeInput(c godwitplank.StageCall) stageOutput {
	var previous stageOutput
	if json.Unmarshal(c.Input, &previous) != nil || len(previous.Path) == 0 {
		previous = stageOutput{Input: c.Input}
	}
	return previous
}

func tokenText(c godwitplank.StageCall, i int) string {
	return fmt.Sprintf("%s#%d ", bytes.Trim(decodeInput(c).Input, `"`), i)
}

func newAnswer(c godwitplank.StageCall, b behaviour) godwitplank.StageAnswer {
	result := decodeInput(c)
	result.Path = append(result.Path, c.Stage)
	for i := range b.Tokens {
		result.Text += tokenText(c, i)
	}
	output, err := json.Marshal(result)
	if err != nil {
		panic(err)
	}
	return godwitplank.StageAnswer{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Output: output}
}
