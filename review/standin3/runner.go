package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const heartbeatPeriod = 1200 * time.Millisecond

// runner is a stand-in of a runner that registers itself at the control VMs.
type runner struct {
	system  *system
	id      string
	service string
	zone    string
	address string
	born    int64

	mu    sync.Mutex
	seq   int
	state string
}

// startRunner starts a runner at the nth address and registers it until ctx ends. It answers requests with handler.
func (s *system) startRunner(ctx context.Context, n int, id, service, zone string, handler http.Handler) (*runner, error) {
	l, err := s.listenRunner(n)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	w := &runner{id: id, service: service, zone: zone, address: l.Addr().String()}
	s.registerRunner(ctx, w)
	return w, nil
}

// listenRunner listens at the nth address of runners.
func (s *system) listenRunner(n int) (net.Listener, error) {
	return net.Listen("tcp", s.runnerAddress(n))
}

func (s *system) runnerAddress(n int) string {
	return fmt.Sprintf("%s.%d:%d", s.network, 100+n, s.port+runnerPort)
}

// registerRunner sends the status reports of a runner until ctx ends.
func (s *system) registerRunner(ctx context.Context, w *runner) {
	w.system, w.born, w.state = s, time.Now().UnixMilli(), "ready"
	go func() {
		for ctx.Err() == nil {
			w.report()
			time.Sleep(heartbeatPeriod)
		}
	}()
}

// report sends a status report.
func (w *runner) report() {
	w.mu.Lock()
	w.seq++
	body, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": 128, "State": w.state, "ColdLeftMs": 0,
		"Stage": "colocated", "Models": []map[string]any{{"Name": "m", "Version": 1, "Adapters": []string{}}}, "Seq": w.seq, "born": w.born,
	})
	w.mu.Unlock()
	_, _ = w.system.call(http.MethodPut, names.Instances+w.id, body)
}

// misdirected answers a request that names another runner, and reports whether it did.
func misdirected(w http.ResponseWriter, r *http.Request, id string) bool {
	if target := r.Header.Get(names.Target); target == "" || target == id {
		return false
	}
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}
