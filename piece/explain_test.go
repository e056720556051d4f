package piece

import (
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

// explainedService is a service with the given endpoints.
type explainedService []route.Candidate

func (s explainedService) Endpoints(string) []route.Candidate { return s }
func (s explainedService) Holders(string) []route.Candidate   { return s }

func (s explainedService) Service(string) *document.Service {
	return &document.Service{Name: "s", Batch: &document.Batch{Pieces: 4, Slots: 1}}
}

// An explanation gives the dispatcher's order and reasons, and leaves no state behind for endpoints that had none.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var candidates explainedService
	for _, id := range []string{"slow", "fast", "failed"} {
		candidates = append(candidates, route.Candidate{ID: id, ExpiresAt: now.Add(time.Hour), Confirmed: true, Stats: &route.Stats{}})
	}
	clock := timer.ClockFunc(func() time.Time { return now })
	d := NewDispatcher(candidates, protocol{}, nil, &retry.Budget{}, nil, clock, nil, event.Logger{})
	d.endpoints[connection.Key{ID: "slow"}] = &endpointState{slowdown: 3}
	d.endpoints[connection.Key{ID: "failed"}] = &endpointState{slowdown: 1, backoffUntil: now.Add(time.Second)}
	for range 2 {
		queued, terms := d.explain("s")
		is.Equal(queued, 0)
		is.Equal([]int{terms[0].Rank, terms[1].Rank, terms[2].Rank}, []int{2, 1, 0})
		is.Equal(terms[2].Excluded, "it gets no call for 1s after a failed or refused one")
		is.Equal(len(d.endpoints), 2)
		is.Equal(len(d.queues), 0)
	}
}
