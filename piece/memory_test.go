package piece

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/memory"
)

// Jobs together take the memory that is charged for them at most. One that does not fit is refused at once, as not run; small ones
// have a part of their own, and what has ended or was given up makes room at once.
func TestJobsWithoutMemory(t *testing.T) {
	is := is.New(t)
	d := startDispatcher(t, 20)
	d.Memory = memory.NewBudget(3*LargestJobBytes, LargestJobBytes)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for range 2 {
		group.Go(func() {
			_, err := d.Run(ctx, newJob("large", MaxPieces))
			is.Equal(err, context.Canceled)
		})
	}
	eventually(t, "two jobs wait", func() bool { return d.QueuedPieces()["s"] == 2*MaxPieces })
	started := time.Now()
	_, err := d.Run(t.Context(), newJob("one too many", MaxPieces))
	is.True(time.Since(started) < memoryWait/2)
	is.Equal(fault.As(err).Kind, fault.StageFailed)
	is.True(fault.As(err).RetryAfterMS >= minMemoryRetry.Milliseconds())
	is.Equal(d.JobsWithoutMemory(), int64(1))
	is.Equal(d.QueuedPieces()["s"], 2*MaxPieces)
	small := newJob("small", 100)
	small.Deadline = time.Now().Add(100 * time.Millisecond)
	_, err = d.Run(t.Context(), small)
	is.Equal(err, ErrDeadline) // it was queued
	cancel()
	group.Wait()
	is.Equal(d.QueuedPieces()["s"], 0)
	is.Equal(d.Memory.Usage().Used, int64(0))
}

// A job whose inputs hold memory of endpoints waits for that of another one, which is refused or served soon.
func TestJobWithInputsWaitsForMemory(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, "e-1")
	d := startDispatcher(t, 20, e)
	d.Memory = memory.NewBudget(2*LargestJobBytes, LargestJobBytes)
	other := d.Memory.Open(e.candidate.Addr.Addr(), time.Now(), func() {})
	is.NoErr(other.Grow(time.Now(), LargestJobBytes))
	time.AfterFunc(memoryWait/5, other.Close)
	j := newJob("r", 3000)
	j.Inputs = []string{"10.0.0.1:1/a"}
	_, err := d.Run(t.Context(), j)
	is.NoErr(err)
}

func TestLeastTime(t *testing.T) {
	s := &document.Service{Batch: &document.Batch{Slots: 2, Pieces: 10, CallMS: 100, PieceMS: 10}}
	for name, c := range map[string]struct {
		service           *document.Service
		endpoints, pieces int
		want              time.Duration
	}{
		"no endpoint":          {s, 0, 10_000, 0},
		"no batch":             {&document.Service{}, 3, 10_000, 0},
		"unknown service":      {nil, 3, 10_000, 0},
		"no piece":             {s, 3, 0, 0},
		"one piece":            {s, 3, 1, 110 * time.Millisecond / 4},
		"a call for each slot": {s, 3, 60, 200 * time.Millisecond / 4},
		"one piece more":       {s, 3, 61, 400 * time.Millisecond / 4},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(LeastTime(c.service, c.endpoints, c.pieces), c.want)
		})
	}
}
