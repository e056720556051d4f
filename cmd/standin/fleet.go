package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"godwitplank"
	"godwitplank/timer"
)

// config describes the endpoints of one process.
type config struct {
	// Announce lists callers' addresses of VMs, tried in turn.
	Announce []string `yaml:"announce"`
	Token    string   `yaml:"token"`
	Journal  string   `yaml:"journal"`
	Seed     uint64   `yaml:"seed"`
	Pools    []pool   `yaml:"pools"`
}

// pool describes alike endpoints.
type pool struct {
	Pool       string    `yaml:"pool"`
	Prefix     string    `yaml:"prefix"`
	Count      int       `yaml:"count"`
	DataCentre string    `yaml:"data_centre"`
	Models     []string  `yaml:"models"`
	Slots      int       `yaml:"slots"`
	Announce   []string  `yaml:"announce"`
	Behaviour  behaviour `yaml:",inline"`
}

// behaviour is what may be changed while a stand-in runs.
type behaviour struct {
	LatencyMS int64 `yaml:"latency_ms" json:"latency_ms"`
	TokenMS   int64 `yaml:"token_ms" json:"token_ms"`
	Tokens    int   `yaml:"tokens" json:"tokens"`
	// FailPercent of the calls get status 500 after they ran.
	FailPercent int `yaml:"fail_percent" json:"fail_percent"`
	// Mismatch answers with another request's id, Double with a doubled and disordered stream.
	Mismatch bool `yaml:"mismatch" json:"mismatch"`
	Double   bool `yaml:"double" json:"double"`
	// Hang never answers.
	Hang bool `yaml:"hang" json:"hang"`
	// BreakAfter cuts a stream or an answer after this many tokens; 0 never does.
	BreakAfter int `yaml:"break_after" json:"break_after"`
	// Leaving is announced.
	Leaving bool `yaml:"leaving" json:"leaving"`
	// Mute stops the announcements.
	Mute bool `yaml:"mute" json:"mute"`
}

// fleet is all endpoints of one process.
type fleet struct {
	Config config

	journal   *os.File
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*endpoint
	group     sync.WaitGroup
}

const announceInterval = time.Second

func (f *fleet) run(ctx context.Context, addresses string) error {
	journal, err := os.OpenFile(f.Config.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	f.journal = journal
	f.random = rand.New(rand.NewPCG(f.Config.Seed, 1))
	f.endpoints = make(map[string]*endpoint)
	incarnation := uint64(timer.System.Now().UnixMilli())
	for _, p := range f.Config.Pools {
		for i := range p.Count {
			if err := f.start(ctx, p, fmt.Sprintf("%s-%d", p.Prefix, i+1), incarnation); err != nil {
				return err
			}
		}
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if addresses != "" {
		if err := f.writeAddresses(addresses, control.Addr().String()); err != nil {
			return err
		}
	}
	r := mux.NewRouter()
	r.HandleFunc("/behaviour/{endpoint}", f.serveBehaviour).Methods(http.MethodPut)
	server := &http.Server{Handler: r}
	f.group.Go(func() { _ = server.Serve(control) })
	<-ctx.Done()
	_ = server.Close()
	for _, e := range f.endpoints {
		_ = e.server.Close()
	}
	f.group.Wait()
	return nil
}

func (f *fleet) start(ctx context.Context, p pool, id string, incarnation uint64) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &endpoint{
		fleet: f, pool: p, id: id, incarnation: incarnation, addr: l.Addr().String(),
		behaviour: p.Behaviour, slots: make(chan struct{}, max(1, p.Slots)), running: make(map[string]context.CancelFunc),
	}
	f.endpoints[id] = e
	r := mux.NewRouter()
	r.HandleFunc("/v1/stages/{stage}", e.serveStage).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	e.server = &http.Server{Handler: r}
	f.group.Go(func() { _ = e.server.Serve(l) })
	f.group.Go(func() { e.announceLoop(ctx) })
	return nil
}

// writeAddresses writes the control address and those of the endpoints.
func (f *fleet) writeAddresses(path, control string) error {
	all := map[string]string{"control": control}
	for id, e := range f.endpoints {
		all[id] = e.addr
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o640); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// serveBehaviour changes how one endpoint, or with * each, behaves.
func (f *fleet) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["endpoint"]
	var text bytes.Buffer
	_, _ = text.ReadFrom(r.Body)
	for _, e := range f.endpoints {
		if id != "*" && id != e.id {
			continue
		}
		e.mu.Lock()
		err := json.Unmarshal(text.Bytes(), &e.behaviour)
		e.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.announce(r.Context())
	}
}

func (f *fleet) percent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

// run is one line of the journal.
type runLine struct {
	Endpoint  string          `json:"endpoint"`
	RequestID string          `json:"request_id"`
	Stage     string          `json:"stage"`
	Attempt   int             `json:"attempt"`
	At        time.Time       `json:"at"`
	Input     json.RawMessage `json:"input"`
}

// record appends a run to the journal in one write.
func (f *fleet) record(id string, c godwitplank.StageCall) error {
	line, err := json.Marshal(runLine{id, c.RequestID, c.Stage, c.Attempt, timer.System.Now().UTC(), c.Input})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.journal.Write(append(line, '\n'))
	return err
}
