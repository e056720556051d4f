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

// config is the configuration file: the simulated endpoints of one process.
type config struct {
	// Announce lists the callers' addresses of VMs to announce to; after a failure the next one is used.
	Announce []string `yaml:"announce"`
	// Token is the bearer token of the announcements.
	Token string `yaml:"token"`
	// Journal is the path of the file that a line is appended to for each stage call.
	Journal string `yaml:"journal"`
	Seed    uint64 `yaml:"seed"`
	Pools   []pool `yaml:"pools"`
}

// pool configures Count identical endpoints with the IDs Prefix-1, Prefix-2 and so on. Its Announce, if set, replaces
// that of config.
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

// behaviour holds the settings of an endpoint that can be changed at run time through the control address.
type behaviour struct {
	// LatencyMS passes before a response starts, and TokenMS before each of its Tokens tokens.
	LatencyMS int64 `yaml:"latency_ms" json:"latency_ms"`
	TokenMS   int64 `yaml:"token_ms" json:"token_ms"`
	Tokens    int   `yaml:"tokens" json:"tokens"`
	// FailPercent is the percentage of calls that fail with status 500 after they were recorded and LatencyMS passed.
	FailPercent int `yaml:"fail_percent" json:"fail_percent"`
	// Mismatch returns the ID of another request; Double reorders and duplicates the tokens of a stream.
	Mismatch bool `yaml:"mismatch" json:"mismatch"`
	Double   bool `yaml:"double" json:"double"`
	// Hang never responds to a call.
	Hang bool `yaml:"hang" json:"hang"`
	// BreakAfter drops the connection of a stream after this many tokens, and of other calls without a response; 0
	// disables it.
	BreakAfter int `yaml:"break_after" json:"break_after"`
	// Leaving announces that the endpoint is draining, with the flag leaving.
	Leaving bool `yaml:"leaving" json:"leaving"`
	// Mute stops announcements.
	Mute bool `yaml:"mute" json:"mute"`
}

// fleet runs all simulated endpoints of one process.
type fleet struct {
	Config config

	journal   *os.File
	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[string]*endpoint
	wg        sync.WaitGroup
}

const announceInterval = time.Second

func (f *fleet) run(ctx context.Context, addressesPath string) error {
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
			if err := f.startEndpoint(ctx, p, fmt.Sprintf("%s-%d", p.Prefix, i+1), incarnation); err != nil {
				return err
			}
		}
	}
	controlListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if addressesPath != "" {
		if err := f.writeAddresses(addressesPath, controlListener.Addr().String()); err != nil {
			return err
		}
	}
	r := mux.NewRouter()
	r.HandleFunc("/behaviour/{endpoint}", f.serveBehaviour).Methods(http.MethodPut)
	server := &http.Server{Handler: r}
	f.wg.Go(func() { _ = server.Serve(controlListener) })
	<-ctx.Done()
	_ = server.Close()
	for _, e := range f.endpoints {
		_ = e.server.Close()
	}
	f.wg.Wait()
	return nil
}

func (f *fleet) startEndpoint(ctx context.Context, p pool, id string, incarnation uint64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &endpoint{
		fleet: f, pool: p, id: id, incarnation: incarnation, addr: listener.Addr().String(),
		behaviour: p.Behaviour, slots: make(chan struct{}, max(1, p.Slots)), cancels: make(map[string]context.CancelFunc),
	}
	f.endpoints[id] = e
	r := mux.NewRouter()
	r.HandleFunc("/v1/stages/{stage}", e.serveStage).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	e.server = &http.Server{Handler: r}
	f.wg.Go(func() { _ = e.server.Serve(listener) })
	f.wg.Go(func() { e.announceLoop(ctx) })
	return nil
}

// writeAddresses atomically writes a JSON file with the control address and the address of each endpoint by ID.
func (f *fleet) writeAddresses(path, controlAddr string) error {
	addresses := map[string]string{"control": controlAddr}
	for id, e := range f.endpoints {
		addresses[id] = e.addr
	}
	text, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o640); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// serveBehaviour changes the behaviour of one endpoint, or of all with the ID *, and announces it at once. Settings
// missing from the JSON body keep their values.
func (f *fleet) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["endpoint"]
	var body bytes.Buffer
	_, _ = body.ReadFrom(r.Body)
	for _, e := range f.endpoints {
		if id != "*" && id != e.id {
			continue
		}
		e.mu.Lock()
		err := json.Unmarshal(body.Bytes(), &e.behaviour)
		e.mu.Unlock()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.announce(r.Context())
	}
}

func (f *fleet) randomPercent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(100)
}

// journalLine is one line of the journal, a JSON record of a stage call that got a slot.
type journalLine struct {
	Endpoint  string          `json:"endpoint"`
	RequestID string          `json:"request_id"`
	Stage     string          `json:"stage"`
	Attempt   int             `json:"attempt"`
	At        time.Time       `json:"at"`
	Input     json.RawMessage `json:"input"`
}

// recordCall appends a stage call to the journal in a single write.
func (f *fleet) recordCall(endpointID string, c godwitplank.StageCall) error {
	line, err := json.Marshal(journalLine{endpointID, c.RequestID, c.Stage, c.Attempt, timer.System.Now().UTC(), c.Input})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.journal.Write(append(line, '\n'))
	return err
}
