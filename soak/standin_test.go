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
	"sync/atomic"
	"time"
)

// eventsPerStream is the number of events of a complete stream.
const eventsPerStream = 8

// faultRates sets the faults that an endpoint injects. Rates are probabilities per call, 0 to 1.
type faultRates struct {
	// reset closes the connection after the call ran, refuse answers 503 with Not-Executed, fail answers with an error after
	// the call ran (in stage calls: for single pieces).
	reset, refuse, fail float64
	// quiet is the share of the refused requests with a time without calls.
	quiet float64
	// extraLatency is added to every call.
	extraLatency time.Duration
	// truncate closes the connection in the middle of an event, stall sends no more events but keeps the connection open; both
	// are spread over the events of a stream.
	truncate, stall float64
	// spoil puts bytes that a head cannot hold behind handles, and behind ids of events, spread over the events of a stream, and
	// malforms the heads of other answers.
	spoil float64
}

// checker counts the runs of each request at all endpoints and collects violations of the system's guarantees.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int      // by request ID
	entries    map[string]*process // by request ID: the entry VM that the caller sent it to
	violations []string
	crashes    []time.Time
}

func (c *checker) countRun(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *checker) runCount(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// violation records a violated guarantee, which fails the test in reportResults.
func (c *checker) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// simulatedEndpoint is an HTTP server that acts as one endpoint of a service. VMs reach it through a proxy.
type simulatedEndpoint struct {
	id, service, zone string
	proxy             *proxy
	server            *http.Server
	checker           *checker
	controls          []*process
	startedMs         int64 // Unix milliseconds
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	lastCallMs        atomic.Int64 // time of the last call other than the release of results, in Unix milliseconds

	mu       sync.Mutex
	rng      *rand.Rand
	rates    faultRates
	draining bool
	// silent is true once the endpoint sends no more announcements.
	silent bool
	// leaving is true while the endpoint says in its responses, and only there, that it leaves.
	leaving bool
	notices notices
	limit   statedLimit
	// drainAckedAt is when a control VM first acknowledged an announcement with the state draining; zero if none did.
	drainAckedAt    time.Time
	resultCount     int // makes handles unique
	announcementSeq int
	// restarts is added to startedMs in the announced incarnation.
	restarts int64
}

// startEndpoint starts a simulated endpoint, which serves calls and announces itself to the control VMs until stop is called.
func startEndpoint(subnet string, host int, service string, ch *checker, controls []*process, seed uint64) (*simulatedEndpoint, error) {
	ip := fmt.Sprintf("%s.%d", subnet, host)
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	endpointProxy, err := newProxy(ip+":0", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &simulatedEndpoint{
		id: fmt.Sprintf("i-%s-%d", service, host), service: service, zone: fmt.Sprintf("dc-%d", host%2), proxy: endpointProxy, checker: ch,
		controls: controls, startedMs: time.Now().UnixMilli(), rng: rand.New(rand.NewPCG(seed, uint64(host))),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /stage-run", s.serveStage)
	mux.HandleFunc("POST /stage-free", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serve)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.stateLimit(w)
		if r.URL.Path != "/stage-free" {
			s.lastCallMs.Store(time.Now().UnixMilli())
		}
		mux.ServeHTTP(w, r)
	})}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { _ = s.server.Serve(listener) })
	s.wg.Go(func() { s.announce(ctx) })
	return s, nil
}

func (s *simulatedEndpoint) stop() {
	s.cancel()
	_ = s.server.Close()
	s.proxy.close()
	s.wg.Wait()
}

// shouldInject decides at random whether to inject the fault whose rate is given.
func (s *simulatedEndpoint) shouldInject(rate func(faultRates) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < rate(s.rates)
}

// announce sends an announcement every 400 ms, to the control VMs in turn.
func (s *simulatedEndpoint) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if !silent {
			s.announceTo(ctx, client, s.controls[i%len(s.controls)])
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announceTo sends one announcement to a control VM and reports whether it was acknowledged.
func (s *simulatedEndpoint) announceTo(ctx context.Context, client *http.Client, target *process) bool {
	s.mu.Lock()
	s.announcementSeq++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.proxy.addr(), "Zone": s.zone, "Version": "v1", "Slots": 8, "State": state,
		"Seq": s.announcementSeq, "born": s.startedMs + s.restarts,
	})
	s.mu.Unlock()
	return s.callControl(ctx, client, http.MethodPut, target, state, body)
}

// callControl calls a control VM about this endpoint and reports whether the call was acknowledged.
func (s *simulatedEndpoint) callControl(ctx context.Context, client *http.Client, method string, target *process, state string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.addr(controlPort)+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	s.recordAnnounceAck(state, resp.StatusCode)
	return resp.StatusCode == http.StatusOK
}

// depart ends the announcements and tells one control VM that the endpoint leaves, by a last announcement or by a DELETE. It
// reports whether that was acknowledged. The endpoint serves on.
func (s *simulatedEndpoint) depart(target *process, announce bool) bool {
	s.mu.Lock()
	s.silent, s.draining = true, announce
	s.mu.Unlock()
	// An announcement may be on its way.
	time.Sleep(100 * time.Millisecond)
	client := &http.Client{Timeout: time.Second}
	if announce {
		return s.announceTo(context.Background(), client, target)
	}
	return s.callControl(context.Background(), client, http.MethodDelete, target, "draining", nil)
}

