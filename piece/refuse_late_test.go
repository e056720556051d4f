package piece

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/fault"
)

// Callers of late jobs were held until their deadline and then got nothing. Jobs in time, started ones and those whose inputs
// hold memory must stay.
func TestLateJobsAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	pending := func(id string, due time.Duration) *pendingJob {
		p := newPendingJob(&Job{RequestID: id, Pieces: 1, Due: now.Add(due), Deadline: now.Add(5 * time.Second)}, now.Add(-time.Second), 250*time.Millisecond)
		return p
	}
	inTime, justLate, late, started, holding, arrived := pending("in time", time.Second), pending("just late", 0), pending("late", -time.Second), pending("started", -time.Second), pending("holding", -time.Second), pending("arrived", -time.Second)
	started.started, holding.InputsHoldMemory, arrived.queuedAt = true, true, now
	q := &queue{jobs: []*pendingJob{inTime, justLate, late, started, holding, arrived}}
	is.Equal(q.refuseLate(now), []*pendingJob{late})
	for _, p := range []*pendingJob{inTime, justLate, started, holding, arrived} {
		is.True(!p.ended)
	}
	is.True(late.ended)
	refusal := fault.As(<-late.done)
	is.Equal(refusal.Outcome, godwitplank.NotRun)
	is.True(refusal.RetryAfterMS >= minOverloadRetry.Milliseconds() && refusal.RetryAfterMS <= maxOverloadRetry.Milliseconds())
}

// With refuse_late, services without a tight objective are served as with defer.
func TestRefuseLateOnlyWhereTight(t *testing.T) {
	for name, tight := range map[string]bool{"tight": true, "other": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, "e-1")
			e.respond = func(_ http.ResponseWriter, _ int, _ []Item) bool {
				time.Sleep(300 * time.Millisecond)
				return false
			}
			d := startDispatcher(t, 1, e)
			d.mu.Lock()
			d.Overload, d.Tight = RefuseLate, func(string) bool { return tight }
			d.mu.Unlock()
			ends := make(chan error, 4)
			var group sync.WaitGroup
			for i := range cap(ends) {
				group.Go(func() {
					j := newJob(fmt.Sprint("r", i), 1)
					j.Due = time.Now().Add(-time.Second)
					_, err := d.Run(t.Context(), j)
					ends <- err
				})
			}
			group.Wait()
			refused := 0
			for range cap(ends) {
				if err := <-ends; err != nil {
					refused++
				}
			}
			is.Equal(refused > 0, tight)
			is.Equal(d.RefusedJobs()["s"], refused)
		})
	}
}
