package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	charm "github.com/charmbracelet/log"
	"github.com/matryer/is"

	"godwitplank/control"
	"godwitplank/crash"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/link"
	"godwitplank/piece"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/timer"
)

// fixedState is a view and the services in it, with the VM vm-a as the only dispatcher.
type fixedState struct {
	view *control.View
}

func (s fixedState) View() *control.View                     { return s.view }
func (s fixedState) Endpoints(name string) []route.Candidate { return s.view.Pools[name] }
func (s fixedState) Holders(name string) []route.Candidate   { return s.view.Pools[name] }

func (s fixedState) Service(name string) *document.Service              { return s.view.Document.Service(name) }
func (s fixedState) LinkClient(context.Context, string) link.LinkClient { return nil }
func (s fixedState) DispatcherVMs() []string                            { return []string{"vm-a"} }
func (s fixedState) SettleTime() time.Duration                          { return 0 }

const explainedDocument = `
version: 7
workspaces:
  - {name: w, key_sha256: "` + sha256OfSecret + `", unlimited: true, priority: 2, ranks_requests: true}
services:
  - {name: engine, engine: {slots: 8, cache_tokens: 100000}}
  - {name: plain}
  - {name: pieces, batch: {pieces: 8, call_ms: 100, piece_ms: 5}}
routes:
  - {name: chat, host: chat, path_prefix: /, kind: repeatable, timeout_ms: 9000, target_latency_ms: 2000, priority: 3, services: [{service: engine, weight: 1}], stages: [{service: pieces}]}
  - {name: plain, host: plain, path_prefix: /, kind: repeatable, timeout_ms: 5000, services: [{service: plain, weight: 1}], public: true}
`

const sha256OfSecret = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

// newExplainer returns an explainer over a number of endpoints per service, and the buffer that its log goes to.
func newExplainer(t testing.TB, endpoints int) (*Explainer, *bytes.Buffer) {
	t.Helper()
	d, err := document.Parse([]byte(explainedDocument))
	if err != nil {
		t.Fatalf("%v: %v", err, fault.As(err).FieldErrors)
	}
	now := time.Unix(1_000_000, 0)
	clock := timer.ClockFunc(func() time.Time { return now })
	state := fixedState{&control.View{Document: d, Pools: make(map[string][]route.Candidate), EntryVMs: []string{"vm-a"}}}
	for _, s := range d.Services {
		for i := range endpoints {
			state.view.Pools[s.Name] = append(state.view.Pools[s.Name], route.Candidate{
				ID: fmt.Sprintf("%s-%d", s.Name, i), Addr: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "dc", ExpiresAt: now.Add(time.Hour),
				Incarnation: 1, Confirmed: true, SendingVMs: 1, Stats: &route.Stats{},
			})
		}
	}
	var log bytes.Buffer
	logger := event.NewLogger(&log, charm.DebugLevel, "vm-a")
	dispatcher := piece.NewDispatcher(state, nil, nil, &retry.Budget{Ratio: 0.1, Slack: 10, Window: time.Second}, &route.Reachability{}, clock, nil, logger)
	return &Explainer{
		Policy: route.DefaultPolicy, Broker: piece.NewBroker("vm-a", state, dispatcher, clock, logger),
		Gateway: &Gateway{
			DataCentre: "dc", Views: state, Policy: route.Policies[route.DefaultPolicy](), Prefixes: &route.PrefixIndex{}, Reach: &route.Reachability{},
			Crashes: &crash.Tracker{}, Budget: &retry.Budget{Ratio: 0.1, Slack: 10, Window: time.Second}, Clock: clock, Log: logger,
		},
	}, &log
}