func (s *simulatedEndpoint) recordAnnounceAck(state string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == "draining" && status == http.StatusOK && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
	}
}

// isTarget reports whether a call is meant for this endpoint. It answers any other call with 421.
func (s *simulatedEndpoint) isTarget(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get("Target-Instance") == s.id {
		return true
	}
	w.WriteHeader(http.StatusMisdirectedRequest)
	return false
}

func (s *simulatedEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if !s.isTarget(w, r) {
		return
	}
	id := r.Header.Get("Request-Id")
	if string(body) != "body of "+id {
		s.checker.violation("request %s reached an endpoint with the body %q", id, body)
	}
	if r.Header.Get("Key") != "" || r.Header.Get("Tenant") != "crews" {
		s.checker.violation("request %s reached an endpoint with the caller's key or with a wrong workspace", id)
	}
	s.mu.Lock()
	drainAckedAt := s.drainAckedAt
	s.mu.Unlock()
	s.checkNotices(id)
	s.sayLeaving(w, id)
	if !drainAckedAt.IsZero() && time.Since(drainAckedAt) > 2*time.Second {
		s.checker.violation("drain: request %s reached endpoint %s %s after the acknowledgement that it is draining", id, s.id, time.Since(drainAckedAt))
	}
	w.Header().Set("Request-Id", id)
	if s.shouldInject(func(r faultRates) float64 { return r.refuse }) {
		s.askForQuiet(w, id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") && !s.checkInputs(id, r.Header) {
		return
	}
	s.checker.countRun(id)
	if strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart+":") {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Seal", "seal")
	if strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/chat/") {
		s.stream(w, r, id)
		return
	}
	s.mu.Lock()
	extraLatency := s.rates.extraLatency
	s.mu.Unlock()
	time.Sleep(extraLatency + 10*time.Millisecond)
	switch {
	case s.shouldInject(func(r faultRates) float64 { return r.spoil }):
		s.answerWithMalformedHead(w, id)
		return
	case s.shouldInject(func(r faultRates) float64 { return r.reset }):
		panic(http.ErrAbortHandler)
	case s.shouldInject(func(r faultRates) float64 { return r.fail }):
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, "answer to "+id)
}

func (s *simulatedEndpoint) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = lastEvent + 1
	}
	controller := http.NewResponseController(w)
	for i := first; i <= eventsPerStream; i++ {
		if s.shouldInject(func(r faultRates) float64 { return r.truncate / eventsPerStream }) {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: cut", i)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if s.shouldInject(func(r faultRates) float64 { return r.stall / eventsPerStream }) {
			<-r.Context().Done()
			return
		}
		eventID := strconv.Itoa(i)
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			eventID = s.spoilEventID(eventID)
		}
		_, _ = fmt.Fprintf(w, "id: %s\ndata: %s-%d\n\n", eventID, id, i)
		_ = controller.Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// checkInputs checks that the input handles are the results of this request's last stage, one per piece and in order.
func (s *simulatedEndpoint) checkInputs(id string, h http.Header) bool {
	handles := strings.Split(h.Get("Input-Count"), ",")
	if len(handles) != piecesPerStage {
		s.checker.violation("request %s has %d inputs: %q", id, len(handles), h.Get("Input-Count"))
		return false
	}
	for i, handle := range handles {
		if !strings.Contains(handle, fmt.Sprintf("/%s_1_%d_", id, i)) {
			s.checker.violation("request %s has input %s, which is the result of another piece or request", id, handle)
			return false
		}
	}
	return true
}

func (s *simulatedEndpoint) serveStage(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Items []struct {
			ID           string `json:"Id"`
			Stage, Piece int
			Key          string
			Inputs       []string
		}
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || !s.isTarget(w, r) {
		return
	}
	if s.shouldInject(func(r faultRates) float64 { return r.refuse }) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	extraLatency := s.rates.extraLatency
	s.mu.Unlock()
	time.Sleep(extraLatency + 10*time.Millisecond + time.Duration(len(request.Items))*time.Millisecond)
	if s.shouldInject(func(r faultRates) float64 { return r.reset }) {
		panic(http.ErrAbortHandler)
	}
	var response struct {
		Items []map[string]string
	}
	for _, item := range request.Items {
		switch {
		case item.Stage == 0 && item.Key != "key-"+item.ID:
			s.checker.violation("a piece of request %s has the wrong key %q", item.ID, item.Key)
		case item.Stage == 1 && (len(item.Inputs) != piecesPerStage || !strings.Contains(item.Inputs[0], "/"+item.ID+"_0_0_")):
			s.checker.violation("a piece of request %s has the wrong inputs %v", item.ID, item.Inputs)
		}
		s.mu.Lock()
		s.resultCount++
		handle := fmt.Sprintf("%s/%s_%d_%d_%d", s.proxy.addr(), item.ID, item.Stage, item.Piece, s.resultCount)
		s.mu.Unlock()
		if s.shouldInject(func(r faultRates) float64 { return r.fail }) {
			response.Items = append(response.Items, map[string]string{"Reason": "error"})
			continue
		}
		response.Items = append(response.Items, map[string]string{"Handle": s.spoilHandle(handle)})
	}
	_ = json.NewEncoder(w).Encode(response)
}
