package piece

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/fault"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/timer"
)

// protocol is a JSON protocol for tests.
type protocol struct{}

func (protocol) RunCall(_, host string, items []Item) *connection.Call {
	body, _ := json.Marshal(items)
	return &connection.Call{Method: http.MethodPost, Target: "/run", Host: host, Body: body}
}

// Headers of the test protocol: the endpoint leaves, or wants no calls for a duration.
const (
	leavingHeader = "Leaving"
	quietHeader   = "Quiet"
)

func (protocol) DecodeRunResponse(status int, header http.Header, body []byte) (Response, error) {
	var response Response
	response.Notice.Leaving = header.Get(leavingHeader) != ""
	response.Notice.RetryAfter, _ = time.ParseDuration(header.Get(quietHeader))
	if status == http.StatusServiceUnavailable {
		response.NotRun = true
		return response, nil
	}
	return response, json.Unmarshal(body, &response.Results)
}

func (protocol) FreeCall(_, host string, handles []string) *connection.Call {
	body, _ := json.Marshal(handles)
	return &connection.Call{Method: http.MethodPost, Target: "/free", Host: host, Body: body}
}

func (protocol) HolderAddr(handle string) (netip.AddrPort, error) {
	addr, _, _ := strings.Cut(handle, "/")
	return netip.ParseAddrPort(addr)
}

// endpoint is a test server that runs pieces and records the calls and results.
type endpoint struct {
	candidate route.Candidate
	// respond, if set, may write the response instead; it reports whether it did.
	respond func(w http.ResponseWriter, call int, items []Item) bool

	mu          sync.Mutex
	calls       []int
	held        map[string]bool
	resultCount int
}

func newEndpoint(t *testing.T, id string) *endpoint {
	t.Helper()
	e := &endpoint{held: make(map[string]bool)}
	server := httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	e.candidate = route.Candidate{ID: id, Addr: addr, DataCentre: "dc-a", Confirmed: true, ExpiresAt: time.Now().Add(time.Hour), Stats: &route.Stats{}}
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/free" {
		var handles []string
		_ = json.NewDecoder(r.Body).Decode(&handles)
		for _, h := range handles {
			delete(e.held, h)
		}
		return
	}
	var items []Item
	_ = json.NewDecoder(r.Body).Decode(&items)
	e.calls = append(e.calls, len(items))
	if e.respond != nil && e.respond(w, len(e.calls), items) {
		return
	}
	results := make([]Result, len(items))
	for i, item := range items {
		e.resultCount++
		results[i].Handle = fmt.Sprintf("%s/%s-%d-%d", e.candidate.Addr, item.RequestID, item.Piece, e.resultCount)
		e.held[results[i].Handle] = true
	}
	_ = json.NewEncoder(w).Encode(results)
}

func (e *endpoint) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

type services []*endpoint

func (s services) Holders(name string) []route.Candidate { return s.Endpoints(name) }

func (s services) Endpoints(string) []route.Candidate {
	var out []route.Candidate
	for _, e := range s {
		out = append(out, e.candidate)
	}
	return out
}

func (s services) Service(name string) *document.Service {
	return &document.Service{Name: name, Batch: &document.Batch{Slots: 1, Pieces: 8, CallMS: 5, PieceMS: 1, KeepMS: 4000}}
}

// startDispatcher returns a Dispatcher that runs until the test ends.
func startDispatcher(t *testing.T, slack float64, endpoints ...*endpoint) *Dispatcher {
	t.Helper()
	budget := &retry.Budget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second}
	d := NewDispatcher(services(endpoints), protocol{}, &connection.Pool{Clock: timer.System}, budget, &route.Reachability{}, timer.System, nil, event.Logger{})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { d.Serve(ctx) })
	t.Cleanup(func() { cancel(); group.Wait() })
	return d
}

func newJob(id string, pieces int) *Job {
	now := time.Now()
	return &Job{Service: "s", RequestID: id, Pieces: pieces, Key: "k", Due: now.Add(time.Second), Deadline: now.Add(5 * time.Second), ResultBytes: 1}
}

// eventually waits up to 5 s for a condition.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for started := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(started) > 5*time.Second {
			t.Fatal("not within 5 s: " + description)
		}
	}
}

// Jobs of several requests share calls, each job gets its own results in order, and results are freed.
func TestRun(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	d := startDispatcher(t, 20, e)
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			id := fmt.Sprintf("r%d", i)
			handles, err := d.Run(t.Context(), newJob(id, 3))
			is.NoErr(err)
			for piece, h := range handles {
				is.True(strings.Contains(h, fmt.Sprintf("/%s-%d-", id, piece)))
			}
			d.Free("s", handles)
		})
	}
	group.Wait()
	e.mu.Lock()
	is.True(len(e.calls) < 10) // pieces of several jobs shared a call
	e.mu.Unlock()
	eventually(t, "all results are freed", func() bool { return e.heldCount() == 0 })
}

// A job succeeds although the endpoint first drops the connection, refuses the call, has no memory for results or
// returns too few of them.
func TestRunRetries(t *testing.T) {
	for name, respond := range map[string]func(w http.ResponseWriter, call int, items []Item) bool{
		"connection dropped": func(_ http.ResponseWriter, call int, _ []Item) bool {
			if call > 1 {
				return false
			}
			panic(http.ErrAbortHandler)
		},
		"call refused": func(w http.ResponseWriter, call int, _ []Item) bool {
			if call <= 2 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return call <= 2
		},
		"no memory": func(w http.ResponseWriter, call int, items []Item) bool {
			if call > 1 {
				return false
			}
			results := make([]Result, len(items))
			for i := range results {
				results[i].Outcome = NoMemory
			}
			_ = json.NewEncoder(w).Encode(results)
			return true
		},
		"too few results": func(w http.ResponseWriter, call int, _ []Item) bool {
			if call == 1 {
				_, _ = w.Write([]byte("[]"))
			}
			return call == 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, "e-1")
			e.respond = respond
			handles, err := startDispatcher(t, 50, e).Run(t.Context(), newJob("r", 3))
			is.NoErr(err)
			is.Equal(len(handles), 3)
		})
	}
}

