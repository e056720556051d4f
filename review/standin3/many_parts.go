package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of this case. One caller sends prompts of many parts, whose heads stay inside MaxHeaderBytes; ordinary callers send prompts of
// three parts.
const (
	manyRunners      = 2
	manyPrompts      = 160
	manyAtOnce       = 8
	manyParts        = 3700
	ordinaryRequests = 24
	ordinaryPause    = 500 * time.Millisecond
	ordinaryWait     = 15 * time.Second
	routeTimeout     = 8 * time.Second
	answerSlack      = 500 * time.Millisecond
)

// promptTime is how long a long prompt is read.
const promptTime = 2 * time.Second

// shortStream answers each request with a stream of two events. Requests below longPrompts have a long prompt.
type shortStream struct {
	id          string
	runs        *atomic.Int64
	longPrompts string
}

func (s *shortStream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, s.id) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.runs.Add(1)
	if s.longPrompts != "" && strings.HasPrefix(r.URL.Path, s.longPrompts) {
		time.Sleep(promptTime)
	}
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 2; event++ {
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", event, event, id)
	}
}

// playManyParts plays a caller whose prompts have thousands of parts, beside ordinary callers at the same entry VM.
func playManyParts(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runs atomic.Int64
	err = s.start(2, func() error {
		if err := s.configure("many_parts"); err != nil {
			return err
		}
		for i := range manyRunners {
			model := &shortStream{id: fmt.Sprintf("i-%d", i+1), runs: &runs}
			if _, err := s.startRunner(ctx, i, model.id, "llm", zones[i], model); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than ContactMs, so that the machine is in touch
	front := s.entry[0]
	var group sync.WaitGroup
	if trouble {
		rec.printf("a caller sends %d prompts of %d parts, %d at once", manyPrompts, manyParts, manyAtOnce)
		var next atomic.Int64
		for range manyAtOnce {
			group.Go(func() {
				for n := next.Add(1); n <= manyPrompts && ctx.Err() == nil; n = next.Add(1) {
					prefix := fmt.Sprintf("%x:1", 1<<20+n) + strings.Repeat(",1:1", manyParts-1)
					took, result := s.sendPrompt(ctx, front, fmt.Sprintf("many-%d", n), prefix, manyParts)
					rec.printf("many-%d: %s after %.2f s", n, result, took.Seconds())
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	late, unanswered := 0, 0
	var mu sync.Mutex
	var ordinary sync.WaitGroup
	for i := range ordinaryRequests {
		ordinary.Go(func() {
			id := fmt.Sprintf("ordinary-%d", i+1)
			took, result := s.sendPrompt(ctx, front, id, fmt.Sprintf("5c1e07a2:800,91bd3f06:410,%x:250", 1<<28+i), 1460)
			rec.printf("%s: %s after %.2f s", id, result, took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if took > routeTimeout {
				late++
			}
			if took > routeTimeout+answerSlack {
				unanswered++
			}
		})
		time.Sleep(ordinaryPause)
	}
	ordinary.Wait()
	rec.printf("of %d ordinary requests, %d lasted longer than TimeoutMs, and %d of these had no answer %v later; the runners began %d requests", ordinaryRequests, late, unanswered, answerSlack, runs.Load())
	cancel()
	group.Wait()
	return unanswered >= 8 && unanswered*4 > late, nil
}

// sendPrompt sends a streaming request on a channel of its own and returns how long the answer took, at most ordinaryWait.
func (s *system) sendPrompt(ctx context.Context, front *vm, id, prefix string, tokens int) (took time.Duration, result string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryWait}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d/notice/1", front.ip, s.port+routesPort), strings.NewReader("prompt of "+id))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "notice.example"
	request.Header.Set(names.RequestID, id)
	request.Header.Set("Model", "m")
	request.Header.Set(names.Tokens, fmt.Sprintf("%d,30", tokens))
	request.Header.Set(names.Prefix, prefix)
	request.Header.Set(names.Remaining, "8000")
	started := time.Now()
	r, err := client.Do(request)
	if err != nil {
		return time.Since(started), "no answer"
	}
	defer func() { _ = r.Body.Close() }()
	if _, err = io.Copy(io.Discard, r.Body); err != nil {
		return time.Since(started), fmt.Sprintf("status %d, but not the end of the answer", r.StatusCode)
	}
	return time.Since(started), fmt.Sprintf("status %d", r.StatusCode)
}
