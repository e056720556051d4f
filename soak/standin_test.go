package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// events is the number of events of a whole stream.
const events = 8

// rates are the shares of calls that an endpoint treats badly.
type rates struct {
	// reset closes the connection after the run, refuse answers that nothing ran, fail answers with a failure.
	reset, refuse, fail float64
	// slow is added to the time of a call for pieces.
	slow time.Duration
	// cut ends a stream early, stall lets one stand still.
	cut, stall float64
}

// ledger is what all endpoints did.
type ledger struct {
	mu     sync.Mutex
	runs   map[string]int
	faults []string
}

func (l *ledger) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) ran(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// broken notes a promise that was broken.
func (l *ledger) broken(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// standin is one endpoint of a service, behind a proxy.
type standin struct {
	id, service, zone string
	proxy             *proxy
	server            *http.Server
	ledger            *ledger
	controls          []*process
	born              int64
	cancel            context.CancelFunc
	group             sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	rates    rates
	draining bool
	// drained is when a control VM acknowledged that the endpoint drains.
	drained time.Time
	made    int
	seq     int
}

// startStandin serves an endpoint and announces it until stop is called.
func startStandin(subnet string, host int, service string, l *ledger, controls []*process, seed uint64) (*standin, error) {
	ip := fmt.Sprintf("%s.%d", subnet, host)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	through, err := newProxy(ip+":0", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &standin{
		id: fmt.Sprintf("i-%s-%d", service, host), service: service, zone: fmt.Sprintf("dc-%d", host%2), proxy: through, ledger: l,
		controls: controls, born: time.Now().UnixMilli(), random: rand.New(rand.NewPCG(seed, uint64(host))),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage-run", s.serveStage)
	mux.HandleFunc("POST /stage-free", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serve)
	s.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group.Go(func() { _ = s.server.Serve(listener) })
	s.group.Go(func() { s.announce(ctx) })
	return s, nil
}

func (s *standin) stop() {
	s.cancel()
	_ = s.server.Close()
	s.proxy.close()
	s.group.Wait()
}

func (s *standin) chance(share func(rates) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < share(s.rates)
}

func (s *standin) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	ticks := time.NewTicker(400 * time.Millisecond)
	defer ticks.Stop()
	for i := 0; ; i++ {
		s.mu.Lock()
		s.seq++
		state := "ready"
		if s.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"Service": s.service, "Address": s.proxy.addr(), "Zone": s.zone, "Version": "v1", "Slots": 8, "State": state,
			"Seq": s.seq, "born": s.born,
		})
		s.mu.Unlock()
		target := s.controls[i%len(s.controls)]
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target.addr(controlPort)+"/instances/"+s.id, bytes.NewReader(body))
		if err == nil {
			if answer, err := client.Do(r); err == nil {
				s.acknowledged(state, answer.StatusCode)
				_ = answer.Body.Close()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (s *standin) acknowledged(state string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "draining" && status == http.StatusOK && s.drained.IsZero() {
		s.drained = time.Now()
	}
}

// addressed answers a call that is meant for another endpoint.
func (s *standin) addressed(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Target-Instance") == s.id {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (s *standin) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	if !s.addressed(w, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Key") != "" || r.Header.Get("Tenant") != "crews" {
		s.ledger.broken("request %s reached an endpoint with its key, or without its workspace", id)
	}
	s.mu.Lock()
	drained := s.drained
	s.mu.Unlock()
	if !drained.IsZero() && time.Since(drained) > 2*time.Second {
		s.ledger.broken("drain: request %s reached %s %s after its leaving was acknowledged", id, s.id, time.Since(drained))
	}
	w.Header().Set("Request-Id", id)
	if s.chance(func(r rates) float64 { return r.refuse }) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") && !s.inputsBelong(id, r.Header) {
		return
	}
	s.ledger.run(id)
	w.Header().Set("Server-Seal", "seal")
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/chat/") {
		s.stream(w, r, id)
		return
	}
	time.Sleep(10 * time.Millisecond)
	switch {
	case s.chance(func(r rates) float64 { return r.reset }):
		panic(http.ErrAbortHandler)
	case s.chance(func(r rates) float64 { return r.fail }):
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

func (s *standin) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	flusher := http.NewResponseController(w)
	for i := first; i <= events; i++ {
		if s.chance(func(r rates) float64 { return r.cut / events }) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: cut", i)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if s.chance(func(r rates) float64 { return r.stall / events }) {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = flusher.Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// inputsBelong checks that the results are those of the request's own last stage, each once and in order.
func (s *standin) inputsBelong(id string, h http.Header) bool {
	handles := strings.Split(h.Get("Input-Count"), ",")
	if len(handles) != pieces {
		s.ledger.broken("request %s has %d inputs: %q", id, len(handles), h.Get("Input-Count"))
		return false
	}
	for i, handle := range handles {
		if !strings.Contains(handle, fmt.Sprintf("/%s_1_%d_", id, i)) {
			s.ledger.broken("request %s has the input %s of another piece", id, handle)
			return false
		}
	}
	return true
}

func (s *standin) serveStage(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []struct {
			ID           string `json:"Id"`
			Stage, Piece int
			Key          string
			Inputs       []string
		}
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || !s.addressed(w, r) {
		return
	}
	if s.chance(func(r rates) float64 { return r.refuse }) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	slow := s.rates.slow
	s.mu.Unlock()
	time.Sleep(slow + 10*time.Millisecond + time.Duration(len(call.Items))*time.Millisecond)
	if s.chance(func(r rates) float64 { return r.reset }) {
		panic(http.ErrAbortHandler)
	}
	var answer struct {
		Items []map[string]string
	}
	for _, item := range call.Items {
		switch {
		case item.Stage == 0 && item.Key != "key-"+item.ID:
			s.ledger.broken("piece of %s has the key %q", item.ID, item.Key)
		case item.Stage == 1 && (len(item.Inputs) != pieces || !strings.Contains(item.Inputs[0], "/"+item.ID+"_0_0_")):
			s.ledger.broken("piece of %s has the inputs %v", item.ID, item.Inputs)
		}
		s.mu.Lock()
		s.made++
		handle := fmt.Sprintf("%s/%s_%d_%d_%d", s.proxy.addr(), item.ID, item.Stage, item.Piece, s.made)
		s.mu.Unlock()
		if s.chance(func(r rates) float64 { return r.fail }) {
			answer.Items = append(answer.Items, map[string]string{"Reason": "error"})
			continue
		}
		answer.Items = append(answer.Items, map[string]string{"Handle": handle})
	}
	_ = json.NewEncoder(w).Encode(answer)
}
