package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The runner of the first stage is down for reusedDown. The next request comes reusedLater after it is back.
const (
	reusedWaiting = 6
	reusedCrash   = 700 * time.Millisecond
	reusedDown    = 600 * time.Millisecond
	reusedLater   = 1200 * time.Millisecond
)

// stageItem is a piece in a call.
type stageItem struct {
	ID     string `json:"Id"`
	Stage  int
	Piece  int
	Inputs []string
}

// stageResult is the result of a piece in the answer to a call.
type stageResult struct {
	Handle string `json:",omitempty"`
	Reason string `json:",omitempty"`
}

// resultStore has the results in the memory of one boot of a runner, by handle.
type resultStore struct {
	mu     sync.Mutex
	made   int
	owners map[string]string
}

// countingRunner numbers its results. It knows nothing of its earlier boots, so that its numbers start anew.
type countingRunner struct {
	record  *record
	id      string
	address string
	callMs  int
	itemMs  int
	// inputs is the runner that made the inputs of this one's pieces; nil for the first stage.
	inputs *atomic.Pointer[resultStore]
	store  atomic.Pointer[resultStore]
	mixed  atomic.Int64
	turn   sync.Mutex
}

func (c *countingRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, c.id) {
		return
	}
	var call struct {
		Items   []stageItem
		Handles []string
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		return
	}
	store := c.store.Load()
	if r.URL.Path == names.Free {
		store.mu.Lock()
		defer store.mu.Unlock()
		for _, h := range call.Handles {
			delete(store.owners, h)
		}
		return
	}
	c.turn.Lock()
	results := make([]stageResult, len(call.Items))
	for i, item := range call.Items {
		results[i] = c.run(store, item)
	}
	time.Sleep(time.Duration(c.callMs+c.itemMs*len(call.Items)) * time.Millisecond)
	c.turn.Unlock()
	if store != c.store.Load() {
		return // the runner has crashed meanwhile
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Items": results})
}

// run fetches the inputs of a piece and stores its result.
func (c *countingRunner) run(store *resultStore, item stageItem) stageResult {
	for _, h := range item.Inputs {
		from := c.inputs.Load()
		from.mu.Lock()
		owner, ok := from.owners[h]
		from.mu.Unlock()
		switch {
		case !ok:
			c.record.printf("runner %s: piece %d of %s: its input %s is gone", c.id, item.Piece, item.ID, h)
			return stageResult{Reason: "gone"}
		case owner != item.ID:
			c.mixed.Add(1)
			c.record.printf("runner %s: piece %d of %s: MIXED: it is given the input %s, which is a result of %s", c.id, item.Piece, item.ID, h, owner)
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.made++
	handle := fmt.Sprintf("%s/%08x", c.address, store.made)
	store.owners[handle] = item.ID
	c.record.printf("runner %s made piece %d of %s: %s", c.id, item.Piece, item.ID, handle)
	return stageResult{Handle: handle}
}

// playReusedHandle plays a runner of a stage that crashes and starts again under its id while requests wait for the next stage.
func playReusedHandle(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	feed := &countingRunner{record: rec, id: "i-feed", address: s.runnerAddress(1), callMs: 150, itemMs: 16}
	feed.store.Store(&resultStore{owners: map[string]string{}})
	roster := &countingRunner{record: rec, id: "i-roster", address: s.runnerAddress(2), callMs: 700, itemMs: 30, inputs: &feed.store}
	roster.store.Store(&resultStore{owners: map[string]string{}})
	boot, crash := context.WithCancel(ctx)
	defer crash()
	err = s.start(2, func() error {
		if err := s.configure("reused_handle"); err != nil {
			return err
		}
		if _, err := s.startRunner(ctx, 0, "i-llm", "llm", zones[0], &shortStream{id: "i-llm", runs: &atomic.Int64{}}); err != nil {
			return err
		}
		if _, err := s.startRunner(boot, 1, feed.id, "feed", zones[1], feed); err != nil {
			return err
		}
		_, err := s.startRunner(ctx, 2, roster.id, "roster", zones[2], roster)
		return err
	})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	for i := range reusedWaiting {
		group.Go(func() { s.sendPieces(s.entry[i%2], fmt.Sprintf("waiting-%d", i+1), "1,4") })
	}
	time.Sleep(reusedCrash)
	if trouble {
		rec.printf("runner %s crashes", feed.id)
		crash()
		time.Sleep(reusedDown)
		feed.store.Store(&resultStore{owners: map[string]string{}})
		if _, err := s.startRunner(ctx, 1, feed.id, "feed", zones[1], feed); err != nil {
			return false, err
		}
		rec.printf("runner %s has started again", feed.id)
	} else {
		time.Sleep(reusedDown)
	}
	time.Sleep(reusedLater)
	group.Go(func() { s.sendPieces(s.entry[0], "later-1", "8,1") })
	group.Wait()
	rec.printf("%d pieces were given inputs of another request", roster.mixed.Load())
	return roster.mixed.Load() > 0, nil
}

// sendPieces sends a request with stages on a channel of its own.
func (s *system) sendPieces(front *vm, id, counts string) {
	request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/notice/1", front.ip, s.port+routesPort), strings.NewReader("prompt of "+id))
	request.Host = "notice.example"
	for name, value := range map[string]string{
		names.RequestID: id, "Model": "m", names.Tokens: "100,30", names.Prefix: "5c1e07a2:100", names.Remaining: "8000",
		names.Pieces: counts, names.PieceKey: "key-" + id,
	} {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true}, Timeout: 10 * time.Second}
	s.record.printf("consumer sends %s with Piece-Count %s", id, counts)
	r, err := client.Do(request)
	if err != nil {
		s.record.printf("consumer: %s has no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	s.record.printf("consumer: %s has status %d, %d bytes, error %v", id, r.StatusCode, len(body), err)
}
