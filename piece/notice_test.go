package piece

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An endpoint that says that it leaves, in a success or a refusal, gets no further pieces.
func TestLeavingEndpointGetsNoPieces(t *testing.T) {
	for name, status := range map[string]int{"success": http.StatusOK, "refusal": http.StatusServiceUnavailable, "failure": http.StatusInternalServerError} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leaving, other := newEndpoint(t, "e-1"), newEndpoint(t, "e-2")
			leaving.respond = func(w http.ResponseWriter, _ int, _ []Item) bool {
				w.Header().Set(leavingHeader, "1")
				if status != http.StatusOK {
					w.WriteHeader(status)
				}
				return status != http.StatusOK
			}
			d := startDispatcher(t, 20, leaving, other)
			var group sync.WaitGroup
			for i := range 20 {
				group.Go(func() {
					_, err := d.Run(t.Context(), newJob(fmt.Sprint("r", i), 8))
					is.NoErr(err)
				})
				time.Sleep(5 * time.Millisecond)
			}
			group.Wait()
			leaving.mu.Lock()
			defer leaving.mu.Unlock()
			is.Equal(len(leaving.calls), 1)
		})
	}
}

// An endpoint that asks for quiet gets no call until its end, neither with pieces nor to free results.
func TestQuietEndpointGetsNoPieces(t *testing.T) {
	is := is.New(t)
	const quiet = 500 * time.Millisecond
	e := newEndpoint(t, "e-1")
	var askedAt, returnedAt time.Time
	e.respond = func(w http.ResponseWriter, call int, _ []Item) bool {
		if call == 2 {
			askedAt = time.Now()
			w.Header().Set(quietHeader, quiet.String())
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		returnedAt = time.Now()
		return false
	}
	d := startDispatcher(t, 20, e)
	first, err := d.Run(t.Context(), newJob("r0", 1))
	is.NoErr(err)
	var group sync.WaitGroup
	group.Go(func() {
		_, err := d.Run(t.Context(), newJob("r1", 1))
		is.NoErr(err)
	})
	eventually(t, "the endpoint asks for quiet", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.calls) >= 2
	})
	d.Free("s", first)
	time.Sleep(quiet / 2)
	is.Equal(e.heldCount(), 1) // left to expire
	group.Wait()
	is.True(returnedAt.Sub(askedAt) >= quiet)
	is.True(strings.HasSuffix(first[0], "-1"))
}
