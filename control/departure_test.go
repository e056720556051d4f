package control

import (
	"testing"

	"github.com/matryer/is"

	"godwitplank"
)

// An endpoint that tells one VM in a response that it leaves is draining for all, until its next incarnation. A later
// announcement of the same one does not undo it.
func TestDepartureSpreads(t *testing.T) {
	is := is.New(t)
	hub, a, b := newControl(t, "hub", 1), newControl(t, "vm-a", 1), newControl(t, "vm-b", 1)
	fromA, fromB := &peer{}, &peer{}
	announce := func(incarnation, sequence uint64) {
		is.NoErr(hub.handleRegistration(registered(t, godwitplank.Announcement{
			EndpointID: "e", Incarnation: incarnation, Sequence: sequence, Address: "10.0.0.8:80", Pool: "s",
		})))
		runExchange(a, hub, fromA)
		runExchange(b, hub, fromB)
	}
	announce(1, 1)
	is.Equal(len(a.departures()), 0)
	a.statsFor(a.endpoints.Find("e")).Leave()
	is.Equal(len(a.departures()), 1)
	announce(1, 2)
	is.True(b.endpoints.Find("e").Leaving)
	announce(1, 3)
	is.True(hub.endpoints.Find("e").Leaving)
	is.True(b.endpoints.Find("e").Leaving)
	is.Equal(len(a.departures()), 0) // the hub knows
	announce(2, 1)
	is.True(!b.endpoints.Find("e").Leaving)
	is.True(a.statsFor(a.endpoints.Find("e")).Accepts(a.Clock.Now(), 0))
}
