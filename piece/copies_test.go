package piece

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/connection"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/retry"
	"godwitplank/route"
	"godwitplank/timer"
)

// copyingFleet is the endpoints of a service. Some of their answers are written again: on the same connection or another one of the
// endpoint, at once, later, or when the next call arrives.
type copyingFleet struct {
	// copies is the share of the answers that are written again, refusals the share of the pieces without a result.
	copies, refusals float64
	// crossing has some of the copies written on another connection, of answers that were read.
	crossing bool

	mu          sync.Mutex
	rng         *rand.Rand
	endpoints   []*copyingEndpoint
	made        map[string]map[string]bool // by handle, the pieces that it was made for; several after a restart
	connections int
	calls       int
	copied      int
}

// copyingEndpoint numbers its results, beginning with 1 again after a restart.
type copyingEndpoint struct {
	fleet     *copyingFleet
	candidate route.Candidate
	results   int
	read      []string // answers of all connections that were read
	open      []*copyingConn
}

type copyingConn struct {
	net.Conn
	mu      sync.Mutex
	answers []string
	// due is written before the next answer.
	due string
}

func (c *copyingConn) write(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write([]byte(text))
}

func (f *copyingFleet) Endpoints(string) []route.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []route.Candidate
	for _, e := range f.endpoints {
		out = append(out, e.candidate)
	}
	return out
}

func (f *copyingFleet) Holders(name string) []route.Candidate { return f.Endpoints(name) }

func (f *copyingFleet) Service(name string) *document.Service {
	return &document.Service{Name: name, Batch: &document.Batch{Slots: 2, Pieces: 4, CallMS: 2, PieceMS: 1, KeepMS: 50}}
}

func (f *copyingFleet) start(t *testing.T, id string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &copyingEndpoint{fleet: f, candidate: route.Candidate{
		ID: id, Incarnation: 1, Addr: netip.MustParseAddrPort(l.Addr().String()), DataCentre: "dc-a", Confirmed: true, ExpiresAt: time.Now().Add(time.Hour), Stats: &route.Stats{},
	}}
	f.endpoints = append(f.endpoints, e)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conn := &copyingConn{Conn: c}
			f.mu.Lock()
			f.connections++
			e.open = append(e.open, conn)
			f.mu.Unlock()
			group.Go(func() { e.serve(conn) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
}

// restart ends the connections of an endpoint and lets it begin as new.
func (f *copyingFleet) restart(e *copyingEndpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range e.open {
		_ = c.Close()
	}
	e.open, e.read, e.results = nil, nil, 0
	e.candidate.Incarnation++
	e.candidate.Stats = &route.Stats{}
}

func (e *copyingEndpoint) serve(c *copyingConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var items []Item
		if r.URL.Path == "/run" {
			_ = json.NewDecoder(r.Body).Decode(&items)
		}
		_ = r.Body.Close()
		answer, due := e.answer(c, items)
		time.Sleep(2 * time.Millisecond) // the work of the call
		c.write(due + answer)
	}
}

// answer returns the answer to a call and what is written before it, and schedules copies.
func (e *copyingEndpoint) answer(c *copyingConn, items []Item) (answer, due string) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	results := []Result{}
	for _, item := range items {
		if f.rng.Float64() < f.refusals {
			results = append(results, Result{Outcome: NoMemory})
			continue
		}
		e.results++
		handle := fmt.Sprintf("%s/%d", e.candidate.Addr, e.results)
		if f.made[handle] == nil {
			f.made[handle] = make(map[string]bool)
		}
		f.made[handle][fmt.Sprint(item.RequestID, item.Piece)] = true
		results = append(results, Result{Handle: handle})
	}
	answer = okResponse(results)
	if n := len(c.answers); n > 0 {
		// The caller has read the last answer, since it sends the next call.
		e.read = append(e.read, c.answers[n-1])
	}
	c.answers = append(c.answers, answer)
	due, c.due = c.due, ""
	if f.rng.Float64() >= f.copies {
		return answer, due
	}
	f.copied++
	copied, target := pickLate(f.rng, c.answers), c
	if f.crossing && f.rng.IntN(3) == 0 && len(e.read) > 0 && len(e.open) > 0 {
		copied, target = pickLate(f.rng, e.read), e.open[f.rng.IntN(len(e.open))]
	}
	switch f.rng.IntN(3) {
	case 0:
		answer += copied
	case 1:
		time.AfterFunc(time.Duration(f.rng.IntN(10))*time.Millisecond, func() { target.write(copied) })
	default:
		target.due = copied
	}
	return answer, due
}

// pickLate returns one of the last ten answers.
func pickLate(rng *rand.Rand, answers []string) string {
	return answers[len(answers)-1-rng.IntN(min(len(answers), 10))]
}

// run has jobs of two pieces dispatched, four at a time, and returns how many were done. No job may have the result of another piece.
func (f *copyingFleet) run(t *testing.T, jobs int, between func(job int)) (done int) {
	t.Helper()
	d := NewDispatcher(f, protocol{}, &connection.Pool{Clock: timer.System}, &retry.Budget{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second}, &route.Reachability{}, timer.System, nil, event.Logger{})
	ctx, cancel := context.WithCancel(context.Background())
	var serving, group sync.WaitGroup
	serving.Go(func() { d.Serve(ctx) })
	t.Cleanup(func() { cancel(); serving.Wait() })
	var mu sync.Mutex
	for caller := range 4 {
		group.Go(func() {
			for n := caller; n < jobs; n += 4 {
				between(n)
				id := fmt.Sprintf("r%d.", n)
				handles, err := d.Run(t.Context(), newJob(id, 2))
				if err != nil {
					continue
				}
				f.mu.Lock()
				for piece, h := range handles {
					if !f.made[h][fmt.Sprint(id, piece)] {
						t.Errorf("piece %d of job %s has the result %s of %v", piece, id, h, f.made[h])
					}
				}
				f.mu.Unlock()
				mu.Lock()
				done++
				mu.Unlock()
				d.Free("s", handles)
			}
		})
	}
	group.Wait()
	return done
}

func newCopyingFleet(seed uint64) *copyingFleet {
	return &copyingFleet{rng: rand.New(rand.NewPCG(seed, 3)), made: make(map[string]map[string]bool)}
}

// Answers of stages have no request id. Whenever an endpoint writes one again, with or without results, and whatever it calls its
// results after a restart, no job gets the result of another one.
func TestCopiesOfAnswers(t *testing.T) {
	for seed := range uint64(10) {
		for name, crossing := range map[string]bool{"restarts": false, "several connections": true} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCopyingFleet(seed)
				f.copies, f.refusals, f.crossing = 0.1, 0.2, crossing
				for i := range 4 {
					f.start(t, fmt.Sprint("e-", i))
				}
				const jobs = 200
				done := f.run(t, jobs, func(job int) {
					if !crossing && job%50 == 49 {
						f.restart(f.endpoints[job/50])
					}
				})
				t.Logf("%d of %d jobs done in %d calls over %d connections, %d copies", done, jobs, f.calls, f.connections, f.copied)
				is.True(f.copied > 0)
				is.True(done > jobs*3/4) // what an endpoint spoils is run elsewhere
			})
		}
	}
}

// Endpoints that write each answer once get many calls on each connection.
func TestConnectionsAreReusedWithoutCopies(t *testing.T) {
	is := is.New(t)
	f := newCopyingFleet(1)
	f.start(t, "e-1")
	is.Equal(f.run(t, 200, func(int) {}), 200)
	t.Logf("%d calls over %d connections", f.calls, f.connections)
	is.True(f.connections <= 6)
}
