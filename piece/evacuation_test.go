package piece

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/fault"
	"godwitplank/route"
)

// evacuatedServices has endpoints that get no new work while evacuated is set.
type evacuatedServices struct {
	services

	evacuated atomic.Bool
}

func (s *evacuatedServices) Endpoints(name string) []route.Candidate {
	if s.evacuated.Load() {
		return nil
	}
	return s.services.Endpoints(name)
}

// The results that an evacuated endpoint holds are freed, although it gets no new calls and new jobs are refused: they would occupy its memory until
// they expire, while endpoints of other data centres still fetch others there.
func TestFreeAtEvacuatedEndpoint(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	d := startDispatcher(t, 20, e)
	s := &evacuatedServices{services: services{e}}
	d.mu.Lock()
	d.Services = s
	d.mu.Unlock()
	handles, err := d.Run(t.Context(), newJob("r-1", 3))
	is.NoErr(err)
	is.Equal(e.heldCount(), 3)
	s.evacuated.Store(true)
	d.Free("s", handles)
	eventually(t, "the results are freed", func() bool { return e.heldCount() == 0 })

	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = d.Run(ctx, newJob("r-2", 1)) // refused before the end of ctx
	is.Equal(fault.As(err).Outcome, godwitplank.NotRun)
	is.NoErr(ctx.Err())
	is.Equal(e.heldCount(), 0) // no new call
}
