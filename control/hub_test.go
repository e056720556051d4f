package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank/link"
	"godwitplank/spend"
	"godwitplank/vm"
)

// VMs that exchange state only with a hub learn from it which other VMs are alive or stopping, and keep the last known
// liveness while the hub does not reply.
func TestHubReportsLiveness(t *testing.T) {
	is := is.New(t)
	hub, a, b := newControl(t, "hub", 1), newControl(t, "vm-a", 1), newControl(t, "vm-b", 1)
	for i, c := range []*Control{a, b} {
		c.HubsOnly = true
		c.CallersAddr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(i+1))
		c.LinkAddr = c.CallersAddr
	}
	fromA, fromB := &peer{}, &peer{}
	a.peers[netip.MustParseAddrPort("10.0.0.1:1")] = fromA
	runExchange(a, hub, fromA)
	runExchange(b, hub, fromB)
	runExchange(a, hub, fromA)
	now := a.Clock.Now()
	is.Equal(entryNames(a, now), []string{"vm-a", "vm-b"})

	later := now.Add(3 * vm.AliveTimeout) // the hub does not reply
	a.holdLiveness(later)
	is.Equal(entryNames(a, later), []string{"vm-a", "vm-b"})

	b.stopping = true
	runExchange(b, hub, fromB)
	runExchange(a, hub, fromA)
	is.Equal(entryNames(a, a.Clock.Now()), []string{"vm-a"})
}

// A VM that no other VM polls sends each change of its own counters to the hub once.
func TestLocalSpendSentOnce(t *testing.T) {
	is := is.New(t)
	hub, a := newControl(t, "hub", 1), newControl(t, "vm-a", 1)
	a.HubsOnly = true
	a.mergeSpend([]*link.SpendLine{{Vm: "vm-a", Incarnation: 1, Workspace: "w", Stage: "s", Calls: 3}, {Vm: "vm-z", Incarnation: 1, Workspace: "w", Stage: "s", Calls: 9}})
	lines, revision := a.localSpendSince(0)
	is.Equal(len(lines), 1)
	hub.buildExchangeReply(&link.ExchangeRequest{Sender: a.describeSelf(), Spend: lines})
	is.Equal(hub.spendCounters.Totals()[0].Calls, uint64(3))
	lines, _ = a.localSpendSince(revision)
	is.Equal(len(lines), 0)
}

func entryNames(c *Control, now time.Time) []string {
	c.entryVMs.update(c, now)
	return c.entryVMs.names
}

// The VMs with the most capacity dispatch pieces; if no capacity is known, all do.
func TestDispatcherVMs(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	now := c.Clock.Now()
	dispatchers := func() []string {
		c.entryVMs.update(c, now)
		return c.entryVMs.dispatchers
	}
	is.Equal(len(dispatchers()), 0) // this VM accepts no callers' requests
	addr := netip.MustParseAddrPort("10.0.0.9:1")
	for name, capacity := range map[string]float64{"vm-b": 0.144, "vm-c": 0.48, "vm-d": 0.4} {
		c.vms.Merge(now, vm.Entry{Name: name, CallersAddr: addr, Capacity: capacity, LastSeen: now})
	}
	is.Equal(dispatchers(), []string{"vm-c", "vm-d"})
	c.vms, c.entryVMs = vm.Table{}, entryVMs{}
	for _, name := range []string{"vm-b", "vm-c"} {
		c.vms.Merge(now, vm.Entry{Name: name, CallersAddr: addr, LastSeen: now})
	}
	is.Equal(dispatchers(), []string{"vm-b", "vm-c"})
}

// VMs exchange state less often with distant hubs the more VMs there are, and a change of owner waits until all know it.
func TestSettleTime(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	c.HubsOnly, c.DataCentre = true, "dc-a"
	near, far := &peer{name: "hub-a"}, &peer{name: "hub-b"}
	now := c.Clock.Now()
	c.vms.Merge(now, vm.Entry{Name: "hub-a", DataCentre: "dc-a", LastSeen: now})
	c.vms.Merge(now, vm.Entry{Name: "hub-b", DataCentre: "dc-b", LastSeen: now})
	for _, want := range []struct {
		vms                int
		distant, settleFor time.Duration
	}{
		{10, exchangeInterval, 800 * time.Millisecond},
		{300, maxDistantInterval, 1300 * time.Millisecond},
	} {
		for i := range want.vms {
			c.vms.Merge(now, vm.Entry{Name: fmt.Sprint("vm-", i), LastSeen: now})
		}
		later := now.Add(2 * startupPeriod)
		is.Equal(c.pauseBetweenExchanges(later, near), exchangeInterval)
		is.Equal(c.pauseBetweenExchanges(later, far), want.distant)
		c.publish()
		is.Equal(c.SettleTime(), want.settleFor)
	}
}

// Usage that was counted before a VM raised its incarnation counts once.
func TestRaisedIncarnationKeepsSpend(t *testing.T) {
	is := is.New(t)
	c := newControl(t, "vm-a", 1)
	c.Tally = &spend.Tally{}
	c.Tally.Add("w", "s", time.Second)
	c.mergeLocalSpend()
	c.raiseIncarnation(5)
	c.Tally.Add("w", "s", time.Second)
	c.mergeLocalSpend()
	is.Equal(c.spendCounters.Totals()[0].Calls, uint64(2))
}
