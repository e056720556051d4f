package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/admission"
	"godwitplank/control"
	"godwitplank/document"
	"godwitplank/fault"
	"godwitplank/piece"
	"godwitplank/timer"
)

type forecasts map[string]admission.Forecast

func (f forecasts) Forecast(service string) (admission.Forecast, bool) {
	out, ok := f[service]
	return out, ok
}

// A request does not start if a later stage has no capacity in time: the results of its first stage would take memory for
// nothing. Without forecasts, and with the policy defer, it starts.
func TestCheckCapacity(t *testing.T) {
	d, err := document.ParseCanonical([]byte(`{"services":[
		{"name":"a","batch":{"pieces":8,"call_ms":100,"piece_ms":10}},
		{"name":"b","batch":{"pieces":8,"call_ms":100,"piece_ms":10}}]}`))
	if err != nil {
		t.Fatal(err)
	}
	full := admission.Forecast{Waits: []admission.PriorityWait{{Priority: 1, Wait: 0}, {Priority: 2, Wait: 900 * time.Millisecond}}, LateWait: admission.Never}
	late := admission.Forecast{Waits: full.Waits, LateWait: time.Second}
	for _, c := range []struct {
		name      string
		policy    piece.OverloadPolicy
		priority  int
		forecasts forecasts
		started   bool
	}{
		{"a later stage is full", piece.LeastCost, 2, forecasts{"b": full}, false},
		{"higher priority", piece.LeastCost, 1, forecasts{"b": full}, true},
		{"capacity is left over before the deadline", piece.LeastCost, 2, forecasts{"b": late}, true},
		{"only the first stage is full, whose owner decides", piece.LeastCost, 2, forecasts{"a": full}, true},
		{"no forecast", piece.LeastCost, 2, nil, true},
		{"defer", piece.Defer, 2, forecasts{"b": full}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			x := &exchange{
				Request: &Request{Pieces: []int{1, 2}}, view: &control.View{Document: d}, priority: c.priority, due: now.Add(time.Second), deadline: now.Add(5 * time.Second),
				route: &document.Route{Name: "r", Stages: []document.RouteStage{{Service: "a"}, {Service: "b", After: []int{0}}}},
			}
			g := &Gateway{Clock: timer.System, Overload: c.policy, Forecasts: c.forecasts}
			err := g.checkCapacity(x)
			is.Equal(err == nil, c.started)
			is.Equal(g.RefusedEarly() == 0, c.started)
			if err != nil {
				is.Equal(fault.As(err).Outcome, godwitplank.NotRun)
				is.True(fault.As(err).RetryAfterMS > 0 && fault.As(err).RetryAfterMS <= 5000/3)
			}
		})
	}
}
