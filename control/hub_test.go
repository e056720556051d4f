package control

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/link"
	"godwitplank/vm"
)

// VMs that exchange news with a hub only know from it which others are alive or stop, and keep what they knew while
// the hub is silent.
func TestHubVouches(t *testing.T) {
	is := is.New(t)
	hub, a, b := newControl(t, "hub", 1), newControl(t, "vm-a", 1), newControl(t, "vm-b", 1)
	for i, c := range []*Control{a, b} {
		c.HubsOnly = true
		c.CallersAddr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(i+1))
		c.LinkAddr = c.CallersAddr
	}
	fromA, fromB := &peer{}, &peer{}
	a.peers[netip.MustParseAddrPort("10.0.0.1:1")] = fromA
	ask(a, hub, fromA)
	ask(b, hub, fromB)
	ask(a, hub, fromA)
	now := a.Clock.Now()
	is.Equal(entries(a, now), []string{"vm-a", "vm-b"})

	later := now.Add(3 * vm.AliveFor) // nothing more is heard of the hub
	a.keepAlive(later)
	is.Equal(entries(a, later), []string{"vm-a", "vm-b"})

	b.stopping = true
	ask(b, hub, fromB)
	ask(a, hub, fromA)
	is.Equal(entries(a, a.Clock.Now()), []string{"vm-a"})
}

// Counters of a VM that nobody asks reach the hub once.
func TestSpendIsTold(t *testing.T) {
	is := is.New(t)
	hub, a := newControl(t, "hub", 1), newControl(t, "vm-a", 1)
	a.HubsOnly = true
	a.mergeSpend([]*link.SpendLine{{Vm: "vm-a", Incarnation: 1, Workspace: "w", Stage: "s", Calls: 3}, {Vm: "vm-z", Incarnation: 1, Workspace: "w", Stage: "s", Calls: 9}})
	lines, revision := a.ownSpend(0)
	is.Equal(len(lines), 1)
	hub.answer(&link.ExchangeRequest{Sender: a.self(), Spend: lines})
	is.Equal(hub.book.Totals()[0].Calls, uint64(3))
	lines, _ = a.ownSpend(revision)
	is.Equal(len(lines), 0)
}

func entries(c *Control, now time.Time) []string {
	names, _ := c.entryVMs(now)
	return names
}

// Pieces are made by the VMs with the most capacity; where none is told, all may.
func TestMakers(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	now := c.Clock.Now()
	_, makers := c.entryVMs(now)
	is.Equal(len(makers), 0) // this VM takes no callers' requests
	addr := netip.MustParseAddrPort("10.0.0.9:1")
	for name, capacity := range map[string]float64{"vm-b": 0.144, "vm-c": 0.48, "vm-d": 0.4} {
		c.vms.Hear(now, vm.Entry{Name: name, CallersAddr: addr, Capacity: capacity, Heard: now})
	}
	_, makers = c.entryVMs(now)
	is.Equal(makers, []string{"vm-c", "vm-d"})
	c.vms = vm.Table{}
	for _, name := range []string{"vm-b", "vm-c"} {
		c.vms.Hear(now, vm.Entry{Name: name, CallersAddr: addr, Heard: now})
	}
	_, makers = c.entryVMs(now)
	is.Equal(makers, []string{"vm-b", "vm-c"})
}
