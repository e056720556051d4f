package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The streams of this case: events at a steady pace, and one pause in which the runner has preempted the request.
const (
	silentStreams    = 6
	silentEvents     = 12
	silentPace       = 150 * time.Millisecond
	silentPauseAfter = 5
	silentPause      = 1300 * time.Millisecond
	silentStopAfter  = 300 * time.Millisecond
)

// silentRun is what the runner knows of one request.
type silentRun struct {
	events   int
	complete bool
	cutBy    string
	ended    time.Time
}

// silentRunner streams events. It pauses once in each stream if pause is set.
type silentRunner struct {
	record *record
	id     string
	pause  bool

	mu   sync.Mutex
	runs map[string]*silentRun
}

func (s *silentRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if misdirected(w, r, s.id) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(names.RequestID)
	run := &silentRun{}
	s.mu.Lock()
	s.runs[id] = run
	s.mu.Unlock()
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	s.record.printf("runner %s begins request %s at event %d", s.id, id, first)
	w.Header().Set(names.RequestID, id)
	w.Header().Set(names.Seal, "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for event := first; event <= silentEvents; event++ {
		if s.pause && event == silentPauseAfter+1 {
			s.record.printf("runner %s preempts request %s for %v", s.id, id, silentPause)
			if !s.wait(r, run, silentPause) {
				return
			}
		}
		if !s.wait(r, run, silentPace) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", event, event, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.mu.Lock()
		run.events = event
		s.mu.Unlock()
	}
	s.mu.Lock()
	run.complete, run.ended = true, time.Now()
	s.mu.Unlock()
	s.record.printf("runner %s completed request %s", s.id, id)
}

// wait waits for a time and returns false if the system closes the channel meanwhile.
func (s *silentRunner) wait(r *http.Request, run *silentRun, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		s.mu.Lock()
		run.cutBy, run.ended = "the system", time.Now()
		s.mu.Unlock()
		s.record.printf("runner %s: the system closed the channel of request %s after event %d", s.id, r.Header.Get(names.RequestID), run.events)
		return false
	}
}

// playSilentStream plays a planned stop of an entry VM while a runner pauses in its streams.
func playSilentStream(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	model := &silentRunner{record: rec, id: "i-1", pause: trouble, runs: make(map[string]*silentRun)}
	err = s.start(2, func() error {
		if err := s.configure("silent_stream"); err != nil {
			return err
		}
		_, err := s.startRunner(ctx, 1, model.id, "llm", zones[0], model)
		return err
	})
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // longer than ContactMs, so that the machine is in touch
	front := s.entry[0]
	var group sync.WaitGroup
	errs := make([]error, silentStreams)
	for i := range silentStreams {
		group.Go(func() { errs[i] = s.consumeStream(front, fmt.Sprintf("request-%d", i+1)) })
	}
	time.Sleep(silentStopAfter)
	stopped := time.Now()
	s.signal(front, syscall.SIGTERM)
	group.Wait()
	cut := 0
	for i, err := range errs {
		id := fmt.Sprintf("request-%d", i+1)
		model.mu.Lock()
		run := model.runs[id]
		model.mu.Unlock()
		switch {
		case run == nil:
			return false, fmt.Errorf("%s did not reach the runner: %w", id, err)
		case err != nil && run.cutBy != "" && run.ended.Sub(stopped) < graceS*time.Second*5/6:
			cut++
			rec.printf("%s: LOST: its channel ended without its end, %.1f s after SIGTERM; the runner was at work on it until the system closed the channel", id, run.ended.Sub(stopped).Seconds())
		case err != nil:
			rec.printf("%s failed, which the rule excuses: %v", id, err)
		}
	}
	rec.printf("%d of %d streams were cut", cut, silentStreams)
	return cut > 0, nil
}

var errIncomplete = errors.New("the channel ended without the end of the answer")

// consumeStream sends one streaming request on a channel of its own and reads its answer.
func (s *system) consumeStream(front *vm, id string) error {
	client := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}, Timeout: 15 * time.Second}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/chat/1", front.ip, s.port+routesPort), strings.NewReader("prompt of "+id))
	if err != nil {
		return err
	}
	request.Host = "chat.example"
	request.Header.Set(names.RequestID, id)
	request.Header.Set("Model", "m")
	request.Header.Set(names.Tokens, "300,36")
	request.Header.Set(names.Prefix, "5c1e07a2:200,"+strconv.FormatInt(time.Now().UnixNano(), 16)+":100")
	request.Header.Set(names.Remaining, "15000")
	s.record.printf("consumer sends %s to %s", id, front.name)
	r, err := client.Do(request)
	if err != nil {
		s.record.printf("consumer: %s has no answer: %v", id, err)
		return err
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	events := strings.Count(string(body), "\n\n")
	s.record.printf("consumer: %s has status %d, %d events, error %v", id, r.StatusCode, events, err)
	if err == nil && r.StatusCode == http.StatusOK && events == silentEvents {
		return nil
	}
	return errors.Join(errIncomplete, err)
}
