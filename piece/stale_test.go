package piece

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/route"
)

// staleEndpoint is a faulty endpoint that writes its first response of a connection again before that to the next call.
type staleEndpoint struct {
	first func(addr string, items []Item) string

	mu    sync.Mutex
	calls int
}

func startStaleEndpoint(t *testing.T, first func(addr string, items []Item) string) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &staleEndpoint{first: first}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { s.serve(c, l.Addr().String()) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return &endpoint{candidate: route.Candidate{
		ID: "e-1", Addr: netip.MustParseAddrPort(l.Addr().String()), DataCentre: "dc-a", Confirmed: true, ExpiresAt: time.Now().Add(time.Hour), Stats: &route.Stats{},
	}}
}

func (s *staleEndpoint) serve(c net.Conn, addr string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	stale := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var items []Item
		_ = json.NewDecoder(r.Body).Decode(&items)
		s.mu.Lock()
		s.calls++
		call := s.calls
		s.mu.Unlock()
		response := okResponse(results(addr, call, items))
		if call == 1 {
			response = s.first(addr, items)
		}
		if _, err := c.Write([]byte(stale)); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond) // the work of the call, after the stale response
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
		stale = response
	}
}

func okResponse(results []Result) string {
	body, _ := json.Marshal(results)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func results(addr string, call int, items []Item) []Result {
	var out []Result
	for _, item := range items {
		out = append(out, Result{Handle: fmt.Sprintf("%s/%s-%d-%d", addr, item.RequestID, item.Piece, call)})
	}
	return out
}

// A faulty endpoint writes an earlier response of a kept connection once more. No job gets the results of another.
func TestStaleResponseGivesNoResultsOfAnotherJob(t *testing.T) {
	for name, first := range map[string]func(addr string, items []Item) string{
		"a success": func(addr string, items []Item) string { return okResponse(results(addr, 1, items)) },
		"a refusal": func(string, []Item) string {
			return "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
		},
		"too few results": func(addr string, items []Item) string { return okResponse(results(addr, 1, items)[:1]) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := startStaleEndpoint(t, first)
			d := startDispatcher(t, 20, e)
			var all []string
			for i := range 6 {
				id := fmt.Sprintf("r%d", i)
				handles, err := d.Run(t.Context(), newJob(id, 2))
				is.NoErr(err)
				for piece, h := range handles {
					prefix := fmt.Sprintf("%s/%s-%d-", e.candidate.Addr, id, piece)
					is.Equal(h[:min(len(h), len(prefix))], prefix)
				}
				all = append(all, handles...)
			}
			slices.Sort(all)
			is.Equal(len(slices.Compact(all)), 12)
		})
	}
}
