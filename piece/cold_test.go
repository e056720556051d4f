package piece

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/cold"
)

// A cold endpoint gets its calls with pieces, and those that free results, one after the other at the permitted distance.
func TestColdEndpointGetsPermittedCalls(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	now := time.Now()
	e.candidate.Stats.UpdateCold(now, cold.Terms{Until: now.Add(time.Minute), Share: 4, MembersSince: now.Add(-time.Hour)})
	d := startDispatcher(t, 20, e)
	var group sync.WaitGroup
	for i := range 24 { // 3 calls of 8
		group.Go(func() {
			handles, err := d.Run(t.Context(), newJob(fmt.Sprint("r", i), 1))
			is.NoErr(err)
			d.Free("s", handles)
		})
	}
	group.Wait()
	// The first call has one piece, since the others arrive while it runs. The permits are 255 ms apart.
	is.True(time.Since(now) >= 3*255*time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.True(len(e.calls) <= 1+int(time.Since(now)/(255*time.Millisecond)))
}

// An endpoint for which this VM has no share gets no pieces.
func TestNoShareNoPieces(t *testing.T) {
	is := is.New(t)
	started, other := newEndpoint(t, "e-1"), newEndpoint(t, "e-2")
	now := time.Now()
	started.candidate.Stats.UpdateCold(now, cold.Terms{Until: now.Add(time.Minute), MembersSince: now.Add(-time.Hour)})
	d := startDispatcher(t, 20, started, other)
	for i := range 5 {
		_, err := d.Run(t.Context(), newJob(fmt.Sprint("r", i), 4))
		is.NoErr(err)
	}
	started.mu.Lock()
	defer started.mu.Unlock()
	is.Equal(len(started.calls), 0)
}
