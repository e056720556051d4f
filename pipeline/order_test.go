package pipeline

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/order"
	"godwitplank/route"
	"godwitplank/stage"
	"godwitplank/timer"
)

// fakeLedger is an unreplicated ledger. before is called before each change; if it returns an error, the change fails.
type fakeLedger struct {
	mu     sync.Mutex
	ledger order.Ledger
	clock  timer.Clock
	before func(*order.Change) error
}

func (f *fakeLedger) ChangeOrder(_ context.Context, c *order.Change) (*order.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.before != nil {
		if err := f.before(c); err != nil {
			return nil, err
		}
	}
	return f.ledger.Apply(f.clock.Now().UnixMilli(), c), nil
}

func (f *fakeLedger) FindOrderRecord(_ context.Context, k *order.Key) (*order.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ledger.Find(k), nil
}

// fixture is a runner with one endpoint.
type fixture struct {
	runner *Runner
	ledger *fakeLedger
	calls  atomic.Int64
	skew   atomic.Int64 // added to the clock, in nanoseconds
}

func newFixture(t *testing.T, serve http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.calls.Add(1)
		serve(w, r)
	}))
	t.Cleanup(server.Close)
	clock := timer.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(f.skew.Load())) })
	f.ledger = &fakeLedger{clock: clock}
	candidate := route.Candidate{ID: "orders-1", Addr: netip.MustParseAddrPort(server.Listener.Addr().String()), Slots: 1, Stats: &route.Stats{}}
	f.runner = &Runner{
		VM: "vm-a", Policy: route.Policies[route.DefaultPolicy](), Ledger: f.ledger, Client: stage.NewClient(), Clock: clock,
		Pools: PoolsFunc(func(string) []route.Candidate {
			candidate.ExpiresAt = clock.Now().Add(time.Hour)
			return []route.Candidate{candidate}
		}),
	}
	t.Cleanup(f.runner.Wait)
	return f
}

func (f *fixture) job(id string) *Job {
	no := false
	return &Job{
		RequestID: id, Workspace: &document.Workspace{Name: "w"}, Input: json.RawMessage(`1`), Key: "k", Attempt: 1,
		Pipeline: &document.Pipeline{Name: "p", DeadlineMS: 2000, Stages: []document.Stage{{Name: "order", Pool: "orders", Repeatable: &no}}},
		Deadline: f.runner.Clock.Now().Add(2 * time.Second),
	}
}

func echoHandler(w http.ResponseWriter, r *http.Request) {
	var c godwitplank.StageCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	_ = json.NewEncoder(w).Encode(godwitplank.StageAnswer{RequestID: c.RequestID, Stage: c.Stage, Attempt: c.Attempt, Output: json.RawMessage(`2`)})
}

var errNoQuorum = fault.New(fault.NoQuorum, "no quorum")

// Guards against a late call by a process that was suspended between its claim and the call: past the deadline it sends
// nothing, and reports not_run because the attempt was voided.
func TestResumedOwnerSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, echoHandler)
	f.ledger.before = func(c *order.Change) error {
		if c.Action == order.Action_CLAIM {
			f.skew.Store(int64(3 * time.Second)) // the process is suspended
		}
		return nil
	}
	_, err := f.runner.Run(context.Background(), f.job("a"))
	is.Equal(err.Outcome, godwitplank.NotRun)
	is.Equal(f.calls.Load(), int64(0))
	// Another submission of the same attempt must not run it.
	f.ledger.before = nil
	_, err = f.runner.Run(context.Background(), f.job("b"))
	is.Equal(err.Outcome, godwitplank.NotRun)
	is.Equal(err.Kind, fault.OrderVoided)
	is.Equal(f.calls.Load(), int64(0))
}

// The owner is suspended until another submission finds its claim expired. Both report unknown, and nothing is sent.
func TestExpiredOwnerSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, echoHandler)
	var other *fault.Error
	resumed := false
	f.ledger.before = func(c *order.Change) error {
		if c.Claim != "a" || c.Action != order.Action_CLAIM || resumed {
			return nil
		}
		resumed = true
		f.ledger.ledger.Apply(f.runner.Clock.Now().UnixMilli(), c)
		f.skew.Store(int64(time.Minute))
		f.ledger.mu.Unlock()
		_, other = f.runner.Run(context.Background(), f.job("b"))
		f.ledger.mu.Lock()
		return nil
	}
	_, err := f.runner.Run(context.Background(), f.job("a"))
	is.Equal(other.Outcome, godwitplank.Unknown)
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(f.calls.Load(), int64(0))
}

// If voiding fails for lack of a quorum, the outcome is unknown rather than not_run.
func TestFailedVoidIsUnknown(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, echoHandler)
	f.runner.Pools = PoolsFunc(func(string) []route.Candidate { return nil })
	f.ledger.before = func(c *order.Change) error {
		if c.Action == order.Action_VOID {
			return errNoQuorum
		}
		return nil
	}
	_, err := f.runner.Run(context.Background(), f.job("a"))
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(*err.Sent, false)
}

// The result of a call that ran reaches the caller even if it cannot be recorded. A second submission of the key gets
// the outcome unknown.
func TestUnrecordedResult(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, echoHandler)
	f.ledger.before = func(c *order.Change) error {
		if c.Action == order.Action_FINISH {
			return errNoQuorum
		}
		return nil
	}
	output, err := f.runner.Run(context.Background(), f.job("a"))
	is.True(err == nil)
	is.Equal(string(output), "2")
	f.skew.Store(int64(time.Minute))
	_, err = f.runner.Run(context.Background(), f.job("b"))
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(f.calls.Load(), int64(1))
}

// A call whose connection breaks before the response is sent only once, without the automatic retries of net/http.
func TestFailedCallIsSentOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := f.runner.Run(context.Background(), f.job("a"))
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(*err.Sent, true)
	f.runner.Wait()
	_, err = f.runner.Run(context.Background(), f.job("b"))
	is.Equal(err.Outcome, godwitplank.Unknown)
	is.Equal(*err.Sent, false)
	is.Equal(f.calls.Load(), int64(1))
}

// The call continues after the caller disconnects, and its result is recorded for the next submission of the key.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	ctx, disconnect := context.WithCancel(context.Background())
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		disconnect()
		time.Sleep(50 * time.Millisecond)
		echoHandler(w, r)
	})
	_, _ = f.runner.Run(ctx, f.job("a"))
	output, err := f.runner.Run(context.Background(), f.job("b"))
	is.True(err == nil)
	is.Equal(string(output), "2")
	is.Equal(f.calls.Load(), int64(1))
}

// A key that was used with another input is refused, and the message names the remedy.
func TestReusedKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, echoHandler)
	_, err := f.runner.Run(context.Background(), f.job("a"))
	is.True(err == nil)
	j := f.job("b")
	j.Input = json.RawMessage(`7`)
	_, err = f.runner.Run(context.Background(), j)
	is.Equal(err.Kind, fault.KeyReused)
	is.True(strings.Contains(err.Message, "its own Idempotency-Key"))
	is.Equal(f.calls.Load(), int64(1))
}
