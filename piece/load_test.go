package piece

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/route"
)

// The slowdown that a machine reports replaces the learned one for a moment, times what the endpoint takes on a machine as usual.
// Without that figure the expected slowdown is the learned one.
func TestExpectedSlowdown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for name, c := range map[string]struct {
		report *route.LoadReport
		age    time.Duration
		want   float64
	}{
		"no report":            {nil, 0, 2},
		"no figure of machine": {&route.LoadReport{Running: 9, Slots: 1}, 0, 2},
		"fresh":                {&route.LoadReport{Slots: 1, Slowdown: 3}, 0, 4.5},
		"half":                 {&route.LoadReport{Slots: 1, Slowdown: 3}, 200 * time.Millisecond, 3.25},
		"old":                  {&route.LoadReport{Slots: 1, Slowdown: 3}, 10 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			candidate := &route.Candidate{Stats: &route.Stats{}}
			if c.report != nil {
				candidate.Stats.ObserveLoad(now, *c.report)
			}
			is.Equal(expectedSlowdown(now.Add(c.age), candidate, &endpointState{slowdown: 2, baseSlowdown: 1.5}), c.want)
		})
	}
}

// The dispatcher prefers the endpoint whose machine is fast at this moment.
func TestDispatcherUsesReports(t *testing.T) {
	is := is.New(t)
	slow, fast := newEndpoint(t, "e-1"), newEndpoint(t, "e-2")
	d := startDispatcher(t, 20, slow, fast)
	slow.candidate.Stats.ObserveLoad(time.Now(), route.LoadReport{Slots: 1, Slowdown: 4})
	_, err := d.Run(t.Context(), newJob("r", 1))
	is.NoErr(err)
	fast.mu.Lock()
	defer fast.mu.Unlock()
	is.Equal(len(fast.calls), 1)
}
