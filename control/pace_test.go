package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
)

// A VM learns from the hub the pace of an endpoint's streams that only another VM has seen.
func TestPacesAreShared(t *testing.T) {
	is := is.New(t)
	hub, a, b := newControl(t, "hub", 1), newControl(t, "vm-a", 1), newControl(t, "vm-b", 1)
	a.HubsOnly, b.HubsOnly = true, true
	announce := func(sequence uint64) {
		hub.endpoints.Announce(hub.Clock.Now(), testEndpoint(1, sequence, "digest"), godwitplank.LeaseDuration)
	}
	announce(1)
	fromA, fromB := &peer{}, &peer{}
	runExchange(a, hub, fromA)
	runExchange(b, hub, fromB)
	observed := a.statsFor(a.endpoints.Find("e-1"))
	observed.ObservePace(a.Clock.Now(), 40*time.Millisecond)
	runExchange(a, hub, fromA)
	announce(2)
	runExchange(b, hub, fromB)
	is.Equal(b.statsFor(b.endpoints.Find("e-1")).Pace(), 40*time.Millisecond)
	is.Equal(len(b.pacesSince(time.Time{})), 0) // what a VM was told is not its own observation
	is.Equal(len(a.pacesSince(a.Clock.Now())), 0)
}
