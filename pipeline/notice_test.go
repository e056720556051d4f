package pipeline

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/stage"
)

// An endpoint of the own interface that says in an answer, in the last event of a stream or in a refusal that it leaves or wants no
// calls gets none.
func TestEndpointNotices(t *testing.T) {
	answer := func(r *http.Request, n godwitplank.EndpointNotice) godwitplank.StageAnswer {
		var call godwitplank.StageCall
		_ = json.NewDecoder(r.Body).Decode(&call)
		return godwitplank.StageAnswer{RequestID: call.RequestID, Stage: call.Stage, Attempt: call.Attempt, Output: json.RawMessage(`2`), EndpointNotice: n}
	}
	good := func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(answer(r, godwitplank.EndpointNotice{}))
	}
	refuse := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { http.Error(w, body, status) }
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		// once is true if the endpoint gets only the first of the calls.
		once bool
	}{
		"leaving answer": {func(w http.ResponseWriter, r *http.Request) {
			_ = json.NewEncoder(w).Encode(answer(r, godwitplank.EndpointNotice{Leaving: true}))
		}, true},
		"leaving stream": {func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_ = stage.WriteEvent(w, "done", answer(r, godwitplank.EndpointNotice{Leaving: true}))
		}, true},
		"leaving refusal":                {refuse(500, `{"leaving": true}`), true},
		"quiet refusal":                  {refuse(503, `{"retry_after_ms": 60000}`), true},
		"quiet with another status":      {refuse(500, `{"retry_after_ms": 60000}`), false},
		"negative quiet":                 {refuse(503, `{"retry_after_ms": -1}`), false},
		"refusal without a notice":       {refuse(503, "full"), false},
		"refusal that is not valid JSON": {refuse(503, `{"leaving": true, "retry_after_ms": "soon"}`), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first atomic.Int64
			r, _ := newPoolRunner(t, func(w http.ResponseWriter, req *http.Request) {
				first.Add(1)
				c.handler(w, req)
			}, good)
			for range 6 {
				j := newIdempotentJob(2 * time.Second)
				j.OnToken = func(godwitplank.Token) {}
				_, err := r.Run(context.Background(), j)
				is.True(err == nil)
			}
			is.Equal(first.Load() == 1, c.once)
		})
	}
}
