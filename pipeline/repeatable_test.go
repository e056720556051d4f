package pipeline

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/timer"
)

// newPoolRunner returns a runner with one endpoint per handler, and the number of calls to them.
func newPoolRunner(t *testing.T, handlers ...http.HandlerFunc) (*Runner, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	var candidates []route.Candidate
	for i, h := range handlers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				calls.Add(1)
				h(w, r)
			}
		}))
		t.Cleanup(server.Close)
		candidates = append(candidates, route.Candidate{
			ID: string(rune('a' + i)), Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 8,
			ExpiresAt: time.Now().Add(time.Hour), Stats: &route.Stats{},
		})
	}
	r := &Runner{
		Policy: route.Policies["round_robin"](), Client: stage.NewClient(), Clock: timer.System,
		Pools: PoolsFunc(func(string) []route.Candidate { return candidates }),
	}
	t.Cleanup(r.Wait)
	return r, calls
}

func newIdempotentJob(deadline time.Duration) *Job {
	return &Job{
		RequestID: "r", Workspace: &document.Workspace{Name: "w"}, Input: json.RawMessage(`1`), Deadline: time.Now().Add(deadline),
		Pipeline: &document.Pipeline{Name: "p", DeadlineMS: 2000, Stages: []document.Stage{{Name: "s", Pool: "q", Stream: true}}},
	}
}

func failHandler(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "down", http.StatusInternalServerError)
}

func hangHandler(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnect only after the body was read
	<-r.Context().Done()
}

// Guards against retry storms: while every endpoint of a pool fails, the pool gets at most 1.2 calls per request,
// beyond the burst of the retry budget.
func TestOutageMultipliesLittle(t *testing.T) {
	is := is.New(t)
	r, calls := newPoolRunner(t, failHandler, failHandler, failHandler)
	const burst = 10
	const requests = 300
	for range requests {
		_, err := r.Run(context.Background(), newIdempotentJob(time.Second))
		is.Equal(err.Kind, fault.StageFailed)
		is.Equal(err.Outcome, godwitplank.Failed)
	}
	t.Logf("%d calls for %d requests", calls.Load(), requests)
	is.True(calls.Load() <= requests*12/10+burst)
}

// A call that hangs is hedged at another endpoint, so that the caller gets the output well before the deadline.
func TestHedge(t *testing.T) {
	is := is.New(t)
	r, calls := newPoolRunner(t, echoHandler, hangHandler)
	for range 6 {
		start := time.Now()
		output, err := r.Run(context.Background(), newIdempotentJob(3*time.Second))
		is.True(err == nil)
		is.Equal(string(output), "2")
		is.True(time.Since(start) < 2*time.Second)
	}
	is.True(calls.Load() > 6)
}

// A failed response, or one with the id of another request, is retried at another endpoint.
func TestRetry(t *testing.T) {
	is := is.New(t)
	otherRequest := func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(godwitplank.StageAnswer{RequestID: "another", Stage: "s", Attempt: 1, Output: json.RawMessage(`9`)})
	}
	r, _ := newPoolRunner(t, otherRequest, failHandler, echoHandler)
	for range 3 {
		output, err := r.Run(context.Background(), newIdempotentJob(time.Second))
		is.True(err == nil)
		is.Equal(string(output), "2")
	}
}

// A request whose deadline is shorter than the estimated latency of its stages is refused before any call.
func TestEarlyRefusal(t *testing.T) {
	is := is.New(t)
	r, calls := newPoolRunner(t, func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(100 * time.Millisecond)
		echoHandler(w, q)
	})
	_, err := r.Run(context.Background(), newIdempotentJob(time.Second))
	is.True(err == nil)
	callsBefore := calls.Load()
	_, err = r.Run(context.Background(), newIdempotentJob(20*time.Millisecond))
	is.Equal(err.Kind, fault.DeadlineTooShort)
	is.Equal(err.Outcome, godwitplank.NotRun)
	is.Equal(calls.Load(), callsBefore)
}

// A stalled stream continues if the retry budget is spent.
func TestStallWithoutBudget(t *testing.T) {
	is := is.New(t)
	slow := func(w http.ResponseWriter, q *http.Request) {
		var c godwitplank.StageCall
		_ = json.NewDecoder(q.Body).Decode(&c)
		time.Sleep(600 * time.Millisecond)
		w.Header().Set("Content-Type", "text/event-stream")
		_ = stage.WriteEvent(w, "token", godwitplank.StageToken{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Text: "t"})
		_ = stage.WriteEvent(w, "done", godwitplank.StageAnswer{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Output: json.RawMessage(`2`)})
	}
	r, calls := newPoolRunner(t, slow, slow)
	j := newIdempotentJob(1200 * time.Millisecond) // the stall timeout is a quarter of it
	for r.poolStats.stat(&j.Pipeline.Stages[0]).takeRetry() {
	}
	var tokens []godwitplank.Token
	j.OnToken = func(t godwitplank.Token) { tokens = append(tokens, t) }
	output, err := r.Run(context.Background(), j)
	is.True(err == nil)
	is.Equal(string(output), "2")
	is.Equal(len(tokens), 1)
	is.Equal(calls.Load(), int64(1))
}

