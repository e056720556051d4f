package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitplank"
	"godwitplank/document"
	"godwitplank/route"
	"godwitplank/timer"
)

// coldSystem is a hub and entry VMs that exchange state with it, with a clock of their own and without a network.
type coldSystem struct {
	now   time.Time
	hub   *Control
	vms   []*Control
	peers []*peer
}

func newColdSystem(t *testing.T, vms int) *coldSystem {
	t.Helper()
	s := &coldSystem{now: time.Unix(1_700_000_000, 0)}
	d := &document.Document{Version: 1, Services: []document.Service{
		{Name: "s", ColdStartMS: 3000, ColdRequestsPerSecond: 9},
		{Name: "unlimited", ColdStartMS: 3000},
		{Name: "stage", ColdStartMS: 3000, ColdRequestsPerSecond: 9, Batch: &document.Batch{Pieces: 8}},
	}}
	stored := documentChange(d.Canonical())
	start := func(name string) *Control {
		c := &Control{Name: name, Incarnation: 1, DataCentre: "dc-a", HubsOnly: true, ColdExcess: 1.5, ColdSlack: 5, Clock: timer.ClockFunc(func() time.Time { return s.now })}
		if err := c.Init(); err != nil {
			t.Fatal(err)
		}
		c.applyDocument(stored)
		return c
	}
	s.hub = start("hub")
	for i := range vms {
		c := start(fmt.Sprint("vm-", i))
		c.CallersAddr = netip.AddrPortFrom(netip.MustParseAddr("10.0.0.9"), uint16(i+1))
		c.LinkAddr = c.CallersAddr
		s.vms, s.peers = append(s.vms, c), append(s.peers, &peer{replied: true})
		c.peers[netip.MustParseAddrPort("10.0.0.1:1")] = s.peers[i]
	}
	return s
}

// advance lets time pass, with a state exchange of every VM and a view in each half second.
func (s *coldSystem) advance(d time.Duration) {
	for end := s.now.Add(d); ; s.now = s.now.Add(min(exchangeInterval, end.Sub(s.now))) {
		for i, c := range s.vms {
			runExchange(c, s.hub, s.peers[i])
			c.publish()
		}
		if !s.now.Before(end) {
			return
		}
	}
}

func (s *coldSystem) announce(t *testing.T, id, pool string, incarnation, sequence uint64, coldMS *int64) {
	t.Helper()
	a := godwitplank.Announcement{EndpointID: id, Incarnation: incarnation, Sequence: sequence, Address: "10.1.0.1:80", DataCentre: "dc-a", Pool: pool, ColdMS: coldMS}
	if err := s.hub.handleRegistration(registered(t, a)); err != nil {
		t.Fatal(err)
	}
}

// candidate returns the only candidate of a pool at the first VM.
func (s *coldSystem) candidate(t *testing.T, pool string) *route.Candidate {
	t.Helper()
	candidates := s.vms[0].View().Pools[pool]
	if len(candidates) != 1 {
		t.Fatalf("%d candidates", len(candidates))
	}
	return &candidates[0]
}

func ms(n int64) *int64 {
	return &n
}

// The cold time that an endpoint states reaches the other VMs with its first announcement, with renewals, and when it becomes cold
// again or states that it is not. A renewal without it, as of a VM of the previous build, changes nothing.
func TestStatedColdTimeReachesOtherVMs(t *testing.T) {
	is := is.New(t)
	s := newColdSystem(t, 1)
	isCold := func() bool { return s.candidate(t, "s").Stats.Schedule.Cold(s.now) }
	s.advance(5 * time.Second)
	s.announce(t, "e-1", "s", 1, 1, ms(2500))
	s.advance(0)
	is.True(isCold())
	s.now = s.now.Add(time.Second)
	s.announce(t, "e-1", "s", 1, 2, ms(1500)) // a renewal
	is.Equal(*runExchange(s.vms[0], s.hub, s.peers[0]).Renewals[0].ColdMs, int64(1500))
	s.announce(t, "e-1", "s", 1, 3, nil)
	s.advance(1400 * time.Millisecond)
	is.True(isCold())
	s.advance(200 * time.Millisecond)
	is.True(!isCold())

	s.announce(t, "e-1", "s", 1, 4, ms(0))
	is.Equal(runExchange(s.vms[0], s.hub, s.peers[0]).Renewals[0].ColdMs, nil)
	s.announce(t, "e-1", "s", 1, 5, ms(4000)) // cold again, without a restart
	is.Equal(len(runExchange(s.vms[0], s.hub, s.peers[0]).Endpoints), 1)
	s.vms[0].publish()
	is.True(isCold())
	s.announce(t, "e-1", "s", 1, 6, ms(0))
	s.advance(0)
	is.True(!isCold())
}

