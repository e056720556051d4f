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
	d := &delays{}
	is.Equal(d.of("s"), time.Duration(0))
	d.learn("s", -time.Second)
	is.Equal(d.of("s"), time.Duration(0)) // what was faster than described is no delay
	for range 200 {
		d.learn("s", 100*time.Millisecond)
		d.learn("s", 300*time.Millisecond)
	}
	is.True(d.of("s") > 220*time.Millisecond) // nearer to the slow ones
	is.True(d.of("s") < 300*time.Millisecond)
	for range 200 {
		d.learn("s", 0)
	}
	is.True(d.of("s") < 5*time.Millisecond)
	is.Equal(d.of("t"), time.Duration(0))
}

// The objective of a stage leaves room for the stages after it, as they are described and as they took lately.
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
	is.Equal(g.remaining(x, 2), usualAnswer)
	is.Equal(g.remaining(x, 0), usualAnswer+140*time.Millisecond+120*time.Millisecond)
	for range 200 {
		g.delays.learn("c", 50*time.Millisecond)
		g.delays.learn("r", 30*time.Millisecond)
	}
	is.Equal(g.remaining(x, 2).Round(time.Millisecond), usualAnswer+30*time.Millisecond)
	is.Equal(g.remaining(x, 0).Round(time.Millisecond), usualAnswer+340*time.Millisecond)
	x.Pieces[2] = 0 // a stage without pieces takes no time
	is.Equal(g.remaining(x, 0).Round(time.Millisecond), usualAnswer+150*time.Millisecond)
}