// The next request of the form goes where the explanation said while nothing changes, and asking changes nothing: not the load,
// the log or a later explanation.
func TestExplainedRequestGoesThere(t *testing.T) {
	for _, c := range []struct {
		name, service string
		where         Where
	}{
		{"engine", "engine", Where{Host: "chat", Path: "/v1", Key: "secret", Prompt: []WherePart{{"system", 900}, {"turn", 40}}, Pieces: []int{4}}},
		{"policy", "plain", Where{Host: "plain", Path: "/"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, log := newExplainer(t, 3)
			g := e.Gateway
			candidates := g.Views.View().Pools[c.service]
			var parts []route.PromptPart
			for _, p := range c.where.Prompt {
				parts = append(parts, route.PromptPart{ID: p.ID, Tokens: p.Tokens})
			}
			g.Prefixes.Record(&candidates[1], parts, 100000, g.Clock.Now())
			for i := range 6 {
				first := e.Explain(&c.where)
				is.Equal(first.Decision, Start)
				is.True(reflect.DeepEqual(first, e.Explain(&c.where)))
				is.Equal(log.Len(), 0)
				x := &exchange{
					Request: &Request{Prefix: parts}, view: g.Views.View(), service: g.Views.View().Document.Service(c.service), deadline: g.Clock.Now().Add(time.Second),
				}
				a, err := g.choose(t.Context(), x)
				is.NoErr(err)
				is.Equal(a.candidate.ID, first.Services[0].Chosen)
				log.Reset()
				if i == 3 {
					a.candidate.Stats.Fail(g.Clock.Now()) // the next one goes elsewhere
				}
			}
		})
	}
}

// An explanation names the refusal that a request would get.
func TestExplainedDecisions(t *testing.T) {
	is := is.New(t)
	e, _ := newExplainer(t, 2)
	chat := Where{Host: "chat", Path: "/", Workspace: "w", Pieces: []int{4}, DeadlineMS: 1000}
	out := e.Explain(&chat)
	is.Equal(out.Decision, Start)
	is.Equal(out.Priority, 3+2*workspacePriorityWeight)
	is.Equal(out.DeadlineMS, int64(1000))
	is.Equal(out.Stages[0].PredictedMS, int64(120))
	is.Equal(len(out.Stages[0].Endpoints), 2)

	is.Equal(e.Explain(&Where{Host: "none", Path: "/"}).Status, http.StatusNotFound)
	is.Equal(e.Explain(&Where{Host: "chat", Path: "/", Key: "wrong"}).Status, http.StatusUnauthorized)
	is.Equal(e.Explain(&Where{Host: "chat", Path: "/", Workspace: "none"}).Status, http.StatusUnauthorized)

	pools := e.Gateway.Views.View().Pools
	for i := range pools["pieces"] {
		pools["pieces"][i].Stats.Leave()
	}
	out = e.Explain(&chat)
	is.Equal(out.Decision, Wait)
	is.True(strings.Contains(out.Reason, "no endpoint of service pieces"))

	now := e.Gateway.Clock.Now()
	for i := range pools["engine"] {
		pools["engine"][i].Stats.Quiet(now, time.Second)
	}
	out = e.Explain(&chat)
	is.Equal(out.Decision, Refuse)
	is.Equal(out.Status, http.StatusServiceUnavailable)
	is.True(out.RetryAfterMS >= 1000)
	is.True(strings.Contains(out.Services[0].Candidates[0].Excluded, "asked for no calls"))
}

// Numbers that no request has are refused before they are used.
func TestExplainRefusesNumbers(t *testing.T) {
	is := is.New(t)
	e, _ := newExplainer(t, 1)
	for _, body := range []string{
		`{`, `{"deadline_ms": -1}`, `{"deadline_ms": 9223372036854775807}`, `{"pieces": [2000000000]}`, `{"pieces": [-1]}`,
		`{"prompt": [{"id": "a", "tokens": 1000000000}, {"id": "b", "tokens": 1000000000}]}`, `{"prompt": [{"id": "a", "tokens": -1}]}`,
	} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/explain", strings.NewReader(body)))
		is.Equal(w.Code, http.StatusBadRequest)
	}
}

// An explanation takes under a millisecond at 300 endpoints.
func BenchmarkExplain(b *testing.B) {
	e, _ := newExplainer(b, 300)
	where := &Where{Host: "chat", Path: "/", Key: "secret", Prompt: []WherePart{{"system", 900}, {"turn", 40}}, Pieces: []int{4}}
	for b.Loop() {
		e.Explain(where)
	}
}