// An endpoint that refuses connections is skipped without using the retry budget.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	unreachable, e := newEndpoint(t, "e-1"), newEndpoint(t, "e-2")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	unreachable.candidate.Addr = netip.MustParseAddrPort(l.Addr().String())
	is.NoErr(l.Close())
	d := startDispatcher(t, 0, unreachable, e)
	for i := range 5 {
		_, err := d.Run(t.Context(), newJob(fmt.Sprint("r", i), 2))
		is.NoErr(err)
	}
}

// Without retry budget a failed piece is not retried, and its request fails well before its deadline.
func TestBudget(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	e.respond = func(http.ResponseWriter, int, []Item) bool { panic(http.ErrAbortHandler) }
	j := newJob("r", 3)
	started := time.Now()
	j.Due = started.Add(200 * time.Millisecond)
	_, err := startDispatcher(t, 0, e).Run(t.Context(), j)
	is.True(errors.Is(err, ErrRetryBudget))
	is.True(time.Since(started) < time.Second)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.calls), 1)
}

// Retries are charged to the budget once per request and call, not once per piece.
func TestBudgetCountsRequestOncePerCall(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	e.respond = func(_ http.ResponseWriter, call int, _ []Item) bool {
		if call == 1 {
			panic(http.ErrAbortHandler)
		}
		return false
	}
	handles, err := startDispatcher(t, 2, e).Run(t.Context(), newJob("r", 8))
	is.NoErr(err)
	is.Equal(len(handles), 8)
}

// The results of a canceled job are freed, including those that are produced after the cancellation.
func TestCallerCancels(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	e.respond = func(http.ResponseWriter, int, []Item) bool {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	_, err := startDispatcher(t, 20, e).Run(ctx, newJob("r", 3))
	is.True(errors.Is(err, context.DeadlineExceeded))
	eventually(t, "the endpoint has run the pieces", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.resultCount == 3 })
	eventually(t, "the results are freed", func() bool { return e.heldCount() == 0 })
}

// Queued jobs are moved, jobs that have started continue.
func TestMove(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	e.respond = func(http.ResponseWriter, int, []Item) bool {
		time.Sleep(100 * time.Millisecond)
		return false
	}
	d := startDispatcher(t, 20, e)
	ends := make(chan error, 2)
	var group sync.WaitGroup
	for _, id := range []string{"started", "queued"} {
		group.Go(func() {
			_, err := d.Run(t.Context(), newJob(id, 8))
			ends <- err
		})
		time.Sleep(20 * time.Millisecond)
	}
	d.MoveQueued("s")
	is.Equal(<-ends, ErrMoved)
	is.NoErr(<-ends)
	group.Wait()
}

// Calls in flight at the end of a VM's stop delayed its exit beyond its grace, so that the process was killed.
func TestServeEndsWithCallsInFlight(t *testing.T) {
	e := newEndpoint(t, "e-1")
	called, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	e.respond = func(http.ResponseWriter, int, []Item) bool {
		called <- struct{}{}
		<-release
		return false
	}
	d := NewDispatcher(services{e}, protocol{}, &connection.Pool{Clock: timer.System}, &retry.Budget{Window: 10 * time.Second}, &route.Reachability{}, timer.System, nil, event.Logger{})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	var group sync.WaitGroup
	t.Cleanup(group.Wait)
	group.Go(func() {
		d.Serve(ctx)
		close(served)
	})
	group.Go(func() { _, _ = d.Run(t.Context(), newJob("r", 1)) })
	<-called
	cancel()
	select {
	case <-served:
	case <-time.After(callTimeoutMargin / 2):
		t.Error("Serve waits for the calls in flight")
	}
}

// With LeastCost, a job that cannot be in time is refused before any of its pieces is sent, and the caller of a job that is
// running keeps it. With Defer, as before, both wait.
func TestOverloadPolicies(t *testing.T) {
	for _, c := range []struct {
		policy  OverloadPolicy
		refused bool
	}{{Defer, false}, {LeastCost, true}, {"", false}} {
		t.Run(string(c.policy), func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, "a")
			called := make(chan struct{}, 2)
			e.respond = func(http.ResponseWriter, int, []Item) bool {
				called <- struct{}{}
				time.Sleep(100 * time.Millisecond)
				return false
			}
			d := startDispatcher(t, 5, e)
			d.Overload = c.policy
			var group sync.WaitGroup
			group.Go(func() {
				_, err := d.Run(t.Context(), &Job{Service: "s", RequestID: "running", Pieces: 8, Due: time.Now().Add(time.Millisecond), Deadline: time.Now().Add(2 * time.Second)})
				is.NoErr(err)
			})
			<-called // on a busy machine the call began after a fixed wait
			started := time.Now()
			_, err := d.Run(t.Context(), &Job{Service: "s", RequestID: "late", Pieces: 8, Due: started.Add(time.Millisecond), Deadline: started.Add(30 * time.Millisecond)})
			is.True(err != nil)
			is.Equal(errors.Is(err, ErrDeadline), !c.refused)
			is.Equal(d.RefusedJobs()["s"] == 1, c.refused)
			if c.refused {
				is.True(fault.As(err).RetryAfterMS > 0)
				is.Equal(fault.As(err).Outcome, godwitplank.NotRun)
				is.True(time.Since(started) < 30*time.Millisecond)
			}
			group.Wait()
		})
	}
}