func TestTokenReorderer(t *testing.T) {
	for _, c := range []struct {
		name     string
		in       []int
		out      int
		complete bool
	}{
		{"in order", []int{0, 1, 2}, 3, true},
		{"out of order", []int{2, 0, 1}, 3, true},
		{"duplicates", []int{0, 0, 1, 1, 0, 2}, 3, true},
		{"a gap", []int{0, 2, 3}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []int
			q := &tokenReorderer{emit: func(t godwitplank.Token) { got = append(got, t.Index) }}
			for _, i := range c.in {
				q.add(i, "t")
			}
			is.Equal(len(got), c.out)
			for i, index := range got {
				is.Equal(index, i)
			}
			is.Equal(q.complete(), c.complete)
		})
	}
}

func TestStallTimeout(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name      string
		remaining time.Duration
		latency   time.Duration
		slowdown  float64
		want      time.Duration
	}{
		{"no latency estimate", 2000 * ms, 0, 1, 500 * ms},
		{"an idle endpoint", 2000 * ms, 100 * ms, 1, 500 * ms},
		{"a queue at the endpoint", 2000 * ms, 300 * ms, 1.5, 900 * ms},
		{"a queue longer than the limit", 2000 * ms, 300 * ms, 10, 1000 * ms},
		{"a short deadline", 100 * ms, 300 * ms, 10, 250 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(stallTimeout(c.remaining, c.latency, c.slowdown), c.want)
		})
	}
}

// streamHandler returns an endpoint that streams tokens up to index 9, from the requested index, with a pause before
// each.
func streamHandler(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c godwitplank.StageCall
		_ = json.NewDecoder(r.Body).Decode(&c)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := c.ResumeFrom; i < 10; i++ {
			time.Sleep(pause)
			if stage.WriteEvent(w, "token", godwitplank.StageToken{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Index: i, Text: "t"}) != nil {
				return
			}
		}
		_ = stage.WriteEvent(w, "done", godwitplank.StageAnswer{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Output: json.RawMessage(`2`)})
	}
}

// A stream that is much slower than the pool's other streams is resumed at another endpoint before the deadline.
func TestSlowStreamIsResumed(t *testing.T) {
	is := is.New(t)
	r, calls := newPoolRunner(t, streamHandler(150*time.Millisecond), streamHandler(time.Millisecond))
	for range 4 { // the pool's latency is estimated, and round robin sends every second call to the slow endpoint
		j := newIdempotentJob(time.Second)
		var tokens []godwitplank.Token
		j.OnToken = func(t godwitplank.Token) { tokens = append(tokens, t) }
		_, err := r.Run(context.Background(), j)
		is.True(err == nil)
		is.Equal(len(tokens), 10)
		for i, token := range tokens {
			is.Equal(token.Index, i)
		}
	}
	is.True(calls.Load() > 4)
}

// malformedHandler answers a call with a response whose head has an invalid field name.
func malformedHandler(w http.ResponseWriter, r *http.Request) {
	var call godwitplank.StageCall
	_ = json.NewDecoder(r.Body).Decode(&call)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	body, _ := json.Marshal(godwitplank.StageAnswer{RequestID: call.RequestID, Stage: call.Stage, Attempt: call.Attempt, Output: json.RawMessage(`"spoiled"`)})
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX Own: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A response with a malformed head is no answer: the call is repeated elsewhere, and the endpoint is reported.
func TestMalformedHead(t *testing.T) {
	is := is.New(t)
	r, calls := newPoolRunner(t, malformedHandler, echoHandler)
	var lines bytes.Buffer
	r.Log = event.NewLogger(&lines, log.InfoLevel, "vm")
	for range 2 {
		output, err := r.Run(context.Background(), newIdempotentJob(time.Second))
		is.True(err == nil)
		is.Equal(string(output), "2")
	}
	r.Wait()
	is.True(calls.Load() > 2)
	is.True(strings.Contains(lines.String(), fmt.Sprintf(`"event":%d`, event.EndpointMalformed.Number)))
	is.True(strings.Contains(lines.String(), `"endpoint":"a"`))
}
