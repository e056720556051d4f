package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/control"
	"godwitplank/document"
)

func TestDelays(t *testing.T) {
	is := is.New(t)
	d := &delayEstimator{}
	is.Equal(d.estimate("s"), time.Duration(0))
	d.observe("s", -time.Second)
	is.Equal(d.estimate("s"), time.Duration(0)) // faster than predicted is no delay
	for range 200 {
		d.observe("s", 100*time.Millisecond)
		d.observe("s", 300*time.Millisecond)
	}
	is.True(d.estimate("s") > 220*time.Millisecond) // nearer to the slow measurements
	is.True(d.estimate("s") < 300*time.Millisecond)
	for range 200 {
		d.observe("s", 0)
	}
	is.True(d.estimate("s") < 5*time.Millisecond)
	is.Equal(d.estimate("t"), time.Duration(0))
}

// The time reserved after a stage is the predicted duration plus the estimated delay of the stages that depend on it.
func TestRemaining(t *testing.T) {
	is := is.New(t)
	d, err := document.ParseCanonical([]byte(`{"services":[
		{"name":"a","batch":{"pieces":8,"call_ms":100,"piece_ms":10}},
		{"name":"b","batch":{"pieces":8,"call_ms":100,"piece_ms":10}},
		{"name":"c","batch":{"pieces":8,"call_ms":100,"piece_ms":10}}]}`))
	is.NoErr(err)
	x := &exchange{
		Request: &Request{Pieces: []int{1, 2, 4}}, view: &control.View{Document: d},
		route: &document.Route{Name: "r", Stages: []document.RouteStage{{Service: "a"}, {Service: "b", After: []int{0}}, {Service: "c", After: []int{1}}}},
	}
	g := &Gateway{}
	is.Equal(g.remainingDuration(x, 2), idleTimeToFirstByte)
	is.Equal(g.remainingDuration(x, 0), idleTimeToFirstByte+140*time.Millisecond+120*time.Millisecond)
	for range 200 {
		g.delays.observe("c", 50*time.Millisecond)
		g.delays.observe("r", 30*time.Millisecond)
	}
	is.Equal(g.remainingDuration(x, 2).Round(time.Millisecond), idleTimeToFirstByte+30*time.Millisecond)
	is.Equal(g.remainingDuration(x, 0).Round(time.Millisecond), idleTimeToFirstByte+340*time.Millisecond)
	x.Pieces[2] = 0 // a stage without pieces takes no time
	is.Equal(g.remainingDuration(x, 0).Round(time.Millisecond), idleTimeToFirstByte+150*time.Millisecond)
}
