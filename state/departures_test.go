package state

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func departureCommand(timeMs int64, id string, incarnation uint64) *Command {
	return &Command{TimeMs: timeMs, Change: &Command_Departure{Departure: &Departure{EndpointId: id, Incarnation: incarnation}}}
}

// A departure holds for its incarnation and earlier ones, and is forgotten after its retention.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	m := &Machine{}
	m.Apply(departureCommand(1000, "e-1", 5))
	m.Apply(departureCommand(2000, "e-1", 4)) // a late proposal
	is.True(m.HasDeparted("e-1", 5))
	is.True(m.HasDeparted("e-1", 4))
	is.True(!m.HasDeparted("e-1", 6))
	is.True(!m.HasDeparted("e-2", 5))
	retention := DepartureRetention.Milliseconds()
	m.Apply(departureCommand(1000+retention/2, "e-1", 6))
	m.Apply(departureCommand(1001+retention, "e-2", 1))
	is.True(m.HasDeparted("e-1", 6)) // the record of incarnation 5 has expired, not that of 6
	is.Equal(len(m.Departures()), 2)
	m.Apply(departureCommand(1001+3*retention, "e-3", 1))
	is.Equal(len(m.Departures()), 1)
}

// A machine that is restored from an image goes on like the original.
func TestDeparturesInImage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, now := &Machine{}, &Machine{}, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += rapid.Int64Range(0, DepartureRetention.Milliseconds()/2).Draw(t, "pause")
			c := departureCommand(now, fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "endpoint")), rapid.Uint64Range(1, 4).Draw(t, "incarnation"))
			a.Apply(proto.CloneOf(c))
			b.Apply(proto.CloneOf(c))
			if rapid.Bool().Draw(t, "restore") {
				image := b.Image()
				b = &Machine{}
				if err := b.Restore(image); err != nil {
					t.Fatal(err)
				}
			}
			if len(a.Departures()) != len(b.Departures()) {
				t.Fatalf("%d departures, %d after a restore", len(a.Departures()), len(b.Departures()))
			}
			for i, d := range a.Departures() {
				if !proto.Equal(d, b.Departures()[i]) {
					t.Fatalf("departure %v is %v after a restore", d, b.Departures()[i])
				}
			}
		}
	})
}