// An incarnation that is new to a VM is cold for the configured time if it states nothing, and only once the VM has warmed up:
// the endpoints that it learns of before have started earlier.
func TestNewIncarnationIsCold(t *testing.T) {
	for name, c := range map[string]struct {
		pool     string
		stated   *int64
		warmedUp bool
		want     bool
	}{
		"states nothing":          {"s", nil, true, true},
		"VM has just started":     {"s", nil, false, false},
		"states that it is warm":  {"s", ms(0), true, false},
		"service without a limit": {"unlimited", nil, true, false},
		"no limit but a report":   {"unlimited", ms(3000), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newColdSystem(t, 1)
			if c.warmedUp {
				s.advance(5 * time.Second)
			}
			isCold := func() bool { return s.candidate(t, c.pool).Stats.Schedule.Cold(s.now) }
			s.announce(t, "e-1", c.pool, 1, 1, c.stated)
			s.advance(time.Second)
			is.Equal(isCold(), c.want)
			s.announce(t, "e-1", c.pool, 1, 2, c.stated)
			s.advance(2 * time.Second)
			is.True(!isCold()) // the later announcement of the incarnation did not prolong it
			s.announce(t, "e-1", c.pool, 2, 1, c.stated)
			s.advance(time.Second)
			is.Equal(isCold(), c.want || (!c.warmedUp && c.stated == nil))
		})
	}
}

// Eight VMs that derive their shares from what the hub told them send the rate of 9 calls in a second together, and VMs that have just
// started send none. The calls of a stage all come from the VM that dispatches it.
func TestVMsStayWithinRate(t *testing.T) {
	for pool, wantSenders := range map[string]int{"s": 3, "stage": 1} {
		t.Run(pool, func(t *testing.T) {
			is := is.New(t)
			s := newColdSystem(t, 8)
			s.announce(t, "e-1", pool, 1, 1, ms(60_000))
			countCalls := func() (calls, senders int) {
				s.advance(0)
				counts := make(map[string]int)
				for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
					for _, c := range s.vms {
						for range 5 {
							if c.View().Pools[pool][0].TakePermit(s.now.Add(at)) {
								counts[c.Name]++
								calls++
							}
						}
					}
				}
				return calls, len(counts)
			}
			calls, _ := countCalls()
			is.Equal(calls, 0)
			s.advance(time.Second)
			calls, _ = countCalls()
			is.Equal(calls, 0)
			s.advance(5 * time.Second)
			calls, senders := countCalls()
			is.Equal(calls, 9)
			is.Equal(senders, wantSenders)
		})
	}
}

// A relayed announcement has the remaining time, not the time that the endpoint stated when it sent it.
func TestRelayedColdTimeIsRemainingTime(t *testing.T) {
	is := is.New(t)
	s := newColdSystem(t, 1)
	s.announce(t, "e-1", "s", 1, 1, ms(3000))
	s.now = s.now.Add(2 * time.Second)
	reply := runExchange(s.vms[0], s.hub, s.peers[0])
	var a godwitplank.Announcement
	is.NoErr(json.Unmarshal(reply.Endpoints[0].Announcement, &a))
	is.Equal(*a.ColdMS, int64(1000))
}

// BenchmarkPublishCold measures publishing a view of 420 VMs with 135 cold endpoints among 1,900, as after the evacuation of a data
// centre, with members that change for each view and with the same ones.
func BenchmarkPublishCold(b *testing.B) {
	for name, changes := range map[string]bool{"same members": false, "changed members": true} {
		b.Run(name, func(b *testing.B) {
			c := newPopulatedControl(b, 0, 420)
			c.ColdExcess, c.ColdSlack = 1.5, 5
			d := &document.Document{Version: 2, Services: []document.Service{{Name: "language", ColdRequestsPerSecond: 9}}}
			c.applyDocument(documentChange(d.Canonical()))
			for i := range 420 {
				e := *c.vms.Find(fmt.Sprintf("vm-%d", i+1))
				e.CallersAddr, e.LastSeen = e.LinkAddr, c.Clock.Now().Add(time.Hour)
				c.vms.Merge(c.Clock.Now(), e)
			}
			for i := range 1900 {
				e := testEndpoint(i, 1, "")
				e.OfService = true
				if i < 135 {
					e.ColdMS = ms(3_600_000)
				}
				c.endpoints.Announce(c.Clock.Now(), e, time.Hour)
			}
			c.wasReady = true
			for b.Loop() {
				if changes {
					c.entryVMs.since = c.Clock.Now()
				}
				c.publish()
			}
		})
	}
}
