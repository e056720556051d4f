package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"godwitplank"
	"godwitplank/control"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/pipeline"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/timer"
	"godwitplank/workspace"
)

// fixedViews always returns the same view, and an empty lease for every announcement.
type fixedViews struct {
	view *control.View
}

func (f fixedViews) View() *control.View { return f.view }

func (f fixedViews) Announce(context.Context, godwitplank.Announcement, string) (godwitplank.Lease, error) {
	return godwitplank.Lease{}, nil
}

// echo is an endpoint that answers each stage call immediately with the input as output.
func echo(w http.ResponseWriter, r *http.Request) {
	var c godwitplank.StageCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(godwitplank.StageAnswer{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Output: c.Input})
}

// newTestServer returns a Server for one pipeline with the given number of stages, all of them served by one echo endpoint.
func newTestServer(tb testing.TB, stages int) *Server {
	tb.Helper()
	server := httptest.NewServer(http.HandlerFunc(echo))
	tb.Cleanup(server.Close)
	d := &document.Document{
		Version:    1,
		Pipelines:  []document.Pipeline{{Name: "p", DeadlineMS: 4000}},
		Workspaces: []document.Workspace{{Name: "w", KeySHA256: document.SHA256([]byte("key")), RequestsPerSecond: 1e9, ConcurrentRequests: 1e6}},
	}
	for i := range stages {
		d.Pipelines[0].Stages = append(d.Pipelines[0].Stages, document.Stage{Name: fmt.Sprintf("s%d", i), Pool: "q"})
	}
	text, _ := d.Canonical()
	d, err := document.ParseCanonical(text)
	if err != nil {
		tb.Fatal(err)
	}
	candidates := []route.Candidate{{ID: "e", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 100, ExpiresAt: time.Now().Add(time.Hour), Stats: &route.Stats{}}}
	views := fixedViews{&control.View{Document: d}}
	runner := &pipeline.Runner{
		Policy: route.Policies[route.DefaultPolicy](), Client: stage.NewClient(), Clock: timer.System,
		Pools: pipeline.PoolsFunc(func(string) []route.Candidate { return candidates }),
	}
	tb.Cleanup(runner.Wait)
	return &Server{Views: views, Announcer: views, Runner: runner, Limiter: &workspace.Limiter{}, Clock: timer.System, Log: event.Logger{}}
}

// BenchmarkRequest measures a complete request against an endpoint that answers immediately. The increase per stage is
// the cost of one stage call, including the endpoint's share.
func BenchmarkRequest(b *testing.B) {
	for _, stages := range []int{1, 3, 6} {
		b.Run(fmt.Sprintf("stages=%d", stages), func(b *testing.B) {
			h := newTestServer(b, stages).Handler()
			b.ReportAllocs()
			for b.Loop() {
				r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/p/requests", strings.NewReader(`{"input":"x"}`))
				r.Header.Set("Authorization", "Bearer key")
				w := httptest.NewRecorder()
				h.ServeHTTP(w, r)
				if w.Code != http.StatusOK {
					b.Fatal(w.Body.String())
				}
			}
		})
	}
}

// BenchmarkDirect measures one stage call without the daemon. The difference to the cost per stage in BenchmarkRequest
// is the daemon's overhead.
func BenchmarkDirect(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(echo))
	b.Cleanup(server.Close)
	for b.Loop() {
		response, err := server.Client().Post(server.URL+"/v1/stages/s0", "application/json", strings.NewReader(`{"request_id":"r","stage":"s0","attempt":1,"input":"x"}`))
		if err != nil {
			b.Fatal(err)
		}
		var a godwitplank.StageAnswer
		if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}
