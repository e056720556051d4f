package control

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/event"
	"godwitplank/route"
	"godwitplank/state"
)

// limitedVMs returns a hub and entry VMs that all know an endpoint and each other, and the endpoint's key.
func limitedVMs(t *testing.T, names ...string) (hub *Control, vms []*Control, peers []*peer, k statsKey) {
	t.Helper()
	hub = newControl(t, "hub", 1)
	hub.HubsOnly = true
	announced := testEndpoint(1, 1, "")
	announced.OfService = true
	hub.endpoints.Announce(hub.Clock.Now(), announced, godwitplank.LeaseDuration)
	for i, name := range names {
		c := newControl(t, name, 1)
		c.HubsOnly, c.wasReady = true, true
		c.CallersAddr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(i+1))
		c.LinkAddr = c.CallersAddr
		c.applyDocument(documentOfService(announced.Pool))
		p := &peer{}
		c.peers[netip.MustParseAddrPort("10.0.0.1:1")] = p
		vms, peers = append(vms, c), append(peers, p)
	}
	e := hub.endpoints.Find("e-1")
	return hub, vms, peers, statsKey{e.EndpointID, e.Incarnation}
}

func documentOfService(name string) *state.DocumentChange {
	return documentChange((&document.Document{Version: 1, Services: []document.Service{{Name: name}}}).Canonical())
}

// exchangeAll has all VMs exchange state with the hub, and publish.
func exchangeAll(hub *Control, vms []*Control, peers []*peer) {
	for i, c := range vms {
		_, sent := c.limitsSince(peers[i].sentLimitsRevision)
		runExchange(c, hub, peers[i])
		peers[i].sentLimitsRevision = sent
	}
	for _, c := range append(vms, hub) {
		c.publish()
	}
}

// countLimited returns the VMs that know a limit of an endpoint, and those with a share.
func countLimited(vms []*Control, k statsKey) (limited, sharing int) {
	for _, c := range vms {
		if q := &c.stats[k].Quota; q.Limit() > 0 {
			limited++
			if q.Permits(c.Clock.Now()) {
				sharing++
			}
		}
	}
	return limited, sharing
}

// Every VM knows the limit that an endpoint states to one of them, one of them has the share, a VM that starts learns it with the
// endpoint, and all know when it ends.
func TestStatedLimitReachesAllVMs(t *testing.T) {
	is := is.New(t)
	hub, vms, peers, k := limitedVMs(t, "vm-a", "vm-b", "vm-c", "vm-d")
	for range 2 {
		exchangeAll(hub, vms, peers)
	}
	for _, c := range vms {
		c.entryVMs.since = c.Clock.Now().Add(-time.Minute)
	}
	now := time.Now()
	candidate := route.Candidate{ID: k.id, Incarnation: k.incarnation, Stats: vms[0].stats[k]}
	candidate.ObserveNotice(now, route.Notice{Limit: 1.2}, event.Logger{}, "request", "r")
	is.True(!candidate.TakePermit(now)) // its share is not known yet
	for range 2 {
		exchangeAll(hub, vms, peers)
	}
	limited, sharing := countLimited(vms, k)
	is.Equal(limited, len(vms))
	is.Equal(sharing, 1)
	// Only the VM with the share calls the endpoint from now on, and it was told by another VM.
	holder := slices.IndexFunc(vms, func(c *Control) bool { return c.stats[k].Quota.Permits(c.Clock.Now()) })
	is.True(holder != 0)

	restarted := newControl(t, "vm-b", 2)
	restarted.applyDocument(documentOfService("language"))
	restarted.HubsOnly, restarted.wasReady, restarted.CallersAddr = true, true, vms[1].CallersAddr
	vms[1], peers[1] = restarted, &peer{}
	exchangeAll(hub, vms, peers)
	limited, _ = countLimited(vms, k)
	is.Equal(limited, len(vms))

	hub.limits, hub.limitsRevision, hub.Incarnation = nil, 0, 2 // the hub restarts
	for range 3 {
		exchangeAll(hub, vms, peers)
	}
	is.Equal(hub.limits[k].perSecond, 1.2)

	candidate.Stats = vms[holder].stats[k]
	candidate.ObserveNoLimit(time.Now(), event.Logger{}, "request", "r")
	for range 2 {
		exchangeAll(hub, vms, peers)
	}
	limited, _ = countLimited(vms, k)
	is.Equal(limited, 0)
}

// Of statements that cross each other the newest one holds at all VMs, and a VM that has it tells the others again.
func TestNewestStatementHolds(t *testing.T) {
	is := is.New(t)
	hub, vms, peers, k := limitedVMs(t, "vm-a", "vm-b")
	now := time.Now()
	for range 2 {
		exchangeAll(hub, vms, peers)
	}
	vms[0].recordLimit(k, 2, now.Add(-3*time.Second))
	for range 2 {
		exchangeAll(hub, vms, peers)
	}
	vms[0].recordLimit(k, 2, now.Add(-time.Second)) // said again, which changes nothing elsewhere
	vms[1].recordLimit(k, 0, now.Add(-2*time.Second))
	for range 3 {
		exchangeAll(hub, vms, peers)
	}
	for _, c := range append(vms, hub) {
		is.Equal(c.limits[k].perSecond, 2.0)
	}
	is.Equal(len(runExchange(vms[0], hub, peers[0]).Limits), 0) // what a VM knows is not sent again
	vms[0].pruneLimits(nil)
	is.Equal(len(vms[0].limits), 0)
}
